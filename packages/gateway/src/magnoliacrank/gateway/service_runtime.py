"""ServiceRuntime: policies and connections of one service on one instance.

A slot is a permission for one concurrent request on one backend server. The
crew of a service is the set of instances that own its slots.
"""

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


_IDLE_TICK_INTERVAL_S = 1.0
"""Seconds between two runs of a service's periodic work while it has no
requests."""

SendOutgoing = Callable[[Sequence[slot_messages.Outgoing]], None]
"""Function that sends messages to other members of a crew."""


@attrs.frozen
class Reservation:
    """A backend server and an occupied slot on it, for one dispatch."""

    pool: server_pool.ServerPool
    """Pool of the connections to the server."""

    hold: slot_hold.SlotHold
    """The occupied slot."""

    dispatch: sample.Dispatch
    """Record of the dispatch, by which its end is reported to the router."""

    version: ids.SoftwareVersion
    """Software version of the server."""


class ServiceRuntime:
    """Admission, routing, slots and connection pools of one service.

    Args:
        name: Name of the service.
        own: This instance.
        allowances: Limits on rate and concurrency of each customer.
        samples: Receives the outcome of each dispatch.
        send_outgoing: Sends messages on slots to other members of the crew.
        send: Sends one message to another instance.
        rng: Random generator for sampling.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        name: ids.ServiceName,
        own: instance.EntryInstance,
        allowances: allowance_meter.AllowanceMeter,
        samples: sample_tap.SampleTap,
        send_outgoing: SendOutgoing,
        send: suspect_guard.SendMessage,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._own = own
        self._samples = samples
        self._send_outgoing = send_outgoing
        self._clock = clock
        self._ledger = slot_ledger.SlotLedger(own.instance_id, own.incarnation)
        self._router = router.Router(own.data_centre, self._ledger, rng)
        self._gate = admission_gate.AdmissionGate(
            admission.Admission(allowances), clock
        )
        self._servers: dict[ids.ServerId, server.BackendServer] = {}
        self._probe_budget = measuring.ServiceProbeBudget(clock)
        self._pools = server_pools.ServerPools(self._probe_budget)
        self._crew: crew_model.Crew | None = None
        self._waiters = slot_waiters.SlotWaiters()
        self._next_idle_tick_s = clock()
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
        """Slots that this instance owns, lends and borrows."""
        return self._ledger

    @property
    def router(self) -> router.Router:
        """Router that chooses the backend server of each request."""
        return self._router

    @property
    def gate(self) -> admission_gate.AdmissionGate:
        """Queue in which requests wait for admission."""
        return self._gate

    @property
    def measuring(self) -> measuring.ServiceProbeBudget:
        """Rate limit on this instance's probes of the service's servers."""
        return self._probe_budget

    @property
    def suspects(self) -> suspect_guard.SuspectGuard:
        """Isolates requests that are suspected of crashing servers."""
        return self._suspects

    @property
    def retries(self) -> retry_budget.RetryBudget:
        """Retry budget of this service."""
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
        """Replaces the backend servers of the service.

        Args:
            servers: All servers of the service in the platform's list.
        """
        now_s = self._clock()
        self._servers = {one.server_id: one for one in servers}
        self._router.set_servers(servers, now_s)
        self._pools.drain_unlisted(self._servers)
        self._update_capacity(now_s)

    def set_crew(self, record: crew_model.Crew) -> None:
        """Applies a crew record; ignores one that isn't newer than the last.

        If this instance isn't a member, waiting requests stop waiting, so that
        they can be forwarded to a member.

        Args:
            record: The crew of this service.
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
        self._probe_budget.set_member_count(
            len(record.members) if self._is_member else 0
        )
        self._update_capacity(now_s)
        if not self.is_member:
            self._gate.cancel_waiting()
            self._waiters.wake_all()

    def tick(self) -> None:
        """Runs the periodic work; to be called several times a second.

        For a service without requests this is done only once in each
        `_IDLE_TICK_INTERVAL_S`.
        """
        now_s = self._clock()
        has_waiting_requests = bool(self._gate.waiting or self._waiters.count)
        is_busy = has_waiting_requests or self._gate.in_flight > 0
        if not is_busy and now_s < self._next_idle_tick_s:
            return
        self._next_idle_tick_s = now_s + _IDLE_TICK_INTERVAL_S
        self._send_outgoing(self._ledger.tick(now_s))
        if is_busy or self._is_member:
            self._update_capacity(now_s)
        if has_waiting_requests:
            self._request_loans(now_s)

    def reserve(
        self,
        incoming: request.Request,
        excluded: Collection[ids.ServerId],
        waited_s: float = 0.0,
    ) -> Reservation | sample.NoServer:
        """Chooses a backend server and takes a slot on it.

        Args:
            incoming: The request.
            excluded: Servers that the request must not be sent to.
            waited_s: Seconds that the request has waited for a slot so far.

        Returns:
            The reservation, or why there is none. A reservation is ended by
            `on_answer`, `on_failure` or `on_abandoned`.
        """
        now_s = self._clock()
        chosen = self._router.choose(
            incoming.route,
            incoming.request_class,
            excluded,
            now_s,
            waited_s=waited_s,
        )
        if not isinstance(chosen, str):
            return chosen
        hold = self._ledger.acquire(chosen, now_s)
        if isinstance(hold, slot_hold.NoSlot):
            return sample.NoServer(verdict.Reason.OVERLOADED)
        return Reservation(
            pool=self._pools.get(
                self._servers[chosen],
                self._ledger.free(chosen, now_s) + 1,
                self._member_count,
            ),
            hold=hold,
            dispatch=self._router.on_dispatch(chosen, incoming.route, now_s),
            version=self._servers[chosen].version,
        )

    def on_answer(
        self, reservation: Reservation, observed: sample.AnswerSample
    ) -> None:
        """Records a complete answer and frees the slot.

        Args:
            reservation: Reservation of the dispatch.
            observed: Latency, status and load report of the answer.
        """
        now_s = self._clock()
        if observed.status is not sample.AnswerStatus.SHED:
            is_ok = observed.status is sample.AnswerStatus.OK
            self._report_sample(reservation, observed.latency_s, is_ok=is_ok)
        self._router.on_answer(reservation.dispatch, observed, now_s)
        self._release_slot(reservation, now_s)

    def on_failure(
        self, reservation: Reservation, kind: sample.FailureKind
    ) -> None:
        """Records a dispatch that did not run, and frees the slot.

        Args:
            reservation: Reservation of the dispatch.
            kind: How the dispatch failed.
        """
        now_s = self._clock()
        self._report_failure(reservation, kind, now_s)
        self._router.on_failure(reservation.dispatch, kind, now_s)
        self._release_slot(reservation, now_s)

    def on_abandoned(
        self,
        reservation: Reservation,
        kind: sample.FailureKind,
        until_s: float,
    ) -> None:
        """Records a failed dispatch that the server may still be running.

        The slot stays occupied until the server has certainly stopped.

        Args:
            reservation: Reservation of the dispatch.
            kind: How the dispatch failed.
            until_s: Monotonic time in seconds from which on the server no
                longer runs the request.
        """
        now_s = self._clock()
        self._report_failure(reservation, kind, now_s)
        self._router.on_failure(reservation.dispatch, kind, now_s)
        self._ledger.abandon(reservation.hold, now_s, until_s)
        self._update_slot_limit(reservation.dispatch.server_id, now_s)

    async def wait_for_slot(self, timeout_s: float) -> None:
        """Requests a loan of slots and waits until a slot may be free.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        self._request_loans(self._clock())
        await self._waiters.wait(timeout_s)

    def on_slot_message(self, message: slot_messages.Message) -> None:
        """Handles a message on slots from another member of the crew.

        Args:
            message: The message.
        """
        now_s = self._clock()
        self._send_outgoing(self._ledger.on_message(message, now_s))
        self._update_capacity(now_s)

    async def close(self) -> None:
        """Closes the connections to all backend servers of the service."""
        await self._pools.close()

    def _request_loans(self, now_s: float) -> None:
        """Requests a loan of slots on the usable servers from other members."""
        need = self._gate.waiting + self._waiters.count + 1
        useful = [
            server_id
            for server_id in self._servers
            if self._router.is_eligible(server_id)
        ]
        self._send_outgoing(self._ledger.ask_loans(useful, need, now_s))

    def _report_sample(
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

    def _report_failure(
        self, reservation: Reservation, kind: sample.FailureKind, now_s: float
    ) -> None:
        if kind is not sample.FailureKind.CALLER_GONE:
            latency_s = now_s - reservation.dispatch.started_s
            self._report_sample(reservation, latency_s, is_ok=False)

    def _release_slot(self, reservation: Reservation, now_s: float) -> None:
        self._ledger.release(reservation.hold, now_s)
        self._update_slot_limit(reservation.dispatch.server_id, now_s)
        self._waiters.wake(1)

    def _update_capacity(self, now_s: float) -> None:
        for server_id in self._servers:
            self._update_slot_limit(server_id, now_s)
        free = sum(
            self._ledger.free(server_id, now_s) for server_id in self._servers
        )
        self._gate.set_capacity(self._gate.in_flight + free)
        self._waiters.wake(free)

    def _update_slot_limit(self, server_id: ids.ServerId, now_s: float) -> None:
        self._ledger.set_limit(
            server_id,
            self._router.limit(server_id, now_s),
            is_cold=self._router.is_cold(server_id),
            now_s=now_s,
        )
