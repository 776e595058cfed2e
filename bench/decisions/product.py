"""The product's decisions on one entry instance, driven on virtual time."""

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
_PROBES_PER_S = 10.0
_TICK_S = 0.02
_SETTLE_S = 0.5
_SILENCE_S = 0.2
_STOPS_AFTER_S = 0.2
_AGE_OF_ALIVE_S = 1.0


@attrs.define(eq=False)
class Journey:
    """One call on its way through this instance."""

    call: balancer.Call
    wanted: request.Request
    place: fair_queue.Place | None = None
    tried: frozenset[ids.ServerId] = frozenset()
    excluded: frozenset[ids.ServerId] = frozenset()
    open_attempts: int = 0
    attempts: int = 0
    ready_s: float = 0.0
    """Virtual time from which it waits for a slot."""
    runs_singly: bool = False
    service_s: float | None = None


class Product:
    """Routes, waits, retries and hedges by the policy library."""

    def __init__(
        self,
        setting: balancer.Setting,
        record: crew.Crew,
        members: dict[str, Product],
    ) -> None:
        self._setting = setting
        self._network = setting.network
        self._listed: list[server.BackendServer] = []
        self._members = members
        self._own = member_slots.name_of(setting.entry)
        members[self._own] = self
        self.slots = member_slots.MemberSlots(
            self._own, record, self._send, setting.time
        )
        self.router = router.Router(
            ids.DataCentre(setting.data_centre), self.slots, setting.rng
        )
        self._forward_to = self.slots.forward_to(frozenset())
        self._hedger = hedge.Hedger()
        self._probes = probe_budget.ProbeBudget(_PROBES_PER_S, 0.0)
        self._admission = admission.Admission(allowance_meter.AllowanceMeter())
        self._retries = retry_budget.RetryBudget()
        self._suspects = crash_suspects.CrashSuspects(
            self._own, ids.ServiceName("service"), settle_s=_SETTLE_S
        )
        self._suspects.set_members(self.slots.owner_names, 0.0)
        self._journeys: dict[fair_queue.Place, Journey] = {}
        self._unplaced: collections.deque[Journey] = collections.deque()
        self._running: dict[ids.ServerId, set[bytes]] = {}
        self._alive_s: dict[ids.ServerId, float] = {}
        setting.time.after(setting.rng.random() * _TICK_S, self._tick)

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Takes in the listing."""
        now_s = self._setting.time.now_s
        is_first = not self.router.server_ids
        self._listed = servers
        self.router.set_servers(servers, now_s)
        if is_first:
            self._start_warm(servers)
        self._sync_limits()

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Takes in the data centres that get no new work."""
        self.router.set_data_centres_out(
            frozenset(ids.DataCentre(name) for name in out)
        )
        self._forward_to = self.slots.forward_to(out)
        self._pump()

    def on_call(self, call: balancer.Call) -> None:
        """Carries the call or forwards it to an owner of slots."""
        if self._forward_to is None:
            self._carry(call)
        else:
            self._forward(self._forward_to, call)

    def _carry(self, call: balancer.Call) -> None:
        now_s = self._setting.time.now_s
        wanted = request.Request(
            ids.CustomerId(call.customer),
            ids.ServiceName(self._setting.size.name),
            ROUTE,
            call.request_class,
            call.deadline_s - self._setting.size.client_s,
            digest=call.digest,
        )
        decision = self._suspects.decide(_fingerprint(wanted), now_s)
        if isinstance(decision, crash_suspects.SuspectRefused):
            self._network.finish(call, balancer.Result.REFUSED)
            return
        if isinstance(decision, crash_suspects.ForwardTo):
            self._forward(decision.owner, call)
            return
        journey = Journey(call, wanted, ready_s=now_s)
        journey.runs_singly = isinstance(decision, crash_suspects.RunSingly)
        self._hedger.on_request()
        self._retries.on_first_attempt(now_s)
        self._admit(journey)

    def on_entry_lost(self, entry: int) -> None:
        """Changes to the crew record without a lost member."""
        now_s = self._setting.time.now_s
        self.slots.drop_member(member_slots.name_of(entry), self._listed)
        self._forward_to = self.slots.forward_to(frozenset())
        self._suspects.set_members(self.slots.owner_names, now_s)
        self._set_owned()
        self._sync_limits()
        self._network.prefer(self.slots.preferred)

    def on_message(self, message: object) -> None:
        """Takes in a message from another member."""
        now_s = self._setting.time.now_s
        if isinstance(message, sample.ServerSign):
            self.router.on_sign(message, now_s)
            self._sync_limit(message.server_id)
        elif isinstance(message, crash_messages.CrashNotice):
            self._suspects.on_crash_notice(message, now_s)
        elif isinstance(message, crash_messages.SuspectCleared):
            self._suspects.on_suspect_cleared(message, now_s)
        else:
            self.slots.on_message(message)
            self._pump()

    def _forward(self, to: ids.InstanceId, call: balancer.Call) -> None:
        other = self._members[to]

        def refused() -> None:
            self._forward_to = None
            self._carry(call)

        self._network.tell(
            self._setting.entry,
            other.slots.entry,
            lambda: other.on_call(call),
            refused,
        )

    def _start_warm(self, servers: list[server.BackendServer]) -> None:
        now_s = self._setting.time.now_s
        for backend in servers:
            sign = sample.ServerSign(backend.server_id, 1, backend.slots, False)
            self.router.on_sign(sign, now_s)
        self._set_owned()

    def _set_owned(self) -> None:
        now_s = self._setting.time.now_s
        owned = self.slots.stewarded
        self.router.set_owned(owned)
        self._probes.set_share(len(owned), len(self._listed), now_s)

    def _admit(self, journey: Journey) -> None:
        now_s = self._setting.time.now_s
        self._set_capacity()
        offer = self._admission.offer(journey.wanted, now_s)
        if isinstance(offer, admission.Refused):
            self._end(journey, balancer.Result.REFUSED)
            return
        journey.place = offer.place
        if isinstance(offer, admission.Admitted):
            self._start(journey)
            return
        self._journeys[offer.place] = journey
        self._ask_loans()

    def _start(self, journey: Journey) -> None:
        if not self._try_start(journey):
            self._unplaced.append(journey)
            self._ask_loans()

    def _try_start(self, journey: Journey) -> bool:
        now_s = self._setting.time.now_s
        chosen = self.router.choose(
            ROUTE,
            journey.wanted.request_class,
            journey.excluded,
            now_s,
            waited_s=now_s - journey.ready_s,
        )
        if isinstance(chosen, sample.NoServer):
            return False
        hold = self.slots.take(chosen)
        if isinstance(hold, slot_hold.NoSlot):
            return False
        self._dispatch(journey, chosen, hold)
        return True

    def _dispatch(
        self, journey: Journey, chosen: ids.ServerId, hold: slot_hold.SlotHold
    ) -> None:
        now_s = self._setting.time.now_s
        dispatch = self.router.on_dispatch(chosen, ROUTE, now_s)
        journey.open_attempts += 1
        journey.attempts += 1
        journey.tried |= {chosen}
        self._running.setdefault(chosen, set()).add(journey.wanted.digest)
        self._refresh_connection(journey, chosen)

        def done(attempt: balancer.Attempt) -> None:
            self._on_done(journey, dispatch, hold, attempt)

        entry = self._setting.entry
        self._network.dispatch(entry, chosen, journey.call, done)
        self._watch(journey, dispatch)

    def _watch(self, journey: Journey, dispatch: sample.Dispatch) -> None:
        time = self._setting.time
        time.after(_SILENCE_S, lambda: self._on_silence(journey, dispatch))
        delay_s = self._hedger.delay_s(ROUTE, journey.wanted.request_class)
        if delay_s is not None and journey.attempts == 1:
            time.after(delay_s, lambda: self._hedge(journey))

    def _hedge(self, journey: Journey) -> None:
        now_s = self._setting.time.now_s
        if journey.call.result is not None or journey.attempts > 1:
            return
        if self._admission.waiting or self._unplaced:
            return
        if self._suspects.is_suspect(_fingerprint(journey.wanted), now_s):
            return
        journey.excluded |= journey.tried
        if self._hedger.can_spend:
            self._hedger.try_spend()
            self._try_start(journey)

    def _on_done(
        self,
        journey: Journey,
        dispatch: sample.Dispatch,
        hold: slot_hold.SlotHold,
        attempt: balancer.Attempt,
    ) -> None:
        now_s = self._setting.time.now_s
        if attempt.status is None:
            self.slots.abandon(hold, now_s + _STOPS_AFTER_S)
        else:
            self.slots.release(hold)
        self._note_death(journey, dispatch, attempt)
        self._learn(dispatch, attempt)
        journey.open_attempts -= 1
        self._running[dispatch.server_id].discard(journey.wanted.digest)
        if journey.call.result is None:
            self._settle(journey, attempt)
        self._sync_limit(dispatch.server_id)
        self._tell_signs()
        self._pump()

    def _learn(
        self, dispatch: sample.Dispatch, attempt: balancer.Attempt
    ) -> None:
        now_s = self._setting.time.now_s
        status = attempts.STATUSES.get(attempt.status)
        if status is None:
            kind = attempts.KINDS[attempt.status]
            self.router.on_failure(dispatch, kind, now_s)
            return
        self._alive_s[dispatch.server_id] = now_s
        seen = sample.AnswerSample(attempt.latency_s, status, attempt.report)
        self.router.on_answer(dispatch, seen, now_s)
        if status is sample.AnswerStatus.OK:
            self._hedger.on_answer(ROUTE, attempt.latency_s)

    def _settle(self, journey: Journey, attempt: balancer.Attempt) -> None:
        if attempt.status is fake_server.Status.OK:
            journey.service_s = attempt.latency_s
            self._end(journey, balancer.Result.OK)
            return
        if journey.open_attempts:
            return
        now_s = self._setting.time.now_s
        fingerprint = _fingerprint(journey.wanted)
        failed = retry.FailedAttempt(
            journey.wanted,
            attempts.VERDICTS[attempt.status],
            journey.attempts,
            journey.tried,
            is_suspect=self._suspects.is_suspect(fingerprint, now_s),
        )
        decision = retry.decide(failed, self._retries, now_s)
        if isinstance(decision, retry.Retry):
            journey.excluded = decision.excluded
            journey.ready_s = now_s + decision.pause_s
            self._setting.time.after(
                decision.pause_s, lambda: self._start(journey)
            )
            return
        is_not_run = not failed.verdict.may_have_run
        refused, unknown = balancer.Result.REFUSED, balancer.Result.FAILED
        self._end(journey, refused if is_not_run else unknown)

    def _end(self, journey: Journey, result: balancer.Result) -> None:
        now_s = self._setting.time.now_s
        if journey.place is not None:
            self._admission.on_finished(journey.place, journey.service_s)
        if journey.runs_singly:
            cleared = self._suspects.on_run_singly_finished(
                _fingerprint(journey.wanted),
                is_survived=result is balancer.Result.OK,
                now_s=now_s,
            )
            if cleared is not None:
                self._tell_all(cleared)
        self._network.finish(journey.call, result)

    def _note_death(
        self,
        journey: Journey,
        dispatch: sample.Dispatch,
        attempt: balancer.Attempt,
    ) -> None:
        if attempt.status is not fake_server.Status.RESET:
            return
        death = crash_messages.ServerDeath(
            dispatch.server_id, self.router.incarnation(dispatch.server_id)
        )
        running = self._running[dispatch.server_id]
        notice = self._suspects.on_server_died(
            death,
            [
                attrs.evolve(_fingerprint(journey.wanted), digest=digest)
                for digest in sorted(running)
            ],
            self._setting.time.now_s,
        )
        self._tell_all(notice)

    def _pump(self) -> None:
        now_s = self._setting.time.now_s
        for _ in range(len(self._unplaced)):
            journey = self._unplaced.popleft()
            if journey.wanted.deadline_s <= now_s:
                self._end(journey, balancer.Result.REFUSED)
            elif not self._try_start(journey):
                self._unplaced.append(journey)
        if self._unplaced:
            return
        for dropped in self._admission.take_dropped(now_s):
            journey = self._journeys.pop(dropped.place)
            self._end(journey, balancer.Result.REFUSED)
        ready = self._admission.next_ready(now_s)
        while ready is not None:
            self._start(self._journeys.pop(ready.place))
            ready = self._admission.next_ready(now_s)

    def _tick(self) -> None:
        now_s = self._setting.time.now_s
        self.slots.tick()
        self._sync_limits()
        self._tell_signs()
        self._pump()
        self._ask_loans()
        needs = self.router.probe_needs(now_s)
        for server_id in self._probes.take(needs, now_s):
            self._probe(server_id)
        self._setting.time.after(_TICK_S, self._tick)

    def _ask_loans(self) -> None:
        waiting = self._admission.waiting + len(self._unplaced)
        if waiting:
            now_s = self._setting.time.now_s
            self.slots.ask(self.router.loan_wishes(waiting, now_s), waiting)

    def _set_capacity(self) -> None:
        free = self.router.free_slots(self._setting.time.now_s)
        self._admission.set_capacity(self._admission.in_flight + free)

    def _sync_limits(self) -> None:
        for server_id in self.router.server_ids:
            self._sync_limit(server_id)
        self._set_capacity()

    def _sync_limit(self, server_id: ids.ServerId) -> None:
        now_s = self._setting.time.now_s
        self.slots.set_limit(
            server_id,
            self.router.limit(server_id, now_s),
            is_cold=self.router.is_cold(server_id),
        )

    def _probe(self, server_id: ids.ServerId) -> None:
        sent_s = self._setting.time.now_s

        def done(report: server.LoadReport | None) -> None:
            now_s = self._setting.time.now_s
            outcome: sample.AnswerSample | sample.FailureKind
            if report is None:
                outcome = sample.FailureKind.CONNECT_FAILED
            else:
                outcome = sample.AnswerSample(
                    now_s - sent_s, sample.AnswerStatus.OK, report
                )
            self.router.on_probe(server_id, outcome, now_s)
            self._sync_limit(server_id)

        self._network.probe(self._setting.entry, server_id, done)

    def _on_silence(self, journey: Journey, dispatch: sample.Dispatch) -> None:
        server_id = dispatch.server_id
        if not self.router.is_in_flight(dispatch):
            return
        if not self._probes.take_one(self._setting.time.now_s):
            return

        def done(report: server.LoadReport | None) -> None:
            if report is not None:
                self._network.renew(self._setting.entry, server_id)

        del journey
        self._network.probe(self._setting.entry, server_id, done)

    def _refresh_connection(
        self, journey: Journey, server_id: ids.ServerId
    ) -> None:
        confirm = request.RequestClass.AT_MOST_ONCE
        if journey.wanted.request_class is not confirm:
            return
        now_s = self._setting.time.now_s
        alive_s = self._alive_s.get(server_id, 0.0)
        if now_s - alive_s > _AGE_OF_ALIVE_S:
            self._network.renew(self._setting.entry, server_id)

    def _tell_signs(self) -> None:
        for sign in self.router.take_signs():
            self._tell_all(sign)

    def _tell_all(self, message: object) -> None:
        for name in self._members:
            if name != self._own:
                self._send(name, message)

    def _send(self, to: str, message: object) -> None:
        other = self._members[to]
        self._network.tell(
            self._setting.entry,
            other.slots.entry,
            lambda: other.on_message(message),
        )


def make_product(
    record: crew.Crew,
) -> Callable[[balancer.Setting], Product]:
    """Returns a maker of members that form one crew."""
    members: dict[str, Product] = {}
    return lambda setting: Product(setting, record, members)


def _fingerprint(wanted: request.Request) -> crash_messages.Fingerprint:
    return crash_messages.Fingerprint(
        wanted.customer, wanted.service, wanted.digest
    )
