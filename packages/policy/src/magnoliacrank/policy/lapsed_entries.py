"""LapsedEntries: server entries that expired during an outage of the store.

Load pattern: when the store returns after an outage, the entries of running
backend servers are missing for up to two seconds. Continuing to use these
servers keeps the capacity; health reports show which of them still serve.
"""

from __future__ import annotations

REAPPEAR_WINDOW_S = 2.0
"""Seconds after the store's return within which expired entries reappear."""


class LapsedEntries:
    """Tracks entries of backend servers that went missing after an outage.

    Such an entry is expected to reappear in the store soon.
    """

    def __init__(self) -> None:
        self._lost_s: float | None = None
        self._regained_s: float | None = None
        self._until_s: dict[str, float] = {}

    def on_store_call(self, *, answers: bool, now_s: float) -> None:
        """Records whether the store answered the latest call.

        Args:
            answers: Whether the store answered.
            now_s: Current monotonic time, in seconds.
        """
        if not answers:
            if self._lost_s is None:
                self._lost_s = now_s
        elif self._lost_s is not None:
            self._lost_s = None
            self._regained_s = now_s

    def on_entry_removed(self, server_id: str, now_s: float) -> None:
        """Records that an entry has disappeared from the store.

        Args:
            server_id: Identifier of the backend server.
            now_s: Current monotonic time, in seconds.
        """
        regained_s = self._regained_s
        if regained_s is not None and now_s < regained_s + REAPPEAR_WINDOW_S:
            self._until_s[server_id] = regained_s + REAPPEAR_WINDOW_S

    def is_lapsed(self, server_id: str, now_s: float) -> bool:
        """Returns whether a missing entry may still reappear.

        Args:
            server_id: Identifier of the backend server.
            now_s: Current monotonic time, in seconds.
        """
        until_s = self._until_s.get(server_id)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._until_s[server_id]
            return False
        return True
