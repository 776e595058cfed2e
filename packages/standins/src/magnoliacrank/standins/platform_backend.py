"""PlatformBackend: stand-in for a backend server on the users' platform."""

from __future__ import annotations

import asyncio
import enum
import json
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Mapping

HEALTH_PATH = "/health"
"""Path of the health check, whose answer also reports the load."""


class BackendFault(enum.Enum):
    """Fault of a backend server."""

    NONE = "none"
    """The server works."""

    SHED = "shed"
    """The server refuses requests and states that it did not run them."""

    FAIL = "fail"
    """The server runs the request and answers 500."""

    UNSTATED = "unstated"
    """The server runs the request and answers 503 without a signature or a
    statement whether the request ran."""

    UNSIGNED = "unsigned"
    """The server runs the request and answers 200 without its signature."""

    LOSE = "lose"
    """The server runs the request and resets the connection."""

    HANG = "hang"
    """The server records the request as run but doesn't answer."""


class PlatformBackend:
    """A backend server of the users' platform, on a free loopback port.

    Args:
        server_id: Name of the server.
        service: Service that the server belongs to.
        data_centre: Data centre that the server reports.
        version: Software version that the server reports.
        slots: Number of slots that the server reports.

    Attributes:
        fault: Current fault; tests may change it at any time.
        work_s: Seconds that each request takes.
        refusal_s: Seconds after which a request is refused under `SHED`.
        slowdown: Reported service time in percent of the usual; 100 is usual.
        warmup_remaining_s: Reported time until the server is warm, in seconds.
        is_healthy: Whether the health check answers 200.
        reports_load: Whether answers report the load.
        padding_bytes: Number of bytes added to each answer's body.
        state: State that the server reports in its store record.
        runs: Request ids of the requests that were run.
        received_headers: Headers of the requests that were run.
        received_bodies: Bodies of the requests that were run.
        health_request_count: Number of health requests received.
        refused_count: Number of requests refused under `SHED`, or about to be.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str = "a",
        version: str = "v1",
        slots: int = 4,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.data_centre = data_centre
        self.version = version
        self.slots = slots
        self.fault = BackendFault.NONE
        self.work_s = 0.005
        self.refusal_s = 0.0
        self.slowdown = 100
        self.warmup_remaining_s = 0.0
        self.is_healthy = True
        self.reports_load = True
        self.padding_bytes = 0
        self.state = "ready"
        self.runs: list[str] = []
        self.received_headers: list[Mapping[str, str]] = []
        self.received_bodies: list[bytes] = []
        self.health_request_count = 0
        self.refused_count = 0
        self._running = 0
        self._port = 0
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port; 0 before `start`."""
        return self._port

    def store_record(self) -> bytes:
        """Returns the record with which the server registers in the store."""
        return json.dumps(
            {
                "address": f"127.0.0.1:{self._port}",
                "born": 1_000,
                "info": {
                    "service": self.service,
                    "version": self.version,
                    "zone": self.data_centre,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "seq": 1,
                    "warmup-left": f"{round(self.warmup_remaining_s * 1000)}ms",
                },
            }
        ).encode()

    async def start(self) -> None:
        """Starts listening; a restart uses the same port as before."""
        application = web.Application()
        application.router.add_get(HEALTH_PATH, self._on_health)
        application.router.add_route("*", "/{path:.*}", self._on_request)
        self._runner = web.AppRunner(
            application, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _load(self) -> dict[str, str]:
        if not self.reports_load:
            return {}
        load = f"{self._running},0,{self.slots},{self.slowdown}"
        return {"Server-Load": load}

    async def _on_health(self, _: web.Request) -> web.StreamResponse:
        self.health_request_count += 1
        headers = {"Instance-Id": self.server_id, **self._load()}
        if self.warmup_remaining_s:
            headers["Warmup-Remaining"] = (
                f"{round(self.warmup_remaining_s * 1000)}ms"
            )
        status = 200 if self.is_healthy else 503
        return web.Response(status=status, headers=headers)

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        headers = {"Request-Id": request_id, **self._load()}
        expected = request.headers.get("Target-Instance", self.server_id)
        if expected != self.server_id:
            headers["Instance-Id"] = self.server_id
            return web.Response(status=421, headers=headers)
        if self.fault is BackendFault.SHED:
            self.refused_count += 1
            await asyncio.sleep(self.refusal_s)
            return web.Response(
                status=503, headers={**headers, "Not-Executed": "1"}
            )
        self.runs.append(request_id)
        self.received_headers.append(request.headers)
        self.received_bodies.append(body)
        return await self._run(request, headers)

    async def _run(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        self._running += 1
        try:
            if self.fault is BackendFault.HANG:
                await asyncio.sleep(3600)
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self.fault is BackendFault.LOSE:
            assert request.transport is not None
            request.transport.abort()
        status = 200
        if self.fault is BackendFault.FAIL:
            status = 500
        elif self.fault is BackendFault.UNSTATED:
            status = 503
        if self.fault not in (BackendFault.UNSIGNED, BackendFault.UNSTATED):
            headers["Response-Signature"] = "signed"
        content = self.server_id.encode() + b"." * self.padding_bytes
        return web.Response(status=status, headers=headers, body=content)
