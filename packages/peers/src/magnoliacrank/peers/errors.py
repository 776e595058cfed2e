"""Errors of calls between entry instances."""

from __future__ import annotations

import enum

import attrs


class CallFailure(enum.Enum):
    """Why a call to another instance gave no answer."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, or it broke."""

    TIMEOUT = "timeout"
    """No answer came within the deadline of the call."""

    WRONG_RECIPIENT = "wrong-recipient"
    """Another instance answers at this address."""

    REFUSED = "refused"
    """The other instance answered with an error."""


@attrs.frozen
class PeerCallError(Exception):
    """A call to another instance gave no answer."""

    failure: CallFailure
    """Why there is no answer."""

    detail: str
    """What the transport said."""

    def __str__(self) -> str:
        return f"{self.failure.value}: {self.detail}"


@attrs.frozen
class PeerBindError(Exception):
    """The port for other instances could not be bound."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    def __str__(self) -> str:
        return f"cannot listen on {self.host}:{self.port}"
