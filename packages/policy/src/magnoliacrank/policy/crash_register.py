"""CrashRegister: requests that crash the backend servers that run them.

Load pattern: one request crashes each backend server that runs it, and its
caller sends it again, to any instance.
"""

from __future__ import annotations

import attrs

BLOCKING_CRASHES = 2
"""Crashes after which a request is refused."""

WINDOW_S = 30.0
"""Time for which a crash counts, in seconds."""


_RELAYED_S = 5.0
"""Time for which a follower refuses what a guardian told it to, in seconds;
each heartbeat renews it."""


@attrs.define
class _Record:
    crashes: int = 0
    last_s: float = 0.0


class CrashRegister:
    """Crashes by fingerprint of the request, here and on other instances."""

    def __init__(self) -> None:
        self._own: dict[str, _Record] = {}
        self._peers: dict[str, dict[str, tuple[int, float]]] = {}
        self._blocked_until_s: dict[str, float] = {}

    def on_crash(self, fingerprint: str, now_s: float) -> None:
        """Counts a connection that was lost while a request ran.

        Args:
            fingerprint: Identity of the request's content and caller.
            now_s: Monotonic time in seconds.
        """
        record = self._own.setdefault(fingerprint, _Record())
        record.crashes += 1
        record.last_s = now_s

    def on_answered(self, fingerprint: str) -> None:
        """Clears a request that a backend server answered."""
        self._own.pop(fingerprint, None)

    def merge(self, node: str, crashes: dict[str, int], now_s: float) -> None:
        """Takes in the counts of another instance.

        Args:
            node: Name of the instance.
            crashes: Its counts by fingerprint.
            now_s: Monotonic time in seconds.
        """
        known = self._peers.setdefault(node, {})
        for fingerprint, count in crashes.items():
            before = known.get(fingerprint)
            if before is None or before[0] != count:
                known[fingerprint] = (count, now_s)
        for fingerprint in set(known) - set(crashes):
            del known[fingerprint]

    def recent(self, now_s: float) -> dict[str, int]:
        """Returns own counts that still matter, and forgets the others.

        Args:
            now_s: Monotonic time in seconds.
        """
        old = [
            fingerprint
            for fingerprint, record in self._own.items()
            if now_s - record.last_s > WINDOW_S
        ]
        for fingerprint in old:
            del self._own[fingerprint]
        return {name: record.crashes for name, record in self._own.items()}

    def blocked(self, now_s: float) -> list[str]:
        """Returns the requests that are refused, for followers.

        Args:
            now_s: Monotonic time in seconds.
        """
        known = set(self._own)
        for crashes in self._peers.values():
            known.update(crashes)
        return [
            fingerprint
            for fingerprint in known
            if self._crashes(fingerprint, now_s) >= BLOCKING_CRASHES
        ]

    def block(self, fingerprints: list[str], now_s: float) -> None:
        """Takes over which requests the mesh refuses.

        Args:
            fingerprints: Identities of the requests.
            now_s: Monotonic time in seconds.
        """
        for fingerprint in fingerprints:
            self._blocked_until_s[fingerprint] = now_s + _RELAYED_S
        for fingerprint, until_s in list(self._blocked_until_s.items()):
            if now_s > until_s:
                del self._blocked_until_s[fingerprint]

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request is to be refused.

        Args:
            fingerprint: Identity of the request's content and caller.
            now_s: Monotonic time in seconds.
        """
        if now_s <= self._blocked_until_s.get(fingerprint, 0.0):
            return True
        return self._crashes(fingerprint, now_s) >= BLOCKING_CRASHES

    def _crashes(self, fingerprint: str, now_s: float) -> int:
        record = self._own.get(fingerprint)
        crashes = 0
        if record and now_s - record.last_s <= WINDOW_S:
            crashes = record.crashes
        for known in self._peers.values():
            count, last_s = known.get(fingerprint, (0, 0.0))
            if now_s - last_s <= WINDOW_S:
                crashes += count
        return crashes
