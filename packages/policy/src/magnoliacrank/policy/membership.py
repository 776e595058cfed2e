"""SWIM-style failure detector between entry instances.

Each member pings up to three others, chosen by rings over all members
(`monitor_ring`), and asks further members to ping one that does not answer. A
member that doesn't answer those either becomes suspect, and is removed unless
it refutes that in time. Updates about members are piggybacked on the pings.
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
"""Maximum time until every instance has removed a crashed member."""

_INDIRECT_PROBES = 3
_PUSH_FAN_OUT = 3
_PROBE_INTERVAL_S = 1.0
_PAUSE_THRESHOLD_S = 1.0
_PUSH_INTERVAL_S = 0.1
_LISTED_PROBE_INTERVAL_S = 1.0
_STABLE_VIEW_S = 2.0
_SYNC_INTERVAL_S = 5.0


@attrs.frozen
class MembershipChanged:
    """Event: the set of live members, or the state of one, has changed."""

    members: tuple[instance.EntryInstance, ...]
    """All live members, this instance included, in order of name."""


class FailureDetector:
    """Decides which entry instances are live, from the view of one of them.

    The caller supplies the time, calls `tick` regularly, passes in received
    heartbeats and sends those that `take_outgoing` and `receive` return.
    """

    def __init__(
        self, own: instance.EntryInstance, rng: random.Random, now_s: float
    ) -> None:
        """Starts with this instance as the only member.

        Args:
            own: This instance.
            rng: Random number generator for probe times and the choice of
                members.
            now_s: Current monotonic time, in seconds.
        """
        self._own_id = own.instance_id
        self._rng = rng
        self._view = member_view.MemberView(own, now_s)
        self._probes = probe_table.ProbeTable()
        self._next_probe_s: dict[ids.InstanceId, float] = {}
        self._generation = -1
        self._outgoing: list[heartbeat.Outgoing] = []
        self._last_tick_s = now_s
        self._last_heard_s = now_s
        self._next_push_s = now_s
        self._next_listed_probe_s = now_s
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
        """Whether a later incarnation of this instance is running."""
        return self._view.is_superseded

    @property
    def last_heard_s(self) -> float:
        """Monotonic time in seconds of the last message from any member."""
        return self._last_heard_s

    def find(
        self, instance_id: ids.InstanceId
    ) -> instance.EntryInstance | None:
        """Returns a live member, or None."""
        return self._view.find(instance_id)

    def tick(self, now_s: float) -> None:
        """Advances timeouts and queues heartbeats that are due.

        Call it about ten times a second. After a longer pause of the process,
        pending probes are dropped and suspicions extended, since answers could
        not be received meanwhile.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        pause_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if pause_s > _PAUSE_THRESHOLD_S:
            self._probes.clear()
            self._view.extend_suspicions(pause_s)
        self._expire_probes(now_s)
        self._view.expire_suspicions(now_s)
        self._choose_targets(now_s)
        self._probe_targets(now_s)
        self._probe_one_unverified(now_s)
        self._probe_listed(now_s)
        self._push(now_s)

    def receive(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        now_s: float,
    ) -> list[heartbeat.Heartbeat]:
        """Processes a heartbeat and returns the answers for its sender."""
        self._last_heard_s = now_s
        for update in message.updates:
            self._view.apply(update, now_s)
        answers = self._handlers[message.kind](sender, message, now_s)
        self._sync_if_digest_differs(sender, message, now_s)
        return answers

    def on_send_failed(self, sequence: int, now_s: float) -> None:
        """Records that a ping could not be sent.

        Its probe continues through other members without waiting for an
        answer.

        Args:
            sequence: Sequence of the ping.
            now_s: Current monotonic time, in seconds.
        """
        self._probes.on_send_failed(sequence, now_s)

    def update_listing(self, listing: instance.LiveListing) -> None:
        """Replaces the platform's list of instances, which lags behind.

        A listed instance that isn't a live member is probed until it answers.
        A member that is missing from the list stays one as long as it answers.
        """
        self._view.update_listing(listing)

    def leave(self, now_s: float) -> None:
        """Announces to other members that this instance takes no new work."""
        self._view.update_own(now_s, is_leaving=True)
        self._push(now_s)

    def depart(self, now_s: float) -> None:
        """Announces to other members that this instance has left."""
        self._view.update_own(now_s, state=member.MemberState.LEFT)
        for target in self._next_probe_s:
            self._send_ping(target, 0)
        self._next_probe_s = {}

    def take_outgoing(self) -> list[heartbeat.Outgoing]:
        """Returns the queued heartbeats to send, and clears the queue."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def take_change(self) -> MembershipChanged | None:
        """Returns an event after a change of the members, or None."""
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
        # A suspect is left out of the rings at once, so that the members it
        # monitored get another monitor before it is removed.
        targets = monitor_ring.choose_targets(
            self._own_id, self._view.list_alive()
        )
        due_s = {}
        for target in targets:
            first_s = now_s + _PROBE_INTERVAL_S * self._rng.random()
            due_s[target] = self._next_probe_s.get(target, first_s)
        self._next_probe_s = due_s

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
        for helper in self._rng.sample(
            others, min(_INDIRECT_PROBES, len(others))
        ):
            request = self._build(
                heartbeat.HeartbeatKind.PING_REQUEST, helper, sequence
            )
            self._send(helper, attrs.evolve(request, target=target))
        self._send_ping(target, sequence)

    def _probe_targets(self, now_s: float) -> None:
        for target, due_s in self._next_probe_s.items():
            if now_s >= due_s:
                self._next_probe_s[target] = now_s + _PROBE_INTERVAL_S
                self._probe(target, now_s)

    def _probe_one_unverified(self, now_s: float) -> None:
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
        if now_s < self._next_listed_probe_s:
            return
        self._next_listed_probe_s = now_s + _LISTED_PROBE_INTERVAL_S
        missing = self._view.list_missing()
        if missing:
            target = self._rng.choice(missing)
            sequence = self._probes.begin(target, now_s, is_monitored=False)
            self._send_ping(target, sequence)

    def _push(self, now_s: float) -> None:
        if now_s < self._next_push_s or not self._view.take_push_wanted():
            return
        self._next_push_s = now_s + _PUSH_INTERVAL_S
        for target in self._choose_push_targets():
            self._send_ping(target, 0)

    def _choose_push_targets(self) -> list[ids.InstanceId]:
        """Returns the members to push new updates to.

        These are the monitored members that answer. Random others replace the
        missing ones, so that updates spread even if all monitored members are
        lost.
        """
        chosen = [
            one
            for one in self._next_probe_s
            if self._view.is_alive(one) and not self._probes.is_pending(one)
        ]
        others = [
            one.instance_id
            for one in self._view.list_alive()
            if one.instance_id != self._own_id
            and one.instance_id not in self._next_probe_s
        ]
        missing = max(0, _PUSH_FAN_OUT - len(chosen))
        return chosen + self._rng.sample(others, min(missing, len(others)))

    def _sync_if_digest_differs(
        self,
        sender: heartbeat.HeartbeatSender,
        message: heartbeat.Heartbeat,
        now_s: float,
    ) -> None:
        if message.digest == self._view.digest:
            return
        is_settled = now_s >= self._view.changed_s + _STABLE_VIEW_S
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
