"""Decides which versions of a service may get requests.

Load pattern: servers of a new version register before, during and after the
rollout order that allows them to get requests. Entries of any version may be
missing for a time and come back in any order.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from magnoliacrank.model import orders

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.model import backend_entry


class VersionChoice:
    """Allowed versions of services, and their base versions.

    The base version of a service is the one in use before a rollout. It is
    the target of the service's latest completed rollout, if an order followed
    that one; else the version that was registered first. A version on trial,
    that is, the target of a rollout that is not completed, is never the base
    version, even while it is the only one registered: entries of the others
    may be missing because the store lost them.
    """

    def __init__(self) -> None:
        self._ranks: dict[str, dict[str, int]] = {}
        self._completed_rollouts = 0

    def on_decided(self, status: orders.RolloutStatus) -> None:
        """Records the outcome of a rollout that is followed by another one.

        A completed rollout makes its target the base version.
        """
        if status.state is orders.RolloutState.COMPLETED:
            self._completed_rollouts += 1
            ranks = self._ranks.setdefault(status.service, {})
            ranks[status.target_version] = -self._completed_rollouts

    def allowed(
        self,
        service: str,
        entries: Sequence[backend_entry.BackendEntry],
        order: orders.RolloutOrder | None,
        status: orders.RolloutStatus | None,
    ) -> set[str]:
        """Returns the versions of a service that may get requests.

        Args:
            service: Name of the service.
            entries: Registered backend servers of the service.
            order: Newest rollout order for the service, or None.
            status: Recorded state of that order, or None.
        """
        self._rank_new_versions(service, entries)
        on_trial = _versions_on_trial(order, status)
        base = self._base_versions(service, entries, on_trial)
        if order is None:
            return base
        target = order.target_version
        if target in on_trial:
            is_rolled_back = (
                status is not None
                and status.target_version == target
                and status.state is orders.RolloutState.ROLLED_BACK
            )
            return base if is_rolled_back else base | {target}
        if any(entry.version == target for entry in entries):
            return {target}
        return base | {target}

    def _base_versions(
        self,
        service: str,
        entries: Sequence[backend_entry.BackendEntry],
        on_trial: set[str],
    ) -> set[str]:
        """Returns the base version, or nothing if none is registered.

        While servers of the base version are missing, the version next in
        rank stands in for it.
        """
        ranks = self._ranks[service]
        present = {
            entry.version for entry in entries if entry.version not in on_trial
        }
        if not present:
            return set()
        return {min(present, key=lambda version: ranks[version])}

    def _rank_new_versions(
        self, service: str, entries: Sequence[backend_entry.BackendEntry]
    ) -> None:
        """Ranks versions that were not registered before, oldest first.

        Versions that appear together rank by the start of their oldest
        server; those that state none come last.
        """
        ranks = self._ranks.setdefault(service, {})
        new = {entry.version for entry in entries} - ranks.keys()
        if not new:
            return
        ordered = sorted(
            new,
            key=lambda version: (
                _oldest_start_ms(entries, version),
                -_count_servers(entries, version),
                version,
            ),
        )
        first = len(ranks)
        for place, version in enumerate(ordered):
            ranks[version] = first + place


def _versions_on_trial(
    order: orders.RolloutOrder | None, status: orders.RolloutStatus | None
) -> set[str]:
    """Returns the targets of rollouts that are not completed.

    A recorded state also counts where its order was not read.
    """
    found = set() if order is None else {order.target_version}
    if status is None:
        return found
    if status.state is orders.RolloutState.COMPLETED:
        return found - {status.target_version}
    return found | {status.target_version}


def _oldest_start_ms(
    entries: Sequence[backend_entry.BackendEntry], version: str
) -> float:
    """Returns the start of a version's oldest server; infinite if unknown."""
    return min(
        math.inf if entry.born_ms is None else entry.born_ms
        for entry in entries
        if entry.version == version
    )


def _count_servers(
    entries: Sequence[backend_entry.BackendEntry], version: str
) -> int:
    return sum(entry.version == version for entry in entries)
