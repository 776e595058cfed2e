"""Recognizes requests whose callers were refused a moment ago.

Load pattern: all backend servers refuse a part of their requests, the budget of
repeats is used up, and callers are told to come back at once. They state almost
the same timeout then, so only the request itself tells them from others.
"""

from __future__ import annotations

import collections

_MAX_AGE_S = 2.0
"""Time in seconds after a refusal within which its caller may come back."""

_MAX_REFUSALS = 4096
"""Number of refusals that are kept."""


class ReturnRegister:
    """Recent refusals by the fingerprints of their requests.

    Each refusal accounts for one return, so that among equal requests of many
    callers as many are taken for returns as were refused.
    """

    def __init__(self) -> None:
        self._refused: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._times_s: dict[str, collections.deque[float]] = {}

    def on_refused(self, fingerprint: str, now_s: float) -> None:
        """Records that a caller was refused.

        Args:
            fingerprint: Digest of its request.
            now_s: Current monotonic time in seconds.
        """
        self._refused.append((now_s, fingerprint))
        times = self._times_s.setdefault(fingerprint, collections.deque())
        times.append(now_s)
        self._drop_expired(now_s)

    def take(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request's caller was refused before, which is used up.

        Args:
            fingerprint: Digest of the request.
            now_s: Current monotonic time in seconds.
        """
        self._drop_expired(now_s)
        if fingerprint not in self._times_s:
            return False
        self._remove_oldest(fingerprint)
        return True

    def _drop_expired(self, now_s: float) -> None:
        while self._refused and (
            self._refused[0][0] < now_s - _MAX_AGE_S
            or len(self._refused) > _MAX_REFUSALS
        ):
            refused_s, fingerprint = self._refused.popleft()
            times = self._times_s.get(fingerprint)
            if times is not None and times[0] <= refused_s:
                self._remove_oldest(fingerprint)

    def _remove_oldest(self, fingerprint: str) -> None:
        times = self._times_s[fingerprint]
        times.popleft()
        if not times:
            del self._times_s[fingerprint]
