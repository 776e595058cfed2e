"""Opens a listening socket ahead of the server that accepts from it.

Load pattern: all instances restart at once while callers go on connecting. A
caller whose connection is refused has failed; one whose connection waits in
the socket's queue is served as soon as the process has finished starting.

This module is loaded before the other parts of the gateway, so it imports none
of them.
"""

from __future__ import annotations

import socket

BACKLOG = 1024
"""Connections that may wait for the server to accept them."""


def open_listener(host: str, port: int) -> socket.socket:
    """Returns a socket on which callers can already connect.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 lets the system choose one.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG)
