"""StoreInstanceList: the instance list in the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from absl import logging
import msgspec

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.platform import backend_wire
from magnoliacrank.platform import instance_list
from magnoliacrank.platform import store_client
from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.platform import store_records

_Entry = TypeVar("_Entry")

_TIMEOUT_S = 2.0
"""Longest time for a response of the store."""

_DEFAULT_MAX_CONNECTIONS = 200
"""Assumed number of connections that a backend server accepts in total.

The server's entry does not state the number.
"""

_LOG_INTERVAL_S = 10
"""Shortest time between two log lines about unreadable entries."""

_OUTDATED = frozenset(
    {
        store_client.StoreFailureKind.EXPIRED,
        store_client.StoreFailureKind.OTHER_ERA,
    }
)
"""Failures after which all entries are read again."""

_LISTED_STATES = {
    False: server.ListedState.LIVE,
    True: server.ListedState.LEAVING,
}


class StoreInstanceList:
    """Instance list that is kept in two topics of the store.

    One topic has the announcements of entry instances, the other the entries
    of backend servers.

    Args:
        store: Client of the store; its creator starts and closes it.
        timeout_s: Longest time for a response, in seconds.
    """

    def __init__(
        self, store: store_client.StoreClient, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._store = store
        self._timeout_s = timeout_s
        self._instances = _TopicCache(
            store, store_client.INSTANCES_TOPIC, timeout_s, _decode_instance
        )
        self._servers = _TopicCache(
            store, store_client.SERVERS_TOPIC, timeout_s, _decode_server
        )

    async def fetch(self) -> instance.Announcements:
        """See `InstanceList.fetch`."""
        instances, servers = await self._fetch_both()
        if self._instances.era != self._servers.era:
            instances, servers = await self._fetch_both()
        if self._instances.era != self._servers.era:
            raise instance_list.InstanceListUnavailableError("eras differ")
        return instance.Announcements(instances, servers, self._servers.era)

    async def _fetch_both(
        self,
    ) -> tuple[
        tuple[instance.Announcement, ...], tuple[server.BackendServer, ...]
    ]:
        return await asyncio.gather(
            self._instances.fetch(), self._servers.fetch()
        )

    async def announce(self, entry: instance.EntryInstance) -> None:
        """See `InstanceList.announce`."""
        await self._write(entry.instance_id, msgspec.json.encode(entry))

    async def withdraw(self, instance_id: ids.InstanceId) -> None:
        """See `InstanceList.withdraw`."""
        await self._write(instance_id, b"")

    async def _write(self, instance_id: ids.InstanceId, value: bytes) -> None:
        result = await self._store.append(
            store_client.INSTANCES_TOPIC, instance_id, value, self._timeout_s
        )
        if isinstance(result, store_client.StoreFailure):
            raise instance_list.InstanceListUnavailableError(result.detail)


class _TopicCache(Generic[_Entry]):
    """Local copy of a topic with keys: the newest entry of each key.

    After the first fetch, only new records are read and decoded, unless they
    fill more than a page, the store no longer retains some of them or it came
    back from an older copy; then all entries are read again.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        timeout_s: Longest time for a response, in seconds.
        decode: Returns the entry in a record; None if the record deletes its
            key or is unreadable.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        topic: str,
        timeout_s: float,
        decode: Callable[[store_records.KeyedRecord], _Entry | None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._timeout_s = timeout_s
        self._decode = decode
        self._entries: dict[str, _Entry] = {}
        self._next_offset: int | None = None
        self._era = 0

    @property
    def era(self) -> int:
        """Era of the store in which the entries were read."""
        return self._era

    async def fetch(self) -> tuple[_Entry, ...]:
        """Updates the copy and returns its entries, sorted by key.

        Raises:
            InstanceListUnavailableError: The store gave no usable response.
        """
        if self._next_offset is None or not await self._read_changes(
            self._next_offset
        ):
            await self._reload()
        return tuple(self._entries[key] for key in sorted(self._entries))

    async def _read_changes(self, offset: int) -> bool:
        """Applies the records from an offset on.

        Returns:
            False if they have expired, if further ones follow the page that
            was read, or if the offset is of an older era.
        """
        if self._era < (self._store.era or 0):
            return False
        page = await self._store.read(self._topic, offset, 0.0, self._timeout_s)
        if isinstance(page, store_client.StoreFailure):
            if page.kind in _OUTDATED:
                return False
            raise instance_list.InstanceListUnavailableError(page.detail)
        if page.era != self._era:
            return False
        for record in page.records:
            self._apply(record)
        self._next_offset = page.next_offset
        return page.is_complete

    async def _reload(self) -> None:
        newest = await self._store.newest(self._topic, self._timeout_s)
        if isinstance(newest, store_client.StoreFailure):
            raise instance_list.InstanceListUnavailableError(newest.detail)
        if self._era and newest.era > self._era:
            logging.warning(
                "list: The store came back from an older copy of %s (era %d).",
                self._topic,
                newest.era,
            )
        self._era = newest.era
        self._entries.clear()
        for record in newest.records:
            self._apply(record)
        self._next_offset = newest.end

    def _apply(self, record: store_records.KeyedRecord) -> None:
        entry = self._decode(record)
        if entry is None:
            self._entries.pop(record.key, None)
        else:
            self._entries[record.key] = entry


def _decode_instance(
    record: store_records.KeyedRecord,
) -> instance.Announcement | None:
    if record.value is None:
        return None
    try:
        entry = msgspec.json.decode(record.value, type=instance.EntryInstance)
    except wire_values.MALFORMED_ERRORS as error:
        _log_unreadable(record.key, error)
        return None
    return instance.Announcement(
        entry, ids.LogOffset(record.offset), record.era
    )


def _decode_server(
    record: store_records.KeyedRecord,
) -> server.BackendServer | None:
    if record.value is None:
        return None
    try:
        entry = backend_wire.decode_entry(record.key, record.value)
    except wire_values.WireValueError as error:
        _log_unreadable(record.key, error)
        return None
    return server.BackendServer(
        server_id=ids.ServerId(entry.server_id),
        service=ids.ServiceName(entry.service),
        version=ids.SoftwareVersion(entry.version),
        data_centre=ids.DataCentre(entry.data_centre),
        host=entry.host,
        port=entry.port,
        slots=entry.slots,
        connections=_DEFAULT_MAX_CONNECTIONS,
        state=_LISTED_STATES[entry.is_draining],
    )


def _log_unreadable(key: str, error: Exception) -> None:
    logging.log_every_n_seconds(
        logging.WARNING,
        "list: The entry %s can not be read: %s.",
        _LOG_INTERVAL_S,
        key,
        error,
    )
