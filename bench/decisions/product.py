"""The product's decisions on one entry instance, driven on virtual time."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bench.decisions import balancer
from bench.decisions import fake_server
from magnoliacrank.model import ids
from magnoliacrank.model import request
from magnoliacrank.model import server
from magnoliacrank.policy import hedge
from magnoliacrank.policy import probe_budget
from magnoliacrank.policy import router
from magnoliacrank.policy import sample

if TYPE_CHECKING:
    from collections.abc import Callable

_ROUTE = "route"
_PROBES_PER_S = 10.0
_TICK_S = 0.01
_MAX_ATTEMPTS = 3
_MAX_WAITING = 100
_NOT_RUN = (fake_server.Status.SHED, fake_server.Status.REFUSED)
_KINDS = {
    None: sample.FailureKind.TIMEOUT,
    fake_server.Status.RESET: sample.FailureKind.RESET,
    fake_server.Status.REFUSED: sample.FailureKind.CONNECT_FAILED,
}
_STATUSES = {
    fake_server.Status.OK: sample.AnswerStatus.OK,
    fake_server.Status.ERROR: sample.AnswerStatus.ERROR,
    fake_server.Status.SHED: sample.AnswerStatus.SHED,
}


class SharedSlots:
    """Ideal slots: every member knows at once what the others use."""

    def __init__(self) -> None:
        self.routers: list[router.Router] = []
        self._used: collections.Counter[str] = collections.Counter()

    def free(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns how many requests a server can be given now."""
        limit = min(one.limit(server_id, now_s) for one in self.routers)
        return limit - self._used[server_id]

    def take(self, server_id: ids.ServerId) -> None:
        """Occupies a slot."""
        self._used[server_id] += 1

    def release(self, server_id: ids.ServerId) -> None:
        """Frees a slot."""
        self._used[server_id] -= 1


class Product:
    """Routes, waits, retries and hedges by the policy library."""

    def __init__(
        self,
        setting: balancer.Setting,
        slots: SharedSlots,
        members: dict[int, Product],
    ) -> None:
        self._setting = setting
        self._slots = slots
        self._members = members
        members[setting.entry] = self
        self.router = router.Router(
            ids.DataCentre(setting.data_centre), slots, setting.rng
        )
        slots.routers.append(self.router)
        self._hedger = hedge.Hedger()
        self._probes = probe_budget.ProbeBudget(_PROBES_PER_S, 0.0)
        self._waiting: collections.deque[balancer.Call] = collections.deque()
        setting.time.after(setting.rng.random() * _TICK_S, self._tick)

    def set_servers(self, servers: list[server.BackendServer]) -> None:
        """Takes in the listing."""
        now_s = self._setting.time.now_s
        known = set(self.router.server_ids)
        self.router.set_servers(servers, now_s)
        if known:
            return
        for backend in servers:
            sign = sample.ServerSign(backend.server_id, 1, backend.slots, False)
            self.router.on_sign(sign, now_s)
        peers = self._setting.peers
        position = peers.index(self._setting.entry)
        owned = servers[position :: len(peers)]
        self._probes.set_share(len(owned), len(servers), now_s)
        self.router.set_owned([backend.server_id for backend in owned])

    def set_data_centres_out(self, out: frozenset[str]) -> None:
        """Takes in the data centres that get no new work."""
        self.router.set_data_centres_out(
            frozenset(ids.DataCentre(name) for name in out)
        )
        self._pump()

    def on_call(self, call: balancer.Call) -> None:
        """Starts the call or lets it wait."""
        self._hedger.on_request()
        if not self._waiting and self._start(call, ()):
            return
        if len(self._waiting) >= _MAX_WAITING:
            self._setting.network.finish(call, balancer.Result.REFUSED)
            return
        self._waiting.append(call)

    def _start(self, call: balancer.Call, failed: tuple[str, ...]) -> bool:
        now_s = self._setting.time.now_s
        chosen = self.router.choose(_ROUTE, call.request_class, failed, now_s)
        if isinstance(chosen, sample.NoServer):
            return False
        self._dispatch(call, chosen, failed)
        return True

    def _dispatch(
        self,
        call: balancer.Call,
        chosen: ids.ServerId,
        failed: tuple[str, ...],
    ) -> None:
        now_s = self._setting.time.now_s
        self._slots.take(chosen)
        dispatch = self.router.on_dispatch(chosen, _ROUTE, now_s)
        tried = (*failed, chosen)

        def done(attempt: balancer.Attempt) -> None:
            self._slots.release(chosen)
            self._learn(dispatch, attempt)
            self._on_end(call, tried, attempt)
            self._pump()

        network = self._setting.network
        network.dispatch(self._setting.entry, chosen, call, done)
        delay_s = self._hedger.delay_s(_ROUTE, call.request_class)
        if delay_s is not None and len(tried) == 1:
            self._setting.time.after(delay_s, lambda: self._hedge(call, tried))

    def _hedge(self, call: balancer.Call, tried: tuple[str, ...]) -> None:
        if call.result is not None or self._waiting:
            return
        now_s = self._setting.time.now_s
        chosen = self.router.choose(_ROUTE, call.request_class, tried, now_s)
        if isinstance(chosen, sample.NoServer):
            return
        if self._hedger.try_spend():
            self._dispatch(call, chosen, tried)

    def _learn(
        self, dispatch: sample.Dispatch, attempt: balancer.Attempt
    ) -> None:
        now_s = self._setting.time.now_s
        status = _STATUSES.get(attempt.status)
        if status is None:
            kind = _KINDS[attempt.status]
            self.router.on_failure(dispatch, kind, now_s)
        else:
            answer = sample.AnswerSample(
                attempt.latency_s, status, attempt.report
            )
            self.router.on_answer(dispatch, answer, now_s)
            if status is sample.AnswerStatus.OK:
                self._hedger.on_answer(_ROUTE, attempt.latency_s)
        self._tell_signs()

    def _tell_signs(self) -> None:
        for sign in self.router.take_signs():
            for peer in self._setting.peers:
                if peer != self._setting.entry:
                    self._tell(peer, sign)

    def _tell(self, peer: int, sign: sample.ServerSign) -> None:
        other = self._members[peer]
        time = self._setting.time
        self._setting.network.tell(
            self._setting.entry,
            peer,
            lambda: other.router.on_sign(sign, time.now_s),
        )

    def _on_end(
        self,
        call: balancer.Call,
        tried: tuple[str, ...],
        attempt: balancer.Attempt,
    ) -> None:
        finish = self._setting.network.finish
        if call.result is not None:
            return
        if attempt.status is fake_server.Status.OK:
            finish(call, balancer.Result.OK)
        elif len(tried) < _MAX_ATTEMPTS and _may_retry(call, attempt):
            if not self._start(call, tried):
                self._waiting.append(call)
        elif attempt.status in _NOT_RUN:
            finish(call, balancer.Result.REFUSED)
        else:
            finish(call, balancer.Result.FAILED)

    def _pump(self) -> None:
        now_s = self._setting.time.now_s
        while self._waiting:
            call = self._waiting[0]
            if call.deadline_s <= now_s:
                self._waiting.popleft()
                self._setting.network.finish(call, balancer.Result.REFUSED)
                continue
            if not self._start(call, ()):
                return
            self._waiting.popleft()

    def _tick(self) -> None:
        self._pump()
        now_s = self._setting.time.now_s
        needs = self.router.probe_needs(now_s)
        for server_id in self._probes.take(needs, now_s):
            self._probe(server_id)
        self._tell_signs()
        self._setting.time.after(_TICK_S, self._tick)

    def _probe(self, server_id: ids.ServerId) -> None:
        sent_s = self._setting.time.now_s

        def done(report: server.LoadReport | None) -> None:
            now_s = self._setting.time.now_s
            if report is None:
                kind = sample.FailureKind.CONNECT_FAILED
                self.router.on_probe(server_id, kind, now_s)
                return
            answer = sample.AnswerSample(
                now_s - sent_s, sample.AnswerStatus.OK, report
            )
            self.router.on_probe(server_id, answer, now_s)

        self._setting.network.probe(self._setting.entry, server_id, done)


def make_product() -> Callable[[balancer.Setting], Product]:
    """Returns a maker of members that form one crew."""
    slots = SharedSlots()
    members: dict[int, Product] = {}
    return lambda setting: Product(setting, slots, members)


def _may_retry(call: balancer.Call, attempt: balancer.Attempt) -> bool:
    if attempt.status is None:
        return False
    if attempt.status in _NOT_RUN:
        return True
    return call.request_class is not request.RequestClass.AT_MOST_ONCE
