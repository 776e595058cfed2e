"""ServerEntries: backend servers by their entries in the store."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

from magnoliacrank.platform import backend_wire
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import lapsed_entries

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliacrank.entry import event_log
    from magnoliacrank.model import backend_entry
    from magnoliacrank.platform import store_records


class ServerEntries:
    """Registered backend servers, and those retained after an outage.

    The latter are servers whose entries expired during an outage of the store.
    They stay in use until a deadline by which entries of living servers have
    been written again.

    Args:
        log: Log for changes and unreadable entries.
        clock: Returns the monotonic time in seconds.
        on_gone: Called with the id of a server that was removed or restarted.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        clock: Callable[[], float],
        on_gone: Callable[[str], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._on_gone = on_gone
        self._entries: dict[str, backend_entry.BackendEntry] = {}
        self._retained: dict[str, backend_entry.BackendEntry] = {}
        self._lapsed = lapsed_entries.LapsedEntries()
        self._unreadable_records = 0

    @property
    def unreadable_records(self) -> int:
        """Number of changed entries that were refused as unreadable."""
        return self._unreadable_records

    @property
    def has_any(self) -> bool:
        """Whether any server is registered or retained."""
        return bool(self._entries or self._retained)

    @property
    def may_lack_unknown_entries(self) -> bool:
        """Whether the store may lack entries that were never read."""
        return self._lapsed.may_lack_unknown_entries(self._clock())

    def get(self, server_id: str) -> backend_entry.BackendEntry | None:
        """Returns the entry of a server, if it is registered."""
        return self._entries.get(server_id)

    def counts(self) -> dict[str, int]:
        """Returns the number of registered servers by data centre."""
        return dict(
            collections.Counter(
                entry.data_centre for entry in self._entries.values()
            )
        )

    def known(self) -> Iterable[backend_entry.BackendEntry]:
        """Returns the registered and the retained servers."""
        return itertools.chain(self._entries.values(), self._retained.values())

    def on_store_failure(self) -> None:
        """Records that a read of the store by this instance failed."""
        self._lapsed.on_store_failure()

    def on_store_answer(self, answered_s: float) -> None:
        """Records that the store answered a read of any instance.

        Args:
            answered_s: Clock time of the read in seconds.
        """
        self._lapsed.on_store_answer(answered_s)

    def on_store_rewound(self) -> None:
        """Records that the store came back from an older copy."""
        self._lapsed.on_store_rewound(self._clock())

    def apply(self, record: store_records.KeyedRecord) -> None:
        """Applies a changed record of the servers' topic."""
        before = self._entries.get(record.key)
        entry = self._decode(record)
        if entry is None:
            self._remove(
                record.key, before, is_unreadable=record.value is not None
            )
            return
        retained = self._retained.pop(record.key, None)
        before = before or retained
        self._entries[record.key] = entry
        if before is not None and before.born_ms != entry.born_ms:
            self._on_gone(record.key)
        self._log.event(
            "server registered" if before is None else "server changed",
            server=entry.server_id,
            service=entry.service,
            address=f"{entry.host}:{entry.port}",
            version=entry.version,
            draining=entry.is_draining,
        )

    def drop_expired(self) -> bool:
        """Drops retained servers whose deadline has passed.

        Returns:
            Whether any was dropped.
        """
        if not self._retained:
            return False
        now_s = self._clock()
        expired = [
            server_id
            for server_id in self._retained
            if not self._lapsed.is_lapsed(server_id, now_s)
        ]
        for server_id in expired:
            del self._retained[server_id]
            self._on_gone(server_id)
        return bool(expired)

    def _remove(
        self,
        server_id: str,
        before: backend_entry.BackendEntry | None,
        *,
        is_unreadable: bool,
    ) -> None:
        if before is None:
            return
        del self._entries[server_id]
        now_s = self._clock()
        if not is_unreadable and not before.is_draining:
            self._lapsed.on_entry_removed(server_id, now_s)
        if self._lapsed.is_lapsed(server_id, now_s):
            self._retained[server_id] = before
        else:
            self._on_gone(server_id)
        self._log.event("server removed", server=server_id)

    def _decode(
        self, record: store_records.KeyedRecord
    ) -> backend_entry.BackendEntry | None:
        if record.value is None:
            return None
        try:
            return backend_wire.decode_entry(record.key, record.value)
        except wire_values.WireValueError as error:
            self._unreadable_records += 1
            self._log.warning(
                "server entry unreadable", server=record.key, reason=str(error)
            )
            return None
