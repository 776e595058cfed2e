"""SiteView: an instance's copy of the operators' and servers' records."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from magnoliacrank.entry import configuration_decoder
from magnoliacrank.entry import keyed_view
from magnoliacrank.entry import record_comparison
from magnoliacrank.entry import server_entries
from magnoliacrank.model import orders
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import version_choice

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from magnoliacrank.entry import event_log
    from magnoliacrank.model import backend_entry
    from magnoliacrank.model import route_plan
    from magnoliacrank.platform import store_records


_Item = TypeVar("_Item")


class SiteListener(Protocol):
    """Listener for changes of a `SiteView`."""

    def on_plan(self, plan: route_plan.RoutePlan) -> None:
        """Called when a new configuration takes effect."""

    def on_rollout(
        self,
        order: orders.RolloutOrder,
        offset: int,
        *,
        follows_another: bool,
    ) -> None:
        """Called when a rollout order of the operators was read.

        Args:
            order: The order.
            offset: Offset of the order's record.
            follows_another: Whether it replaces an earlier order for the
                service that this view contained.
        """

    def on_servers(self, counts: dict[str, int]) -> None:
        """Called after changes of registered servers.

        Args:
            counts: Number of registered servers by data centre.
        """

    def on_backend_gone(self, server_id: str) -> None:
        """Called when a server was removed or restarted under the same id."""


class SiteView:
    """Configuration, evacuations, rollouts and servers, as read so far.

    The records may come from the store or from other instances.

    Args:
        log: Log for changes and unreadable records.
        clock: Returns the monotonic time in seconds, which also passes while
            the machine is suspended.
    """

    def __init__(
        self, log: event_log.EventLog, clock: Callable[[], float]
    ) -> None:
        self._log = log
        self._clock = clock
        self._listeners: list[SiteListener] = []
        self.operators = keyed_view.KeyedView(
            record_comparison.OperatorComparison()
        )
        self.servers = keyed_view.KeyedView(
            record_comparison.ServerComparison()
        )
        self._decoder = configuration_decoder.ConfigurationDecoder()
        self._plan: route_plan.RoutePlan | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._orders: dict[str, tuple[orders.RolloutOrder, int]] = {}
        self._statuses: dict[str, orders.RolloutStatus] = {}
        self._entries = server_entries.ServerEntries(
            log, clock, self._notify_backend_gone
        )
        self._versions = version_choice.VersionChoice()
        self._by_service: dict[str, list[backend_entry.BackendEntry]] = {}
        self._unreadable_records = 0

    @property
    def unreadable_records(self) -> int:
        """Number of changed records that were refused as unreadable."""
        return self._unreadable_records + self._entries.unreadable_records

    @property
    def era(self) -> int:
        """Era of the store in which both topics were read; 0 for none."""
        return min(self.operators.era, self.servers.era)

    @property
    def is_between_eras(self) -> bool:
        """Whether only one of the topics was read in the newest era.

        Their offsets can't be stated together then.
        """
        return self.operators.era != self.servers.era

    @property
    def offsets(self) -> tuple[int, int]:
        """Offsets after the newest change by operators and by servers."""
        return (self.operators.mark[1], self.servers.mark[1])

    @property
    def plan(self) -> route_plan.RoutePlan | None:
        """Configuration in force; None before the first one was read."""
        return self._plan

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of data centres that operators have taken out of service."""
        return self._evacuated

    @property
    def statuses(self) -> dict[str, orders.RolloutStatus]:
        """Recorded or just decided states of rollouts, by service."""
        return self._statuses

    @property
    def has_backends(self) -> bool:
        """Whether any backend server is known."""
        self._drop_expired_entries()
        return self._entries.has_any

    def add_listener(self, listener: SiteListener) -> None:
        """Adds a listener that is called after changes."""
        self._listeners.append(listener)

    def backends(self, service: str) -> list[backend_entry.BackendEntry]:
        """Returns the servers of a service that may get new requests.

        Excludes servers in evacuated data centres, draining ones and those of
        versions that no rollout order allows.
        """
        self._drop_expired_entries()
        return self._by_service.get(service, [])

    def entry(self, server_id: str) -> backend_entry.BackendEntry | None:
        """Returns the entry of a server, if it is registered."""
        return self._entries.get(server_id)

    def serving_data_centres(self, service: str) -> set[str]:
        """Returns the data centres with servers that may get requests."""
        return {entry.data_centre for entry in self.backends(service)}

    def is_usable(self, entry: backend_entry.BackendEntry) -> bool:
        """Whether a server that was chosen earlier may still get requests."""
        return any(
            found.server_id == entry.server_id
            for found in self.backends(entry.service)
        )

    def target_version(self, service: str) -> str | None:
        """Returns the new version of a service during a rollout, or None."""
        found = self._orders.get(service)
        if found is None or self._is_decided(found[0]):
            return None
        return found[0].target_version

    def has_only_target(self, service: str) -> bool:
        """Whether all servers of a service run the new version of a rollout.

        False while the entries of other versions may be missing because the
        store lost them.
        """
        target = self.target_version(service)
        if target is None or self._entries.may_lack_unknown_entries:
            return False
        self._drop_expired_entries()
        return all(
            entry.version == target
            for entry in self._entries.known()
            if entry.service == service
        )

    def on_store_failure(self) -> None:
        """Records that a read of the store by this instance failed."""
        self._entries.on_store_failure()

    def on_store_answer(self, answered_s: float) -> None:
        """Records that the store answered a read of this or another instance.

        To be called before the records that were read are applied.

        Args:
            answered_s: Clock time of the read in seconds.
        """
        self._entries.on_store_answer(answered_s)

    def on_store_rewound(self) -> None:
        """Records that the store came back from an older copy."""
        self._entries.on_store_rewound()

    def apply_status(self, status: orders.RolloutStatus) -> None:
        """Applies a recorded or just decided state of a rollout."""
        if self._statuses.get(status.service) == status:
            return
        self._statuses[status.service] = status
        self._log.event(
            "rollout state",
            service=status.service,
            version=status.target_version,
            state=status.state.value,
        )
        self._rebuild_index()

    async def prepare_operators(
        self, records: Iterable[store_records.KeyedRecord]
    ) -> None:
        """Does what takes long before records of operators are applied."""
        await self._decoder.prepare(records, self.operators)

    def apply_operators(
        self, changed: Iterable[store_records.KeyedRecord]
    ) -> None:
        """Applies changed records of the operators' topic, oldest first.

        Raises:
            ExceptionGroup: Some records could not be applied, for a reason
                other than their contents; the others are in force.
        """
        configurations: list[store_records.KeyedRecord] = []
        orders: list[store_records.KeyedRecord] = []
        for record in changed:
            is_plan = record.key == operator_wire.CONFIGURATION_KEY
            (configurations if is_plan else orders).append(record)
        errors = _apply_each(self._apply_order, orders)
        errors += _apply_each(self._apply_newest, [configurations])
        self._apply_evacuations()
        self._rebuild_index()
        _raise_together(errors)

    def apply_servers(
        self, changed: Iterable[store_records.KeyedRecord]
    ) -> None:
        """Applies changed records of the backend servers' topic.

        Raises:
            ExceptionGroup: Some records could not be applied, for a reason
                other than their contents; the others are in force.
        """
        errors = _apply_each(self._entries.apply, changed)
        self._rebuild_index()
        counts = self._entries.counts()
        for listener in self._listeners:
            listener.on_servers(counts)
        _raise_together(errors)

    def _apply_order(self, record: store_records.KeyedRecord) -> None:
        service = operator_wire.rollout_service(record.key)
        if service is not None:
            self._apply_rollout(service, record)

    def _apply_newest(
        self, configurations: list[store_records.KeyedRecord]
    ) -> None:
        """Applies the newest readable one; it replaces all before it."""
        for record in reversed(configurations):
            plan = self._decode_configuration(record)
            if plan is not None:
                self._apply_configuration(plan)
                return

    def _decode_configuration(
        self, record: store_records.KeyedRecord
    ) -> route_plan.RoutePlan | None:
        if record.value is None:
            return None
        try:
            return self._decoder.decode(record.value)
        except wire_values.WireValueError as error:
            self._refuse(
                "configuration unreadable", error, offset=record.offset
            )
            return None

    def _apply_configuration(self, plan: route_plan.RoutePlan) -> None:
        if self._plan is not None and plan.version <= self._plan.version:
            return
        self._plan = plan
        self._log.event(
            "configuration in force",
            version=plan.version,
            empty_fields=list(plan.empty_fields),
        )
        for listener in self._listeners:
            listener.on_plan(plan)

    def _apply_rollout(
        self, service: str, record: store_records.KeyedRecord
    ) -> None:
        if record.value is None:
            self._orders.pop(service, None)
            return
        try:
            order = operator_wire.decode_rollout(service, record.value)
        except wire_values.WireValueError as error:
            self._refuse("rollout order unreadable", error, service=service)
            return
        before = self._orders.get(service)
        status = self._statuses.get(service)
        if before is not None and status is not None:
            # The state belongs to the previous order.
            self._versions.on_decided(status)
            del self._statuses[service]
        self._orders[service] = (order, record.offset)
        self._log.event(
            "rollout ordered",
            service=service,
            version=order.target_version,
            duration_s=order.duration_s,
        )
        for listener in self._listeners:
            listener.on_rollout(
                order, record.offset, follows_another=before is not None
            )

    def _apply_evacuations(self) -> None:
        found = (
            operator_wire.evacuated_data_centre(key)
            for key in self.operators.values()
        )
        evacuated = frozenset(name for name in found if name is not None)
        if evacuated != self._evacuated:
            self._log.event("evacuated", data_centres=sorted(evacuated))
            self._evacuated = evacuated

    def _refuse(
        self, event: str, error: wire_values.WireValueError, **fields: object
    ) -> None:
        """Counts and logs a record that is unreadable."""
        self._unreadable_records += 1
        self._log.warning(event, **fields, reason=str(error))

    def _notify_backend_gone(self, server_id: str) -> None:
        for listener in self._listeners:
            listener.on_backend_gone(server_id)

    def _drop_expired_entries(self) -> None:
        if self._entries.drop_expired():
            self._rebuild_index()

    def _is_decided(self, order: orders.RolloutOrder) -> bool:
        status = self._statuses.get(order.service)
        return (
            status is not None
            and status.target_version == order.target_version
            and status.state is not orders.RolloutState.RUNNING
        )

    def _rebuild_index(self) -> None:
        """Rebuilds the index of servers that may get requests, by service."""
        by_service: dict[str, list[backend_entry.BackendEntry]] = {}
        for entry in self._entries.known():
            by_service.setdefault(entry.service, []).append(entry)
        for service, entries in by_service.items():
            order = self._orders.get(service)
            allowed = self._versions.allowed(
                service,
                entries,
                None if order is None else order[0],
                self._statuses.get(service),
            )
            by_service[service] = [
                entry
                for entry in entries
                if entry.version in allowed
                and not entry.is_draining
                and entry.data_centre not in self._evacuated
            ]
        self._by_service = by_service


def _apply_each(
    apply: Callable[[_Item], None], items: Iterable[_Item]
) -> list[Exception]:
    """Applies records, or groups of them, one by one.

    Returns:
        The exceptions of those that could not be applied.
    """
    errors: list[Exception] = []
    for item in items:
        try:
            apply(item)
        except Exception as error:
            errors.append(error)
    return errors


def _raise_together(errors: list[Exception]) -> None:
    if errors:
        raise ExceptionGroup("records not applied", errors)
