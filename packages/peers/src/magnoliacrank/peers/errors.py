"""Errors of calls between entry instances."""

from __future__ import annotations

import enum

import attrs


class CallFailure(enum.Enum):
    """Why a call to another instance failed."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, or an open one broke."""

    TIMEOUT = "timeout"
    """No response came before the deadline of the call."""

    WRONG_RECIPIENT = "wrong-recipient"
    """A different instance is listening at this address."""

    REFUSED = "refused"
    """The other instance responded with any other gRPC error status."""


@attrs.frozen
class PeerCallError(Exception):
    """A call to another instance failed."""

    failure: CallFailure
    """Why the call failed."""

    detail: str
    """Error message of gRPC, possibly empty."""

    def __str__(self) -> str:
        return f"{self.failure.value}: {self.detail}"


@attrs.frozen
class PeerBindError(Exception):
    """The port for calls from other instances could not be bound."""

    host: str
    """IP address that was to be bound."""

    port: int
    """TCP port that was to be bound."""

    def __str__(self) -> str:
        return f"cannot listen on {self.host}:{self.port}"
