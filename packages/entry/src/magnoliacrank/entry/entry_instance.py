"""EntryInstance: creates, starts and stops all components of an instance."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.entry import announcer
from magnoliacrank.entry import backend_table
from magnoliacrank.entry import clocks
from magnoliacrank.entry import entry_handler
from magnoliacrank.entry import entry_metrics
from magnoliacrank.entry import entry_state
from magnoliacrank.entry import event_log
from magnoliacrank.entry import heartbeat
from magnoliacrank.entry import heartbeat_link
from magnoliacrank.entry import owned_task
from magnoliacrank.entry import peer_fetcher
from magnoliacrank.entry import placer
from magnoliacrank.entry import rollout_controller
from magnoliacrank.entry import service_handlers
from magnoliacrank.entry import site_reader
from magnoliacrank.entry import site_view
from magnoliacrank.entry import spillover_control
from magnoliacrank.entry import usage_duty
from magnoliacrank.gateway import front_limits
from magnoliacrank.gateway import front_server
from magnoliacrank.platform import store_client
from magnoliacrank.policy import caller_steering
from magnoliacrank.policy import drain_schedule
from magnoliacrank.policy import instance_roster
from magnoliacrank.policy import mesh_protocol
from magnoliacrank.policy import peer_status
from magnoliacrank.policy import record_sources
from magnoliacrank.policy import site_mesh
from magnoliacrank.policy import transfer_budget

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    import socket

    from magnoliacrank.model import orders
    from magnoliacrank.model import route_plan
    from magnoliacrank.platform import instance_settings

_DIRECTORY_TTL_S = 2.0
"""Time for which callers may cache addresses from the directory, unless the
operators' bound is lower; callers follow a change of addresses within it."""

_LEAVE_DELAY_S = 2.4
"""Time after SIGTERM for which a leaving instance still accepts connections.
Then it closes those without a request in flight. Longer than callers cache
addresses."""

_EXIT_MARGIN_S = 0.6
"""Time reserved between the end of serving and the kill by the platform."""

_PROBE_SHARE = 0.8
"""Share of the operators' bound on health requests that is used."""


class EntryInstance:
    """One entry instance: forwards callers' requests to backend servers.

    Args:
        settings: Settings from the file that the platform provides.
        log: Log for events; writes to standard output by default.
        listeners: Sockets that already listen, by address. The instance binds
            its other ports itself.
    """

    def __init__(
        self,
        settings: instance_settings.InstanceSettings,
        log: event_log.EventLog | None = None,
        listeners: Mapping[tuple[str, int], socket.socket] | None = None,
    ) -> None:
        clock = clocks.boot_time_s
        bounds = settings.bounds
        rng = random.Random()
        self._rng = rng
        self._settings = settings
        self._listeners = dict(listeners or {})
        self._clock = clock
        self._incarnation = time.time_ns() // 1_000_000
        self._is_leaving = False
        self.log = log or event_log.EventLog(
            settings.node, settings.data_centre, clock
        )
        self._metrics = entry_metrics.EntryMetrics()
        self._roster = instance_roster.InstanceRoster(
            self._own_fact(is_ready=False, is_mesh_member=True)
        )
        self._protocol = mesh_protocol.MeshProtocol(
            self._roster, settings.seeds, clock()
        )
        self._sources = record_sources.RecordSources(
            clock(),
            reads_store_first=not settings.seeds
            or settings.ip in settings.seeds,
            capacity=self._roster.own.capacity,
            rng=rng,
        )
        self._store = store_client.StoreClient(settings.store_url)
        self._view = site_view.SiteView(self.log, clock)
        self._peers = peer_fetcher.PeerFetcher(settings.peer_port, self.log)
        self._trials = rollout_controller.RolloutController(
            self._view, self._store, self._roster, bounds, self.log, clock
        )
        self._reader = site_reader.SiteReader(
            self._view,
            self._store,
            self._peers,
            self._roster,
            self._sources,
            self._trials,
            self.log,
            clock,
        )
        memory_bytes = settings.memory_mb * 1e6
        answers = transfer_budget.TransferBudget(
            int(memory_bytes * transfer_budget.ANSWER_MEMORY_SHARE)
        )
        self._table = backend_table.BackendTable(
            self.log, clock, self._probe_rate_per_s, answers
        )
        self._placer = placer.Placer(
            self._view,
            self._table,
            self._roster,
            self._protocol.knows_mesh,
            settings.data_centre,
            self.log,
            clock,
            rng,
        )
        self._usage = usage_duty.UsageDuty(
            settings,
            self._incarnation,
            self._store,
            self._roster,
            self._protocol.knows_mesh,
            self._peers,
            self.log,
            clock,
            rng,
        )
        self._drain = drain_schedule.DrainSchedule(
            accept_s=_LEAVE_DELAY_S,
            finish_s=_LEAVE_DELAY_S + self._finish_time_s,
        )
        self._state = entry_state.EntryState(
            clock,
            self.log,
            self._metrics,
            self._roster,
            self._placer,
            self._trials,
            self._usage.counter,
            bounds,
            self._drain,
            rng,
        )
        self._spillover = spillover_control.SpilloverControl(
            self._view,
            self._table,
            self._roster,
            self._state,
            self._placer.crowding_of,
            self.log,
            self._metrics,
            clock,
            rng,
        )
        self._placer.set_spillover(self._spillover)
        self._steering = caller_steering.StatedShares()
        self._link = heartbeat_link.HeartbeatLink(
            settings.ip,
            settings.peer_port,
            self._roster,
            self._protocol,
            self,
            self.log,
            clock,
        )
        self._announcer = announcer.Announcer(
            settings, self._store, self._roster, self.log, clock
        )
        limits = front_limits.FrontLimits()
        self._handler = entry_handler.EntryHandler(
            self._state,
            self._view,
            self._reader,
            int(memory_bytes * transfer_budget.BODY_MEMORY_SHARE),
            answers,
        )
        self._front = front_server.FrontServer(self._handler, limits)
        self._servers = self._auxiliary_servers(limits)
        self._view.add_listener(self)
        self._reader.set_change_handler(self._link.send_now)
        self._reader.set_store_read_handler(self._on_store_read)
        self._trials.set_urgent_change_handler(self._link.send_now)
        self._register_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration and servers, and isn't leaving."""
        return (
            not self._is_leaving
            and self._view.plan is not None
            and self._view.has_backends
        )

    @property
    def _finish_time_s(self) -> float:
        """Seconds after the leave delay for requests in flight."""
        grace_s = self._settings.bounds.grace_s
        return max(grace_s - _LEAVE_DELAY_S - _EXIT_MARGIN_S, 0.0)

    async def start(self) -> None:
        """Binds the ports that don't listen yet, then starts the tasks.

        These send heartbeats, read the store, announce this instance and
        evaluate rollouts.

        Raises:
            OSError: An address can't be bound.
        """
        self.log.start()
        await self._store.start()
        for server, address in (
            *self._servers,
            (self._front, self._settings.front),
        ):
            await self._listen(server, address)
        await self._link.start()
        self.log.event(
            "instance started",
            address=":".join(map(str, self._settings.front)),
        )
        await self._reader.start()
        await self._announcer.start()
        await self._trials.start()
        await self._usage.start()

    async def _listen(
        self, server: front_server.FrontServer, address: tuple[str, int]
    ) -> None:
        listening = self._listeners.pop(address, None)
        if listening is None:
            await server.start(*address)
        else:
            await server.start_on(listening)

    async def leave(self) -> None:
        """Leaves the directory, and serves until callers have noticed."""
        self._is_leaving = True
        self._drain.start(self._clock())
        self._handler.start_draining()
        self._roster.set_own(
            self._own_fact(is_ready=False, is_mesh_member=False)
        )
        self._link.send_now()
        self._front.start_draining()
        self.log.event("instance leaving")
        await asyncio.sleep(_LEAVE_DELAY_S)

    async def close(self) -> None:
        """Waits for requests in flight, then closes all components.

        The wait ends early enough to finish within the operators' grace
        period.
        """
        await self._front.close(self._finish_time_s)
        for server, _ in self._servers:
            await server.close(0.0)
        await self._usage.close()
        await self._announcer.close()
        await self._trials.close()
        await self._reader.close()
        await self._link.close()
        await self._peers.close()
        self._table.close()
        await self._store.close()
        self.log.event("instance stopped")
        self.log.close()

    def next_heartbeat(self) -> heartbeat.Heartbeat:
        """Returns a heartbeat with the current state of this instance."""
        now_s = self._clock()
        fact = self._own_fact(
            is_ready=self.is_ready,
            is_mesh_member=self._protocol.is_member(now_s),
        )
        self._roster.set_own(fact)
        self._state.agree_levels(now_s)
        view = self._view
        operators_mark, servers_mark = view.offsets
        shares = self._spillover.lasting_shares.stated(now_s)
        self._steering.on_report(fact.node, shares, now_s)
        return heartbeat.Heartbeat(
            format=heartbeat.FORMAT,
            sender=attrs.astuple(fact),
            mesh_mark=self._protocol.mark(now_s),
            lost=self._roster.lost(now_s),
            operators_mark=operators_mark,
            servers_mark=servers_mark,
            verified_age_ms=service_handlers.verified_age_ms(
                self._reader, now_s
            ),
            trials=self._trials.reports(),
            crashes=self._state.crashes.recent_own_counts(now_s),
            blocked=self._state.crashes.blocked(now_s),
            time_ms=time.time_ns() // 1_000_000,
            store_era=view.era,
            loads=[
                attrs.astuple(load) for load in self._state.own_loads(now_s)
            ],
            held=len(view.operators.held) + len(view.servers.held),
            steering=[attrs.astuple(share) for share in shares],
        )

    def on_heartbeat(self, beat: heartbeat.Heartbeat) -> None:
        """Passes the contents of a received heartbeat to the components."""
        now_s = self._clock()
        fact = beat.fact
        self._reader.on_heartbeat(fact, beat)
        self._trials.on_heartbeat(fact, beat)
        self._usage.counter.on_peer_time(fact.node, beat.time_ms)
        self._state.peer_loads.on_report(
            fact.node, fact.data_centre, beat.service_loads, now_s
        )
        if fact.data_centre == self._settings.data_centre:
            self._steering.on_report(fact.node, beat.lasting_shares, now_s)
        self._state.crashes.update_peer_counts(fact.node, beat.crashes, now_s)
        if self._roster.is_follower(now_s):
            self._state.crashes.apply_peer_blocks(beat.blocked, now_s)

    def _on_store_read(self) -> None:
        self._protocol.on_store_read(self._clock())

    def on_plan(self, plan: route_plan.RoutePlan) -> None:
        """Applies a new configuration's priorities and limits on callers."""
        self._state.on_plan(plan)
        limits = plan.limits
        self._front.set_limits(
            front_limits.FrontLimits(
                max_head_bytes=limits.max_header_bytes,
                max_line_bytes=limits.max_header_bytes,
                max_field_bytes=limits.max_header_bytes,
                head_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        )

    def on_rollout(
        self,
        order: orders.RolloutOrder,
        offset: int,
        *,
        follows_another: bool,
    ) -> None:
        """Starts the rollout that the operators ordered."""
        self._trials.on_rollout(order, offset, follows_another=follows_another)

    def on_servers(self, counts: dict[str, int]) -> None:
        """Updates the crew sizes for the servers of each data centre."""
        self._roster.set_servers(counts)

    def on_backend_gone(self, server_id: str) -> None:
        """Drops the state of a backend server that was removed or restarted."""
        self._table.remove(server_id)

    def _probe_rate_per_s(self) -> float:
        """Returns the most health requests per second to one server.

        The limit is for this instance. The crews of all data centres, that is,
        the instances that carry traffic, divide the operators' bound.
        """
        crew = len(self._roster.all_crews(self._clock()))
        bound = self._settings.bounds.probes_per_s
        return bound * _PROBE_SHARE / max(crew, site_mesh.MIN_CREW_SIZE)

    def _own_fact(
        self, *, is_ready: bool, is_mesh_member: bool
    ) -> peer_status.PeerStatus:
        settings = self._settings
        return peer_status.PeerStatus(
            node=settings.node,
            data_centre=settings.data_centre,
            ip=settings.ip,
            incarnation=self._incarnation,
            is_ready=is_ready,
            is_leaving=self._is_leaving,
            is_mesh_member=is_mesh_member,
            capacity=peer_status.capacity(settings.cores, settings.link_mbps),
        )

    def _auxiliary_servers(
        self, limits: front_limits.FrontLimits
    ) -> list[tuple[front_server.FrontServer, tuple[str, int]]]:
        settings = self._settings
        ready = service_handlers.ReadyHandler(lambda: self.is_ready)
        peers = service_handlers.PeerHandler(
            self._view,
            self._reader,
            self._trials,
            self._usage,
            self._metrics,
            self._clock,
        )
        servers = [
            (front_server.FrontServer(ready, limits), settings.ready),
            (
                front_server.FrontServer(peers, limits),
                (settings.ip, settings.peer_port),
            ),
        ]
        if settings.directory is not None:
            directory = service_handlers.DirectoryHandler(
                self._roster,
                self._view,
                settings.front[1],
                min(_DIRECTORY_TTL_S, settings.bounds.directory_ttl_s),
                self._steered,
                self._clock,
            )
            servers.append(
                (
                    front_server.FrontServer(directory, limits),
                    settings.directory,
                )
            )
        return servers

    def _steered(self, services: Collection[str]) -> str | None:
        """Returns the data centre for one look-up of callers nearby.

        Args:
            services: Services that they use.
        """
        now_s = self._clock()
        demands = {
            service: self._state.local_demand_slots(service, now_s)
            for service in services
        }
        return caller_steering.steered_data_centre(
            self._steering.steered(demands, now_s), self._rng.random()
        )

    def _register_gauges(self) -> None:
        metrics = self._metrics
        metrics.add_gauge("store_calls", lambda: self._store.calls)
        metrics.add_gauge("probes_sent", lambda: self._table.probes_sent)
        metrics.add_gauge(
            "connections_opened", lambda: self._table.connections_opened
        )
        self._usage.add_gauges(metrics)
        metrics.add_gauge("log_lines_dropped", lambda: self.log.dropped_lines)
        metrics.add_gauge(
            "task_failures",
            lambda: self.log.warning_count(owned_task.FAILURE_EVENT),
        )
        metrics.add_gauge("admitted_priority", self._state.admitted_priority)
        metrics.add_gauge("store_rewinds", lambda: self._reader.rewinds)
        metrics.add_gauge("read_errors", lambda: self._reader.read_errors)
        metrics.add_gauge(
            "unreadable_records", lambda: self._view.unreadable_records
        )
        metrics.add_gauge(
            "view_age_s",
            lambda: (
                service_handlers.verified_age_ms(self._reader, self._clock())
                / 1000
            ),
        )
