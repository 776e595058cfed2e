"""Ways in which the members of a crew share slots, on virtual time."""

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
_ASK_MORE = 1
_TICK_S = 0.02


@attrs.frozen
class Setting:
    """What is shared by whom."""

    members: int
    """Members of the crew."""

    servers: int
    """Backend servers."""

    slots: int
    """Slots of each backend server."""

    one_way_s: float
    """Seconds that a message between two members takes."""


class Network(Protocol):
    """Virtual time and messages."""

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        ...

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Runs something later."""
        ...

    def message(self, run: Callable[[], None]) -> None:
        """Runs something at another member, one way later."""
        ...


class Scheme(Protocol):
    """One way to share the slots."""

    def wait(self, member: int, start: Callable[[object], None]) -> None:
        """Calls back with a slot once the member has one."""
        ...

    def done(self, member: int, slot: object) -> None:
        """Gives the slot back after the work."""
        ...


class NotShared:
    """Each member uses its own slots alone."""

    def __init__(self, setting: Setting, _: Network) -> None:
        """Deals out the slots evenly."""
        total = setting.servers * setting.slots
        each, more = divmod(total, setting.members)
        self._free = [each + (n < more) for n in range(setting.members)]
        self._waiting: list[collections.deque[Callable[[object], None]]] = [
            collections.deque() for _ in range(setting.members)
        ]

    def wait(self, member: int, start: Callable[[object], None]) -> None:
        """Starts with an own slot, or waits for one."""
        self._waiting[member].append(start)
        self._pump(member)

    def done(self, member: int, slot: object) -> None:
        """Frees an own slot."""
        del slot
        self._free[member] += 1
        self._pump(member)

    def _pump(self, member: int) -> None:
        while self._free[member] > 0 and self._waiting[member]:
            self._free[member] -= 1
            self._waiting[member].popleft()(None)


class Steward:
    """One member grants all slots of a backend server, each by a message."""

    def __init__(self, setting: Setting, network: Network) -> None:
        """Deals out the backend servers evenly."""
        self._members = setting.members
        self._network = network
        self._free = [0] * setting.members
        for server in range(setting.servers):
            self._free[server % setting.members] += setting.slots
        self._queues: list[
            collections.deque[tuple[int, Callable[[object], None]]]
        ] = [collections.deque() for _ in range(setting.members)]
        self._next = 0

    def wait(self, member: int, start: Callable[[object], None]) -> None:
        """Asks the stewards in turn; the own one without a message."""
        self._next = (self._next + 1) % self._members
        steward = self._next
        self._send(
            member,
            steward,
            lambda: self._on_asked(steward, member, start),
        )

    def done(self, member: int, slot: object) -> None:
        """Tells the steward that the slot is free."""
        assert isinstance(slot, int)
        self._send(member, slot, lambda: self._on_freed(slot))

    def _send(self, sender: int, to: int, run: Callable[[], None]) -> None:
        if sender == to:
            run()
        else:
            self._network.message(run)

    def _on_asked(
        self, steward: int, member: int, start: Callable[[object], None]
    ) -> None:
        self._queues[steward].append((member, start))
        self._pump(steward)

    def _on_freed(self, steward: int) -> None:
        self._free[steward] += 1
        self._pump(steward)

    def _pump(self, steward: int) -> None:
        while self._free[steward] > 0 and self._queues[steward]:
            self._free[steward] -= 1
            member, start = self._queues[steward].popleft()
            self._send(steward, member, functools.partial(start, steward))


class OwnedAndLent:
    """The slot ledgers of the product."""

    def __init__(self, setting: Setting, network: Network) -> None:
        """Gives each member a ledger with its share."""
        self._network = network
        self._setting = setting
        self._crew = _deal(setting)
        self._servers = list(self._crew.shares)
        self._ledgers = [
            self._ledger(member.instance_id) for member in self._crew.members
        ]
        self._numbers = {
            member.instance_id: number
            for number, member in enumerate(self._crew.members)
        }
        self._cursors = [0] * setting.members
        self._waiting: list[collections.deque[Callable[[object], None]]] = [
            collections.deque() for _ in range(setting.members)
        ]
        self._tick()

    def wait(self, member: int, start: Callable[[object], None]) -> None:
        """Starts with a free slot, or asks for a loan and waits."""
        self._waiting[member].append(start)
        self._pump(member)

    def done(self, member: int, slot: object) -> None:
        """Frees a slot."""
        assert isinstance(slot, slot_hold.SlotHold)
        self._ledgers[member].release(slot, self._network.now_s)
        self._pump(member)

    def _ledger(self, name: ids.InstanceId) -> slot_ledger.SlotLedger:
        ledger = slot_ledger.SlotLedger(
            name, ids.Incarnation(1), slot_timing.SlotTiming()
        )
        ledger.set_crew(self._crew, 0.0)
        for server_id in self._servers:
            ledger.set_limit(
                server_id, self._setting.slots, is_cold=False, now_s=0.0
            )
        return ledger

    def _tick(self) -> None:
        """Reads the log and ticks, a few times a second."""
        now_s = self._network.now_s
        for member, ledger in enumerate(self._ledgers):
            ledger.heard_log(now_s)
            self._send(ledger.tick(now_s))
            self._pump(member)
        self._network.after(_TICK_S, self._tick)

    def _pump(self, member: int) -> None:
        """Starts what waits; asks for loans when no slot is free."""
        waiting = self._waiting[member]
        while waiting:
            hold = self._take(member)
            if hold is None:
                self._ask(member)
                return
            waiting.popleft()(hold)

    def _take(self, member: int) -> slot_hold.SlotHold | None:
        ledger = self._ledgers[member]
        now_s = self._network.now_s
        count = len(self._servers)
        start = self._cursors[member]
        for step in range(count):
            server_id = self._servers[(start + step) % count]
            if ledger.free(server_id, now_s) > 0:
                self._cursors[member] = (start + step + 1) % count
                hold = ledger.take(server_id, now_s)
                if isinstance(hold, slot_hold.SlotHold):
                    return hold
        ledger.take(self._servers[start], now_s)
        return None

    def _ask(self, member: int) -> None:
        ledger = self._ledgers[member]
        most = len(self._waiting[member]) + _ASK_MORE
        self._send(ledger.ask_loans(self._servers, most, self._network.now_s))

    def _send(self, outgoing: list[slot_messages.Outgoing]) -> None:
        for one in outgoing:
            self._network.message(functools.partial(self._deliver, one))

    def _deliver(self, outgoing: slot_messages.Outgoing) -> None:
        member = self._numbers[outgoing.to]
        ledger = self._ledgers[member]
        self._send(ledger.on_message(outgoing.message, self._network.now_s))
        self._pump(member)


def _deal(setting: Setting) -> crew_model.Crew:
    """Returns a crew record with the slots dealt out in turn."""
    names = [ids.InstanceId(f"e{n}") for n in range(setting.members)]
    shares = {}
    for server in range(setting.servers):
        counts = dict.fromkeys(names, 0)
        for slot in range(setting.slots):
            turn = server * setting.slots + slot
            counts[names[turn % setting.members]] += 1
        shares[ids.ServerId(f"s{server}")] = counts
    members = tuple(
        crew_model.CrewMember(name, ids.Incarnation(1), ids.DataCentre("dc"))
        for name in names
    )
    return crew_model.Crew(_SERVICE, ids.LogOffset(0), members, shares)
