"""Counts the bytes sent on the TCP connections of this process.

The counts come from the TCP_INFO socket option of Linux.
"""

from __future__ import annotations

import os
import socket
import struct

import attrs

_SEGMENTS_OUT_OFFSET = 136
_BYTES_SENT_OFFSET = 200
_TCP_INFO_BYTES = 208
_HEADER_BYTES = 52


@attrs.frozen
class TcpCounters:
    """Sums over the TCP connections that this process has open."""

    payload_bytes: int
    """Bytes sent, without headers."""

    segments: int
    """Segments sent, those without payload included."""

    connections: int
    """Open sockets; a connection within this process counts as two."""

    @property
    def total_bytes(self) -> int:
        """Bytes sent, including the headers of TCP and IPv4."""
        return self.payload_bytes + _HEADER_BYTES * self.segments


def read_tcp_counters() -> TcpCounters:
    """Returns the sums over all connections that are open now."""
    payload_bytes = segments = connections = 0
    for name in os.listdir("/proc/self/fd"):
        info = _read_info(int(name))
        if info is None:
            continue
        connections += 1
        payload_bytes += struct.unpack_from("Q", info, _BYTES_SENT_OFFSET)[0]
        segments += struct.unpack_from("I", info, _SEGMENTS_OUT_OFFSET)[0]
    return TcpCounters(payload_bytes, segments, connections)


def _read_info(descriptor: int) -> bytes | None:
    try:
        one = socket.socket(fileno=descriptor)
    except OSError:
        return None
    try:
        one.getpeername()
        return one.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        return None
    finally:
        one.detach()
