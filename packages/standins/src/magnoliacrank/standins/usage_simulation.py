"""UsageSimulation: two holders of the usage duty in virtual time, with faults.

Each simulated instance has its own lease, counts and clock; the store and the
platform are shared. All instances know the same counts, but the report of one
also names its builder, so that two reports of a window are never equal by
chance.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from magnoliacrank.entry import duty_topic
from magnoliacrank.entry import event_log
from magnoliacrank.entry import usage_counter
from magnoliacrank.entry import usage_outbox
from magnoliacrank.entry import usage_reporter
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_records
from magnoliacrank.platform import usage_client
from magnoliacrank.policy import duty_lease
from magnoliacrank.policy import instance_roster
from magnoliacrank.policy import peer_status
from magnoliacrank.policy import site_mesh
from magnoliacrank.policy import usage_windows
from magnoliacrank.standins import usage_service

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 5.0
"""Length of a window in seconds."""

LATE_S = 10.0
"""Seconds after the end of a window until which its usage is due."""

LEASE_S = 3.0
"""Lease time of the duty in seconds."""

START_S = 1_700_000_000.0
"""Seconds since 1970 at the start, when a window begins."""

FIRST_WINDOW = int(START_S / WINDOW_S)
"""Number of the window that begins at the start."""

KEPT_WINDOWS = usage_windows.windows_to_keep(WINDOW_S, LATE_S)
"""Number of windows whose counts and reports are kept."""

_CALL_S = 0.01
_LATE_APPEND_S = 2.0
_TICK_S = 0.2


def _ignore_key(key: str) -> None:
    del key


def _knows_mesh(now_s: float) -> bool:
    del now_s
    return True


class Records:
    """Records of the duty's topic.

    Attributes:
        items: Key and value of each record.
        era: Number that rises when the store returns from an older copy.
    """

    def __init__(self) -> None:
        self.items: list[tuple[str, bytes]] = []
        self.era = 1

    def reset(self, lost: int) -> None:
        """Returns to an older copy, which lacks the newest records."""
        del self.items[len(self.items) - lost :]
        self.era += 1

    def append(self, key: str, value: bytes, end: int | None) -> int | None:
        """Appends a record; returns its offset, or None if `end` is wrong."""
        offset = len(self.items)
        if end is not None and end != offset:
            return None
        self.items.append((key, value))
        return offset


class SimulatedStore(store_client.StoreClient):
    """Client of the records for one instance.

    Attributes:
        is_cut_off: Whether calls fail without being executed.
        lost_appends: Number of next appends that get no answer.
        late_appends: Number of next appends that get no answer and are
            executed later.
        on_appended: Called with the key after each acknowledged append.
    """

    def __init__(self, records: Records) -> None:
        super().__init__("")
        self._records = records
        self.is_cut_off = False
        self.lost_appends = 0
        self.late_appends = 0
        self.on_appended: Callable[[str], None] = _ignore_key

    def learn_era(self) -> None:
        """Learns the store's era, as from the answer to another call."""
        self._note_era(str(self._records.era))

    async def newest(
        self, topic: str, timeout_s: float
    ) -> store_client.NewestRecords | store_client.StoreFailure:
        """See `StoreClient.newest`."""
        del topic, timeout_s
        await asyncio.sleep(_CALL_S)
        if self.is_cut_off:
            return _failure(store_client.StoreFailureKind.REFUSED)
        self.learn_era()
        newest = {
            key: store_records.KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(self._records.items)
        }
        end = len(self._records.items)
        return store_client.NewestRecords(tuple(newest.values()), end)

    async def append(
        self,
        topic: str,
        key: str,
        value: bytes,
        timeout_s: float,
        expected_end: int | None = None,
    ) -> int | store_client.StoreFailure:
        """See `StoreClient.append`."""
        del topic, timeout_s
        await asyncio.sleep(_CALL_S)
        if self.is_cut_off:
            return _failure(store_client.StoreFailureKind.REFUSED)
        if self.late_appends:
            self.late_appends -= 1
            asyncio.get_running_loop().call_later(
                _LATE_APPEND_S, self._records.append, key, value, expected_end
            )
            return _failure(store_client.StoreFailureKind.NO_ANSWER)
        offset = self._records.append(key, value, expected_end)
        if self.lost_appends:
            self.lost_appends -= 1
            return _failure(store_client.StoreFailureKind.NO_ANSWER)
        self.learn_era()
        if offset is None:
            return _failure(store_client.StoreFailureKind.CONFLICT)
        self.on_appended(key)
        return offset


def _failure(kind: store_client.StoreFailureKind) -> store_client.StoreFailure:
    return store_client.StoreFailure(kind, "simulated")


class _SimulatedClient(usage_client.UsageClient):
    """Client of the platform's interface for one instance."""

    def __init__(self, service: usage_service.UsageService) -> None:
        super().__init__(("127.0.0.1", 1))
        self._service = service
        self.is_cut_off = False

    async def report(
        self, holder: str, token: int, content: bytes, timeout_s: float
    ) -> usage_client.UsageResult:
        """See `UsageClient.report`."""
        if self.is_cut_off:
            return usage_client.UsageResult.UNAVAILABLE
        try:
            async with asyncio.timeout(timeout_s):
                return await self._service.call(holder, token, content)
        except TimeoutError:
            return usage_client.UsageResult.UNKNOWN


class _EventList(event_log.EventLog):
    """Keeps events in memory."""

    def __init__(self) -> None:
        super().__init__("simulated", "simulated", lambda: 0.0)
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, name: str, **fields: Any) -> None:
        """See `EventLog.event`."""
        self.events.append((name, fields))

    def warning(self, name: str, **fields: Any) -> None:
        """See `EventLog.warning`."""
        self.events.append((name, fields))


class _SimulatedRoster(instance_roster.InstanceRoster):
    """Membership as the simulation sets it."""

    def __init__(self, name: str, simulation: UsageSimulation) -> None:
        super().__init__(_status(name))
        self._simulation = simulation

    def mesh(self, now_s: float) -> site_mesh.SiteMesh:
        """See `InstanceRoster.mesh`."""
        del now_s
        names = self._simulation.names
        return site_mesh.SiteMesh(
            present=tuple(map(_status, self._simulation.present)),
            crews={},
            members={name: _status(name) for name in names},
            duty_ranking=tuple(names),
            mark=0,
        )


def _status(name: str) -> peer_status.PeerStatus:
    return peer_status.PeerStatus(
        node=name,
        data_centre="a",
        ip="127.0.0.1",
        incarnation=1,
        is_ready=True,
        is_leaving=False,
        is_mesh_member=True,
        capacity=1.0,
    )


class SimulatedInstance:
    """An instance that may hold the duty.

    Attributes:
        store: Its client of the store.
        ledger: Counts that it has gathered.
        outbox: Sends its reports.
    """

    def __init__(self, name: str, simulation: UsageSimulation) -> None:
        self._name = name
        self._simulation = simulation
        self.store = SimulatedStore(simulation.records)
        self._client = _SimulatedClient(simulation.service)
        self._log = _EventList()
        clock = simulation.time_s
        self._counter = usage_counter.UsageCounter(
            WINDOW_S,
            LATE_S,
            clock,
            is_enabled=True,
            time_of_day=lambda: START_S + clock(),
        )
        self.ledger = usage_windows.UsageLedger(self._counter.kept_windows)
        lease = duty_lease.DutyLease(name, LEASE_S)
        topic = duty_topic.DutyTopic(
            self.store, lease, KEPT_WINDOWS, clock, self._log
        )
        self.outbox = usage_outbox.UsageOutbox(
            name,
            50.0,
            self._client,
            lease,
            topic,
            self._counter.left_s,
            clock,
            self._log,
        )
        self._reporter = usage_reporter.UsageReporter(
            name,
            self._counter,
            self.ledger,
            topic,
            lease,
            self.outbox,
            _SimulatedRoster(name, simulation),
            _knows_mesh,
            self._log,
        )
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._task = asyncio.ensure_future(self._run())

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Returns the fields of the events with any of the names."""
        return [fields for name, fields in self._log.events if name in names]

    def reasons(self) -> list[str]:
        """Returns why the duty was lost and windows were not reported."""
        found = self.events("usage duty lost", "usage not reported")
        return [fields["reason"] for fields in found]

    def pause(self) -> None:
        """Suspends the process."""
        self._resumed.clear()

    def resume(self) -> None:
        """Lets the process run on."""
        self._resumed.set()

    def cut_off(self, *, is_cut_off: bool) -> None:
        """Cuts the instance off from the store and the platform, or heals."""
        self.store.is_cut_off = self._client.is_cut_off = is_cut_off

    def kill(self) -> None:
        """Ends the process; all see at once that it is lost."""
        self._task.cancel()
        self._simulation.names.remove(self._name)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            await self._resumed.wait()
            self._gather()
            await self._reporter.step()

    def _gather(self) -> None:
        current = self._counter.current_window()
        for window in range(max(current - 4, FIRST_WINDOW), current):
            counts = {"huka": 400, f"builder {self._name}": 1}
            self.ledger.merge(
                usage_windows.Source("front-1", 1),
                usage_windows.WindowCounts(
                    window, 1, is_final=True, counts=counts
                ),
                current,
            )


class UsageSimulation:
    """Two instances that may hold the duty, with the store and platform.

    Attributes:
        records: Records of the store.
        service: The platform's interface.
        names: Names of the instances in the duty order.
        present: Names of all live instances.
        a: The first instance.
        b: The second instance.
    """

    def __init__(self) -> None:
        self.records = Records()
        self.service = usage_service.UsageService(self.time_s)
        self.names = ["a", "b"]
        self.present: list[str] = []
        self.a = SimulatedInstance("a", self)
        self.b = SimulatedInstance("b", self)

    @staticmethod
    def time_s() -> float:
        """Returns the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def windows(self) -> list[int]:
        """Returns the numbers of the windows with an accepted report."""
        return sorted(self.service.accepted)
