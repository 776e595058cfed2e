"""DemoWorld: a whole system in one process, for the demo and for tests."""

from __future__ import annotations

import asyncio
import datetime
from typing import TYPE_CHECKING

from magnoliacrank.cli import entry_process
from magnoliacrank.cli import list_reader
from magnoliacrank.cli import log_session
from magnoliacrank.cli import publish
from magnoliacrank.cli import settings
from magnoliacrank.model import ids
from magnoliacrank.standins import backend_server
from magnoliacrank.standins import backend_server_settings
from magnoliacrank.standins import execution_journal
from magnoliacrank.standins import platform_store
from magnoliacrank.standins import server_registry
from magnoliacrank.state import publisher

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

HOST = "127.0.0.1"
"""IP address on which the entry instances listen."""

TOPIC = "demo"
"""Topic of the store that holds the system's log."""

CUSTOMER = "cirelis"
"""The only customer in the demo's lists."""

SERVICE = "rounds"
"""The only service in the demo's lists."""

DATA_CENTRES = ("rennes", "brest", "vannes")
"""Names of the data centres; each runs one entry instance."""

_SERVERS_PER_DATA_CENTRE = 2
_SLOTS = 4
_SERVICE_TIME_S = 0.004
_LIST_PERIOD_S = 0.2
_ENTRY_TTL_S = 1.0
_TIMEOUT_S = 10.0
_POLL_S = 0.02

_PLANS = """\
data_centres:
{data_centres}
plans:
  - customer: cirelis
    services:
      - name: rounds
        version: "{version}"
{deadline}
        data_centres: [rennes, brest, vannes]
        routes:
          - name: stops
            path_prefix: /stops
            methods: [GET]
            class: idempotent
            deadline_ms: 1000
          - name: refills
            path_prefix: /refills
            methods: [POST]
            class: at-most-once
            deadline_ms: 3000
          - name: sheets
            path_prefix: /sheets
            methods: [PUT]
            class: deferrable
            deadline_ms: 10000
"""

_ALLOWANCES = """\
allowances:
  - customer: cirelis
    rate_per_s: 3000
    concurrency: 300
    measuring_rate_per_s: 20
"""


class DemoError(Exception):
    """The demo can't continue, for example because lists were refused."""


class DemoWorld:
    """A store stand-in, entry instances and backend servers in one process."""

    def __init__(self) -> None:
        self.journal = execution_journal.ExecutionJournal()
        """Executions of requests by all backend servers."""

        self.version = "1.0"
        """Service version that the next published list of plans names."""

        self.states = dict.fromkeys(DATA_CENTRES, "in")
        """Data centre states, `in` or `out`, for the next list of plans."""

        self._store = platform_store.PlatformStore()
        self._registry = server_registry.ServerRegistry(self._store)
        self._processes: list[entry_process.EntryProcess] = []
        self._servers: dict[str, backend_server.BackendServer] = {}
        self._session: log_session.LogSession | None = None

    @property
    def servers(self) -> Mapping[str, backend_server.BackendServer]:
        """Backend servers by server id."""
        return self._servers

    @property
    def processes(self) -> tuple[entry_process.EntryProcess, ...]:
        """The entry instances, one for each data centre."""
        return tuple(self._processes)

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the entry instances."""
        return tuple(
            f"http://{one.own.host}:{one.own.http_port}"
            for one in self._processes
        )

    @property
    def session(self) -> log_session.LogSession:
        """Operator's connection to the log; set once `start` has returned."""
        assert self._session is not None
        return self._session

    async def start(self) -> None:
        """Starts the store, the instances, the servers and the log session.

        The lists are not published yet; see `publish`.

        Raises:
            DemoError: The log could not be read in time.
        """
        await self._store.start()
        for data_centre in DATA_CENTRES:
            await self._start_instance(data_centre)
        await self.start_servers("1.0")
        self._session = log_session.LogSession(self._store.url, TOPIC)
        if not await self._session.start(_TIMEOUT_S):
            raise DemoError(
                "the log could not be read from the store stand-in in time"
            )

    async def close(self) -> None:
        """Stops everything that `start` and `start_servers` started."""
        if self._session is not None:
            await self._session.close()
        for process in self._processes:
            await process.close(grace_s=1.0)
        for server in self._servers.values():
            await server.close()
        await self._store.close()

    async def start_servers(
        self, version: str, *, is_faulty: bool = False
    ) -> None:
        """Starts backend servers of a version in each data centre.

        They are registered in the store stand-in.

        Args:
            version: Software version of the servers.
            is_faulty: Whether they answer each request with an error.
        """
        for data_centre in DATA_CENTRES:
            for number in range(_SERVERS_PER_DATA_CENTRE):
                options = backend_server_settings.BackendServerSettings(
                    server_id=f"{data_centre}-{version}-{number}",
                    service=SERVICE,
                    version=version,
                    data_centre=data_centre,
                    slots=_SLOTS,
                    service_time_s=_SERVICE_TIME_S,
                    cold_requests=5,
                )
                server = backend_server.BackendServer(options, self.journal)
                server.faults.fail = is_faulty
                await server.start()
                self._servers[options.server_id] = server
                self._registry.put(server.listed)

    async def publish(self, deadline_s: float | None = None) -> float:
        """Publishes the lists and waits until they apply on every instance.

        Args:
            deadline_s: Seconds from now to the deadline of the move to
                `version`, or None for no deadline.

        Returns:
            Seconds from the call until the last instance has applied the edit.

        Raises:
            DemoError: The lists are invalid or were not accepted.
            TimeoutError: An instance did not apply the edit in time.
        """
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        lists = list_reader.read_lists(
            "plans.yaml",
            self._plans(deadline_s),
            "allowances.yaml",
            _ALLOWANCES,
        )
        if isinstance(lists, list_reader.InvalidLists):
            raise DemoError(str(lists.errors[0]))
        result = await publish.publish_lists(
            self.session,
            lists,
            self.session.follower.state.version,
            "demo",
            _TIMEOUT_S,
        )
        if not isinstance(result, publisher.Accepted):
            raise DemoError(f"the lists were not accepted: {result}")
        version = result.version
        await _wait_until(
            lambda: all(_has_version(one, version) for one in self._processes)
        )
        return loop.time() - begun_s

    async def wait_until_ready(self) -> None:
        """Waits until every instance sees all others and a crew of them all.

        The crew of a service is the set of instances that own its slots.

        Raises:
            TimeoutError: That did not happen in time.
        """
        await _wait_until(lambda: all(map(_is_ready, self._processes)))

    async def _start_instance(self, data_centre: str) -> None:
        options = settings.Settings(
            instance_id=ids.InstanceId(f"entry-{data_centre}"),
            data_centre=ids.DataCentre(data_centre),
            host=HOST,
            http_port=0,
            peer_port=0,
            store_url=self._store.url,
            topic=TOPIC,
            list_period_s=_LIST_PERIOD_S,
            entry_ttl_s=_ENTRY_TTL_S,
            ticket_mint_s=60.0,
            key_horizon_s=60.0,
            drain_timeout_s=5.0,
            verbosity=-1,
        )
        process = entry_process.EntryProcess(options)
        await process.start()
        self._processes.append(process)

    def _plans(self, deadline_s: float | None) -> str:
        states = "\n".join(f"  {k}: {v}" for k, v in self.states.items())
        deadline = ""
        if deadline_s is not None:
            now = datetime.datetime.now(datetime.UTC)
            due = now + datetime.timedelta(seconds=deadline_s)
            deadline = f"        move_deadline: {due:%Y-%m-%dT%H:%M:%SZ}"
        return _PLANS.format(
            data_centres=states, version=self.version, deadline=deadline
        )


def _is_ready(process: entry_process.EntryProcess) -> bool:
    runtime = process.components.services.find(ids.ServiceName(SERVICE))
    if runtime is None or runtime.crew is None:
        return False
    members = len(process.components.membership.members)
    return members == len(DATA_CENTRES) and len(runtime.crew.members) == members


def _has_version(process: entry_process.EntryProcess, version: int) -> bool:
    return process.components.follower.state.version >= version


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Polls a condition for which there is no event, until it is true.

    Raises:
        TimeoutError: The condition was not true within `_TIMEOUT_S`.
    """
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(_POLL_S)
