"""SampleTap: passes the outcomes of dispatches on to who judges versions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import ids


class SampleListener(Protocol):
    """Who judges the versions of a service."""

    def on_sample(
        self,
        service: ids.ServiceName,
        route: str,
        version: ids.SoftwareVersion,
        latency_s: float,
        ok: bool,  # noqa: FBT001 - one sample, in the order of its fields
        *,
        is_cold: bool = False,
    ) -> None:
        """Takes the outcome of one dispatched request."""


class SampleTap:
    """Passes samples on once there is a listener."""

    def __init__(self) -> None:
        self.listener: SampleListener | None = None
        """Who takes the samples, or None."""

    def on_sample(
        self,
        service: ids.ServiceName,
        route: str,
        version: ids.SoftwareVersion,
        latency_s: float,
        *,
        is_ok: bool,
        is_cold: bool,
    ) -> None:
        """Passes the outcome of one dispatched request on.

        Args:
            service: Service of the request.
            route: Route of the request.
            version: Software version of the backend server.
            latency_s: Seconds from dispatch to the end.
            is_ok: Whether the server served it.
            is_cold: Whether the server was cold.
        """
        if self.listener is not None:
            self.listener.on_sample(
                service, route, version, latency_s, is_ok, is_cold=is_cold
            )
