"""SilenceWatch: detects dead connections to a backend server that works.

A request that has no answer after a multiple of the average latency was sent
either over a dead connection or to a slow server. If a connection that was
opened after the request was sent gets an answer, the server works, and the
older connection is considered silent (dead). Idle connections that have
received nothing since that request was sent are then closed. The request
itself keeps waiting, since the server may only be slow to answer it.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Protocol

from absl import logging

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import outbound_head
from magnoliacrank.gateway import pool_events
from magnoliacrank.gateway import server_connection

if TYPE_CHECKING:
    from magnoliacrank.gateway import pool_limits

FailureKind = exchange_failure.FailureKind

_LATENCY_EWMA_WEIGHT = 0.1
_CHECKS_PER_THRESHOLD = 2


class WatchedPool(Protocol):
    """Interface of a connection pool to its `SilenceWatch`."""

    @property
    def host(self) -> str:
        """IP address of the backend server."""

    @property
    def port(self) -> int:
        """TCP port of the backend server."""

    @property
    def authority(self) -> str:
        """Host and port, in the form of a Host header."""

    @property
    def busy(self) -> set[server_connection.ServerConnection]:
        """Connections with a request in progress."""

    async def open_for_probe(
        self, timeout_s: float
    ) -> server_connection.ServerConnection | exchange_failure.ExchangeFailure:
        """Opens a new connection for a probe.

        Args:
            timeout_s: Longest time to open the connection, in seconds.
        """

    def retire_idle_before(self, last_received_s: float) -> int:
        """Closes idle connections that received no bytes since a time.

        Those that were opened since then stay open.

        Args:
            last_received_s: The time, monotonic in seconds.

        Returns:
            Number of connections that were closed.
        """


class SilenceWatch:
    """Detects the silent connections of one pool.

    While a request waits too long on a reused connection, a probe is sent on
    a new connection to find out whether the server works.

    Args:
        pool: Pool whose connections are watched.
        limits: Thresholds and probe settings of the pool.
        listener: Receives an event for each silent connection, and limits
            the rate of probes.
    """

    def __init__(
        self,
        pool: WatchedPool,
        limits: pool_limits.PoolLimits,
        listener: pool_events.PoolListener,
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._listener = listener
        self._average_latency_s = 0.0
        self._latest_opened_s = 0.0
        self._next_probe_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._probe_task: asyncio.Task[None] | None = None

    @property
    def threshold_s(self) -> float:
        """Seconds without an answer after which a request counts as late."""
        factor_threshold_s = (
            self._average_latency_s * self._limits.silence_factor
        )
        return max(self._limits.silence_s, factor_threshold_s)

    async def close(self) -> None:
        """Stops the timer and cancels a probe in progress."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._probe_task is not None:
            self._probe_task.cancel()
            await asyncio.gather(self._probe_task, return_exceptions=True)

    def on_sent(self, connection: server_connection.ServerConnection) -> None:
        """Starts the periodic check when a request is sent.

        Connections that carry their first request are not checked.

        Args:
            connection: Connection over which the request was sent.
        """
        if self._timer is None and not connection.is_first_use:
            self._arm()

    def on_answered(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Records the latency when the head of an answer arrives.

        Args:
            connection: Connection over which the answer arrived.
        """
        latency_s = connection.last_received_s - connection.sent_s
        self._average_latency_s += _LATENCY_EWMA_WEIGHT * (
            latency_s - self._average_latency_s
        )
        if connection.opened_s > self._latest_opened_s:
            self._latest_opened_s = connection.opened_s

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            self.threshold_s / _CHECKS_PER_THRESHOLD, self._on_timer
        )

    def _on_timer(self) -> None:
        self._timer = None
        waiting = [
            item for item in self._pool.busy if _is_reused_and_waiting(item)
        ]
        if not waiting:
            return
        self._arm()
        sent_before_s = time.monotonic() - self.threshold_s
        late = [item for item in waiting if item.sent_s < sent_before_s]
        self._report_silent(late)
        if any(not item.is_suspected for item in late):
            self._start_probe()

    def _report_silent(
        self, late: list[server_connection.ServerConnection]
    ) -> None:
        for connection in late:
            if connection.sent_s < self._latest_opened_s:
                self._on_silent(connection)

    def _on_silent(
        self, connection: server_connection.ServerConnection
    ) -> None:
        connection.suspect()
        pool = self._pool
        retired = pool.retire_idle_before(connection.sent_s)
        silent_s = time.monotonic() - connection.sent_s
        logging.warning(
            "gateway: Connection to %s silent for %.3f s; closed %d idle.",
            pool.authority,
            silent_s,
            retired,
        )
        self._listener.on_silent(
            pool_events.ConnectionSilent(
                pool.host, pool.port, silent_s, retired
            )
        )

    def _start_probe(self) -> None:
        now_s = time.monotonic()
        is_running = (
            self._probe_task is not None and not self._probe_task.done()
        )
        if is_running or now_s < self._next_probe_s:
            return
        if not self._listener.try_take_probe():
            return
        self._next_probe_s = now_s + self._limits.probe_interval_s
        self._probe_task = asyncio.ensure_future(self._run_probe())

    async def _run_probe(self) -> None:
        limits = self._limits
        connection = await self._pool.open_for_probe(limits.probe_timeout_s)
        if isinstance(connection, exchange_failure.ExchangeFailure):
            return
        head = outbound_head.OutboundHead(
            "GET", limits.probe_target, [("Host", self._pool.authority)]
        )
        try:
            outcome = await connection.send(
                head.encode(0),
                is_head_request=False,
                deadline_s=time.monotonic() + limits.probe_timeout_s,
            )
        except asyncio.CancelledError:
            connection.retire(FailureKind.CONNECTION_LOST)
            raise
        if isinstance(outcome, exchange_failure.ExchangeFailure):
            return
        self._latest_opened_s = max(self._latest_opened_s, connection.opened_s)
        await asyncio.sleep(0)
        connection.release()


def _is_reused_and_waiting(
    connection: server_connection.ServerConnection,
) -> bool:
    return (
        connection.state is server_connection.State.WAITING
        and not connection.is_first_use
        and not connection.is_suspected
    )
