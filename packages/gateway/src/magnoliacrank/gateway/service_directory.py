"""ServiceDirectory: the services of the configuration, by name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliacrank.gateway import routing_table
from magnoliacrank.gateway import sample_tap
from magnoliacrank.gateway import service_runtime
from magnoliacrank.gateway import suspect_guard
from magnoliacrank.model import configuration
from magnoliacrank.model import ids
from magnoliacrank.model import server
from magnoliacrank.policy import allowance_meter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence
    import random

    from magnoliacrank.model import crew
    from magnoliacrank.model import instance
    from magnoliacrank.policy import sample
    from magnoliacrank.policy import slot_messages
    from magnoliacrank.state import move_table

_EMPTY = configuration.Configuration()

_ServersByService = dict[ids.ServiceName, tuple[server.BackendServer, ...]]


class ServiceDirectory:
    """Holds a `ServiceRuntime` for each service of the configuration in force.

    It passes changes of configuration, crews and backend servers on to them.
    The crew of a service is the set of instances that own its slots.

    Args:
        own: This instance.
        rng: Random generator for sampling.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.samples = sample_tap.SampleTap()
        """Receives the outcome of each dispatch of any service."""
        self.send: suspect_guard.SendMessage = _drop_message
        """Sends a message to another instance; set by `PeerLink.register`."""
        self._own = own
        self._rng = rng
        self._clock = clock
        self._configuration = _EMPTY
        self._allowance_fraction = 1.0
        self._table = routing_table.RoutingTable(_EMPTY)
        self._allowances = allowance_meter.AllowanceMeter()
        self._services: dict[
            ids.ServiceName, service_runtime.ServiceRuntime
        ] = {}
        self._servers: Sequence[server.BackendServer] = ()
        self._servers_by_service: _ServersByService = {}
        self._active_by_service: _ServersByService = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    @property
    def table(self) -> routing_table.RoutingTable:
        """Services and routes of the configuration in force."""
        return self._table

    @property
    def active_configuration(self) -> configuration.Configuration:
        """Configuration in force."""
        return self._configuration

    @property
    def services(self) -> Collection[service_runtime.ServiceRuntime]:
        """Runtimes of all services."""
        return self._services.values()

    def find(
        self, name: ids.ServiceName
    ) -> service_runtime.ServiceRuntime | None:
        """Returns the runtime of a service, or None."""
        return self._services.get(name)

    def servers_of(
        self, name: ids.ServiceName
    ) -> tuple[server.BackendServer, ...]:
        """Returns the backend servers of a service in the platform's list."""
        return self._servers_by_service.get(name, ())

    def active_servers_of(
        self, name: ids.ServiceName
    ) -> tuple[server.BackendServer, ...]:
        """Returns a service's servers, except in data centres taken out."""
        return self._active_by_service.get(name, ())

    def set_configuration(
        self, new_configuration: configuration.Configuration
    ) -> None:
        """Replaces the configuration in force.

        Args:
            new_configuration: The configuration.
        """
        self._configuration = new_configuration
        self._table = routing_table.RoutingTable(new_configuration)
        planned = {
            service.name
            for plan in new_configuration.plans
            for service in plan.services
        }
        for name in planned - set(self._services):
            self._add(name)
        for name in set(self._services) - planned:
            self._remove(name)
        self._set_allowances()
        self._set_probe_rates()
        self._group_servers()
        self._apply_data_centres()

    def on_version_shares_changed(
        self, change: move_table.SharesChanged
    ) -> None:
        """Applies changed traffic shares of a service's software versions.

        Args:
            change: Share of each version, by route.
        """
        runtime = self._services.get(change.service)
        if runtime is not None:
            runtime.router.set_version_shares(change.routes)

    def set_crew(self, record: crew.Crew) -> None:
        """Applies a crew record; ignores one that isn't newer than the last.

        Args:
            record: The crew of one service.
        """
        runtime = self._services.get(record.service)
        if runtime is not None:
            runtime.set_crew(record)

    def set_servers(self, servers: Sequence[server.BackendServer]) -> None:
        """Replaces the listed backend servers of all services.

        Args:
            servers: All backend servers in the platform's list.
        """
        self._servers = servers
        self._group_servers()
        self._apply_data_centres()
        for name, runtime in self._services.items():
            runtime.set_servers(self.servers_of(name))

    def set_allowance_fraction(self, share: float) -> None:
        """Changes the fraction of each allowance that this instance grants.

        An allowance is a customer's limit on request rate and concurrency
        over all instances.

        Args:
            share: The fraction, from 0 to 1.
        """
        if share == self._allowance_fraction:
            return
        self._allowance_fraction = share
        self._set_allowances()

    def _set_allowances(self) -> None:
        share = self._allowance_fraction
        self._allowances.set_allowances(
            self._configuration.allowances, share, self._clock()
        )

    def on_state_update(self, state_update: sample.ServerStateUpdate) -> None:
        """Applies what another instance observed of a backend server.

        Args:
            state_update: Concurrency limit and warm-up state of the server.
        """
        now_s = self._clock()
        for runtime in self._services.values():
            if state_update.server_id in runtime.router.server_ids:
                runtime.router.on_state_update(state_update, now_s)

    def tick(self) -> None:
        """Runs the periodic work of all services."""
        for runtime in self._services.values():
            runtime.tick()

    async def close(self) -> None:
        """Closes all connections to backend servers."""
        for name in list(self._services):
            self._remove(name)
        await asyncio.gather(*self._close_tasks, return_exceptions=True)

    def _add(self, name: ids.ServiceName) -> None:
        runtime = service_runtime.ServiceRuntime(
            name,
            self._own,
            self._allowances,
            self.samples,
            self._send_all,
            self.send,
            self._rng,
            self._clock,
        )
        runtime.set_servers(self.servers_of(name))
        self._services[name] = runtime

    def _send_all(self, outgoing: Sequence[slot_messages.Outgoing]) -> None:
        for one in outgoing:
            self.send(one.to, one.message)

    def _remove(self, name: ids.ServiceName) -> None:
        task = asyncio.ensure_future(self._services.pop(name).close())
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)

    def _set_probe_rates(self) -> None:
        for plan in self._configuration.plans:
            allowance = self._configuration.find_allowance(plan.customer)
            if allowance is None:
                continue
            rate_per_s = allowance.measuring_rate_per_s / len(plan.services)
            for service in plan.services:
                self._services[service.name].measuring.set_rate(rate_per_s)

    def _group_servers(self) -> None:
        grouped: dict[ids.ServiceName, list[server.BackendServer]] = {}
        for one in self._servers:
            grouped.setdefault(one.service, []).append(one)
        self._servers_by_service = {
            name: tuple(servers) for name, servers in grouped.items()
        }
        is_data_centre_in = self._configuration.is_data_centre_in
        self._active_by_service = {
            name: tuple(
                one for one in servers if is_data_centre_in(one.data_centre)
            )
            for name, servers in grouped.items()
        }

    def _apply_data_centres(self) -> None:
        for name, runtime in self._services.items():
            found = self._configuration.find_service(name)
            assert found is not None
            known = {one.data_centre for one in self._servers}
            known |= set(self._configuration.data_centres)
            out = frozenset(
                data_centre
                for data_centre in known
                if not self._configuration.is_data_centre_in(data_centre)
                or data_centre not in found[1].data_centres
            )
            runtime.router.set_data_centres_out(out)


def _drop_message(instance_id: ids.InstanceId, message: object) -> bool:
    """Drops a message; used until a function that sends messages is set."""
    del instance_id, message
    return False
