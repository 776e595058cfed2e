"""LapsedEntries: server entries that expired during an outage of the store.

Load pattern: when the store returns after an outage, the entries of running
backend servers are missing for up to two seconds. Continuing to use these
servers keeps the capacity; health reports show which of them still serve.
"""

from __future__ import annotations

REAPPEAR_WINDOW_S = 2.0
"""Seconds after the store's return within which expired entries reappear."""

_OUTAGE_S = 2.5
"""Time in seconds without an answer of the store to any instance that counts as
an outage. Followers hear of answers once a second."""

_OUTAGE_AFTER_FAILURE_S = 1.5
"""The same if this instance's own call has failed meanwhile; longer than the
time between two answers while the store refuses this instance only."""


class LapsedEntries:
    """Tracks entries of backend servers that went missing after an outage.

    Such an entry is expected to reappear in the store soon.
    """

    def __init__(self) -> None:
        self._has_failed = False
        self._answered_s: float | None = None
        self._regained_s: float | None = None
        self._incomplete_until_s = float("-inf")
        self._until_s: dict[str, float] = {}

    def on_store_failure(self) -> None:
        """Records that the store did not answer a call of this instance."""
        self._has_failed = True

    def on_store_answer(self, answered_s: float) -> None:
        """Records that the store answered this or another instance.

        To be called before the answer's records are applied: these contain
        the removals of the entries that expired.

        Args:
            answered_s: Monotonic time of the call, in seconds.
        """
        before_s = self._answered_s
        if before_s is not None and answered_s <= before_s:
            return
        if before_s is None and self._has_failed:
            self._incomplete_until_s = answered_s + REAPPEAR_WINDOW_S
        if self._is_outage(answered_s):
            self._regained_s = answered_s
        self._answered_s = answered_s
        self._has_failed = False

    def on_store_rewound(self, now_s: float) -> None:
        """Records that the store came back from an older copy.

        It may lack entries that were written since the copy.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        self._incomplete_until_s = now_s + REAPPEAR_WINDOW_S

    def _is_outage(self, answered_s: float) -> bool:
        """Returns whether an answer is the first one after an outage."""
        if self._answered_s is None:
            return self._has_failed
        limit_s = _OUTAGE_AFTER_FAILURE_S if self._has_failed else _OUTAGE_S
        return answered_s - self._answered_s > limit_s

    def may_lack_unknown_entries(self, now_s: float) -> bool:
        """Returns whether entries may be missing that were never read.

        So it is if this instance started during an outage: it read the store
        for the first time after the entries had expired.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return now_s < self._incomplete_until_s

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
