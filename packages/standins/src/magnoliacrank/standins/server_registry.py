"""ServerRegistry: registers backend servers in the stand-in of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from magnoliacrank.model import server

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.standins import platform_store

_TOPIC = "keyed.servers"

_STATES = {
    server.ListedState.LIVE: "ready",
    server.ListedState.LEAVING: "draining",
}


class ServerRegistry:
    """Writes the registrations of backend servers to the store stand-in.

    Args:
        store: Store stand-in that holds the registrations.
    """

    def __init__(self, store: platform_store.PlatformStore) -> None:
        self._store = store
        self._sequence = 0

    def put(self, entry: server.BackendServer) -> None:
        """Registers a server, or replaces its registration."""
        self._sequence += 1
        fields = {
            "address": f"{entry.host}:{entry.port}",
            "born": 1,
            "info": {
                "service": entry.service,
                "version": entry.version,
                "zone": entry.data_centre,
                "slots": entry.slots,
            },
            "status": {
                "state": _STATES[entry.state],
                "seq": self._sequence,
                "warmup-left": "0ms",
            },
        }
        self._store.put(_TOPIC, entry.server_id, json.dumps(fields).encode())

    def remove(self, server_id: ids.ServerId) -> None:
        """Removes the registration of a server."""
        self._store.delete(_TOPIC, server_id)
