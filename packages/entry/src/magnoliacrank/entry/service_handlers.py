"""HTTP handlers for readiness, the directory, records and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib import parse

from magnoliacrank.entry import peer_records
from magnoliacrank.entry import usage_messages
from magnoliacrank.platform import directory_wire
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import caller_steering

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from magnoliacrank.entry import entry_metrics
    from magnoliacrank.entry import rollout_controller
    from magnoliacrank.entry import site_reader
    from magnoliacrank.entry import site_view
    from magnoliacrank.entry import usage_duty
    from magnoliacrank.gateway import inbound_exchange
    from magnoliacrank.policy import instance_roster

METRICS_PATH = "/metrics"
"""Path of the metrics on the port between instances."""

_MAX_CACHED_CHANGES = 16
"""Encoded changes that are cached for requests with equal offsets."""

_JSON = [("Content-Type", "application/json")]
_TEXT = [("Content-Type", "text/plain; version=0.0.4")]


class ReadyHandler:
    """Answers the platform's readiness checks.

    Args:
        is_ready: Returns whether this instance can serve callers.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers a readiness check."""
        if exchange.path != directory_wire.READY_PATH:
            await exchange.answer(404, [], b"")
            return
        await exchange.answer(200 if self._is_ready() else 503, [], b"")


class DirectoryHandler:
    """Tells callers the addresses of instances to connect to.

    These are the crew of the caller's data centre, that is, the instances that
    carry its traffic. If that data centre has no crew, or only others have
    servers of the services that the caller uses, they are the crews of others.

    Args:
        roster: Membership with the crew of each data centre.
        view: Configuration and registered servers.
        front_port: Port for requests, the same on all instances.
        ttl_s: Seconds for which callers may cache the answer.
        steered: Returns the data centre that a look-up of callers of this one
            is steered to, if any, by the services that they use.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        roster: instance_roster.InstanceRoster,
        view: site_view.SiteView,
        front_port: int,
        ttl_s: float,
        steered: Callable[[Collection[str]], str | None],
        clock: Callable[[], float],
    ) -> None:
        self._steered = steered
        self._roster = roster
        self._view = view
        self._front_port = front_port
        self._ttl_s = ttl_s
        self._clock = clock

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers a caller's request for addresses of instances."""
        if exchange.path != directory_wire.RESOLVE_PATH:
            await exchange.answer(404, [], b"")
            return
        now_s = self._clock()
        crew = [
            fact
            for place in self._data_centres(exchange.target)
            for fact in self._roster.advertised_crew(place, now_s)
        ]
        if not crew:
            await exchange.answer(503, [], b"")
            return
        addresses = list(
            dict.fromkeys(f"{fact.ip}:{self._front_port}" for fact in crew)
        )
        content = directory_wire.encode_addresses(addresses, self._ttl_s)
        await exchange.answer(200, _JSON, content)

    def _data_centres(self, target: str) -> list[str]:
        data_centre = directory_wire.read_data_centre(target)
        plan = self._view.plan
        if plan is None:
            return [data_centre]
        services = plan.services_of(directory_wire.read_host(target))
        places = {
            service: self._view.serving_data_centres(service)
            for service in services
        }
        found = caller_steering.data_centres_for(data_centre, services, places)
        if found != [self._roster.own.data_centre]:
            return found
        steered = self._steered(services)
        if steered is None or not self._can_serve(steered, places):
            return found
        return [steered]

    def _can_serve(
        self, data_centre: str, places: Mapping[str, set[str]]
    ) -> bool:
        """Whether a data centre has a crew, and servers of all services."""
        return bool(self._roster.crew(data_centre, self._clock())) and all(
            data_centre in found for found in places.values()
        )


class PeerHandler:
    """Serves records and metrics, and receives counts of other instances.

    Args:
        view: Records of operators and servers.
        reader: Knows when the records were last verified to be complete.
        trials: Provides the recorded states of rollouts.
        usage: Receives the counts of customers' requests.
        metrics: Metrics of this instance.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        reader: site_reader.SiteReader,
        trials: rollout_controller.RolloutController,
        usage: usage_duty.UsageDuty,
        metrics: entry_metrics.EntryMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._reader = reader
        self._trials = trials
        self._usage = usage
        self._encoded_changes: dict[tuple[int, int, int], bytes] = {}
        self._encoded_version: object = None
        self._metrics = metrics
        self._clock = clock

    async def on_request(
        self, exchange: inbound_exchange.InboundExchange
    ) -> None:
        """Answers another instance, or a metrics collector."""
        if exchange.path == METRICS_PATH:
            await exchange.answer(200, _TEXT, self._metrics.render())
        elif exchange.path == peer_records.PATH:
            await exchange.answer(200, [], self._records(exchange.target))
        elif exchange.path == usage_messages.PATH:
            body = await exchange.read_body(usage_messages.MAX_BYTES)
            is_read = isinstance(body, bytes) and self._usage.on_push(body)
            await exchange.answer(200 if is_read else 400, [], b"")
        else:
            await exchange.answer(404, [], b"")

    def _records(self, target: str) -> bytes:
        query = parse.parse_qs(target.partition("?")[2])
        view = self._view
        since = (
            _offset(query, "era"),
            _offset(query, "operators"),
            _offset(query, "servers"),
        )
        operators_mark, servers_mark = view.offsets
        return peer_records.encode(
            peer_records.PeerRecords(
                content=self._changes_content(since),
                operators_mark=operators_mark,
                servers_mark=servers_mark,
                verified_age_ms=verified_age_ms(self._reader, self._clock()),
                era=view.era,
            )
        )

    def _changes_content(self, since: tuple[int, int, int]) -> bytes:
        """Returns the encoded changes since two offsets, from the cache if set.

        For offsets of an older era of the store, these are all records. The
        cache is dropped as soon as the records or rollout states change.
        """
        view = self._view
        states = self._trials.states()
        held = len(view.operators.held) + len(view.servers.held)
        at = (view.operators.mark, view.servers.mark, held, states)
        if (
            at != self._encoded_version
            or len(self._encoded_changes) >= _MAX_CACHED_CHANGES
        ):
            self._encoded_version = at
            self._encoded_changes = {}
        if since not in self._encoded_changes:
            changes = self._changes(since)
            changes.states = states
            self._encoded_changes[since] = peer_records.encode_changes(changes)
        return self._encoded_changes[since]

    def _changes(self, since: tuple[int, int, int]) -> peer_records.Changes:
        operators, servers = self._view.operators, self._view.servers
        era, operators_since, servers_since = since
        changes = peer_records.Changes(
            operators=peer_records.to_rows(
                operators.changes_since((era, operators_since)), operators.era
            ),
            servers=peer_records.to_rows(
                servers.changes_since((era, servers_since)), servers.era
            ),
            states=None,
        )
        if era < self._view.era:
            changes.operators_era = peer_records.to_era_rows(operators)
            changes.servers_era = peer_records.to_era_rows(servers)
        return changes


def verified_age_ms(reader: site_reader.SiteReader, now_s: float) -> int:
    """Returns the milliseconds since a view was last known to be complete.

    Args:
        reader: Reader of the view.
        now_s: Clock time in seconds.

    Returns:
        The age, or -1 if the view was never known to be complete, or its
        offsets can't be compared with those of others.
    """
    if reader.verified_s is None or reader.is_between_eras:
        return -1
    return max(round((now_s - reader.verified_s) * 1000), 0)


def _offset(query: dict[str, list[str]], name: str) -> int:
    return wire_values.parse_integer(query.get(name, ["0"])[0]) or 0
