"""Options of sockets towards backend servers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 4000

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


def notice_lost_peer(transport: asyncio.BaseTransport) -> None:
    """Makes the system close a connection whose peer acknowledges nothing.

    Args:
        transport: A TCP transport.
    """
    connection = transport.get_extra_info("socket")
    for level, option, value in _OPTIONS:
        connection.setsockopt(level, option, value)
