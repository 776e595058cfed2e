"""ServiceRuntime: decisions and connections of one service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging
import attrs

from magnoliacrank.gateway import admission_gate
from magnoliacrank.gateway import pool_limits
from magnoliacrank.gateway import server_pool
from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.policy import admission
from magnoliacrank.policy import life
from magnoliacrank.policy import router
from magnoliacrank.policy import sample
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_ledger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence
    import random

    from magnoliacrank.gateway import sample_tap
    from magnoliacrank.model import crew as crew_model
    from magnoliacrank.model import instance
    from magnoliacrank.model import request
    from magnoliacrank.model import server
    from magnoliacrank.policy import allowance_meter
    from magnoliacrank.policy import slot_messages

_MIN_CONNECTIONS = 4
_COLD_LIVES = frozenset({life.Life.COLD, life.Life.WARMING})


@attrs.frozen
class Reservation:
    """A backend server chosen for one dispatch, with a slot on it."""

    pool: server_pool.ServerPool
    """Connections to the server."""

    hold: slot_hold.SlotHold
    """The slot."""

    dispatch: sample.Dispatch
    """The router's handle."""

    version: ids.SoftwareVersion
    """Software version of the server."""


class ServiceRuntime:
    """Everything that one instance keeps for one service.

    Args:
        name: Name of the service.
        own: This instance.
        allowances: Meter of the customers' allowances.
        samples: Takes the outcome of each dispatch.
        rng: Source of randomness for sampling.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        name: ids.ServiceName,
        own: instance.EntryInstance,
        allowances: allowance_meter.AllowanceMeter,
        samples: sample_tap.SampleTap,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._own = own
        self._samples = samples
        self._clock = clock
        self._ledger = slot_ledger.SlotLedger(own.instance_id, own.incarnation)
        self._router = router.Router(own.data_centre, self._ledger, rng)
        self._gate = admission_gate.AdmissionGate(
            admission.Admission(allowances), clock
        )
        self._servers: dict[ids.ServerId, server.BackendServer] = {}
        self._pools: dict[ids.ServerId, server_pool.ServerPool] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._crew: crew_model.Crew | None = None
        self._slot_waiters: list[asyncio.Future[None]] = []

    @property
    def name(self) -> ids.ServiceName:
        """Name of the service."""
        return self._name

    @property
    def ledger(self) -> slot_ledger.SlotLedger:
        """Slots of this instance."""
        return self._ledger

    @property
    def router(self) -> router.Router:
        """Choice of backend servers."""
        return self._router

    @property
    def gate(self) -> admission_gate.AdmissionGate:
        """Where requests wait for their turn."""
        return self._gate

    @property
    def crew(self) -> crew_model.Crew | None:
        """Crew in force, or None before the first record."""
        return self._crew

    @property
    def is_member(self) -> bool:
        """Whether this instance belongs to the crew."""
        if self._crew is None:
            return False
        return any(
            member.instance_id == self._own.instance_id
            and member.incarnation == self._own.incarnation
            for member in self._crew.members
        )

    def set_servers(self, servers: Sequence[server.BackendServer]) -> None:
        """Takes in the listed backend servers of the service."""
        now_s = self._clock()
        self._servers = {one.server_id: one for one in servers}
        self._router.set_servers(servers, now_s)
        for server_id in set(self._pools) - set(self._servers):
            self._close_pool(server_id)
        self._refresh(now_s)

    def set_crew(self, record: crew_model.Crew) -> None:
        """Takes in a crew record; an older one is ignored.

        Args:
            record: The record.
        """
        if self._crew is not None and record.number <= self._crew.number:
            return
        now_s = self._clock()
        self._crew = record
        self._ledger.set_crew(record, now_s)
        self._refresh(now_s)

    def tick(self) -> list[slot_messages.Outgoing]:
        """Does what is due; called a few times a second.

        Returns:
            Messages to send to other members of the crew.
        """
        now_s = self._clock()
        outgoing = self._ledger.tick(now_s)
        self._refresh(now_s)
        return outgoing

    def reserve(
        self,
        wanted: request.Request,
        excluded: Collection[ids.ServerId],
        waited_s: float = 0.0,
    ) -> Reservation | sample.NoServer:
        """Chooses a backend server and takes a slot on it.

        Args:
            wanted: The request.
            excluded: Servers that it must not go to.
            waited_s: Seconds for which it has waited so far.

        Returns:
            The reservation, to be ended, or why there is none.
        """
        now_s = self._clock()
        chosen = self._router.choose(
            wanted.route,
            wanted.request_class,
            excluded,
            now_s,
            waited_s=waited_s,
        )
        if not isinstance(chosen, str):
            return chosen
        hold = self._ledger.take(chosen, now_s)
        if isinstance(hold, slot_hold.NoSlot):
            return sample.NoServer(verdict.Reason.OVERLOADED)
        return Reservation(
            pool=self._pool_of(chosen),
            hold=hold,
            dispatch=self._router.on_dispatch(chosen, wanted.route, now_s),
            version=self._servers[chosen].version,
        )

    def on_answer(
        self, reservation: Reservation, seen: sample.AnswerSample
    ) -> None:
        """Takes in a whole answer and frees the slot."""
        now_s = self._clock()
        if seen.status is not sample.AnswerStatus.SHED:
            is_ok = seen.status is sample.AnswerStatus.OK
            self._judge(reservation, seen.latency_s, is_ok=is_ok)
        self._router.on_answer(reservation.dispatch, seen, now_s)
        self._free(reservation, now_s)

    def on_failure(
        self, reservation: Reservation, kind: sample.FailureKind
    ) -> None:
        """Takes in a failure after which the server runs nothing."""
        now_s = self._clock()
        self._judge_failure(reservation, kind, now_s)
        self._router.on_failure(reservation.dispatch, kind, now_s)
        self._free(reservation, now_s)

    def on_abandoned(
        self,
        reservation: Reservation,
        kind: sample.FailureKind,
        until_s: float,
    ) -> None:
        """Takes in a failure after which the server may still work.

        Args:
            reservation: The dispatch.
            kind: What happened.
            until_s: Monotonic time in seconds at which it will have stopped.
        """
        now_s = self._clock()
        self._judge_failure(reservation, kind, now_s)
        self._router.on_failure(reservation.dispatch, kind, now_s)
        self._ledger.abandon(reservation.hold, now_s, until_s)
        self._sync_limit(reservation.dispatch.server_id, now_s)

    async def slot_freed(self, timeout_s: float) -> None:
        """Returns when a slot was freed or the time is over.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._slot_waiters.append(waiter)
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return
        finally:
            if waiter in self._slot_waiters:
                self._slot_waiters.remove(waiter)

    async def close(self) -> None:
        """Closes all connections."""
        for server_id in list(self._pools):
            self._close_pool(server_id)
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _judge(
        self, reservation: Reservation, latency_s: float, *, is_ok: bool
    ) -> None:
        handle = reservation.dispatch
        self._samples.on_sample(
            self._name,
            handle.route,
            reservation.version,
            latency_s,
            is_ok=is_ok,
            is_cold=self._router.life(handle.server_id) in _COLD_LIVES,
        )

    def _judge_failure(
        self, reservation: Reservation, kind: sample.FailureKind, now_s: float
    ) -> None:
        if kind is not sample.FailureKind.CALLER_GONE:
            latency_s = now_s - reservation.dispatch.started_s
            self._judge(reservation, latency_s, is_ok=False)

    def _free(self, reservation: Reservation, now_s: float) -> None:
        self._ledger.release(reservation.hold, now_s)
        self._sync_limit(reservation.dispatch.server_id, now_s)
        self._wake_one()

    def _wake_one(self) -> None:
        while self._slot_waiters:
            waiter = self._slot_waiters.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                return

    def _refresh(self, now_s: float) -> None:
        for server_id in self._servers:
            self._sync_limit(server_id, now_s)
        free = sum(
            self._ledger.free(server_id, now_s) for server_id in self._servers
        )
        self._gate.set_capacity(self._gate.in_flight + free)
        for _ in range(min(free, len(self._slot_waiters))):
            self._wake_one()

    def _sync_limit(self, server_id: ids.ServerId, now_s: float) -> None:
        self._ledger.set_limit(
            server_id,
            self._router.limit(server_id, now_s),
            is_cold=self._router.life(server_id) in _COLD_LIVES,
            now_s=now_s,
        )

    def _pool_of(self, server_id: ids.ServerId) -> server_pool.ServerPool:
        pool = self._pools.get(server_id)
        if pool is None:
            pool = self._open_pool(server_id)
        return pool

    def _open_pool(self, server_id: ids.ServerId) -> server_pool.ServerPool:
        listed = self._servers[server_id]
        members = 1 if self._crew is None else max(1, len(self._crew.members))
        share = max(_MIN_CONNECTIONS, listed.connections // members)
        pool = server_pool.ServerPool(
            listed.host,
            listed.port,
            pool_limits.PoolLimits(max_connections=share),
        )
        pool.open()
        self._pools[server_id] = pool
        return pool

    def _close_pool(self, server_id: ids.ServerId) -> None:
        pool = self._pools.pop(server_id)
        logging.info(
            "gateway: Server %s of %s is no longer listed.",
            server_id,
            self._name,
        )
        task = asyncio.ensure_future(pool.drain())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
