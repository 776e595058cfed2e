"""Finds ports on loopback for processes that are told their ports."""

from __future__ import annotations

import socket


def find(count: int) -> list[int]:
    """Returns ports of which none was in use a moment ago.

    Args:
        count: How many.
    """
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
