"""Spends a limited rate of probes on the backend servers that need them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_TOKENS = 2.0
"""Probes that may be saved up."""

_MIN_QUIET_S = 0.5
"""Seconds without an answer from a server before it is probed."""


@attrs.frozen
class ProbeNeed:
    """How urgently a backend server needs a probe."""

    server_id: ids.ServerId
    """Server to probe."""

    quiet_s: float
    """Seconds since the server's last answer to a request or probe."""

    weight: float = 1.0
    """Priority factor: probes go first to the servers with the highest
    `quiet_s * weight`. An ejected server has a higher weight."""


class ProbeBudget:
    """One instance's share of the probe rate of the whole system.

    Each backend server has one owner, and an owner's share of the rate is its
    share of the servers, so that the shares sum to the rate whatever the number
    of instances. The budget starts empty, so that a change of owner doesn't
    spend it twice.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._total_rate_per_s = rate_per_s
        self._rate_per_s = 0.0
        self._tokens = 0.0
        self._refilled_s = now_s
        self._spent = 0

    @property
    def spent(self) -> int:
        """Number of probes granted so far."""
        return self._spent

    def set_share(
        self, owned_servers: int, all_servers: int, now_s: float
    ) -> None:
        """Sets this instance's share of the probe rate.

        Args:
            owned_servers: Number of servers that this instance owns.
            all_servers: Number of servers over all instances.
            now_s: Current monotonic time in seconds.
        """
        self._refill(now_s)
        part = owned_servers / all_servers if all_servers else 0.0
        self._rate_per_s = self._total_rate_per_s * part

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Changes the probe rate of the whole system.

        Args:
            rate_per_s: Probes per second over all instances.
            now_s: Current monotonic time in seconds.
        """
        self._refill(now_s)
        scale = self._rate_per_s / self._total_rate_per_s
        self._total_rate_per_s = rate_per_s
        self._rate_per_s = rate_per_s * scale

    def take(
        self, needs: Iterable[ProbeNeed], now_s: float
    ) -> tuple[ids.ServerId, ...]:
        """Spends the budget on the servers that need a probe most.

        Args:
            needs: Needs of the servers that this instance owns.
            now_s: Current monotonic time in seconds.

        Returns:
            The servers to probe now, the most urgent first.
        """
        self._refill(now_s)
        if self._tokens < 1.0:
            return ()
        quiet = [need for need in needs if need.quiet_s >= _MIN_QUIET_S]
        quiet.sort(key=lambda need: need.quiet_s * need.weight, reverse=True)
        chosen = quiet[: int(self._tokens)]
        self._tokens -= len(chosen)
        self._spent += len(chosen)
        return tuple(need.server_id for need in chosen)

    def try_spend(self, now_s: float) -> bool:
        """Spends one probe on a server of the caller's choice, if one is left.

        Args:
            now_s: Current monotonic time in seconds.

        Returns:
            Whether the budget allowed the probe.
        """
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._spent += 1
        return True

    def _refill(self, now_s: float) -> None:
        earned = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(_MAX_TOKENS, self._tokens + earned)
        self._refilled_s = now_s
