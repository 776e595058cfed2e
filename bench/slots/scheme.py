"""Schemes by which the members of a crew share slots, on virtual time.

The crew of a service is the set of entry instances that dispatch to its
backend servers. A slot is the right to run one request on a server at a time.
"""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.model import crew as crew_model
from magnoliacrank.model import ids
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_ledger
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import slot_timing

if TYPE_CHECKING:
    from collections.abc import Callable

_SERVICE = ids.ServiceName("service")
_EXTRA_LOAN_SLOTS = 1
_TICK_S = 0.02


@attrs.frozen
class SlotLayout:
    """Numbers of slots and of the crew members that share them."""

    members: int
    """Number of crew members."""

    servers: int
    """Number of backend servers."""

    slots: int
    """Number of slots of each backend server."""

    one_way_s: float
    """Network delay of a message between two members in seconds."""


class Network(Protocol):
    """Virtual time and messages, as a scheme uses them."""

    @property
    def now_s(self) -> float:
        """Virtual time in seconds since the start of the run."""
        ...

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Schedules a callback after a delay in seconds."""
        ...

    def send_message(self, run: Callable[[], None]) -> None:
        """Sends a message; calls back when it arrives at another member."""
        ...


class Scheme(Protocol):
    """A scheme for sharing slots; members are numbered from 0."""

    def request_slot(
        self, member: int, start: Callable[[object], None]
    ) -> None:
        """Calls `start` with a slot as soon as a member may use one."""
        ...

    def release_slot(self, member: int, slot: object) -> None:
        """Frees a slot whose request has ended at a member."""
        ...


class NotShared:
    """Scheme without sharing: each member uses only the slots that it owns."""

    def __init__(self, layout: SlotLayout, _: Network) -> None:
        """Assigns the slots to the members evenly."""
        total = layout.servers * layout.slots
        each, more = divmod(total, layout.members)
        self._free = [each + (n < more) for n in range(layout.members)]
        self._waiting: list[collections.deque[Callable[[object], None]]] = [
            collections.deque() for _ in range(layout.members)
        ]

    def request_slot(
        self, member: int, start: Callable[[object], None]
    ) -> None:
        """Calls `start` once one of the member's own slots is free."""
        self._waiting[member].append(start)
        self._start_waiting(member)

    def release_slot(self, member: int, slot: object) -> None:
        """Frees a slot of the member."""
        del slot
        self._free[member] += 1
        self._start_waiting(member)

    def _start_waiting(self, member: int) -> None:
        while self._free[member] > 0 and self._waiting[member]:
            self._free[member] -= 1
            self._waiting[member].popleft()(None)


class Steward:
    """Scheme in which one member, the steward, grants all slots of a server.

    Each request for a slot, grant and release is a message, unless the
    member is the steward itself.
    """

    def __init__(self, layout: SlotLayout, network: Network) -> None:
        """Assigns the backend servers to the stewards evenly."""
        self._members = layout.members
        self._network = network
        self._free = [0] * layout.members
        for server in range(layout.servers):
            self._free[server % layout.members] += layout.slots
        self._queues: list[
            collections.deque[tuple[int, Callable[[object], None]]]
        ] = [collections.deque() for _ in range(layout.members)]
        self._next = 0

    def request_slot(
        self, member: int, start: Callable[[object], None]
    ) -> None:
        """Asks the next steward in turn for a slot."""
        self._next = (self._next + 1) % self._members
        steward = self._next
        self._send(
            member,
            steward,
            lambda: self._on_slot_request(steward, member, start),
        )

    def release_slot(self, member: int, slot: object) -> None:
        """Returns a slot to the steward that granted it."""
        assert isinstance(slot, int)
        self._send(member, slot, lambda: self._on_slot_freed(slot))

    def _send(self, sender: int, to: int, run: Callable[[], None]) -> None:
        if sender == to:
            run()
        else:
            self._network.send_message(run)

    def _on_slot_request(
        self, steward: int, member: int, start: Callable[[object], None]
    ) -> None:
        self._queues[steward].append((member, start))
        self._start_waiting(steward)

    def _on_slot_freed(self, steward: int) -> None:
        self._free[steward] += 1
        self._start_waiting(steward)

    def _start_waiting(self, steward: int) -> None:
        while self._free[steward] > 0 and self._queues[steward]:
            self._free[steward] -= 1
            member, start = self._queues[steward].popleft()
            self._send(steward, member, functools.partial(start, steward))


class OwnedAndLent:
    """Scheme of the product: each member owns slots and lends unused ones.

    It uses the slot ledgers of the policy library.
    """

    def __init__(self, layout: SlotLayout, network: Network) -> None:
        """Creates a slot ledger for each member."""
        self._network = network
        self._layout = layout
        self._crew = _build_crew(layout)
        self._servers = list(self._crew.shares)
        self._ledgers = [
            self._build_ledger(member.instance_id)
            for member in self._crew.members
        ]
        self._member_indices = {
            member.instance_id: number
            for number, member in enumerate(self._crew.members)
        }
        self._cursors = [0] * layout.members
        self._waiting: list[collections.deque[Callable[[object], None]]] = [
            collections.deque() for _ in range(layout.members)
        ]
        self._tick()

    def request_slot(
        self, member: int, start: Callable[[object], None]
    ) -> None:
        """Calls `start` with an own or borrowed slot once one is free."""
        self._waiting[member].append(start)
        self._start_waiting(member)

    def release_slot(self, member: int, slot: object) -> None:
        """Frees an own or borrowed slot."""
        assert isinstance(slot, slot_hold.SlotHold)
        self._ledgers[member].release(slot, self._network.now_s)
        self._start_waiting(member)

    def _build_ledger(self, name: ids.InstanceId) -> slot_ledger.SlotLedger:
        ledger = slot_ledger.SlotLedger(
            name, ids.Incarnation(1), slot_timing.SlotTiming()
        )
        ledger.set_crew(self._crew, 0.0)
        for server_id in self._servers:
            ledger.set_limit(
                server_id, self._layout.slots, is_cold=False, now_s=0.0
            )
        return ledger

    def _tick(self) -> None:
        """Runs the periodic work of all ledgers; the log counts as read."""
        now_s = self._network.now_s
        for member, ledger in enumerate(self._ledgers):
            ledger.confirm_by_log(now_s)
            self._send(ledger.tick(now_s))
            self._start_waiting(member)
        self._network.after(_TICK_S, self._tick)

    def _start_waiting(self, member: int) -> None:
        """Starts waiting requests; asks for loans when no slot is free."""
        waiting = self._waiting[member]
        while waiting:
            hold = self._take_free_slot(member)
            if hold is None:
                self._request_loans(member)
                return
            waiting.popleft()(hold)

    def _take_free_slot(self, member: int) -> slot_hold.SlotHold | None:
        ledger = self._ledgers[member]
        now_s = self._network.now_s
        count = len(self._servers)
        start = self._cursors[member]
        for step in range(count):
            server_id = self._servers[(start + step) % count]
            if ledger.free(server_id, now_s) > 0:
                self._cursors[member] = (start + step + 1) % count
                hold = ledger.acquire(server_id, now_s)
                if isinstance(hold, slot_hold.SlotHold):
                    return hold
        ledger.acquire(self._servers[start], now_s)
        return None

    def _request_loans(self, member: int) -> None:
        ledger = self._ledgers[member]
        most = len(self._waiting[member]) + _EXTRA_LOAN_SLOTS
        self._send(ledger.ask_loans(self._servers, most, self._network.now_s))

    def _send(self, outgoing: list[slot_messages.Outgoing]) -> None:
        for one in outgoing:
            self._network.send_message(functools.partial(self._deliver, one))

    def _deliver(self, outgoing: slot_messages.Outgoing) -> None:
        member = self._member_indices[outgoing.to]
        ledger = self._ledgers[member]
        self._send(ledger.on_message(outgoing.message, self._network.now_s))
        self._start_waiting(member)


def _build_crew(layout: SlotLayout) -> crew_model.Crew:
    """Returns a crew whose members own the slots in turn."""
    names = [ids.InstanceId(f"e{n}") for n in range(layout.members)]
    shares = {}
    for server in range(layout.servers):
        counts = dict.fromkeys(names, 0)
        for slot in range(layout.slots):
            turn = server * layout.slots + slot
            counts[names[turn % layout.members]] += 1
        shares[ids.ServerId(f"s{server}")] = counts
    members = tuple(
        crew_model.CrewMember(name, ids.Incarnation(1), ids.DataCentre("dc"))
        for name in names
    )
    return crew_model.Crew(_SERVICE, ids.LogOffset(0), members, shares)
