"""TrueTime: estimate of the true time of day from the clocks of instances.

Failure: the clocks of up to a third of the instances jump by seconds for a
while. Each instance compares its monotonic clock with the time of day in the
heartbeats of others and uses the median difference, which stays within the
range of the correct clocks while more than half of them are correct.
"""

from __future__ import annotations

_SAMPLE_TTL_S = 15.0
"""Age after which the time that an instance stated is ignored; spans one
heartbeat between followers."""

_UPDATE_INTERVAL_S = 0.5
"""Time for which an estimate is kept before it is computed again."""


class TrueTime:
    """Converts monotonic time to the true time of day.

    The own clock counts as one of the clocks.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}
        self._offset_s: float | None = None
        self._updated_s = float("-inf")

    @property
    def nodes(self) -> list[str]:
        """Names of the other instances whose time is known."""
        return list(self._offsets)

    def on_peer_time(self, node: str, unix_s: float, now_s: float) -> None:
        """Records the time of day that another instance states.

        Args:
            node: Name of the instance.
            unix_s: Seconds since 1970 by its clock.
            now_s: Current monotonic time in seconds.
        """
        self._offsets[node] = (unix_s - now_s, now_s)

    def unix_s(self, now_s: float, own_unix_s: float) -> float:
        """Returns the estimated seconds since 1970.

        Args:
            now_s: Current monotonic time in seconds.
            own_unix_s: Seconds since 1970 by the clock of this instance.
        """
        is_recent = now_s - self._updated_s < _UPDATE_INTERVAL_S
        if self._offset_s is None or not is_recent:
            self._offset_s = self._estimate(now_s, own_unix_s - now_s)
            self._updated_s = now_s
        return now_s + self._offset_s

    def _estimate(self, now_s: float, own_offset_s: float) -> float:
        self._offsets = {
            node: sample
            for node, sample in self._offsets.items()
            if now_s - sample[1] <= _SAMPLE_TTL_S
        }
        offsets = sorted(
            [own_offset_s, *(offset for offset, _ in self._offsets.values())]
        )
        low, high = offsets[(len(offsets) - 1) // 2], offsets[len(offsets) // 2]
        if self._offset_s is None:
            return (low + high) / 2
        # With two clocks that disagree, the previous estimate tells which one
        # has jumped.
        return min(max(self._offset_s, low), high)
