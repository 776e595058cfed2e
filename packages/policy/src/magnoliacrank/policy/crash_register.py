"""CrashRegister: blocks requests that crash the backend servers they run on.

Load pattern: one request crashes each backend server that runs it, and its
caller sends it again, to any instance.
"""

from __future__ import annotations

import attrs

BLOCK_THRESHOLD = 2
"""Number of crashes from which on a request is refused."""

CRASH_WINDOW_S = 30.0
"""Seconds after its last crash for which a request's count is valid."""


_RELAYED_BLOCK_S = 5.0
"""Seconds for which a follower, an instance that doesn't receive all counts,
refuses a request that a heartbeat listed as blocked; each further heartbeat
renews it."""


@attrs.define
class _Record:
    crashes: int = 0
    last_s: float = 0.0


class CrashRegister:
    """Counts crashes per request, as seen here and by other instances.

    A request is identified by a fingerprint of its content.
    """

    def __init__(self) -> None:
        self._own_counts: dict[str, _Record] = {}
        self._peer_counts: dict[str, dict[str, tuple[int, float]]] = {}
        self._blocked_until_s: dict[str, float] = {}

    def on_crash(self, fingerprint: str, now_s: float) -> None:
        """Counts a crash: the connection was lost while the request ran.

        Args:
            fingerprint: Digest of the request's method, target and body.
            now_s: Current monotonic time, in seconds.
        """
        record = self._own_counts.setdefault(fingerprint, _Record())
        record.crashes += 1
        record.last_s = now_s

    def on_answered(self, fingerprint: str) -> None:
        """Clears this instance's count for a request that was answered."""
        self._own_counts.pop(fingerprint, None)

    def update_peer_counts(
        self, instance: str, crashes: dict[str, int], now_s: float
    ) -> None:
        """Replaces the counts known from another instance.

        Args:
            instance: Name of the other instance.
            crashes: All its current counts, by fingerprint.
            now_s: Current monotonic time, in seconds.
        """
        known = self._peer_counts.setdefault(instance, {})
        for fingerprint, count in crashes.items():
            before = known.get(fingerprint)
            if before is None or before[0] != count:
                known[fingerprint] = (count, now_s)
        for fingerprint in set(known) - set(crashes):
            del known[fingerprint]

    def recent_own_counts(self, now_s: float) -> dict[str, int]:
        """Returns the counts of this instance and removes expired ones.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        old = [
            fingerprint
            for fingerprint, record in self._own_counts.items()
            if now_s - record.last_s > CRASH_WINDOW_S
        ]
        for fingerprint in old:
            del self._own_counts[fingerprint]
        return {
            name: record.crashes for name, record in self._own_counts.items()
        }

    def blocked(self, now_s: float) -> list[str]:
        """Returns fingerprints of all requests to refuse, by known counts.

        Heartbeats carry them to the followers, instances that receive
        heartbeats from a part of the other instances only and therefore
        can't add up all counts.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        known = set(self._own_counts)
        for crashes in self._peer_counts.values():
            known.update(crashes)
        return [
            fingerprint
            for fingerprint in known
            if self._count_crashes(fingerprint, now_s) >= BLOCK_THRESHOLD
        ]

    def apply_peer_blocks(self, fingerprints: list[str], now_s: float) -> None:
        """Blocks requests that another instance reported as blocked.

        Args:
            fingerprints: Fingerprints of the requests.
            now_s: Current monotonic time, in seconds.
        """
        for fingerprint in fingerprints:
            self._blocked_until_s[fingerprint] = now_s + _RELAYED_BLOCK_S
        for fingerprint, until_s in list(self._blocked_until_s.items()):
            if now_s > until_s:
                del self._blocked_until_s[fingerprint]

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Returns whether a request must be refused.

        Args:
            fingerprint: Digest of the request's method, target and body.
            now_s: Current monotonic time, in seconds.
        """
        if now_s <= self._blocked_until_s.get(fingerprint, 0.0):
            return True
        return self._count_crashes(fingerprint, now_s) >= BLOCK_THRESHOLD

    def _count_crashes(self, fingerprint: str, now_s: float) -> int:
        record = self._own_counts.get(fingerprint)
        crashes = 0
        if record and now_s - record.last_s <= CRASH_WINDOW_S:
            crashes = record.crashes
        for known in self._peer_counts.values():
            count, last_s = known.get(fingerprint, (0, 0.0))
            if now_s - last_s <= CRASH_WINDOW_S:
                crashes += count
        return crashes
