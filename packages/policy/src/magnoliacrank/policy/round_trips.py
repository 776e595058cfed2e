"""Distance of data centres, from the round trips of health requests.

Load pattern: a request that finds no server in its own data centre is sent to
another one. Whether that pays depends on how far away it is.
"""

from __future__ import annotations

_DRIFT = 0.02
"""Share by which the known least round trip rises towards each longer one, so
that it follows a lasting change of the path."""


class RoundTrips:
    """Least recent round trip to each data centre.

    The least one counts: others contain the time for which a busy server or
    this instance held the answer up.
    """

    def __init__(self) -> None:
        self._least_s: dict[str, float] = {}

    def add(self, data_centre: str, duration_s: float) -> None:
        """Records a round trip.

        Args:
            data_centre: Data centre of the server.
            duration_s: Duration in seconds.
        """
        known_s = self._least_s.get(data_centre, duration_s)
        if duration_s > known_s:
            # A stalled exchange must not raise the figure much at once.
            duration_s = known_s + _DRIFT * (
                min(duration_s, 2 * known_s) - known_s
            )
        self._least_s[data_centre] = duration_s

    def excess_s(self, data_centre: str, own: str) -> float:
        """Returns the round trip beyond that in the own data centre.

        Args:
            data_centre: The other data centre.
            own: The own data centre.

        Returns:
            Seconds; 0 if one of them wasn't measured.
        """
        least_s = self._least_s
        if data_centre not in least_s or own not in least_s:
            return 0.0
        return max(least_s[data_centre] - least_s[own], 0.0)
