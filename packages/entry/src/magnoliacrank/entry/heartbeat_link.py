"""HeartbeatLink: sends and receives heartbeats of instances over UDP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.entry import heartbeat
from magnoliacrank.entry import owned_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import event_log
    from magnoliacrank.policy import instance_roster
    from magnoliacrank.policy import mesh_protocol


class HeartbeatSource(Protocol):
    """Provides the contents of sent heartbeats and consumes received ones."""

    def next_heartbeat(self) -> heartbeat.Heartbeat:
        """Returns a heartbeat with the current state of this instance."""

    def on_heartbeat(self, beat: heartbeat.Heartbeat) -> None:
        """Processes the contents of a heartbeat from another instance."""


class HeartbeatLink(asyncio.DatagramProtocol):
    """UDP endpoint for heartbeats and membership lists.

    Args:
        ip: IP address of this instance.
        port: UDP port, the same on all instances.
        roster: Membership; provides this instance's data centre.
        protocol: Chooses the recipients of heartbeats and when to reply with
            a membership list.
        source: Provides and consumes the contents of heartbeats.
        log: Log for exceptions of the sending task.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        roster: instance_roster.InstanceRoster,
        protocol: mesh_protocol.MeshProtocol,
        source: HeartbeatSource,
        log: event_log.EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._ip = ip
        self._port = port
        self._roster = roster
        self._protocol = protocol
        self._source = source
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Binds the socket and starts sending heartbeats.

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
        """Schedules a heartbeat for the next iteration of the event loop."""
        self._wake.set()

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handles a heartbeat or a membership list from another instance."""
        del addr
        message = heartbeat.decode(data)
        if isinstance(message, heartbeat.InstanceList):
            has_changed = self._protocol.on_list(
                message.facts, message.data_centre, self._clock()
            )
            if has_changed:
                self.send_now()
        elif message is not None:
            self._on_heartbeat(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores delivery errors; missing heartbeats reveal the failure."""
        del exc

    def _on_heartbeat(self, beat: heartbeat.Heartbeat) -> None:
        fact = beat.fact
        now_s = self._clock()
        is_list_due = self._protocol.on_heartbeat(
            fact, beat.mesh_mark, beat.lost, now_s
        )
        self._source.on_heartbeat(beat)
        if is_list_due:
            message = heartbeat.InstanceList(
                heartbeat.FORMAT,
                self._roster.own.data_centre,
                [
                    attrs.astuple(item)
                    for item in self._protocol.build_list(now_s)
                ],
            )
            self._send(heartbeat.encode(message), fact.ip)
            # This heartbeat tells an instance that has just started which
            # records this one has.
            own = self._source.next_heartbeat()
            self._send(heartbeat.encode(own), fact.ip)

    async def _run(self) -> None:
        number = 0
        while True:
            self._wake.clear()
            beat = self._source.next_heartbeat()
            data = heartbeat.encode(beat)
            now_s = self._clock()
            for ip in self._protocol.recipients(number, now_s):
                self._send(data, ip)
            try:
                async with asyncio.timeout(self._protocol.interval_s(now_s)):
                    await self._wake.wait()
                number = 0
            except TimeoutError:
                number += 1

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (ip, self._port))
