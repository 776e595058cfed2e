"""EntryParts: the parts of one entry instance and how they are wired."""

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
from magnoliacrank.gateway import crew_keeper
from magnoliacrank.gateway import crew_proposals
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

_SECRET_BYTES = 32
_LONG_POLL_S = 1.0
_TICK_S = 0.05


class Part(Protocol):
    """Something that is started and closed."""

    async def start(self) -> None:
        """Starts the part."""

    async def close(self) -> None:
        """Closes the part."""


@attrs.frozen
class EntryParts:
    """Parts of one entry instance."""

    own: instance.EntryInstance
    """The instance."""

    follower: log_follower.LogFollower
    """Fold of the log."""

    services: service_directory.ServiceDirectory
    """Services."""

    membership: membership_task.MembershipTask
    """Live instances."""

    messages: messenger.PeerMessenger
    """Messages to other instances."""

    relay: record_relay.RecordRelay
    """Log records to and from other instances."""

    transfers: key_transfer.KeyTransfer
    """Keys that are handed over at a planned leave."""

    status: instance_status.InstanceStatus
    """What operators see."""

    handler: entry_handler.EntryHandler
    """Answers callers and operators."""

    announcements: announcement_task.AnnouncementTask
    """What others read of this instance."""

    in_start_order: tuple[Part, ...]
    """Parts with tasks or connections, in the order of their start."""


@attrs.frozen
class _OnClose:
    """A part that only has to be closed."""

    closes: Callable[[], object]

    async def start(self) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Closes what it stands for."""
        result = self.closes()
        if hasattr(result, "__await__"):
            await result


def assemble(
    options: settings.Settings,
    own: instance.EntryInstance,
    clock: Callable[[], float],
) -> EntryParts:
    """Builds all parts of one instance, without starting them.

    Args:
        options: Settings.
        own: The instance with its ports.
        clock: Monotonic time in seconds.
    """
    store = store_client.StoreClient(options.store_url)
    log = store_log.StoreLog(store, options.topic)
    follower = log_follower.LogFollower(
        log, long_poll_s=_LONG_POLL_S, clock=clock
    )
    writer = appender.Appender(log, follower, clock=clock)
    calls = client.PeerClient(own, clock)
    membership = membership_task.MembershipTask(own, calls, clock=clock)
    messages = messenger.PeerMessenger(calls, membership.find)
    relay = record_relay.RecordRelay(follower, membership, calls)
    services = service_directory.ServiceDirectory(own, random.Random(), clock)
    metrics = request_metrics.RequestMetrics()
    status = instance_status.InstanceStatus(
        own, follower, services, membership, metrics, clock
    )
    keys = key_guard.KeyGuard(
        own,
        tickets.TicketMint(
            own.instance_id, own.incarnation, os.urandom(_SECRET_BYTES)
        ),
        key_table.KeyTable(
            mint_s=options.ticket_mint_s, horizon_s=options.key_horizon_s
        ),
        clock,
    )
    forwards = forwarder.Forwarder(own.instance_id, clock)
    transfers = key_transfer.KeyTransfer(
        own, keys, services, membership, calls, clock
    )
    carrier = request_carrier.RequestCarrier(
        own,
        request_carrier.Collaborators(
            services=services,
            keys=keys,
            dispatches=dispatcher.Dispatcher(clock),
            forwards=forwards,
            transfers=transfers,
            crews=crew_forwarder.CrewForwarder(own, membership, forwards),
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
        forwards=forwards,
        status=status,
        entry_ttl_s=options.entry_ttl_s,
        clock=clock,
    )
    proposals = crew_proposals.CrewProposals(
        own.instance_id, services, membership, clock
    )
    listed = store_instance_list.StoreInstanceList(store)
    announcements = announcement_task.AnnouncementTask(listed, own)
    # The services of a configuration have to exist before their shares come.
    state_link.StateLink(follower, services).register()
    moves = move_table.MoveTable(
        follower,
        instance_id=own.instance_id,
        incarnation=own.incarnation,
        clock=clock,
    )
    moves.subscribe(services.on_shares)
    services.samples.listener = moves
    link = peer_link.PeerLink(own, services, moves, messages, clock)
    link.register()
    term = term_keeper.TermKeeper(
        moves_job.JOB,
        follower,
        writer,
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
        transfers=transfers,
        status=status,
        handler=handler,
        announcements=announcements,
        in_start_order=(
            store,
            follower,
            writer,
            _OnClose(calls.close),
            _OnClose(messages.close),
            membership,
            relay,
            _OnClose(forwards.close),
            _OnClose(services.close),
            announcements,
            listing_task.ListingTask(
                listed,
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
                "slots", _TICK_S, _ticker(follower, services, membership, link)
            ),
            term,
            moves_job.MovesJob(
                moves, term, writer, send_evidence=link.send_evidence
            ),
            snapshot_writer.SnapshotWriter(follower, writer, clock=clock),
            crew_keeper.CrewKeeper(proposals.due, writer),
        ),
    )


def _ticker(
    follower: log_follower.LogFollower,
    services: service_directory.ServiceDirectory,
    membership: membership_task.MembershipTask,
    link: peer_link.PeerLink,
) -> Callable[[], Awaitable[None]]:
    async def tick() -> None:
        membership.log_offset = follower.state.next_offset
        services.set_member_share(1.0 / max(1, len(membership.members)))
        asked_s = follower.log_current_s
        if asked_s is not None:
            for runtime in services.services:
                runtime.ledger.heard_log(asked_s)
        link.tick()

    return tick
