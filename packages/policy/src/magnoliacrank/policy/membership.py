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
from magnoliacrank.model import server
from magnoliacrank.policy import heartbeat
from magnoliacrank.policy import member
from magnoliacrank.policy import member_table
from magnoliacrank.policy import monitor_ring
from magnoliacrank.policy import probe_table
from magnoliacrank.policy import update_queue

if TYPE_CHECKING:
    import random

    from magnoliacrank.model import ids

REMOVAL_BOUND_S = 5.0
"""A crashed member is removed everywhere within this many seconds."""

_MONITORED = 3
_HELPERS = 3
_PERIOD_S = 1.0
_SUSPICION_S = 2.0
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
        self._table = member_table.MemberTable()
        self._queue = update_queue.UpdateQueue()
        self._probes = probe_table.ProbeTable()
        self._listed: dict[ids.InstanceId, instance.EntryInstance] = {}
        self._due_s: dict[ids.InstanceId, float] = {}
        self._suspicion_ends_s: dict[ids.InstanceId, float] = {}
        self._unverified: dict[ids.InstanceId, member.MemberUpdate] = {}
        self._outgoing: list[heartbeat.Outgoing] = []
        self._tick_s = now_s
        self._heard_s = now_s
        self._changed_s = now_s
        self._next_push_s = now_s
        self._next_listed_s = now_s
        self._next_sync_s = now_s
        self._is_push_wanted = False
        self._is_changed = True
        self._is_superseded = False
        self._handlers = {
            heartbeat.HeartbeatKind.PING: self._on_ping,
            heartbeat.HeartbeatKind.ACK: self._on_ack,
            heartbeat.HeartbeatKind.PING_REQUEST: self._on_ping_request,
            heartbeat.HeartbeatKind.SYNC: self._on_sync,
        }
        self._put(_to_update(own), now_s)

    @property
    def members(self) -> tuple[instance.EntryInstance, ...]:
        """Live members, this instance included, in order of name."""
        present = self._table.list_present()
        present.sort(key=lambda one: one.instance_id)
        return tuple(self._to_instance(one) for one in present)

    @property
    def is_superseded(self) -> bool:
        """Whether a later life under the same name is running."""
        return self._is_superseded

    @property
    def heard_s(self) -> float:
        """Monotonic time in seconds of the last message from any member."""
        return self._heard_s

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns a live member, or None."""
        held = self._table.find(instance_id)
        if held is None or not held.is_present:
            return None
        return self._to_instance(held)

    def tick(self, now_s: float) -> None:
        """Does what is due; to be called about ten times a second."""
        pause_s = now_s - self._tick_s
        self._tick_s = now_s
        if pause_s > _PAUSE_S:
            self._on_pause(pause_s)
        self._expire_probes(now_s)
        self._expire_suspicions(now_s)
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
            self._apply(update, now_s)
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
        self._listed = {
            one.instance_id: one
            for one in listing.instances
            if one.instance_id != self._own_id
        }
        self._is_changed = True

    def leave(self, now_s: float) -> None:
        """Tells the others that this instance takes no new work."""
        own = self._own
        revision = own.revision + 1
        self._put(attrs.evolve(own, revision=revision, is_leaving=True), now_s)

    def depart(self, now_s: float) -> None:
        """Tells the others that this instance is gone."""
        targets = list(self._due_s)
        own = self._own
        update = attrs.evolve(
            own, revision=own.revision + 1, state=member.MemberState.LEFT
        )
        self._put(update, now_s)
        for target in targets:
            self._send_ping(target, 0)

    def take_outgoing(self) -> list[heartbeat.Outgoing]:
        """Returns the heartbeats to be sent and forgets them."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def take_change(self) -> MembershipChanged | None:
        """Returns the members once after each change, else None."""
        if not self._is_changed:
            return None
        self._is_changed = False
        return MembershipChanged(self.members)

    @property
    def _own(self) -> member.MemberUpdate:
        own = self._table.find(self._own_id)
        assert own is not None
        return own

    def _on_ping(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        _: float,
    ) -> list[heartbeat.Heartbeat]:
        ack = self._build(
            heartbeat.HeartbeatKind.ACK, sender.instance_id, message.sequence
        )
        if self._is_unknown(sender):
            ack = attrs.evolve(ack, is_sync_wanted=True)
        return [ack]

    def _on_ack(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        _: float,
    ) -> list[heartbeat.Heartbeat]:
        relay = self._probes.end(message.sequence)
        if relay is not None:
            self._send(
                relay.origin,
                self._build(
                    heartbeat.HeartbeatKind.ACK, relay.origin, relay.sequence
                ),
            )
        is_unknown = self._is_unknown(sender)
        if message.is_sync_wanted or is_unknown:
            self._send_sync(sender.instance_id, is_sync_wanted=is_unknown)
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

    def _apply(self, update: member.MemberUpdate, now_s: float) -> None:
        if update.instance_id == self._own_id:
            self._refute(update, now_s)
            return
        if not self._table.accepts(update):
            return
        held = self._table.find(update.instance_id)
        is_removal = update.state is member.MemberState.REMOVED
        if is_removal and held is not None and held.is_present:
            # Each member removes others on its own evidence alone.
            self._unverified[update.instance_id] = update
            return
        self._put(update, now_s)

    def _refute(self, update: member.MemberUpdate, now_s: float) -> None:
        own = self._own
        if update.incarnation > own.incarnation:
            self._is_superseded = True
        elif update.incarnation < own.incarnation:
            self._queue.add(own)
        elif update.precedence > own.precedence:
            revision = update.revision + 1
            self._put(attrs.evolve(own, revision=revision), now_s)

    def _put(self, update: member.MemberUpdate, now_s: float) -> None:
        before = self._table.find(update.instance_id)
        kept = self._table.put(update)
        self._unverified.pop(kept.instance_id, None)
        if kept.state is not member.MemberState.REMOVED:
            # A removal is never passed on, except in a SYNC.
            self._queue.add(kept)
            self._is_push_wanted = True
        if kept.state is member.MemberState.SUSPECT:
            self._suspicion_ends_s[kept.instance_id] = now_s + _SUSPICION_S
        else:
            self._suspicion_ends_s.pop(kept.instance_id, None)
        was_present = before is not None and before.is_present
        if kept.is_present or was_present:
            self._changed_s = now_s
            self._is_changed = True
        if kept.is_present != was_present:
            self._choose_targets(now_s)

    def _choose_targets(self, now_s: float) -> None:
        if not self._own.is_present:
            self._due_s = {}
            return
        present = self._table.list_present()
        targets = monitor_ring.choose_targets(self._own_id, present, _MONITORED)
        self._due_s = {
            target: self._due_s.get(
                target, now_s + _PERIOD_S * self._rng.random()
            )
            for target in targets
        }

    def _on_pause(self, pause_s: float) -> None:
        self._probes.clear()
        for instance_id in self._suspicion_ends_s:
            self._suspicion_ends_s[instance_id] += pause_s

    def _expire_probes(self, now_s: float) -> None:
        expired = self._probes.expire(now_s)
        for sequence, probe in expired.direct.items():
            self._probe_indirectly(probe.target, sequence)
        for probe in expired.failed:
            if probe.is_monitored:
                self._suspect(probe.target, now_s)

    def _probe_indirectly(self, target: ids.InstanceId, sequence: int) -> None:
        others = [
            one.instance_id
            for one in self._table.list_present()
            if one.instance_id not in (self._own_id, target)
        ]
        for helper in self._rng.sample(others, min(_HELPERS, len(others))):
            request = heartbeat.Heartbeat(
                heartbeat.HeartbeatKind.PING_REQUEST,
                sequence,
                target,
                digest=self._table.digest,
            )
            self._send(helper, request)
        self._send_ping(target, sequence)

    def _suspect(self, target: ids.InstanceId, now_s: float) -> None:
        held = self._table.find(target)
        if held is not None and held.state is member.MemberState.ALIVE:
            suspect = member.MemberState.SUSPECT
            self._put(attrs.evolve(held, state=suspect), now_s)

    def _expire_suspicions(self, now_s: float) -> None:
        for instance_id, end_s in list(self._suspicion_ends_s.items()):
            held = self._table.find(instance_id)
            if now_s >= end_s and held is not None:
                removed = member.MemberState.REMOVED
                self._put(attrs.evolve(held, state=removed), now_s)

    def _probe_targets(self, now_s: float) -> None:
        for target, due_s in self._due_s.items():
            if now_s >= due_s:
                self._due_s[target] = now_s + _PERIOD_S
                self._probe(target, now_s)

    def _verify_one(self, now_s: float) -> None:
        for target in self._unverified:
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
        absent = [one for one in self._listed if self.find(one) is None]
        if not absent or not self._own.is_present:
            return
        target = self._rng.choice(absent)
        sequence = self._probes.begin(target, now_s, is_monitored=False)
        self._send_ping(target, sequence)

    def _push(self, now_s: float) -> None:
        if not self._is_push_wanted or now_s < self._next_push_s:
            return
        self._is_push_wanted = False
        self._next_push_s = now_s + _PUSH_INTERVAL_S
        for target in self._due_s:
            if self._probes.is_pending(target):
                self._send_ping(target, 0)
                continue
            self._due_s[target] = now_s + _PERIOD_S
            self._probe(target, now_s)

    def _compare_digest(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        now_s: float,
    ) -> None:
        if message.digest == self._table.digest:
            return
        is_settled = now_s >= self._changed_s + _SETTLED_S
        if is_settled and now_s >= self._next_sync_s:
            self._next_sync_s = now_s + _SYNC_INTERVAL_S
            self._send_sync(sender.instance_id, is_sync_wanted=True)

    def _is_unknown(self, sender: heartbeat.HeartbeatSender) -> bool:
        held = self._table.find(sender.instance_id)
        if held is None or not held.is_present:
            return True
        return held.incarnation < sender.incarnation

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
            digest=self._table.digest,
            updates=tuple(self._table.list_all()),
        )

    def _build(
        self,
        kind: heartbeat.HeartbeatKind,
        recipient: ids.InstanceId,
        sequence: int,
    ) -> heartbeat.Heartbeat:
        updates = self._queue.take(self._table.present_count)
        about = self._unverified.get(recipient) or self._table.find(recipient)
        if about is not None and about.state is not member.MemberState.ALIVE:
            # The recipient shall have the chance to refute it.
            updates.insert(0, about)
        return heartbeat.Heartbeat(
            kind,
            sequence,
            digest=self._table.digest,
            updates=tuple(updates),
        )

    def _send(
        self, recipient: ids.InstanceId, message: heartbeat.Heartbeat
    ) -> None:
        address = self._find_address(recipient)
        if address is not None and recipient != self._own_id:
            self._outgoing.append(
                heartbeat.Outgoing(recipient, address, message)
            )

    def _find_address(
        self, instance_id: ids.InstanceId
    ) -> member.MemberAddress | None:
        held = self._table.find(instance_id)
        if held is not None and held.is_present:
            return held.address
        listed = self._listed.get(instance_id)
        if listed is not None:
            return _to_update(listed).address
        return held.address if held is not None else None

    def _to_instance(
        self, update: member.MemberUpdate
    ) -> instance.EntryInstance:
        address = update.address
        assert address is not None
        state = server.ListedState.LIVE
        if update.is_leaving or self._is_listed_leaving(update):
            state = server.ListedState.LEAVING
        return instance.EntryInstance(
            update.instance_id,
            address.data_centre,
            address.host,
            address.http_port,
            address.peer_port,
            update.incarnation,
            state,
        )

    def _is_listed_leaving(self, update: member.MemberUpdate) -> bool:
        listed = self._listed.get(update.instance_id)
        return (
            listed is not None
            and listed.incarnation == update.incarnation
            and listed.state is server.ListedState.LEAVING
        )


def _to_update(one: instance.EntryInstance) -> member.MemberUpdate:
    address = member.MemberAddress(
        one.data_centre, one.host, one.http_port, one.peer_port
    )
    is_leaving = one.state is server.ListedState.LEAVING
    return member.MemberUpdate(
        one.instance_id,
        one.incarnation,
        0,
        member.MemberState.ALIVE,
        is_leaving,
        address,
    )
