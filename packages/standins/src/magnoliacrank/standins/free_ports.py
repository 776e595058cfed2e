"""Finds free loopback ports for processes that need fixed port numbers."""

from __future__ import annotations

import socket


def find(count: int) -> list[int]:
    """Returns TCP ports that were free at the time of the call.

    Another process may take a port before it is used.

    Args:
        count: Number of ports.
    """
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
