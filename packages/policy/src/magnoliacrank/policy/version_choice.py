"""Decides which versions of a service may get requests.

Load pattern: servers of a new version register before, during and after the
rollout order that allows them to get requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.model import orders

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliacrank.model import backend_entry


class VersionChoice:
    """Allowed versions of services, and their base versions.

    The base version of a service is the one in use before a rollout.
    """

    def __init__(self) -> None:
        self._base_versions: dict[str, str] = {}

    def on_decided(self, status: orders.RolloutStatus) -> None:
        """Records the outcome of a rollout that is followed by another one.

        A completed rollout makes its target the base version.
        """
        if status.state is orders.RolloutState.COMPLETED:
            self._base_versions[status.service] = status.target_version

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
        target = None if order is None else order.target_version
        base = self._base_version(service, entries, target)
        if order is None:
            return {base}
        state = orders.RolloutState.RUNNING
        if status is not None and status.target_version == target:
            state = status.state
        if state is orders.RolloutState.ROLLED_BACK:
            return {base}
        assert target is not None
        if state is orders.RolloutState.RUNNING:
            return {base, target}
        if any(entry.version == target for entry in entries):
            return {target}
        return {base, target}

    def _base_version(
        self,
        service: str,
        entries: Sequence[backend_entry.BackendEntry],
        target: str | None,
    ) -> str:
        """Returns the base version, by default that of the oldest server."""
        known = self._base_versions.get(service)
        present = {entry.version for entry in entries}
        if known is not None and known in present:
            return known
        others = [entry for entry in entries if entry.version != target]
        oldest = min(
            others or entries,
            key=lambda entry: (
                entry.born_ms,
                -_count_servers(entries, entry.version),
                entry.version,
            ),
        )
        self._base_versions[service] = oldest.version
        return oldest.version


def _count_servers(
    entries: Sequence[backend_entry.BackendEntry], version: str
) -> int:
    return sum(entry.version == version for entry in entries)
