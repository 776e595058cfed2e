"""SampleTap: passes the outcomes of dispatches on, to evaluate rollouts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from magnoliacrank.model import ids


class SampleListener(Protocol):
    """Compares the software versions of a service by their samples."""

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
        """Records the outcome of one dispatched request.

        Args:
            service: Service of the request.
            route: Name of the request's route.
            version: Software version of the backend server.
            latency_s: Latency in seconds, counted from the dispatch.
            ok: Whether the server answered the request without a failure.
            is_cold: Whether the server has just started and is warming up.
        """


class SampleTap:
    """Passes samples to a listener; drops them until one is set."""

    def __init__(self) -> None:
        self.listener: SampleListener | None = None
        """Receiver of the samples, or None."""

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
        """Passes the outcome of one dispatched request to the listener.

        Args:
            service: Service of the request.
            route: Name of the request's route.
            version: Software version of the backend server.
            latency_s: Latency in seconds, counted from the dispatch.
            is_ok: Whether the server answered the request without a failure.
            is_cold: Whether the server has just started and is warming up.
        """
        if self.listener is not None:
            self.listener.on_sample(
                service, route, version, latency_s, is_ok, is_cold=is_cold
            )
