"""LapsedEntries: entries that expired because the store was away.

Load pattern: the store returns after an outage and the entries of living
backend servers are gone for up to two seconds. Using them on keeps the
capacity; health reports say which of them still serve.
"""

from __future__ import annotations

LAPSE_S = 2.0
"""Time after the store's return within which entries come back."""


class LapsedEntries:
    """When the store came back, and which entries were missing then."""

    def __init__(self) -> None:
        self._lost_s: float | None = None
        self._regained_s: float | None = None
        self._until_s: dict[str, float] = {}

    def on_store(self, *, answers: bool, now_s: float) -> None:
        """Notes whether the store answers.

        Args:
            answers: Whether it does.
            now_s: Monotonic time in seconds.
        """
        if not answers:
            if self._lost_s is None:
                self._lost_s = now_s
        elif self._lost_s is not None:
            self._lost_s = None
            self._regained_s = now_s

    def on_removed(self, server_id: str, now_s: float) -> None:
        """Notes an entry that is no longer there.

        Args:
            server_id: Identity of the backend server.
            now_s: Monotonic time in seconds.
        """
        regained_s = self._regained_s
        if regained_s is not None and now_s < regained_s + LAPSE_S:
            self._until_s[server_id] = regained_s + LAPSE_S

    def is_lapsed(self, server_id: str, now_s: float) -> bool:
        """Whether a missing entry may still come back.

        Args:
            server_id: Identity of the backend server.
            now_s: Monotonic time in seconds.
        """
        until_s = self._until_s.get(server_id)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._until_s[server_id]
            return False
        return True
