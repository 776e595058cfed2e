"""UsageService: stand-in for the platform's usage interface, with faults."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from aiohttp import web
import attrs
import msgspec

from magnoliacrank.platform import usage_client

if TYPE_CHECKING:
    from collections.abc import Callable


class UsageFault(enum.Enum):
    """Fault of the usage interface."""

    NONE = "none"
    """Calls are executed and answered."""

    DOWN = "down"
    """Calls are answered 503 and not executed."""

    THROTTLED = "throttled"
    """Calls are answered 429 and not executed."""

    SILENT = "silent"
    """Calls are neither executed nor answered."""

    LOST = "lost"
    """Calls are executed, then the connection is reset."""

    LATE = "late"
    """The connection is reset, and calls are executed later."""


@attrs.frozen
class UsageCall:
    """A call that was executed or refused because of its token."""

    time_s: float
    """Event loop time in seconds."""

    holder: str
    """Name of the instance that called."""

    token: int
    """Fencing token."""

    window: int
    """Number of the window."""

    counts: dict[str, int]
    """Number of requests by customer."""

    is_accepted: bool
    """Whether the call was accepted."""


class UsageService:
    """Usage interface of the platform, on a free loopback port.

    Args:
        time: Returns the time of calls in seconds.

    Attributes:
        fault: Current fault; tests may change it at any time.
        delay_s: Delay of each call in seconds.
        late_s: Seconds after which a call under `UsageFault.LATE` is executed.
        highest_token: Highest fencing token seen.
        calls: Executed and refused calls, in order.
        received: Number of calls received.
    """

    def __init__(self, time: Callable[[], float]) -> None:
        self.fault = UsageFault.NONE
        self.delay_s = 0.0
        self.late_s = 4.0
        self.highest_token = 0
        self.calls: list[UsageCall] = []
        self.received = 0
        self._time = time
        self._runner: web.AppRunner | None = None
        self._late_calls: set[asyncio.TimerHandle] = set()
        self._port = 0

    @property
    def address(self) -> tuple[str, int]:
        """Host and TCP port; valid once the service has started."""
        return "127.0.0.1", self._port

    async def start(self) -> None:
        """Starts listening."""
        application = web.Application()
        application.router.add_post(usage_client.PATH, self._on_report)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops listening and drops calls that are still to be executed."""
        for handle in self._late_calls:
            handle.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def accepted(self) -> dict[int, dict[str, int]]:
        """Counts of the accepted report of each window."""
        return {
            call.window: call.counts for call in self.calls if call.is_accepted
        }

    def violations(self, lease_s: float) -> list[str]:
        """Returns descriptions of the calls that no pair of holders may make.

        Args:
            lease_s: Time in seconds within which holders may not alternate.
        """
        found = []
        accepted = [call for call in self.calls if call.is_accepted]
        by_window: dict[int, dict[str, int]] = {}
        by_token: dict[int, str] = {}
        for call in accepted:
            if by_window.setdefault(call.window, call.counts) != call.counts:
                found.append(f"window {call.window} has two reports")
        for call in self.calls:
            if by_token.setdefault(call.token, call.holder) != call.holder:
                found.append(f"token {call.token} has two holders")
        for index, call in enumerate(accepted):
            for later in accepted[index + 1 :]:
                between = accepted[index + 1 : accepted.index(later)]
                if (
                    later.holder == call.holder
                    and later.time_s - call.time_s < lease_s
                    and any(item.holder != call.holder for item in between)
                ):
                    found.append(f"holders alternate at {later.time_s}")
        return found

    async def call(
        self, holder: str, token: int, content: bytes
    ) -> usage_client.UsageResult:
        """Handles one call, as a client would see it without a network."""
        self.received += 1
        await asyncio.sleep(self.delay_s)
        fault = self.fault
        if fault is UsageFault.SILENT:
            await asyncio.sleep(3600)
        if fault is UsageFault.LATE:
            loop = asyncio.get_running_loop()
            self._late_calls.add(
                loop.call_later(
                    self.late_s, self._execute, holder, token, content
                )
            )
        if fault in _RESULTS:
            return _RESULTS[fault]
        is_accepted = self._execute(holder, token, content)
        if fault is UsageFault.LOST:
            return usage_client.UsageResult.UNKNOWN
        if is_accepted:
            return usage_client.UsageResult.ACCEPTED
        return usage_client.UsageResult.FENCED

    def _execute(self, holder: str, token: int, content: bytes) -> bool:
        document = msgspec.json.decode(content)
        is_accepted = token >= self.highest_token
        self.highest_token = max(self.highest_token, token)
        self.calls.append(
            UsageCall(
                self._time(),
                holder,
                token,
                document[usage_client.WINDOW],
                document[usage_client.COUNTS],
                is_accepted,
            )
        )
        return is_accepted

    async def _on_report(self, request: web.Request) -> web.StreamResponse:
        result = await self.call(
            request.headers[usage_client.HOLDER],
            int(request.headers[usage_client.TOKEN]),
            await request.read(),
        )
        if result is usage_client.UsageResult.UNKNOWN:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        return web.Response(status=_STATUSES[result])


_RESULTS = {
    UsageFault.DOWN: usage_client.UsageResult.UNAVAILABLE,
    UsageFault.THROTTLED: usage_client.UsageResult.THROTTLED,
    UsageFault.LATE: usage_client.UsageResult.UNKNOWN,
}

_STATUSES = {
    usage_client.UsageResult.ACCEPTED: 200,
    usage_client.UsageResult.FENCED: 409,
    usage_client.UsageResult.THROTTLED: 429,
    usage_client.UsageResult.UNAVAILABLE: 503,
}
