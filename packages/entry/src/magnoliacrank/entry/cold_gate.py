"""ColdGate: bounds what cold backend servers get from this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import rate_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import site_view
    from magnoliacrank.policy import crew_roster

_COLD_RATE_SHARE = 0.85
"""Part of a cold server's rate that its owner uses. Two instances that both
hold themselves to be its owner stay below the operators' bound."""

_COLD_BURST = 1.0
"""Requests to a cold server at once."""

_UNKNOWN_RATE_PER_S = 1.0
"""Rate of a cold server whose service the configuration does not name."""


class ColdGate:
    """Lets requests to cold servers pass at the rate of their owner.

    Args:
        view: Rates that operators state.
        roster: Which instance owns a server.
        knows_mesh: Whether that can be told at a time.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        roster: crew_roster.CrewRoster,
        knows_mesh: Callable[[float], bool],
    ) -> None:
        self._view = view
        self._roster = roster
        self._knows_mesh = knows_mesh

    def may_use(self, backend: backend_table.Backend, now_s: float) -> bool:
        """Whether a server may get a request now; warm ones always may.

        Args:
            backend: The server.
            now_s: Clock time in seconds.
        """
        if not backend.is_cold(now_s):
            return True
        bucket = self._bucket(backend)
        return bucket.has_token(now_s) and self._is_owner(backend, now_s)

    def try_take(self, backend: backend_table.Backend, now_s: float) -> bool:
        """Takes one request from what a server may get.

        Args:
            backend: The server.
            now_s: Clock time in seconds.
        """
        if not backend.is_cold(now_s):
            return True
        if not self._is_owner(backend, now_s):
            return False
        return self._bucket(backend).try_take(now_s)

    def _is_owner(self, backend: backend_table.Backend, now_s: float) -> bool:
        if not self._knows_mesh(now_s):
            return False
        entry = backend.entry
        return self._roster.is_owner(entry.server_id, entry.data_centre, now_s)

    def _bucket(self, backend: backend_table.Backend) -> rate_bucket.RateBucket:
        if backend.cold_bucket is None:
            plan = self._view.plan
            services = {} if plan is None else plan.services
            service = services.get(backend.entry.service)
            rate_per_s = (
                _UNKNOWN_RATE_PER_S if service is None else service.warmup_per_s
            )
            backend.cold_bucket = rate_bucket.RateBucket(
                rate_per_s * _COLD_RATE_SHARE, _COLD_BURST
            )
        return backend.cold_bucket
