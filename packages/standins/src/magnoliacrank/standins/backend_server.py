"""HTTP stand-in for a backend server, with slots, cold starts and faults."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from typing import TYPE_CHECKING
from typing import NoReturn

from aiohttp import web
import attrs
import msgspec

from magnoliacrank.model import headers as header_names
from magnoliacrank.model import ids
from magnoliacrank.model import server
from magnoliacrank.standins import backend_server_settings
from magnoliacrank.standins import execution_journal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEALTH_PATH = "/health"
"""Path of the health check: answers 200, or 503 while the server drains."""

LOAD_PATH = "/load"
"""Path that answers the server's load report as JSON."""

CRASH_HEADER = "Standin-Crash"
"""Request header that makes the server crash when it runs the request."""

BYTES_PARAMETER = "bytes"
"""Query parameter that sets the size of the answer's body in bytes."""

_SHUTDOWN_TIMEOUT_S = 0.1
_MAX_BODY_BYTES = 1 << 30
_CHUNK_BYTES = 65536
_SERVER_ERROR = 500
_UNAVAILABLE = 503

ExecutionState = execution_journal.ExecutionState


class BackendServer:
    """A backend server on a real socket, controlled by calls in its process.

    Args:
        settings: Capacity and timing of the server.
        journal: Records the executions; may be shared by all servers of a
            service. None creates one for this server.

    Attributes:
        faults: Faults that tests switch on and off while the server runs.
        crashes: Number of crashes.
        peak_running: Maximum number of requests that ran at the same time.
        peak_cold_running: Maximum number of requests that ran at the same time
            while cold.
        measurements: Number of health and load requests received.
        shed_requests: Number of requests refused without being run.
    """

    def __init__(
        self,
        settings: backend_server_settings.BackendServerSettings,
        journal: execution_journal.ExecutionJournal | None = None,
    ) -> None:
        self._settings = settings
        self._journal = journal or execution_journal.ExecutionJournal()
        self._runner: web.AppRunner | None = None
        self._slots = asyncio.Semaphore(settings.slots)
        self._port = 0
        self._running = 0
        self._queued = 0
        self._incarnation = 0
        self._requests_since_cold = 0
        self._is_draining = False
        self._silent_connections: set[object] = set()
        self._crash_task: asyncio.Task[None] | None = None
        self.faults = backend_server_settings.BackendServerFaults()
        self.crashes = 0
        self.peak_running = 0
        self.peak_cold_running = 0
        self.measurements = 0
        self.shed_requests = 0

    @property
    def settings(self) -> backend_server_settings.BackendServerSettings:
        """Capacity and timing of the server."""
        return self._settings

    @property
    def journal(self) -> execution_journal.ExecutionJournal:
        """Executions of requests by this server, or by all that share it."""
        return self._journal

    @property
    def port(self) -> int:
        """TCP port; 0 before the first start, unchanged after a crash."""
        return self._port

    @property
    def incarnation(self) -> int:
        """Number of times the server has been started."""
        return self._incarnation

    @property
    def in_flight(self) -> int:
        """Number of requests that are running or queued."""
        return self._running + self._queued

    @property
    def is_up(self) -> bool:
        """Whether the server is listening."""
        return self._runner is not None

    @property
    def is_cold(self) -> bool:
        """Whether the server is still warming up, with its lower cold limit."""
        return self._requests_since_cold < self._settings.cold_requests

    @property
    def listed(self) -> server.BackendServer:
        """The server as it is listed by the platform."""
        settings = self._settings
        is_leaving = self._is_draining
        return server.BackendServer(
            server_id=ids.ServerId(settings.server_id),
            service=ids.ServiceName(settings.service),
            version=ids.SoftwareVersion(settings.version),
            data_centre=ids.DataCentre(settings.data_centre),
            host=settings.host,
            port=self._port,
            slots=settings.slots,
            connections=settings.connections,
            state=(
                server.ListedState.LEAVING
                if is_leaving
                else server.ListedState.LIVE
            ),
        )

    async def start(self) -> None:
        """Starts the server cold; a restart uses the same port as before."""
        settings = self._settings
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_get(HEALTH_PATH, self._on_health)
        app.router.add_get(LOAD_PATH, self._on_load)
        app.router.add_route("*", "/{path:.*}", self._on_request)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, settings.host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]
        self._incarnation += 1
        self._requests_since_cold = 0
        self._is_draining = False
        self._slots = asyncio.Semaphore(settings.slots)

    async def close(self) -> None:
        """Stops the server and cancels the requests in flight."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()
        self._silent_connections.clear()
        crash = self._crash_task
        if crash is not None and crash is not asyncio.current_task():
            await crash

    async def crash(self) -> None:
        """Resets every connection and stops listening."""
        self.crashes += 1
        self._reset_connections()
        await self.close()

    def become_cold(self) -> None:
        """Makes a warm server cold again; no restart shows this to others."""
        self._requests_since_cold = 0

    def become_warm(self) -> None:
        """Makes the server warm immediately."""
        self._requests_since_cold = self._settings.cold_requests

    def drain(self) -> None:
        """Refuses new requests as not run; those in flight are finished."""
        self._is_draining = True

    def silence_connections(self) -> int:
        """Stops answering on all connections that are open now, for good.

        New connections work as usual.

        Returns:
            The number of connections silenced.
        """
        if self._runner is None or self._runner.server is None:
            return 0
        connections = self._runner.server.connections
        self._silent_connections.update(connections)
        return len(connections)

    def _reset_connections(self) -> None:
        if self._runner is None or self._runner.server is None:
            return
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _on_health(self, request: web.Request) -> web.Response:
        self.measurements += 1
        await self._block_if_silent(request)
        status = _UNAVAILABLE if self._is_draining else 200
        return web.Response(status=status, headers=self._load_headers())

    async def _on_load(self, request: web.Request) -> web.Response:
        self.measurements += 1
        await self._block_if_silent(request)
        return web.json_response(
            attrs.asdict(self._report()), headers=self._load_headers()
        )

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        await self._block_if_silent(request)
        if self._must_shed():
            return self._shed_response()
        try:
            async with self._slot(request):
                return await self._run(request)
        except TimeoutError:
            return self._shed_response()

    def _must_shed(self) -> bool:
        return (
            self.faults.shed
            or self._is_draining
            or self._queued >= self._settings.queue_limit
        )

    @contextlib.asynccontextmanager
    async def _slot(self, request: web.Request) -> AsyncIterator[None]:
        """Waits for a slot and holds it during the block.

        Raises:
            TimeoutError: The deadline of the request passed before a slot was
                free.
        """
        deadline_ms = request.headers.get(header_names.DEADLINE_MS)
        wait_s = None if deadline_ms is None else float(deadline_ms) / 1000.0
        slots = self._slots
        self._queued += 1
        try:
            async with asyncio.timeout(wait_s):
                await slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            slots.release()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        execution = execution_journal.Execution(
            server_id=self._settings.server_id,
            method=request.method,
            target=request.raw_path,
            key=request.headers.get(header_names.KEY),
            started_s=time.monotonic(),
        )
        self._journal.begin(execution)
        try:
            response = await self._execute(request, execution)
        except (asyncio.CancelledError, ConnectionError):
            if execution.state is ExecutionState.RUNNING:
                execution.state = ExecutionState.CANCELLED
            raise
        execution.state = ExecutionState.FINISHED
        return response

    async def _execute(
        self, request: web.Request, execution: execution_journal.Execution
    ) -> web.StreamResponse:
        self._update_peaks()
        if CRASH_HEADER in request.headers or self._exceeds_cold_limit():
            execution.state = ExecutionState.CRASHED
            await self._crash_within_request()
        digest, size = await _read_body(request)
        if self._must_fail(request):
            return web.Response(
                status=_SERVER_ERROR, headers=self._load_headers()
            )
        service_time_s = self._service_time_s()
        if service_time_s > 0:
            await asyncio.sleep(service_time_s)
        self._requests_since_cold += 1
        if self.faults.lost_answers:
            execution.state = ExecutionState.FINISHED
            await self._reset_connection_of(request)
        return await self._answer(request, digest, size)

    def _update_peaks(self) -> None:
        self.peak_running = max(self.peak_running, self._running)
        if self.is_cold:
            self.peak_cold_running = max(self.peak_cold_running, self._running)

    def _exceeds_cold_limit(self) -> bool:
        """Whether a cold server runs more requests than its cold limit."""
        return self.is_cold and self._running > self._settings.cold_limit

    async def _crash_within_request(self) -> NoReturn:
        self._reset_connections()
        if self._crash_task is None or self._crash_task.done():
            self._crash_task = asyncio.ensure_future(self.crash())
        await _wait_for_cancellation()

    def _must_fail(self, request: web.Request) -> bool:
        target = self.faults.fail_target
        if not self.faults.fail:
            return False
        return target is None or request.raw_path.startswith(target)

    def _service_time_s(self) -> float:
        factor = self._settings.cold_factor if self.is_cold else 1.0
        return self._settings.service_time_s * factor * self.faults.slow_factor

    async def _answer(
        self, request: web.Request, digest: str, size: int
    ) -> web.StreamResponse:
        headers = self._load_headers()
        content = self._answer_body(request, digest, size)
        if self.faults.truncate:
            return await self._send_truncated(request, content)
        return web.Response(
            body=content, headers=headers, content_type="application/json"
        )

    def _answer_body(
        self, request: web.Request, digest: str, size: int
    ) -> bytes:
        wanted = request.query.get(BYTES_PARAMETER)
        if wanted is not None:
            return b"x" * int(wanted)
        return msgspec.json.encode(
            {
                "server": self._settings.server_id,
                "version": self._settings.version,
                "method": request.method,
                "target": request.raw_path,
                "key": request.headers.get(header_names.KEY),
                "body_bytes": size,
                "body_sha256": digest,
            }
        )

    async def _send_truncated(
        self, request: web.Request, content: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._load_headers())
        response.content_length = len(content)
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def _reset_connection_of(self, request: web.Request) -> NoReturn:
        if request.transport is not None:
            request.transport.abort()
        await _wait_for_cancellation()

    def _shed_response(self) -> web.Response:
        self.shed_requests += 1
        headers = self._load_headers()
        headers[header_names.NOT_RUN] = "1"
        return web.Response(status=_UNAVAILABLE, headers=headers)

    def _report(self) -> server.LoadReport:
        reported = self.faults.reported_in_flight
        settings = self._settings
        return server.LoadReport(
            in_flight=self._running if reported is None else reported,
            queued=self._queued if reported is None else 0,
            incarnation=self._incarnation,
            limit=settings.cold_limit if self.is_cold else settings.slots,
        )

    def _load_headers(self) -> dict[str, str]:
        report = self._report()
        return {
            header_names.LOAD: (
                f"in_flight={report.in_flight};queued={report.queued};"
                f"incarnation={report.incarnation};limit={report.limit}"
            )
        }

    async def _block_if_silent(self, request: web.Request) -> None:
        """Waits until cancelled if the connection has been silenced."""
        if request.protocol in self._silent_connections:
            await _wait_for_cancellation()


async def _wait_for_cancellation() -> NoReturn:
    """Waits until the request is cancelled by the end of its connection."""
    while True:
        await asyncio.get_running_loop().create_future()


async def _read_body(request: web.Request) -> tuple[str, int]:
    digest = hashlib.sha256()
    size = 0
    async for chunk in request.content.iter_chunked(_CHUNK_BYTES):
        digest.update(chunk)
        size += len(chunk)
    return digest.hexdigest(), size
