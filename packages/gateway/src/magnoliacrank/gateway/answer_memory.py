"""AnswerMemory: limits the memory for buffered answers."""

from __future__ import annotations


class AnswerMemory:
    """Counts the answer bytes that one instance holds, against a limit.

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
