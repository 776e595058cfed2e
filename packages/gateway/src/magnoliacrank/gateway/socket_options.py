"""Socket options of connections to backend servers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_KEEPALIVE_IDLE_S = 2
"""Time without traffic before the first TCP keepalive probe."""

_KEEPALIVE_INTERVAL_S = 1
"""Time between two TCP keepalive probes."""

_KEEPALIVE_PROBES = 2
"""Unacknowledged TCP keepalive probes after which a connection is closed."""

_USER_TIMEOUT_MS = 4000
"""Time that sent bytes may be unacknowledged before a connection is closed."""

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


def has_pending_error(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel holds an error, such as a reset, of a connection.

    Reading the error clears it.

    Args:
        transport: Transport of the TCP connection.
    """
    connection = transport.get_extra_info("socket")
    try:
        pending = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError:
        return True
    return bool(pending)


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel close a connection whose peer acknowledges nothing.

    Args:
        transport: Transport of the TCP connection.
    """
    connection = transport.get_extra_info("socket")
    for level, option, value in _OPTIONS:
        connection.setsockopt(level, option, value)
