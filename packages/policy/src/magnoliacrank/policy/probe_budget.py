"""Spends the measuring budget on the backend servers that need it most."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_TOKENS = 2.0
_QUIET_S = 0.5


@attrs.frozen
class ProbeNeed:
    """How much an owned backend server needs to be measured."""

    server_id: ids.ServerId
    """The server."""

    quiet_s: float
    """Seconds since the last evidence."""

    weight: float = 1.0
    """Urgency; a server that is out of service weighs more."""


class ProbeBudget:
    """One instance's part of the budget of the whole system.

    Each backend server has one owner, and an owner's part is the budget times
    its part of the servers. So the parts sum to the budget whatever the number
    of instances. A part starts empty, so a change of owner spends nothing
    twice.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._total_rate_per_s = rate_per_s
        self._rate_per_s = 0.0
        self._tokens = 0.0
        self._refilled_s = now_s
        self._spent = 0

    @property
    def spent(self) -> int:
        """Probes granted so far."""
        return self._spent

    def set_share(
        self, owned_servers: int, all_servers: int, now_s: float
    ) -> None:
        """Takes in how many of the servers this instance owns."""
        self._refill(now_s)
        part = owned_servers / all_servers if all_servers else 0.0
        self._rate_per_s = self._total_rate_per_s * part

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Takes in a changed budget of the whole system."""
        self._refill(now_s)
        scale = self._rate_per_s / self._total_rate_per_s
        self._total_rate_per_s = rate_per_s
        self._rate_per_s = rate_per_s * scale

    def take(
        self, needs: Iterable[ProbeNeed], now_s: float
    ) -> tuple[ids.ServerId, ...]:
        """Returns the servers to probe now, the neediest first."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return ()
        quiet = [need for need in needs if need.quiet_s >= _QUIET_S]
        quiet.sort(key=lambda need: need.quiet_s * need.weight, reverse=True)
        chosen = quiet[: int(self._tokens)]
        self._tokens -= len(chosen)
        self._spent += len(chosen)
        return tuple(need.server_id for need in chosen)

    def take_one(self, now_s: float) -> bool:
        """Spends one probe that another part asks for, if there is one."""
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
