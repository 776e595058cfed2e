"""HeartbeatLink: heartbeats between instances as datagrams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from magnoliacrank.entry import heartbeat
from magnoliacrank.entry import owned_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.policy import crew_roster

OFTEN_S = 0.2
"""Interval of the crew's heartbeats; `CREW_SILENCE_S` spans three."""

SELDOM_S = 1.0
"""Interval of all other heartbeats."""


class HeartbeatSource(Protocol):
    """Where the contents of heartbeats come from and go to."""

    def next_heartbeat(self) -> heartbeat.Heartbeat:
        """Returns the heartbeat to send now."""

    def on_heartbeat(self, beat: heartbeat.Heartbeat) -> None:
        """Takes in a heartbeat of another instance."""


class HeartbeatLink(asyncio.DatagramProtocol):
    """Sends and receives heartbeats; owns the socket.

    Args:
        ip: IP address of this instance.
        port: UDP port, the same on all instances.
        roster: Instances to which heartbeats go.
        source: Contents of heartbeats.
        log: Where faults are logged.
        clock: Seconds that go on while the machine is suspended.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        roster: crew_roster.CrewRoster,
        source: HeartbeatSource,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._ip = ip
        self._port = port
        self._roster = roster
        self._source = source
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Binds the socket and begins to send.

        Raises:
            OSError: The port can't be bound.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._ip, self._port)
        )
        self._transport = transport
        self._task = owned_task.spawn_loop(self._run, "heartbeats", self._log)

    async def close(self) -> None:
        """Stops sending and closes the socket."""
        await owned_task.stop(self._task)
        if self._transport is not None:
            self._transport.close()

    def send_now(self) -> None:
        """Sends a heartbeat at the next turn of the event loop."""
        self._wake.set()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """A datagram arrived."""
        del addr
        beat = heartbeat.decode(data)
        if beat is not None:
            self._source.on_heartbeat(beat)

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be delivered; silence tells the rest."""
        del exc

    async def _run(self) -> None:
        number = 0
        while True:
            self._wake.clear()
            beat = self._source.next_heartbeat()
            data = heartbeat.encode(beat)
            for ip in self._roster.recipients(number, self._clock()):
                self._send(data, ip)
            interval_s = OFTEN_S if beat.fact.is_frequent else SELDOM_S
            try:
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()
                number = 0
            except TimeoutError:
                number += 1

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (ip, self._port))
