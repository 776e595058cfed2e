"""ColdGate: limits the request rate of backend servers that are warming up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.policy import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.entry import backend_table
    from magnoliacrank.entry import site_view
    from magnoliacrank.policy import instance_roster

_COLD_RATE_SHARE = 0.85
"""Share of a cold server's permitted rate that its owner uses. While two
instances both consider themselves its owner, their sum still stays below the
operators' bound."""

_COLD_BURST = 1.0
"""Burst of requests to a cold server."""

_UNKNOWN_RATE_PER_S = 1.0
"""Requests per second to a cold server whose service is not configured."""


class ColdGate:
    """Rate limiter for requests to cold servers, that is, to warming-up ones.

    One instance owns each cold server; only the owner sends requests to it.

    Args:
        view: Configuration with the warm-up rate of each service.
        roster: Membership, from which the owner of a server follows.
        knows_mesh: Returns whether this instance knows the membership well
            enough to determine owners, at a clock time in seconds.
    """

    def __init__(
        self,
        view: site_view.SiteView,
        roster: instance_roster.InstanceRoster,
        knows_mesh: Callable[[float], bool],
    ) -> None:
        self._view = view
        self._roster = roster
        self._knows_mesh = knows_mesh

    def may_use(self, backend: backend_table.Backend, now_s: float) -> bool:
        """Whether this instance may send a request to a server now.

        Warm servers may always get requests. Takes no token.

        Args:
            backend: The server.
            now_s: Clock time in seconds.
        """
        if not backend.is_cold(now_s):
            return True
        bucket = self._bucket(backend)
        return bucket.has_token(now_s) and self._is_owner(backend, now_s)

    def try_take(self, backend: backend_table.Backend, now_s: float) -> bool:
        """Takes a token for one request to a server, unless it is warm.

        Args:
            backend: The server.
            now_s: Clock time in seconds.

        Returns:
            Whether the request may be sent.
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

    def _bucket(
        self, backend: backend_table.Backend
    ) -> token_bucket.TokenBucket:
        if backend.cold_bucket is None:
            plan = self._view.plan
            services = {} if plan is None else plan.services
            service = services.get(backend.entry.service)
            rate_per_s = (
                _UNKNOWN_RATE_PER_S if service is None else service.warmup_per_s
            )
            backend.cold_bucket = token_bucket.TokenBucket(
                rate_per_s * _COLD_RATE_SHARE, _COLD_BURST
            )
        return backend.cold_bucket
