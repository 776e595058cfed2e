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


@attrs.define
class _Record:
    crashes: int = 0
    last_s: float = 0.0


class CrashRegister:
    """Crashes by fingerprint of the request, here and on other instances."""

    def __init__(self) -> None:
        self._own: dict[str, _Record] = {}
        self._peers: dict[str, dict[str, tuple[int, float]]] = {}

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

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request is to be refused.

        Args:
            fingerprint: Identity of the request's content and caller.
            now_s: Monotonic time in seconds.
        """
        record = self._own.get(fingerprint)
        crashes = 0
        if record and now_s - record.last_s <= WINDOW_S:
            crashes = record.crashes
        for known in self._peers.values():
            count, last_s = known.get(fingerprint, (0, 0.0))
            if now_s - last_s <= WINDOW_S:
                crashes += count
        return crashes >= BLOCKING_CRASHES
