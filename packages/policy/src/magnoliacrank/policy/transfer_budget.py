"""TransferBudget: limits the bytes that one instance or server holds.

Load pattern: callers send large bodies slowly or read large answers slowly, so
that many transfers are in memory at once. Bytes are counted as they arrive. New
requests are refused while answers take up most of their memory: nothing of them
has run yet, and what remains is left for the answers of requests that run.
"""

from __future__ import annotations

BODY_MEMORY_SHARE = 0.2
"""Share of an instance's memory for request bodies. Each body is in memory up
to twice: in chunks and joined."""

ANSWER_MEMORY_SHARE = 0.1
"""Share of an instance's memory for answers. Each answer is in memory up to
twice: in chunks and joined."""

_ADMISSION_SHARE = 0.5
"""Share of the memory for answers up to which new requests are accepted. The
rest is for answers to requests that servers already run."""

_SERVER_BYTES = 16 << 20
"""Bytes of request bodies that this instance sends to one server at a time. A
server may crash when the requests that it holds exceed its memory."""


class TransferBudget:
    """Counts the bytes that are held for transfers, against a limit.

    Args:
        limit_bytes: Largest number of bytes held at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes held at present."""
        return self._held_bytes

    def accepts_request(self, expected_bytes: int) -> bool:
        """Whether a new request may be accepted.

        Args:
            expected_bytes: Expected size of its answer. Counts only beside
                other answers, so that a large one alone is accepted.
        """
        if not self._held_bytes:
            return True
        expected_held = self._held_bytes + expected_bytes
        return expected_held <= self._limit_bytes * _ADMISSION_SHARE

    def try_take(self, size: int) -> bool:
        """Reserves bytes if they fit within the limit.

        Args:
            size: Number of bytes.

        Returns:
            Whether the bytes were reserved.
        """
        if self._held_bytes + size > self._limit_bytes:
            return False
        self._held_bytes += size
        return True

    def hold(self, size: int) -> None:
        """Counts bytes that are in memory already, even beyond the limit.

        Args:
            size: Number of bytes.
        """
        self._held_bytes += size

    def release(self, size: int) -> None:
        """Releases bytes that were reserved or counted before.

        Args:
            size: Number of bytes.
        """
        self._held_bytes -= size


class Reservation:
    """Bytes of a budget that belong to one transfer and grow with it.

    Args:
        budget: Budget that the bytes are taken from.
    """

    def __init__(self, budget: TransferBudget) -> None:
        self._budget = budget
        self._size = 0

    def try_grow(self, size: int) -> bool:
        """Reserves further bytes if they fit; returns whether they did.

        Args:
            size: Number of further bytes.
        """
        if not self._budget.try_take(size):
            return False
        self._size += size
        return True

    def release(self) -> None:
        """Releases all bytes; may be called again."""
        self._budget.release(self._size)
        self._size = 0


def fits_server(in_flight_bytes: int, size: int) -> bool:
    """Whether a server may get a further request body.

    A server without a body in flight may get one of any size.

    Args:
        in_flight_bytes: Bytes of bodies that this instance has sent to the
            server in requests that have not ended.
        size: Size of the further body in bytes.
    """
    if not size or not in_flight_bytes:
        return True
    return in_flight_bytes + size <= _SERVER_BYTES
