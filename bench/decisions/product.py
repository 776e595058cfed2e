"""Balancer that runs the policy library of the product on virtual time."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from bench.decisions import attempts
from bench.decisions import balancer
from bench.decisions import fake_server
from bench.decisions import member_slots
from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import server
from magnoliacrank.policy import admission
from magnoliacrank.policy import allowance_meter
from magnoliacrank.policy import crash_messages
from magnoliacrank.policy import crash_suspects
from magnoliacrank.policy import fair_queue
from magnoliacrank.policy import hedge
from magnoliacrank.policy import probe_budget
from magnoliacrank.policy import retry
from magnoliacrank.policy import retry_budget
from magnoliacrank.policy import router
from magnoliacrank.policy import sample
from magnoliacrank.policy import slot_hold

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.model import crew

ROUTE = "route"
"""Name of the only route of the simulated service."""

_PROBES_PER_S = 10.0
_TICK_S = 0.02
_SUSPECT_SETTLE_S = 0.5
_SILENCE_TIMEOUT_S = 0.2
_ABANDONED_SLOT_HOLD_S = 0.2
_MAX_LAST_ANSWER_AGE_S = 1.0


@attrs.define(eq=False)
class CallState:
    """Progress of one call on the entry instance that handles it."""

    call: balancer.Call
    """The call."""
    policy_request: request.Request
    """The call as the policy library sees it."""
    place: fair_queue.Place | None = None
    """Place of the call in admission; released when the call ends."""
    tried: frozenset[ids.ServerId] = frozenset()
    """Backend servers that the call was dispatched to."""
    excluded: frozenset[ids.ServerId] = frozenset()
    """Backend servers that the next attempt must not use."""
    open_attempts: int = 0
    """Dispatches that have not ended."""
    attempts: int = 0
    """Dispatches so far, retries and hedges included."""
    waiting_since_s: float = 0.0
    """Virtual time in seconds from which the call waits for a slot."""
    runs_as_trial: bool = False
    """Whether the call is a crash suspect, run one copy at a time."""
    service_s: float | None = None
    """Seconds from the successful dispatch to its answer, if there was one."""


class ProductBalancer:
    """Balancer of one crew member, with the decisions of the policy library.

    It combines admission, routing, slots and loans, retries, hedging, probes
    and crash suspects in the way an entry instance of the product does.
    """

    def __init__(
        self,
        context: balancer.BalancerContext,
        record: crew.Crew,
        members: dict[str, ProductBalancer],
    ) -> None:
        self._context = context
        self._network = context.network
        self._listed: list[server.BackendServer] = []
        self._members = members
        self._own_id = member_slots.name_of(context.entry)
        members[self._own_id] = self
        self.slots = member_slots.MemberSlots(
            self._own_id, record, self._send, context.time
        )
        self.router = router.Router(
            ids.DataCentre(context.data_centre), self.slots, context.rng
        )
        self._forward_target = self.slots.choose_forward_target(frozenset())
        self._hedger = hedge.Hedger()
        self._probes = probe_budget.ProbeBudget(_PROBES_PER_S, 0.0)
        self._admission = admission.Admission(allowance_meter.AllowanceMeter())
        self._retries = retry_budget.RetryBudget()
        self._suspects = crash_suspects.CrashSuspects(
            self._own_id, ids.ServiceName("service"), settle_s=_SUSPECT_SETTLE_S
        )
        self._suspects.set_members(self.slots.owner_names, 0.0)
        self._queued_calls: dict[fair_queue.Place, CallState] = {}
        self._awaiting_slot: collections.deque[CallState] = collections.deque()
        self._running_digests: dict[ids.ServerId, set[bytes]] = {}
        self._last_answer_s: dict[ids.ServerId, float] = {}
        context.time.after(context.rng.random() * _TICK_S, self._tick)

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Replaces the list of backend servers.

        The servers of the first list count as warm.
        """
        now_s = self._context.time.now_s
        is_first = not self.router.server_ids
        self._listed = servers
        self.router.set_servers(servers, now_s)
        if is_first:
            self._mark_servers_warm(servers)
        self._sync_limits()

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Sets the data centres that must get no new work."""
        self.router.set_data_centres_out(
            frozenset(ids.DataCentre(name) for name in out)
        )
        self._forward_target = self.slots.choose_forward_target(out)
        self._start_waiting()

    def on_call(self, call: balancer.Call) -> None:
        """Handles the call here or forwards it to a member that owns slots."""
        if self._forward_target is None:
            self._handle_locally(call)
        else:
            self._forward(self._forward_target, call)

    def _handle_locally(self, call: balancer.Call) -> None:
        now_s = self._context.time.now_s
        policy_request = request.Request(
            ids.CustomerId(call.customer),
            ids.ServiceName(self._context.size.name),
            ROUTE,
            call.request_class,
            call.deadline_s - self._context.size.client_s,
            digest=call.digest,
        )
        decision = self._suspects.decide(_fingerprint(policy_request), now_s)
        if isinstance(decision, crash_suspects.SuspectRefused):
            self._network.finish(call, balancer.Result.REFUSED)
            return
        if isinstance(decision, crash_suspects.ForwardTo):
            self._forward(decision.owner, call)
            return
        call_state = CallState(call, policy_request, waiting_since_s=now_s)
        call_state.runs_as_trial = isinstance(
            decision, crash_suspects.RunAsTrial
        )
        self._hedger.on_request()
        self._retries.on_first_attempt(now_s)
        self._admit(call_state)

    def on_entry_lost(self, entry: int) -> None:
        """Replaces the crew record by one without the lost member."""
        now_s = self._context.time.now_s
        self.slots.drop_member(member_slots.name_of(entry), self._listed)
        self._forward_target = self.slots.choose_forward_target(frozenset())
        self._suspects.set_members(self.slots.owner_names, now_s)
        self._update_owned_servers()
        self._sync_limits()
        self._network.set_preferred_entries(self.slots.preferred_entries)

    def on_message(self, message: object) -> None:
        """Handles a message from another crew member."""
        now_s = self._context.time.now_s
        if isinstance(message, sample.ServerStateUpdate):
            self.router.on_state_update(message, now_s)
            self._sync_limit(message.server_id)
        elif isinstance(message, crash_messages.CrashNotice):
            self._suspects.on_crash_notice(message, now_s)
        elif isinstance(message, crash_messages.SuspectCleared):
            self._suspects.on_suspect_cleared(message, now_s)
        else:
            self.slots.on_message(message)
            self._start_waiting()

    def _forward(self, to: ids.InstanceId, call: balancer.Call) -> None:
        other = self._members[to]

        def refused() -> None:
            self._forward_target = None
            self._handle_locally(call)

        self._network.send_message(
            self._context.entry,
            other.slots.entry,
            lambda: other.on_call(call),
            refused,
        )

    def _mark_servers_warm(self, servers: list[server.BackendServer]) -> None:
        now_s = self._context.time.now_s
        for backend in servers:
            state_update = sample.ServerStateUpdate(
                backend.server_id, 1, backend.slots, False
            )
            self.router.on_state_update(state_update, now_s)
        self._update_owned_servers()

    def _update_owned_servers(self) -> None:
        now_s = self._context.time.now_s
        owned = self.slots.warmup_owned
        self.router.set_owned_servers(owned)
        self._probes.set_share(len(owned), len(self._listed), now_s)

    def _admit(self, call_state: CallState) -> None:
        now_s = self._context.time.now_s
        self._set_capacity()
        offer = self._admission.offer(call_state.policy_request, now_s)
        if isinstance(offer, admission.Refused):
            self._end(call_state, balancer.Result.REFUSED)
            return
        call_state.place = offer.place
        if isinstance(offer, admission.Admitted):
            self._start(call_state)
            return
        self._queued_calls[offer.place] = call_state
        self._request_loans()

    def _start(self, call_state: CallState) -> None:
        if not self._try_start(call_state):
            self._awaiting_slot.append(call_state)
            self._request_loans()

    def _try_start(self, call_state: CallState) -> bool:
        now_s = self._context.time.now_s
        chosen = self.router.choose(
            ROUTE,
            call_state.policy_request.request_class,
            call_state.excluded,
            now_s,
            waited_s=now_s - call_state.waiting_since_s,
        )
        if isinstance(chosen, sample.NoServer):
            return False
        hold = self.slots.acquire(chosen)
        if isinstance(hold, slot_hold.NoSlot):
            return False
        self._dispatch(call_state, chosen, hold)
        return True

    def _dispatch(
        self,
        call_state: CallState,
        chosen: ids.ServerId,
        hold: slot_hold.SlotHold,
    ) -> None:
        now_s = self._context.time.now_s
        dispatch = self.router.on_dispatch(chosen, ROUTE, now_s)
        call_state.open_attempts += 1
        call_state.attempts += 1
        call_state.tried |= {chosen}
        self._running_digests.setdefault(chosen, set()).add(
            call_state.policy_request.digest
        )
        self._refresh_connection(call_state, chosen)

        def done(attempt: balancer.Attempt) -> None:
            self._on_done(call_state, dispatch, hold, attempt)

        entry = self._context.entry
        self._network.dispatch(entry, chosen, call_state.call, done)
        self._schedule_checks(call_state, dispatch)

    def _schedule_checks(
        self, call_state: CallState, dispatch: sample.Dispatch
    ) -> None:
        time = self._context.time
        time.after(
            _SILENCE_TIMEOUT_S,
            lambda: self._on_silent_dispatch(call_state, dispatch),
        )
        delay_s = self._hedger.delay_s(
            ROUTE, call_state.policy_request.request_class
        )
        if delay_s is not None and call_state.attempts == 1:
            time.after(delay_s, lambda: self._hedge(call_state))

    def _hedge(self, call_state: CallState) -> None:
        now_s = self._context.time.now_s
        if call_state.call.result is not None or call_state.attempts > 1:
            return
        if self._admission.waiting or self._awaiting_slot:
            return
        if self._suspects.is_suspect(
            _fingerprint(call_state.policy_request), now_s
        ):
            return
        call_state.excluded |= call_state.tried
        if self._hedger.can_spend:
            self._hedger.try_spend()
            self._try_start(call_state)

    def _on_done(
        self,
        call_state: CallState,
        dispatch: sample.Dispatch,
        hold: slot_hold.SlotHold,
        attempt: balancer.Attempt,
    ) -> None:
        now_s = self._context.time.now_s
        if attempt.status is None:
            self.slots.abandon(hold, now_s + _ABANDONED_SLOT_HOLD_S)
        else:
            self.slots.release(hold)
        self._report_server_death(call_state, dispatch, attempt)
        self._record_outcome(dispatch, attempt)
        call_state.open_attempts -= 1
        self._running_digests[dispatch.server_id].discard(
            call_state.policy_request.digest
        )
        if call_state.call.result is None:
            self._finish_or_retry(call_state, attempt)
        self._sync_limit(dispatch.server_id)
        self._broadcast_state_updates()
        self._start_waiting()

    def _record_outcome(
        self, dispatch: sample.Dispatch, attempt: balancer.Attempt
    ) -> None:
        now_s = self._context.time.now_s
        status = attempts.ANSWER_STATUSES.get(attempt.status)
        if status is None:
            kind = attempts.FAILURE_KINDS[attempt.status]
            self.router.on_failure(dispatch, kind, now_s)
            return
        self._last_answer_s[dispatch.server_id] = now_s
        seen = sample.AnswerSample(attempt.latency_s, status, attempt.report)
        self.router.on_answer(dispatch, seen, now_s)
        if status is sample.AnswerStatus.OK:
            self._hedger.on_answer(ROUTE, attempt.latency_s)

    def _finish_or_retry(
        self, call_state: CallState, attempt: balancer.Attempt
    ) -> None:
        if attempt.status is fake_server.Status.OK:
            call_state.service_s = attempt.latency_s
            self._end(call_state, balancer.Result.OK)
            return
        if call_state.open_attempts:
            return
        now_s = self._context.time.now_s
        fingerprint = _fingerprint(call_state.policy_request)
        failed = retry.FailedAttempt(
            call_state.policy_request,
            attempts.FAILURE_VERDICTS[attempt.status],
            call_state.attempts,
            call_state.tried,
            is_suspect=self._suspects.is_suspect(fingerprint, now_s),
        )
        decision = retry.decide(failed, self._retries, now_s)
        if isinstance(decision, retry.Retry):
            call_state.excluded = decision.excluded
            call_state.waiting_since_s = now_s + decision.pause_s
            self._context.time.after(
                decision.pause_s, lambda: self._start(call_state)
            )
            return
        is_not_run = not failed.verdict.may_have_run
        refused, unknown = balancer.Result.REFUSED, balancer.Result.FAILED
        self._end(call_state, refused if is_not_run else unknown)

    def _end(self, call_state: CallState, result: balancer.Result) -> None:
        now_s = self._context.time.now_s
        if call_state.place is not None:
            self._admission.on_finished(call_state.place, call_state.service_s)
        if call_state.runs_as_trial:
            cleared = self._suspects.on_trial_finished(
                _fingerprint(call_state.policy_request),
                is_survived=result is balancer.Result.OK,
                now_s=now_s,
            )
            if cleared is not None:
                self._broadcast(cleared)
        self._network.finish(call_state.call, result)

    def _report_server_death(
        self,
        call_state: CallState,
        dispatch: sample.Dispatch,
        attempt: balancer.Attempt,
    ) -> None:
        if attempt.status is not fake_server.Status.RESET:
            return
        death = crash_messages.ServerDeath(
            dispatch.server_id, self.router.incarnation(dispatch.server_id)
        )
        running = self._running_digests[dispatch.server_id]
        notice = self._suspects.on_server_died(
            death,
            [
                attrs.evolve(
                    _fingerprint(call_state.policy_request), digest=digest
                )
                for digest in sorted(running)
            ],
            self._context.time.now_s,
        )
        self._broadcast(notice)

    def _start_waiting(self) -> None:
        now_s = self._context.time.now_s
        for _ in range(len(self._awaiting_slot)):
            call_state = self._awaiting_slot.popleft()
            if call_state.policy_request.deadline_s <= now_s:
                self._end(call_state, balancer.Result.REFUSED)
            elif not self._try_start(call_state):
                self._awaiting_slot.append(call_state)
        if self._awaiting_slot:
            return
        for dropped in self._admission.take_dropped(now_s):
            call_state = self._queued_calls.pop(dropped.place)
            self._end(call_state, balancer.Result.REFUSED)
        ready = self._admission.admit_next(now_s)
        while ready is not None:
            self._start(self._queued_calls.pop(ready.place))
            ready = self._admission.admit_next(now_s)

    def _tick(self) -> None:
        now_s = self._context.time.now_s
        self.slots.tick()
        self._sync_limits()
        self._broadcast_state_updates()
        self._start_waiting()
        self._request_loans()
        needs = self.router.probe_needs(now_s)
        for server_id in self._probes.take(needs, now_s):
            self._probe(server_id)
        self._context.time.after(_TICK_S, self._tick)

    def _request_loans(self) -> None:
        waiting = self._admission.waiting + len(self._awaiting_slot)
        if waiting:
            now_s = self._context.time.now_s
            self.slots.request_loans(
                self.router.slots_to_borrow(waiting, now_s), waiting
            )

    def _set_capacity(self) -> None:
        free = self.router.free_slots(self._context.time.now_s)
        self._admission.set_capacity(self._admission.in_flight + free)

    def _sync_limits(self) -> None:
        for server_id in self.router.server_ids:
            self._sync_limit(server_id)
        self._set_capacity()

    def _sync_limit(self, server_id: ids.ServerId) -> None:
        now_s = self._context.time.now_s
        self.slots.set_limit(
            server_id,
            self.router.limit(server_id, now_s),
            is_cold=self.router.is_cold(server_id),
        )

    def _probe(self, server_id: ids.ServerId) -> None:
        sent_s = self._context.time.now_s

        def done(report: server.LoadReport | None) -> None:
            now_s = self._context.time.now_s
            outcome: sample.AnswerSample | sample.FailureKind
            if report is None:
                outcome = sample.FailureKind.CONNECT_FAILED
            else:
                outcome = sample.AnswerSample(
                    now_s - sent_s, sample.AnswerStatus.OK, report
                )
            self.router.on_probe(server_id, outcome, now_s)
            self._sync_limit(server_id)

        self._network.probe(self._context.entry, server_id, done)

    def _on_silent_dispatch(
        self, call_state: CallState, dispatch: sample.Dispatch
    ) -> None:
        server_id = dispatch.server_id
        if not self.router.is_in_flight(dispatch):
            return
        if not self._probes.try_spend(self._context.time.now_s):
            return

        def done(report: server.LoadReport | None) -> None:
            if report is not None:
                self._network.replace_idle_connections(
                    self._context.entry, server_id
                )

        del call_state
        self._network.probe(self._context.entry, server_id, done)

    def _refresh_connection(
        self, call_state: CallState, server_id: ids.ServerId
    ) -> None:
        at_most_once = request.RequestClass.AT_MOST_ONCE
        if call_state.policy_request.request_class is not at_most_once:
            return
        now_s = self._context.time.now_s
        last_answer_s = self._last_answer_s.get(server_id, 0.0)
        if now_s - last_answer_s > _MAX_LAST_ANSWER_AGE_S:
            self._network.replace_idle_connections(
                self._context.entry, server_id
            )

    def _broadcast_state_updates(self) -> None:
        for state_update in self.router.take_state_updates():
            self._broadcast(state_update)

    def _broadcast(self, message: object) -> None:
        for name in self._members:
            if name != self._own_id:
                self._send(name, message)

    def _send(self, to: str, message: object) -> None:
        other = self._members[to]
        self._network.send_message(
            self._context.entry,
            other.slots.entry,
            lambda: other.on_message(message),
        )


def product_factory(
    record: crew.Crew,
) -> Callable[[balancer.BalancerContext], ProductBalancer]:
    """Returns a factory of balancers that are members of one crew.

    Args:
        record: Crew with the slots that each member owns.
    """
    members: dict[str, ProductBalancer] = {}
    return lambda context: ProductBalancer(context, record, members)


def _fingerprint(policy_request: request.Request) -> crash_messages.Fingerprint:
    return crash_messages.Fingerprint(
        policy_request.customer, policy_request.service, policy_request.digest
    )
