"""ServiceRuntime: decisions and connections of one service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.gateway import admission_gate
from magnoliacrank.gateway import measuring
from magnoliacrank.gateway import server_pool
from magnoliacrank.gateway import server_pools
from magnoliacrank.gateway import slot_waiters
from magnoliacrank.gateway import suspect_guard
from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.policy import admission
from magnoliacrank.policy import retry_budget
from magnoliacrank.policy import router
from magnoliacrank.policy import sample
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_ledger
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Collection
    import random

    from magnoliacrank.gateway import sample_tap
    from magnoliacrank.model import crew as crew_model
    from magnoliacrank.model import instance
    from magnoliacrank.model import request
    from magnoliacrank.model import server
    from magnoliacrank.policy import allowance_meter


_QUIET_PERIOD_S = 1.0
"""Seconds between two looks at a service without requests."""

Outbox = Callable[[Sequence[slot_messages.Outgoing]], None]
"""Sends messages to other members of a crew."""


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
        outbox: Sends messages to other members of the crew.
        send: Sends one message to another instance.
        rng: Source of randomness for sampling.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        name: ids.ServiceName,
        own: instance.EntryInstance,
        allowances: allowance_meter.AllowanceMeter,
        samples: sample_tap.SampleTap,
        outbox: Outbox,
        send: suspect_guard.Send,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._own = own
        self._samples = samples
        self._outbox = outbox
        self._clock = clock
        self._ledger = slot_ledger.SlotLedger(own.instance_id, own.incarnation)
        self._router = router.Router(own.data_centre, self._ledger, rng)
        self._gate = admission_gate.AdmissionGate(
            admission.Admission(allowances), clock
        )
        self._servers: dict[ids.ServerId, server.BackendServer] = {}
        self._measuring = measuring.Measuring(clock)
        self._pools = server_pools.ServerPools(self._measuring)
        self._crew: crew_model.Crew | None = None
        self._waiters = slot_waiters.SlotWaiters()
        self._quiet_until_s = clock()
        self._is_member = False
        self._retries = retry_budget.RetryBudget()
        self._suspects = suspect_guard.SuspectGuard(
            own.instance_id, name, send, clock
        )

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
    def measuring(self) -> measuring.Measuring:
        """This instance's part of the measuring budget."""
        return self._measuring

    @property
    def suspects(self) -> suspect_guard.SuspectGuard:
        """Requests that crash backend servers."""
        return self._suspects

    @property
    def retries(self) -> retry_budget.RetryBudget:
        """Budget of retries for this service."""
        return self._retries

    @property
    def crew(self) -> crew_model.Crew | None:
        """Crew in force, or None before the first record."""
        return self._crew

    @property
    def _member_count(self) -> int:
        return 1 if self._crew is None else max(1, len(self._crew.members))

    @property
    def is_member(self) -> bool:
        """Whether this instance belongs to the crew."""
        return self._is_member

    def set_servers(self, servers: Sequence[server.BackendServer]) -> None:
        """Takes in the listed backend servers of the service."""
        now_s = self._clock()
        self._servers = {one.server_id: one for one in servers}
        self._router.set_servers(servers, now_s)
        self._pools.keep(self._servers)
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
        self._is_member = any(
            member.instance_id == self._own.instance_id
            and member.incarnation == self._own.incarnation
            for member in record.members
        )
        self._ledger.set_crew(record, now_s)
        self._suspects.set_crew(record)
        self._measuring.set_members(
            len(record.members) if self._is_member else 0
        )
        self._refresh(now_s)
        if not self.is_member:
            self._gate.dismiss()
            self._waiters.wake_all()

    def tick(self) -> None:
        """Does what is due; called a few times a second."""
        now_s = self._clock()
        is_short = bool(self._gate.waiting or self._waiters.count)
        is_busy = is_short or self._gate.in_flight > 0
        if not is_busy and now_s < self._quiet_until_s:
            return
        self._quiet_until_s = now_s + _QUIET_PERIOD_S
        self._outbox(self._ledger.tick(now_s))
        if is_busy or self._is_member:
            self._refresh(now_s)
        if is_short:
            self._ask_loans(now_s)

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
            pool=self._pools.get(
                self._servers[chosen],
                self._ledger.free(chosen, now_s) + 1,
                self._member_count,
            ),
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
        self._ask_loans(self._clock())
        await self._waiters.wait(timeout_s)

    def on_slot_message(self, message: slot_messages.Message) -> None:
        """Takes a message of another member of the crew."""
        now_s = self._clock()
        self._outbox(self._ledger.on_message(message, now_s))
        self._refresh(now_s)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pools.close()

    def _ask_loans(self, now_s: float) -> None:
        """Asks other members for slots of the servers in use."""
        need = self._gate.waiting + self._waiters.count + 1
        useful = [
            server_id
            for server_id in self._servers
            if self._router.is_eligible(server_id)
        ]
        self._outbox(self._ledger.ask_loans(useful, need, now_s))

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
            is_cold=self._router.is_cold(handle.server_id),
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
        self._waiters.wake(1)

    def _refresh(self, now_s: float) -> None:
        for server_id in self._servers:
            self._sync_limit(server_id, now_s)
        free = sum(
            self._ledger.free(server_id, now_s) for server_id in self._servers
        )
        self._gate.set_capacity(self._gate.in_flight + free)
        self._waiters.wake(free)

    def _sync_limit(self, server_id: ids.ServerId, now_s: float) -> None:
        self._ledger.set_limit(
            server_id,
            self._router.limit(server_id, now_s),
            is_cold=self._router.is_cold(server_id),
            now_s=now_s,
        )
