"""Failure detector between entry instances, in the manner of SWIM.

Each member pings a fixed number of others, which a few rings over all members
choose, and asks others to ping a member that does not answer. A member that
nobody reaches is suspected, and removed unless it refutes that in time.
Statements about members ride on the pings.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import instance
from magnoliacrank.policy import heartbeat
from magnoliacrank.policy import member
from magnoliacrank.policy import member_view
from magnoliacrank.policy import monitor_ring
from magnoliacrank.policy import probe_table

if TYPE_CHECKING:
    import random

    from magnoliacrank.model import ids

REMOVAL_BOUND_S = 5.0
"""A crashed member is removed everywhere within this many seconds."""

_HELPERS = 3
_PUSH_FAN_OUT = 3
_PERIOD_S = 1.0
_PAUSE_S = 1.0
_PUSH_INTERVAL_S = 0.1
_LISTED_INTERVAL_S = 1.0
_SETTLED_S = 2.0
_SYNC_INTERVAL_S = 5.0


@attrs.frozen
class MembershipChanged:
    """The members that count as live are others than before."""

    members: tuple[instance.EntryInstance, ...]
    """All live members, this instance included, in order of name."""


class FailureDetector:
    """Decides which entry instances are live, as seen by one of them."""

    def __init__(
        self, own: instance.EntryInstance, rng: random.Random, now_s: float
    ) -> None:
        """Starts with this instance as the only member.

        Args:
            own: This instance.
            rng: Source of randomness.
            now_s: Monotonic time in seconds.
        """
        self._own_id = own.instance_id
        self._rng = rng
        self._view = member_view.MemberView(own, now_s)
        self._probes = probe_table.ProbeTable()
        self._due_s: dict[ids.InstanceId, float] = {}
        self._generation = -1
        self._outgoing: list[heartbeat.Outgoing] = []
        self._tick_s = now_s
        self._heard_s = now_s
        self._next_push_s = now_s
        self._next_listed_s = now_s
        self._next_sync_s = now_s
        self._handlers = {
            heartbeat.HeartbeatKind.PING: self._on_ping,
            heartbeat.HeartbeatKind.ACK: self._on_ack,
            heartbeat.HeartbeatKind.PING_REQUEST: self._on_ping_request,
            heartbeat.HeartbeatKind.SYNC: self._on_sync,
        }

    @property
    def members(self) -> tuple[instance.EntryInstance, ...]:
        """Live members, this instance included, in order of name."""
        return self._view.members

    @property
    def is_superseded(self) -> bool:
        """Whether a later life under the same name is running."""
        return self._view.is_superseded

    @property
    def heard_s(self) -> float:
        """Monotonic time in seconds of the last message from any member."""
        return self._heard_s

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns a live member, or None."""
        return self._view.find(instance_id)

    def tick(self, now_s: float) -> None:
        """Does what is due; to be called about ten times a second."""
        pause_s = now_s - self._tick_s
        self._tick_s = now_s
        if pause_s > _PAUSE_S:
            self._probes.clear()
            self._view.extend_suspicions(pause_s)
        self._expire_probes(now_s)
        self._view.expire_suspicions(now_s)
        self._choose_targets(now_s)
        self._probe_targets(now_s)
        self._verify_one(now_s)
        self._probe_listed(now_s)
        self._push(now_s)

    def receive(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        now_s: float,
    ) -> list[heartbeat.Heartbeat]:
        """Takes a heartbeat and returns the answers for its sender."""
        self._heard_s = now_s
        for update in message.updates:
            self._view.apply(update, now_s)
        answers = self._handlers[message.kind](sender, message, now_s)
        self._compare_digest(sender, message, now_s)
        return answers

    def hasten(self, sequence: int, now_s: float) -> None:
        """Notes that the ping with a sequence could not be sent."""
        self._probes.hasten(sequence, now_s)

    def update_listing(self, listing: instance.Listing) -> None:
        """Takes the platform's lagging list of instances.

        A listed instance is probed until it answers; one that is missing from
        the list stays a member as long as it answers.
        """
        self._view.update_listing(listing)

    def leave(self, now_s: float) -> None:
        """Tells the others that this instance takes no new work."""
        self._view.restate(now_s, is_leaving=True)
        self._push(now_s)

    def depart(self, now_s: float) -> None:
        """Tells the others that this instance is gone."""
        self._view.restate(now_s, state=member.MemberState.LEFT)
        for target in self._due_s:
            self._send_ping(target, 0)
        self._due_s = {}

    def take_outgoing(self) -> list[heartbeat.Outgoing]:
        """Returns the heartbeats to be sent and forgets them."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def take_change(self) -> MembershipChanged | None:
        """Returns the members once after each change, else None."""
        if not self._view.take_changed():
            return None
        return MembershipChanged(self._view.members)

    def _on_ping(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        _: float,
    ) -> list[heartbeat.Heartbeat]:
        ack = self._build(
            heartbeat.HeartbeatKind.ACK, sender.instance_id, message.sequence
        )
        if not self._view.is_known(sender.instance_id, sender.incarnation):
            ack = attrs.evolve(ack, is_sync_wanted=True)
        held = self._view.find_update(sender.instance_id)
        if held is not None and held.incarnation > sender.incarnation:
            ack = attrs.evolve(ack, updates=(held, *ack.updates))
        return [ack]

    def _on_ack(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        _: float,
    ) -> list[heartbeat.Heartbeat]:
        relay = self._probes.end(message.sequence)
        if relay is not None:
            ack = self._build(
                heartbeat.HeartbeatKind.ACK, relay.origin, relay.sequence
            )
            self._send(relay.origin, ack)
        is_known = self._view.is_known(sender.instance_id, sender.incarnation)
        if message.is_sync_wanted or not is_known:
            self._send_sync(sender.instance_id, is_sync_wanted=not is_known)
        return []

    def _on_ping_request(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        now_s: float,
    ) -> list[heartbeat.Heartbeat]:
        if message.target is not None:
            sequence = self._probes.begin_relay(
                sender.instance_id, message.sequence, now_s
            )
            self._send_ping(message.target, sequence)
        return []

    def _on_sync(
        self,
        _: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        __: float,
    ) -> list[heartbeat.Heartbeat]:
        if message.is_sync_wanted:
            return [self._build_sync(is_sync_wanted=False)]
        return []

    def _choose_targets(self, now_s: float) -> None:
        if self._generation == self._view.generation:
            return
        self._generation = self._view.generation
        # A suspect's place in the rings is taken over at once, so that what it
        # monitored does not wait for its removal.
        targets = monitor_ring.choose_targets(
            self._own_id, self._view.list_alive()
        )
        due_s = {}
        for target in targets:
            first_s = now_s + _PERIOD_S * self._rng.random()
            due_s[target] = self._due_s.get(target, first_s)
        self._due_s = due_s

    def _expire_probes(self, now_s: float) -> None:
        expired = self._probes.expire(now_s)
        for sequence, probe in expired.direct.items():
            self._probe_indirectly(probe.target, sequence)
        for probe in expired.failed:
            if probe.is_monitored:
                self._view.suspect(probe.target, now_s)

    def _probe_indirectly(self, target: ids.InstanceId, sequence: int) -> None:
        others = [
            one.instance_id
            for one in self._view.list_present()
            if one.instance_id not in (self._own_id, target)
        ]
        for helper in self._rng.sample(others, min(_HELPERS, len(others))):
            request = self._build(
                heartbeat.HeartbeatKind.PING_REQUEST, helper, sequence
            )
            self._send(helper, attrs.evolve(request, target=target))
        self._send_ping(target, sequence)

    def _probe_targets(self, now_s: float) -> None:
        for target, due_s in self._due_s.items():
            if now_s >= due_s:
                self._due_s[target] = now_s + _PERIOD_S
                self._probe(target, now_s)

    def _verify_one(self, now_s: float) -> None:
        for target in self._view.list_unverified():
            if not self._probes.is_pending(target):
                self._probe(target, now_s)
                return

    def _probe(self, target: ids.InstanceId, now_s: float) -> None:
        if self._probes.is_pending(target):
            return
        sequence = self._probes.begin(target, now_s, is_monitored=True)
        self._send_ping(target, sequence)

    def _probe_listed(self, now_s: float) -> None:
        if now_s < self._next_listed_s:
            return
        self._next_listed_s = now_s + _LISTED_INTERVAL_S
        unheard = self._view.list_unheard()
        if unheard:
            target = self._rng.choice(unheard)
            sequence = self._probes.begin(target, now_s, is_monitored=False)
            self._send_ping(target, sequence)

    def _push(self, now_s: float) -> None:
        if now_s < self._next_push_s or not self._view.take_push_wanted():
            return
        self._next_push_s = now_s + _PUSH_INTERVAL_S
        for target in self._choose_push_targets():
            self._send_ping(target, 0)

    def _choose_push_targets(self) -> list[ids.InstanceId]:
        """Returns whom to tell news at once: monitored members that answer.

        Others at random stand in for those that do not, since news must also
        spread where all monitored members are lost.
        """
        chosen = [
            one
            for one in self._due_s
            if self._view.is_alive(one) and not self._probes.is_pending(one)
        ]
        others = [
            one.instance_id
            for one in self._view.list_alive()
            if one.instance_id != self._own_id
            and one.instance_id not in self._due_s
        ]
        missing = max(0, _PUSH_FAN_OUT - len(chosen))
        return chosen + self._rng.sample(others, min(missing, len(others)))

    def _compare_digest(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        now_s: float,
    ) -> None:
        if message.digest == self._view.digest:
            return
        is_settled = now_s >= self._view.changed_s + _SETTLED_S
        if is_settled and now_s >= self._next_sync_s:
            self._next_sync_s = now_s + _SYNC_INTERVAL_S
            self._send_sync(sender.instance_id, is_sync_wanted=True)

    def _send_ping(self, target: ids.InstanceId, sequence: int) -> None:
        ping = self._build(heartbeat.HeartbeatKind.PING, target, sequence)
        self._send(target, ping)

    def _send_sync(
        self, target: ids.InstanceId, *, is_sync_wanted: bool
    ) -> None:
        self._send(target, self._build_sync(is_sync_wanted=is_sync_wanted))

    def _build_sync(self, *, is_sync_wanted: bool) -> heartbeat.Heartbeat:
        return heartbeat.Heartbeat(
            heartbeat.HeartbeatKind.SYNC,
            is_sync_wanted=is_sync_wanted,
            digest=self._view.digest,
            updates=self._view.list_all(),
        )

    def _build(
        self,
        kind: heartbeat.HeartbeatKind,
        recipient: ids.InstanceId,
        sequence: int,
    ) -> heartbeat.Heartbeat:
        return heartbeat.Heartbeat(
            kind,
            sequence,
            digest=self._view.digest,
            updates=self._view.take_updates(recipient),
        )

    def _send(
        self, recipient: ids.InstanceId, message: heartbeat.Heartbeat
    ) -> None:
        address = self._view.find_address(recipient)
        if address is not None and recipient != self._own_id:
            self._outgoing.append(
                heartbeat.Outgoing(recipient, address, message)
            )
