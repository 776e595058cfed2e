"""UsageDuty: counts, exchanges and reports the usage of customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.entry import duty_topic
from magnoliacrank.entry import usage_counter
from magnoliacrank.entry import usage_messages
from magnoliacrank.entry import usage_outbox
from magnoliacrank.entry import usage_reporter
from magnoliacrank.entry import usage_sender
from magnoliacrank.platform import usage_client
from magnoliacrank.policy import duty_lease
from magnoliacrank.policy import usage_windows

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from magnoliacrank.entry import entry_metrics
    from magnoliacrank.entry import event_log
    from magnoliacrank.entry import peer_fetcher
    from magnoliacrank.platform import instance_settings
    from magnoliacrank.platform import store_client
    from magnoliacrank.policy import instance_roster


def is_enabled(settings: instance_settings.InstanceSettings) -> bool:
    """Whether the settings ask for reports of customers' usage."""
    cloud = settings.cloud
    return cloud is not None and usage_client.DUTY in cloud.duties


class UsageDuty:
    """Creates, starts and stops all parts of the usage duty of an instance.

    Without the duty in the settings it counts nothing and starts no task.

    Args:
        settings: Settings of this instance.
        incarnation: Start time of this process in milliseconds since 1970.
        store: Store with the records of the duty.
        roster: Membership.
        knows_mesh: Returns whether the membership view can be relied on at a
            monotonic time in seconds.
        fetcher: Client of the port between instances.
        log: Log for the duty and its reports.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
        rng: Random numbers that spread the messages of instances.
    """

    def __init__(
        self,
        settings: instance_settings.InstanceSettings,
        incarnation: int,
        store: store_client.StoreClient,
        roster: instance_roster.InstanceRoster,
        knows_mesh: Callable[[float], bool],
        fetcher: peer_fetcher.PeerFetcher,
        log: event_log.EventLog,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        bounds = settings.bounds
        self.counter = usage_counter.UsageCounter(
            bounds.usage_window_s,
            bounds.usage_late_s,
            clock,
            is_enabled=is_enabled(settings),
        )
        self._ledger = usage_windows.UsageLedger(self.counter.kept_windows)
        self._client: usage_client.UsageClient | None = None
        self._sender: usage_sender.UsageSender | None = None
        self._outbox: usage_outbox.UsageOutbox | None = None
        self._reporter: usage_reporter.UsageReporter | None = None
        cloud = settings.cloud
        if cloud is None or not is_enabled(settings):
            return
        self._sender = usage_sender.UsageSender(
            usage_windows.Source(settings.node, incarnation),
            self.counter,
            self._ledger,
            roster,
            fetcher,
            log,
            rng,
        )
        self._client = usage_client.UsageClient(cloud.address)
        lease = duty_lease.DutyLease(settings.node, bounds.lease_s)
        topic = duty_topic.DutyTopic(
            store, lease, self.counter.kept_windows, clock, log
        )
        outbox = usage_outbox.UsageOutbox(
            settings.node,
            cloud.duty_calls_per_s,
            self._client,
            lease,
            topic,
            self.counter.left_s,
            clock,
            log,
        )
        self._outbox = outbox
        self._reporter = usage_reporter.UsageReporter(
            settings.node,
            self.counter,
            self._ledger,
            topic,
            lease,
            outbox,
            roster,
            knows_mesh,
            log,
        )

    async def start(self) -> None:
        """Starts the tasks that exchange and report counts."""
        if self._client and self._sender and self._reporter:
            await self._client.start()
            await self._sender.start()
            await self._reporter.start()

    async def close(self) -> None:
        """Stops the tasks and sends the last counts to other instances."""
        if self._client and self._sender and self._reporter:
            await self._reporter.close()
            await self._sender.close()
            await self._client.close()

    def on_push(self, data: bytes) -> bool:
        """Merges the counts that another instance sends.

        Args:
            data: The message.

        Returns:
            Whether the message was well-formed and is expected.
        """
        push = usage_messages.decode_push(data)
        if push is None or self._sender is None:
            return False
        current = self.counter.current_window()
        for counts in push.windows:
            self._ledger.merge(push.source, counts, current)
        return True

    def add_gauges(self, metrics: entry_metrics.EntryMetrics) -> None:
        """Adds the gauges of the duty, unless it is not in the settings."""
        client, outbox = self._client, self._outbox
        if client is None or outbox is None:
            return
        metrics.add_gauge("usage_calls", lambda: client.calls)
        metrics.add_gauge("usage_reported", lambda: outbox.accepted)
        metrics.add_gauge("usage_not_reported", lambda: outbox.missed)
