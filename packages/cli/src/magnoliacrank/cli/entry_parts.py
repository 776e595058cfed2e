"""EntryParts: builds the components of one entry instance and connects them."""

from __future__ import annotations

from collections.abc import Callable
import os
import random
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from magnoliacrank.cli import announcement_task
from magnoliacrank.cli import listing_task
from magnoliacrank.gateway import crew_forwarder
from magnoliacrank.gateway import crew_proposals
from magnoliacrank.gateway import crew_record_task
from magnoliacrank.gateway import dispatcher
from magnoliacrank.gateway import entry_handler
from magnoliacrank.gateway import forwarder
from magnoliacrank.gateway import instance_status
from magnoliacrank.gateway import key_guard
from magnoliacrank.gateway import key_transfer
from magnoliacrank.gateway import peer_link
from magnoliacrank.gateway import periodic_task
from magnoliacrank.gateway import request_carrier
from magnoliacrank.gateway import request_metrics
from magnoliacrank.gateway import service_directory
from magnoliacrank.gateway import state_link
from magnoliacrank.model import instance
from magnoliacrank.peers import client
from magnoliacrank.peers import membership_task
from magnoliacrank.peers import messenger
from magnoliacrank.peers import record_relay
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_instance_list
from magnoliacrank.platform import store_log
from magnoliacrank.policy import key_table
from magnoliacrank.policy import tickets
from magnoliacrank.state import appender
from magnoliacrank.state import log_follower
from magnoliacrank.state import move_table
from magnoliacrank.state import moves as moves_job
from magnoliacrank.state import snapshot_writer
from magnoliacrank.state import term_keeper

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from magnoliacrank.cli import settings

_TICKET_SECRET_BYTES = 32
_LONG_POLL_S = 1.0
_SLOT_TICK_S = 0.05


class Part(Protocol):
    """A component with a lifecycle: it is started once and closed once."""

    async def start(self) -> None:
        """Starts the component's tasks and opens its connections."""

    async def close(self) -> None:
        """Stops the tasks and closes the connections."""


@attrs.frozen
class EntryParts:
    """The connected components of one entry instance."""

    own: instance.EntryInstance
    """Identity, addresses and incarnation of the instance."""

    follower: log_follower.LogFollower
    """Reads the log and computes the current state from its records."""

    services: service_directory.ServiceDirectory
    """Configured services with their runtime state on this instance."""

    membership: membership_task.MembershipTask
    """Entry instances that failure detection considers live."""

    messages: messenger.PeerMessenger
    """Sends messages to other instances and dispatches received ones."""

    relay: record_relay.RecordRelay
    """Fetches log records from other instances when this instance is behind
    them, and answers their requests for records."""

    key_transfers: key_transfer.KeyTransfer
    """Hands idempotency keys over to other instances at a planned shutdown."""

    status: instance_status.InstanceStatus
    """Phase, readiness and metrics that operators can query."""

    handler: entry_handler.EntryHandler
    """Handles the HTTP requests of callers and operators."""

    announcements: announcement_task.AnnouncementTask
    """Keeps this instance registered in the instance list."""

    in_start_order: tuple[Part, ...]
    """Components with a lifecycle, in start order; closed in reverse order."""


@attrs.frozen
class _CloseOnlyPart:
    """Adapts a component that needs no start to the `Part` protocol."""

    close_resource: Callable[[], object]
    """Closes the component; an awaitable result is awaited."""

    async def start(self) -> None:
        """Does nothing; the component needs no start."""

    async def close(self) -> None:
        """Closes the wrapped component."""
        result = self.close_resource()
        if hasattr(result, "__await__"):
            await result


def assemble(
    options: settings.Settings,
    own: instance.EntryInstance,
    clock: Callable[[], float],
) -> EntryParts:
    """Builds and connects all components of one instance; starts none.

    Args:
        options: Settings of the instance.
        own: The instance, with the ports that it listens on.
        clock: Returns the monotonic time in seconds.
    """
    store = store_client.StoreClient(options.store_url)
    log = store_log.StoreLog(store, options.topic)
    follower = log_follower.LogFollower(
        log, long_poll_s=_LONG_POLL_S, clock=clock
    )
    log_appender = appender.Appender(log, follower, clock=clock)
    peer_client = client.PeerClient(own, clock)
    membership = membership_task.MembershipTask(own, peer_client, clock=clock)
    messages = messenger.PeerMessenger(peer_client, membership.find)
    relay = record_relay.RecordRelay(follower, membership, peer_client)
    services = service_directory.ServiceDirectory(own, random.Random(), clock)
    metrics = request_metrics.RequestMetrics()
    status = instance_status.InstanceStatus(
        own, follower, services, membership, metrics, clock
    )
    keys = key_guard.KeyGuard(
        own,
        tickets.TicketMint(
            own.instance_id, own.incarnation, os.urandom(_TICKET_SECRET_BYTES)
        ),
        key_table.KeyTable(
            mint_s=options.ticket_mint_s, horizon_s=options.key_horizon_s
        ),
        clock,
    )
    peer_forwarder = forwarder.Forwarder(own.instance_id, clock)
    key_transfers = key_transfer.KeyTransfer(
        own, keys, services, membership, peer_client, clock
    )
    carrier = request_carrier.RequestCarrier(
        own,
        request_carrier.RequestCarrierDependencies(
            services=services,
            keys=keys,
            request_dispatcher=dispatcher.Dispatcher(clock),
            peer_forwarder=peer_forwarder,
            key_transfers=key_transfers,
            crew_request_forwarder=crew_forwarder.CrewForwarder(
                own, membership, peer_forwarder
            ),
            peers=membership,
            metrics=metrics,
        ),
        is_ready=lambda: status.is_ready,
        clock=clock,
    )
    handler = entry_handler.EntryHandler(
        own=own,
        carrier=carrier,
        services=services,
        keys=keys,
        peers=membership,
        peer_forwarder=peer_forwarder,
        status=status,
        entry_ttl_s=options.entry_ttl_s,
        clock=clock,
    )
    proposals = crew_proposals.CrewProposals(
        own.instance_id, services, membership, clock
    )
    registry = store_instance_list.StoreInstanceList(store)
    announcements = announcement_task.AnnouncementTask(registry, own)
    # Subscribes before the move table does: a service must exist before the
    # traffic shares of its versions are set.
    state_link.StateLink(follower, services).register()
    moves = move_table.MoveTable(
        follower,
        instance_id=own.instance_id,
        incarnation=own.incarnation,
        clock=clock,
    )
    moves.subscribe(services.on_version_shares_changed)
    services.samples.listener = moves
    link = peer_link.PeerLink(own, services, moves, messages, clock)
    link.register()
    moves_term = term_keeper.TermKeeper(
        moves_job.JOB,
        follower,
        log_appender,
        instance_id=own.instance_id,
        incarnation=own.incarnation,
        clock=clock,
    )
    return EntryParts(
        own=own,
        follower=follower,
        services=services,
        membership=membership,
        messages=messages,
        relay=relay,
        key_transfers=key_transfers,
        status=status,
        handler=handler,
        announcements=announcements,
        in_start_order=(
            store,
            follower,
            log_appender,
            _CloseOnlyPart(peer_client.close),
            _CloseOnlyPart(messages.close),
            membership,
            relay,
            _CloseOnlyPart(peer_forwarder.close),
            _CloseOnlyPart(services.close),
            announcements,
            listing_task.ListingTask(
                registry,
                (
                    lambda listing: services.set_servers(listing.servers),
                    membership.update_listing,
                    moves.on_listing,
                    proposals.on_listing,
                ),
                options.list_period_s,
                clock,
            ),
            periodic_task.PeriodicTask(
                "slots",
                _SLOT_TICK_S,
                _make_slot_tick(follower, services, membership, link),
            ),
            moves_term,
            moves_job.MovesJob(
                moves,
                moves_term,
                log_appender,
                send_evidence=link.send_evidence,
            ),
            snapshot_writer.SnapshotWriter(follower, log_appender, clock=clock),
            crew_record_task.CrewRecordTask(
                proposals.due_records, log_appender
            ),
        ),
    )


def _make_slot_tick(
    follower: log_follower.LogFollower,
    services: service_directory.ServiceDirectory,
    membership: membership_task.MembershipTask,
    link: peer_link.PeerLink,
) -> Callable[[], Awaitable[None]]:
    """Returns the call that runs every `_SLOT_TICK_S` seconds.

    It reports to the membership how much of the log this instance has applied
    and divides allowances by the number of live instances. It confirms the
    crew records of all services as of the last read that reached the end of
    the log. It runs the periodic work of the services and sends changes of
    backend servers to their crews. The crew of a service is the set of
    instances that own its slots.
    """

    async def tick() -> None:
        membership.log_offset = follower.state.next_offset
        services.set_allowance_fraction(1.0 / max(1, len(membership.members)))
        read_sent_s = follower.caught_up_s
        if read_sent_s is not None:
            for runtime in services.services:
                runtime.ledger.confirm_by_log(read_sent_s)
        link.tick()

    return tick
