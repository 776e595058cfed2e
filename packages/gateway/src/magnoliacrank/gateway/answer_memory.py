"""AnswerMemory: bytes of answers that may be held at once."""

from __future__ import annotations


class AnswerMemory:
    """A bound that the answers of one instance share.

    Args:
        limit_bytes: Bytes that may be held at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._held_bytes

    def try_take(self, size: int) -> bool:
        """Takes room for bytes, if there is some.

        Args:
            size: Number of bytes.
        """
        if self._held_bytes + size > self._limit_bytes:
            return False
        self._held_bytes += size
        return True

    def hold(self, size: int) -> None:
        """Counts bytes that are held already, beyond the limit if need be.

        Args:
            size: Number of bytes.
        """
        self._held_bytes += size

    def release(self, size: int) -> None:
        """Gives room back.

        Args:
            size: Number of bytes.
        """
        self._held_bytes -= size
