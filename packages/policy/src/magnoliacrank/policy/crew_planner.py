"""Decides when a service needs a new crew, and proposes it."""

from __future__ import annotations

from collections.abc import Mapping
import enum
from typing import TYPE_CHECKING

import attrs
import xxhash

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import crew_plan
from magnoliacrank.policy import crew_size

if TYPE_CHECKING:
    from collections.abc import Iterable

_BACKUP_INTERVAL_S = 3.0

_NO_CREW = -1


class CrewReason(enum.Enum):
    """Why a service needs a new crew."""

    NO_CREW = "no-crew"
    """There is none yet."""

    MEMBER_LOST = "member-lost"
    """A member left, was removed, restarted, or its data centre is out."""

    SERVER_UNOWNED = "server-unowned"
    """Nobody owns the slots of a backend server, or not all of them."""

    SIZE = "size"
    """The load asks for another number of members."""

    SERVER_GONE = "server-gone"
    """A backend server with owned slots is no longer listed."""

    REBALANCE = "rebalance"
    """Other members would be chosen today."""


_PATIENCE_S = {
    CrewReason.NO_CREW: 0.0,
    CrewReason.MEMBER_LOST: 0.5,
    CrewReason.SERVER_UNOWNED: 1.0,
    CrewReason.SIZE: 10.0,
    CrewReason.SERVER_GONE: 120.0,
    CrewReason.REBALANCE: 900.0,
}
"""Seconds for which a reason must hold before a new crew is proposed."""


@attrs.frozen
class CrewNeed:
    """One service, as the planner sees it."""

    service: ids.ServiceName
    """The service."""

    servers: tuple[server.BackendServer, ...]
    """Its backend servers in data centres that take work."""

    current: crew.Crew | None = None
    """The crew in force."""

    rate_per_s: Mapping[ids.DataCentre, float] = attrs.Factory(dict)
    """Requests a second by data centre; data centres without load omitted."""


@attrs.frozen
class Candidates:
    """The entry instances that may be members."""

    live: tuple[instance.EntryInstance, ...]
    """Live members of the membership in data centres that take work."""

    listed: int = 0
    """Instances in the platform's list; 0 when it is not known."""

    @property
    def eligible(self) -> list[instance.EntryInstance]:
        """Those that are not leaving."""
        live = server.ListedState.LIVE
        return [one for one in self.live if one.state is live]

    @property
    def is_majority(self) -> bool:
        """Whether most of the listed instances are live.

        The smaller side of a cut proposes nothing, so that two sides do not
        replace each other's crews.
        """
        return 2 * len(self.live) > self.listed


@attrs.frozen
class CrewProposal:
    """A crew record that should be appended."""

    service: ids.ServiceName
    """Service that the crew carries."""

    based_on: int
    """Number of the crew that it replaces; -1 when there is none."""

    members: tuple[crew.CrewMember, ...]
    """Members in order of instance name."""

    shares: Mapping[ids.ServerId, Mapping[ids.InstanceId, int]]
    """Slots of each backend server by owner; they sum to its slots."""

    reason: CrewReason
    """Why the crew in force does not do."""


@attrs.define
class _Assessment:
    """What was worked out for one service when its need last changed."""

    need: CrewNeed
    candidates: Candidates
    wanted: tuple[crew.CrewMember, ...]
    reason: CrewReason | None
    rank: int
    since_s: float


class CrewPlanner:
    """Proposes crews on behalf of one instance.

    One instance for each service proposes first; the others, one after the
    other, only when the reason holds for longer. A proposal is repeated until
    the crew in force changes.
    """

    def __init__(self, own_id: ids.InstanceId) -> None:
        self._own_id = own_id
        self._assessments: dict[ids.ServiceName, _Assessment] = {}

    def propose(
        self, need: CrewNeed, candidates: Candidates, now_s: float
    ) -> CrewProposal | None:
        """Returns a proposal that is due, or None.

        Args:
            need: The service.
            candidates: Instances that may be members.
            now_s: Monotonic time in seconds.
        """
        if not need.servers or not candidates.is_majority:
            return None
        found = self._assess(need, candidates, now_s)
        if found.reason is None or not found.wanted:
            return None
        wait_s = _PATIENCE_S[found.reason] + _BACKUP_INTERVAL_S * found.rank
        if now_s - found.since_s < wait_s:
            return None
        members = found.wanted
        if found.reason is not CrewReason.REBALANCE:
            members = _keep_members(need, members, candidates.eligible)
        shares = crew_plan.share_slots(need.servers, members)
        return CrewProposal(
            need.service, _number(need), members, shares, found.reason
        )

    def _assess(
        self, need: CrewNeed, candidates: Candidates, now_s: float
    ) -> _Assessment:
        before = self._assessments.get(need.service)
        if (
            before is not None
            and before.need == need
            and before.candidates == candidates
        ):
            return before
        eligible = candidates.eligible
        wanted = _choose_members(need, eligible)
        reason = _find_reason(need, wanted, eligible)
        proposers = rank_proposers(need.service, eligible)
        rank = len(proposers)
        if self._own_id in proposers:
            rank = proposers.index(self._own_id)
        since_s = now_s
        if before is not None and _is_same_wait(before, need, reason):
            since_s = before.since_s
        found = _Assessment(need, candidates, wanted, reason, rank, since_s)
        self._assessments[need.service] = found
        return found


def rank_proposers(
    service: ids.ServiceName, eligible: Iterable[instance.EntryInstance]
) -> list[ids.InstanceId]:
    """Returns the instances in the order in which they propose a crew."""
    names = [one.instance_id for one in eligible]
    return sorted(names, key=lambda name: _weight(service, name), reverse=True)


def _is_same_wait(
    before: _Assessment, need: CrewNeed, reason: CrewReason | None
) -> bool:
    return before.reason is reason and _number(before.need) == _number(need)


def _number(need: CrewNeed) -> int:
    return _NO_CREW if need.current is None else need.current.number


def _choose_members(
    need: CrewNeed, eligible: Iterable[instance.EntryInstance]
) -> tuple[crew.CrewMember, ...]:
    """Returns the members that would be chosen without a crew in force."""
    members: list[crew.CrewMember] = []
    present = need.current.members if need.current is not None else ()
    for centre, instances in _group(eligible).items():
        count = crew_size.choose_count(
            sum(one.data_centre == centre for one in present),
            need.rate_per_s.get(centre, 0.0),
            len(instances),
        )
        members += crew_plan.pick_members(need.service, instances, count)
    return _sort(members)


def _keep_members(
    need: CrewNeed,
    wanted: tuple[crew.CrewMember, ...],
    eligible: Iterable[instance.EntryInstance],
) -> tuple[crew.CrewMember, ...]:
    """Returns as many members, of which those in force stay if they can."""
    if need.current is None:
        return wanted
    alive = _lives(eligible)
    kept = [one for one in need.current.members if one in alive]
    members: list[crew.CrewMember] = []
    for centre in {one.data_centre for one in wanted}:
        fresh = [one for one in wanted if one.data_centre == centre]
        stay = [one for one in kept if one.data_centre == centre]
        # Where a crew shrinks, those that would be chosen today stay.
        stay.sort(key=lambda one: one not in wanted)
        ranked = stay + [one for one in fresh if one not in stay]
        members += ranked[: len(fresh)]
    return _sort(members)


def _find_reason(
    need: CrewNeed,
    wanted: tuple[crew.CrewMember, ...],
    eligible: Iterable[instance.EntryInstance],
) -> CrewReason | None:
    current = need.current
    if current is None:
        return CrewReason.NO_CREW
    listed = {one.server_id for one in need.servers}
    checks = {
        CrewReason.MEMBER_LOST: not _lives(eligible).issuperset(
            current.members
        ),
        CrewReason.SERVER_UNOWNED: any(
            sum(current.shares.get(one.server_id, {}).values()) != one.slots
            for one in need.servers
        ),
        CrewReason.SIZE: _count(current.members) != _count(wanted),
        CrewReason.SERVER_GONE: not listed.issuperset(current.shares),
        CrewReason.REBALANCE: current.members != wanted,
    }
    return next((reason for reason, holds in checks.items() if holds), None)


def _group(
    instances: Iterable[instance.EntryInstance],
) -> dict[ids.DataCentre, list[instance.EntryInstance]]:
    by_centre: dict[ids.DataCentre, list[instance.EntryInstance]] = {}
    for one in instances:
        by_centre.setdefault(one.data_centre, []).append(one)
    return by_centre


def _lives(
    instances: Iterable[instance.EntryInstance],
) -> set[crew.CrewMember]:
    return {
        crew.CrewMember(one.instance_id, one.incarnation, one.data_centre)
        for one in instances
    }


def _count(members: Iterable[crew.CrewMember]) -> dict[ids.DataCentre, int]:
    counts: dict[ids.DataCentre, int] = {}
    for one in members:
        counts[one.data_centre] = counts.get(one.data_centre, 0) + 1
    return counts


def _sort(members: Iterable[crew.CrewMember]) -> tuple[crew.CrewMember, ...]:
    return tuple(sorted(members, key=lambda one: one.instance_id))


def _weight(service: ids.ServiceName, instance_id: ids.InstanceId) -> int:
    return xxhash.xxh64_intdigest(
        f"proposer\n{service}\n{instance_id}".encode()
    )
