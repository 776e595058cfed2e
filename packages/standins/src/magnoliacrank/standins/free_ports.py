"""Finds free loopback ports for processes that need fixed port numbers."""

from __future__ import annotations

import random
import socket

_PORTS = range(15_000, 32_000)
"""Ports below those that the system gives to outgoing connections, which might
take a port between this search and its use."""

_RNG = random.SystemRandom()


def find(count: int) -> list[int]:
    """Returns TCP ports that were free at the time of the call.

    Another process that listens may take a port before it is used.

    Args:
        count: Number of ports.
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            candidate = socket.socket()
            try:
                candidate.bind(("127.0.0.1", _RNG.choice(_PORTS)))
            except OSError:
                candidate.close()
                continue
            sockets.append(candidate)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
