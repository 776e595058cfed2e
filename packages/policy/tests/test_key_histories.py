"""Simulation of idempotency keys on several instances under faults.

Callers repeat their requests to any instance while instances crash, shut
down and lose messages. The recorded history must contain at most one dispatch
per key, and none for a key that was reported as not run.
"""

from __future__ import annotations

import random
import uuid

import attrs
import pytest

from magnoliacrank.model import verdict
from magnoliacrank.policy import claim_index
from magnoliacrank.policy import history
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_handover
from magnoliacrank.policy import key_table
from magnoliacrank.policy import plain_keys
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import tickets

_NAMES = ("a", "b", "c")
_MINT_S = 20.0
_HORIZON_S = 40.0
_STEPS = 600
_LONG_BLOCKS = 10
_BLOCK_RUNS = 40
_ANSWER = key_entry.KeptAnswer(200, (), b"answer")
_LOST = verdict.may_have_run(verdict.Reason.CONNECTION_LOST)
_NO_SERVER = verdict.not_run(verdict.Reason.NO_SERVER)


class _Recorder:
    """Records the history of a simulation, with one global clock."""

    def __init__(self):
        self.now_s = 0.0
        self.events = []
        self.attempts = 0

    def dispatched(self, name, key):
        self.attempts += 1
        self.events.append(
            history.Dispatched(self.now_s, self.attempts, name, "s", key)
        )

    def reported(self, key, outcome):
        self.events.append(history.Reported(self.now_s, key, outcome))


@attrs.define(eq=False)
class _TicketIncarnation:
    """One incarnation of an instance that handles ticketed keys."""

    owner: slot_messages.InstanceIncarnation
    mint: tickets.TicketMint
    table: key_table.KeyTable
    inherited: key_handover.InheritedKeys
    is_gone: bool = False
    begun: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)


class _TicketWorld:
    """Three instances that exchange only forwarded requests and hand-overs."""

    def __init__(self, rng):
        self.rng = rng
        self.record = _Recorder()
        self.incarnations = {
            name: self._new_incarnation(name, 1) for name in _NAMES
        }
        self.keys = []
        self.forwards = []
        self.handovers = []

    def _new_incarnation(self, name, incarnation):
        return _TicketIncarnation(
            slot_messages.InstanceIncarnation(name, incarnation),
            tickets.TicketMint(name, incarnation, self.rng.randbytes(32)),
            key_table.KeyTable(
                mint_s=_MINT_S, horizon_s=_HORIZON_S, max_keys=40
            ),
            key_handover.InheritedKeys(max_keys=100, max_answers_bytes=10**6),
        )

    def clock(self, instance):
        return self.record.now_s + 7.0 * instance.owner.incarnation

    def step(self):
        actions = (
            (self._mint, 3),
            (self._send, 12),
            (self._deliver_forward, 8),
            (self._dispatch_or_refuse, 8),
            (self._end, 6),
            (self._crash, 0.3),
            (self._leave, 0.3),
            (self._deliver_handover, 3),
            (self._advance, 8),
        )
        (action,) = self.rng.choices(*zip(*actions, strict=True))
        action()

    def _random_instance(self):
        return self.incarnations[self.rng.choice(_NAMES)]

    def _mint(self):
        instance = self._random_instance()
        token = instance.mint.issue("service", self.clock(instance))
        for _ in range(self.rng.randint(1, 3)):
            name = f"k{len(self.keys)}"
            key = key_entry.ScopedKey("customer", "service", token, name)
            self.keys.append(key)

    def _send(self):
        if not self.keys:
            return
        key = self.rng.choice(self.keys[-30:])
        digest = b"other" if self.rng.random() < 0.05 else b"digest"
        self._receive(self._random_instance(), key, digest)

    def _receive(self, instance, key, digest):
        if instance.is_gone:
            return
        ticket = tickets.parse_unverified(key.ticket)
        named = slot_messages.InstanceIncarnation(
            ticket.instance_id, ticket.incarnation
        )
        if named == instance.owner:
            self._begin(instance, key, digest, ticket)
        elif self.incarnations[ticket.instance_id].owner == named:
            self.forwards.append((key, digest))
        else:
            decision = instance.inherited.answer(
                key, digest, self.clock(instance)
            )
            self._report(key, decision)

    def _begin(self, instance, key, digest, ticket):
        checked = instance.mint.verify(key.ticket, key.service)
        if isinstance(checked, tickets.TicketRejected):
            return
        decision = instance.table.begin(
            key, digest, ticket.issued_s, self.clock(instance)
        )
        if isinstance(decision, key_table.Dispatch):
            instance.begun.append(key)
        else:
            self._report(key, decision)

    def _report(self, key, decision):
        if isinstance(decision, key_table.AwaitFirst):
            return
        if decision.verdict.reason is not verdict.Reason.KEY_MISMATCH:
            self.record.reported(key, decision.verdict)

    def _deliver_forward(self):
        if not self.forwards:
            return
        index = self.rng.randrange(len(self.forwards))
        key, digest = self.forwards[index]
        if self.rng.random() < 0.8:
            del self.forwards[index]
        owner = tickets.parse_unverified(key.ticket).instance_id
        self._receive(self.incarnations[owner], key, digest)

    def _dispatch_or_refuse(self):
        """Dispatches a request that was let through, or refuses it before."""
        instance = self._random_instance()
        if not instance.begun:
            return
        key = instance.begun.pop(self.rng.randrange(len(instance.begun)))
        if self.rng.random() < 0.2:
            instance.table.finish(key, _NO_SERVER)
            self.record.reported(key, _NO_SERVER)
            return
        self.record.dispatched(instance.owner.instance_id, key)
        instance.sent.append(key)

    def _end(self):
        instance = self._random_instance()
        if not instance.sent:
            return
        key = instance.sent.pop(self.rng.randrange(len(instance.sent)))
        outcome = self.rng.choice([verdict.DONE, _LOST])
        answer = _ANSWER if outcome.is_done else None
        instance.table.finish(key, outcome, answer)
        self.record.reported(key, outcome)

    def _replace(self, instance):
        instance.is_gone = True
        name = instance.owner.instance_id
        self.incarnations[name] = self._new_incarnation(
            name, instance.owner.incarnation + 1
        )

    def _crash(self):
        self._replace(self._random_instance())

    def _leave(self):
        instance = self._random_instance()
        instance.table.close()
        while instance.begun:
            self._dispatch_begun(instance)
        now_s = self.clock(instance)
        keys = tuple(
            key_handover.hand_over(instance.table, instance.owner, now_s)
        )
        self._replace(instance)
        self.handovers.append(keys)

    def _dispatch_begun(self, instance):
        key = instance.begun.pop()
        self.record.dispatched(instance.owner.instance_id, key)

    def _deliver_handover(self):
        if not self.handovers:
            return
        index = self.rng.randrange(len(self.handovers))
        keys = self.handovers[index]
        if self.rng.random() < 0.5:
            del self.handovers[index]
        instance = self._random_instance()
        instance.inherited.take_over(keys, self.clock(instance))

    def _advance(self):
        self.record.now_s += self.rng.choice([0.1, 0.5, 2.0, 5.0])


@attrs.define(eq=False)
class _ClaimIncarnation:
    """One incarnation of an instance that handles plain keys."""

    owner: slot_messages.InstanceIncarnation
    keys: plain_keys.PlainKeys
    folded: int = 0
    is_gone: bool = False
    begun: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)


class _ClaimWorld:
    """Three instances that claim keys in one log, which has outages."""

    timing = plain_keys.PlainKeyTiming(
        horizon_s=30.0, skew_s=1.0, retention_s=60.0
    )

    def __init__(self, rng):
        self.rng = rng
        self.record = _Recorder()
        self.log = []
        self.log_is_up = True
        self.late_appends = []
        self.gone = set()
        self.incarnations = {
            name: self._new_incarnation(name, 1) for name in _NAMES
        }
        self.keys = []

    def _new_incarnation(self, name, incarnation):
        owner = slot_messages.InstanceIncarnation(name, incarnation)
        keys = plain_keys.PlainKeys(
            owner, self.timing, lambda other: other in self.gone
        )
        return _ClaimIncarnation(owner, keys)

    def step(self):
        actions = (
            (self._make_key, 3),
            (self._send, 15),
            (self._read, 15),
            (self._late_append, 3),
            (self._give_up, 1),
            (self._dispatch, 8),
            (self._end, 6),
            (self._crash, 0.4),
            (self._toggle_log, 0.5),
            (self._advance, 6),
        )
        (action,) = self.rng.choices(*zip(*actions, strict=True))
        action()

    def _random_instance(self):
        return self.incarnations[self.rng.choice(_NAMES)]

    def _make_key(self):
        milliseconds = int((1000.0 + self.record.now_s) * 1000)
        number = (milliseconds << 80) | (7 << 76) | (2 << 62)
        name = str(uuid.UUID(int=number | self.rng.getrandbits(60)))
        self.keys.append(key_entry.ScopedKey("customer", "service", "", name))

    def _send(self):
        if not self.keys:
            return
        self._receive(self._random_instance(), self.rng.choice(self.keys[-15:]))

    def _receive(self, instance, key):
        decision = instance.keys.begin(
            key,
            b"digest",
            unix_s=1000.0 + self.record.now_s,
            is_log_current=self.log_is_up and instance.folded == len(self.log),
        )
        if isinstance(decision, plain_keys.AppendClaim):
            self._append(instance, key)
        else:
            self._follow(instance, key, decision)

    def _follow(self, instance, key, decision):
        if isinstance(decision, key_table.Dispatch):
            instance.begun.append(key)
        elif isinstance(decision, plain_keys.ForwardTo):
            other = self.incarnations[decision.claimant.instance_id]
            if other.owner == decision.claimant:
                self._receive(other, key)
        elif isinstance(
            decision, (key_table.RepeatOutcome, key_table.KeyRefused)
        ):
            # This reason concerns the attempt only; the key may still run.
            reason = decision.verdict.reason
            if reason is not verdict.Reason.CLAIM_UNAVAILABLE:
                self.record.reported(key, decision.verdict)

    def _append(self, instance, key):
        claim = (key, instance.owner)
        fate = self.rng.random()
        if fate < 0.2:
            instance.keys.on_append_failed(key)
        elif fate < 0.5:
            self.late_appends.append(claim)
        else:
            self._write(claim)

    def _write(self, claim):
        key, owner = claim
        offset = len(self.log)
        self.log.append(claim_index.Claim(offset, key, b"digest", owner))

    def _late_append(self):
        if self.late_appends:
            index = self.rng.randrange(len(self.late_appends))
            self._write(self.late_appends.pop(index))

    def _read(self):
        instance = self._random_instance()
        if not self.log_is_up:
            return
        again = self.rng.random() < 0.1
        start = max(0, instance.folded - 3) if again else instance.folded
        for claim in self.log[start:]:
            decision = instance.keys.on_claim(claim, self.record.now_s)
            if decision is not None:
                self._follow(instance, claim.key, decision)
        instance.folded = len(self.log)

    def _give_up(self):
        if self.keys:
            self._random_instance().keys.abandon_claim(
                self.rng.choice(self.keys[-15:])
            )

    def _dispatch(self):
        instance = self._random_instance()
        if instance.begun:
            key = instance.begun.pop()
            self.record.dispatched(instance.owner.instance_id, key)
            instance.sent.append(key)

    def _end(self):
        instance = self._random_instance()
        if instance.sent:
            key = instance.sent.pop()
            instance.keys.table.finish(key, verdict.DONE, _ANSWER)
            self.record.reported(key, verdict.DONE)

    def _crash(self):
        instance = self._random_instance()
        name = instance.owner.instance_id
        self.incarnations[name] = self._new_incarnation(
            name, instance.owner.incarnation + 1
        )
        if self.rng.random() < 0.7:
            self.gone.add(instance.owner)

    def _toggle_log(self):
        self.log_is_up = not self.log_is_up

    def _advance(self):
        self.record.now_s += self.rng.choice([0.1, 0.5, 2.0])


def _run(world_type, seed, steps=_STEPS):
    world = world_type(random.Random(seed))
    for _ in range(steps):
        world.step()
    return world.record


def _violations(world_type, seeds, steps=_STEPS):
    return [
        (seed, violation)
        for seed in seeds
        for violation in history.check(_run(world_type, seed, steps).events)
    ]


def _forget(table, key):
    table._entries.pop(key, None)
    kept = [entry for entry in table._order if entry[1] != key]
    table._order.clear()
    table._order.extend(kept)


_WORLDS = pytest.mark.parametrize("world_type", [_TicketWorld, _ClaimWorld])


@_WORLDS
def test_random_histories_run_each_key_at_most_once(world_type):
    assert _violations(world_type, range(40)) == []
    assert sum(_run(world_type, seed).attempts for seed in range(40)) > 400


@pytest.mark.parametrize(
    ("world_type", "owner", "method", "faulty"),
    [
        (
            _TicketWorld,
            key_table.KeyTable,
            "_forget_old",
            lambda self, now_s: _forget(self, next(iter(self._entries), None)),
        ),
        (
            _TicketWorld,
            key_table.KeyTable,
            "finish",
            lambda self, key, outcome, answer=None: _forget(self, key),
        ),
        (
            _ClaimWorld,
            claim_index.ClaimIndex,
            "add",
            lambda self, claim, now_s: claim,
        ),
        (
            _ClaimWorld,
            plain_keys.PlainKeys,
            "_decide_claimed",
            lambda self, claim, digest: self._table.begin(
                claim.key, digest, 0.0, 0.0
            ),
        ),
    ],
    ids=["forgets-early", "forgets-ended", "last-wins", "takes-over-claims"],
)
def test_random_histories_of_faulty_tables_run_keys_twice(
    monkeypatch, world_type, owner, method, faulty
):
    monkeypatch.setattr(owner, method, faulty)
    assert _violations(world_type, range(20)) != []


@pytest.mark.histories
@_WORLDS
@pytest.mark.parametrize("block", range(_LONG_BLOCKS))
def test_long_random_histories_run_each_key_at_most_once(world_type, block):
    first = 10_000 + block * _BLOCK_RUNS
    seeds = range(first, first + _BLOCK_RUNS)
    assert _violations(world_type, seeds, 4 * _STEPS) == []
