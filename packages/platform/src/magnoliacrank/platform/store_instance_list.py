"""StoreInstanceList: the instance list in the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

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
    from magnoliacrank.platform import store_records

_TIMEOUT_S = 2.0
"""Longest time for an answer of the store."""

_CONNECTIONS = 200
"""Connections that a server bears in sum; its entry does not tell."""

_LOG_PERIOD_S = 10
"""Least time between two log lines about unreadable entries."""

_LISTED_STATES = {
    False: server.ListedState.LIVE,
    True: server.ListedState.LEAVING,
}


class StoreInstanceList:
    """Reads and writes the keyed topics of instances and backend servers.

    Args:
        store: Client of the store; whoever made it starts and closes it.
        timeout_s: Longest time for an answer, in seconds.
    """

    def __init__(
        self, store: store_client.StoreClient, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._store = store
        self._timeout_s = timeout_s

    async def fetch(self) -> instance.Announcements:
        """See `InstanceList.fetch`."""
        instances, servers = await asyncio.gather(
            self._newest(store_client.INSTANCES_TOPIC),
            self._newest(store_client.SERVERS_TOPIC),
        )
        return instance.Announcements(
            instances=tuple(filter(None, map(_decode_instance, instances))),
            servers=tuple(filter(None, map(_decode_server, servers))),
        )

    async def announce(self, entry: instance.EntryInstance) -> None:
        """See `InstanceList.announce`."""
        await self._write(entry.instance_id, msgspec.json.encode(entry))

    async def withdraw(self, instance_id: ids.InstanceId) -> None:
        """See `InstanceList.withdraw`."""
        await self._write(instance_id, b"")

    async def _newest(
        self, topic: str
    ) -> tuple[store_records.KeyedRecord, ...]:
        newest = await self._store.newest(topic, self._timeout_s)
        if isinstance(newest, store_client.StoreFailure):
            raise instance_list.InstanceListUnavailableError(newest.detail)
        return newest.records

    async def _write(self, instance_id: ids.InstanceId, value: bytes) -> None:
        result = await self._store.append(
            store_client.INSTANCES_TOPIC, instance_id, value, self._timeout_s
        )
        if isinstance(result, store_client.StoreFailure):
            raise instance_list.InstanceListUnavailableError(result.detail)


def _decode_instance(
    record: store_records.KeyedRecord,
) -> instance.Announcement | None:
    if record.value is None:
        return None
    try:
        entry = msgspec.json.decode(record.value, type=instance.EntryInstance)
    except ValueError as error:
        _log_unreadable(record.key, error)
        return None
    return instance.Announcement(entry, ids.LogOffset(record.offset))


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
        connections=_CONNECTIONS,
        state=_LISTED_STATES[entry.is_draining],
    )


def _log_unreadable(key: str, error: ValueError) -> None:
    logging.log_every_n_seconds(
        logging.WARNING,
        "list: The entry %s can not be read: %s.",
        _LOG_PERIOD_S,
        key,
        error,
    )
