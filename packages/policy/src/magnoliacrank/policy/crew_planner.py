"""Decides when a service needs a new crew, and proposes one.

The crew of a service is the set of entry instances that own the slots of its
backend servers. A crew record in the log puts a new crew in force.
"""

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

_PROPOSER_STAGGER_S = 3.0

_NO_CREW = -1


class CrewReason(enum.Enum):
    """Why a service needs a new crew."""

    NO_CREW = "no-crew"
    """The service has no crew yet."""

    MEMBER_LOST = "member-lost"
    """A member left, was removed or restarted, or its data centre takes no
    work."""

    SERVER_UNOWNED = "server-unowned"
    """The owned slots of a backend server don't sum to its slots."""

    SIZE = "size"
    """The load requires another number of members in a data centre."""

    SERVER_GONE = "server-gone"
    """Members own slots of a backend server that is no longer listed."""

    REBALANCE = "rebalance"
    """Rendezvous hashing would now choose other members."""


_DEBOUNCE_S = {
    CrewReason.NO_CREW: 0.0,
    CrewReason.MEMBER_LOST: 0.5,
    CrewReason.SERVER_UNOWNED: 1.0,
    CrewReason.SIZE: 10.0,
    CrewReason.SERVER_GONE: 120.0,
    CrewReason.REBALANCE: 900.0,
}
"""Seconds for which each reason must hold without a break before the first
proposer proposes a new crew."""


@attrs.frozen
class CrewNeed:
    """State of one service from which the planner derives its crew."""

    service: ids.ServiceName
    """Name of the service."""

    servers: tuple[server.BackendServer, ...]
    """Backend servers of the service in data centres that take work."""

    current: crew.Crew | None = None
    """The crew in force, or None before the first."""

    rate_per_s: Mapping[ids.DataCentre, float] = attrs.Factory(dict)
    """Requests per second by data centre; those without load are omitted."""


@attrs.frozen
class Candidates:
    """The entry instances that may become crew members."""

    live: tuple[instance.EntryInstance, ...]
    """Instances that the failure detector counts as live, in data centres that
    take work."""

    listed: int = 0
    """Number of instances in the platform's list; 0 if it is not known."""

    @property
    def eligible(self) -> list[instance.EntryInstance]:
        """Live instances that are not leaving."""
        live = server.ListedState.LIVE
        return [one for one in self.live if one.state is live]

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the listed instances are live.

        During a network partition the minority side proposes no crews, so that
        the two sides don't replace each other's.
        """
        return 2 * len(self.live) > self.listed


@attrs.frozen
class CrewProposal:
    """Contents of a crew record that should be appended to the log."""

    service: ids.ServiceName
    """Service of the crew."""

    based_on: int
    """Number of the crew that it replaces; -1 when there is none."""

    members: tuple[crew.CrewMember, ...]
    """Members in order of instance name."""

    shares: Mapping[ids.ServerId, Mapping[ids.InstanceId, int]]
    """Slots of each backend server by owner; they sum to its slots."""

    reason: CrewReason
    """Why the crew in force must be replaced."""


@attrs.define
class _Assessment:
    """Cached evaluation of one service for given inputs.

    `rank` is this instance's position among the proposers, and `since_s` the
    monotonic time in seconds since which `reason` has held.
    """

    need: CrewNeed
    candidates: Candidates
    wanted: tuple[crew.CrewMember, ...]
    reason: CrewReason | None
    rank: int
    since_s: float


class CrewPlanner:
    """Proposes new crews on behalf of one instance.

    Rendezvous hashing ranks the proposers of each service. The first one
    proposes as soon as a reason has held for long enough; each next one waits
    longer, and so stands in for it. A proposal is repeated until the crew in
    force changes.
    """

    def __init__(self, own_id: ids.InstanceId) -> None:
        self._own_id = own_id
        self._assessments: dict[ids.ServiceName, _Assessment] = {}

    def propose(
        self, need: CrewNeed, candidates: Candidates, now_s: float
    ) -> CrewProposal | None:
        """Returns the proposal that is due for a service, or None.

        Args:
            need: State of the service.
            candidates: Instances that may be members.
            now_s: Current monotonic time, in seconds.
        """
        if not need.servers or not candidates.is_majority:
            return None
        assessment = self._assess(need, candidates, now_s)
        if assessment.reason is None or not assessment.wanted:
            return None
        wait_s = (
            _DEBOUNCE_S[assessment.reason]
            + _PROPOSER_STAGGER_S * assessment.rank
        )
        if now_s - assessment.since_s < wait_s:
            return None
        members = assessment.wanted
        if assessment.reason is not CrewReason.REBALANCE:
            members = _keep_members(need, members, candidates.eligible)
        shares = crew_plan.assign_slots(need.servers, members)
        return CrewProposal(
            need.service,
            _current_number(need),
            members,
            shares,
            assessment.reason,
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
        if before is not None and _is_same_reason(before, need, reason):
            since_s = before.since_s
        assessment = _Assessment(
            need, candidates, wanted, reason, rank, since_s
        )
        self._assessments[need.service] = assessment
        return assessment


def rank_proposers(
    service: ids.ServiceName, eligible: Iterable[instance.EntryInstance]
) -> list[ids.InstanceId]:
    """Returns the instances in the order in which they propose a crew.

    Args:
        service: Service of the crew.
        eligible: Live instances that are not leaving.
    """
    names = [one.instance_id for one in eligible]
    return sorted(
        names, key=lambda name: _rendezvous_weight(service, name), reverse=True
    )


def _is_same_reason(
    before: _Assessment, need: CrewNeed, reason: CrewReason | None
) -> bool:
    return before.reason is reason and _current_number(
        before.need
    ) == _current_number(need)


def _current_number(need: CrewNeed) -> int:
    return _NO_CREW if need.current is None else need.current.number


def _choose_members(
    need: CrewNeed, eligible: Iterable[instance.EntryInstance]
) -> tuple[crew.CrewMember, ...]:
    """Returns the members that hashing chooses, whoever is in the crew now.

    The crew in force only affects how many there are.
    """
    members: list[crew.CrewMember] = []
    present = need.current.members if need.current is not None else ()
    for centre, instances in _group_by_data_centre(eligible).items():
        count = crew_size.choose_member_count(
            sum(one.data_centre == centre for one in present),
            need.rate_per_s.get(centre, 0.0),
            len(instances),
        )
        members += crew_plan.pick_members(need.service, instances, count)
    return _sort_by_id(members)


def _keep_members(
    need: CrewNeed,
    wanted: tuple[crew.CrewMember, ...],
    eligible: Iterable[instance.EntryInstance],
) -> tuple[crew.CrewMember, ...]:
    """Returns a crew of the wanted size that keeps members where possible."""
    if need.current is None:
        return wanted
    alive = _to_members(eligible)
    kept = [one for one in need.current.members if one in alive]
    members: list[crew.CrewMember] = []
    for centre in {one.data_centre for one in wanted}:
        fresh = [one for one in wanted if one.data_centre == centre]
        stay = [one for one in kept if one.data_centre == centre]
        # If the crew shrinks, members that hashing would choose now stay.
        stay.sort(key=lambda one: one not in wanted)
        ranked = stay + [one for one in fresh if one not in stay]
        members += ranked[: len(fresh)]
    return _sort_by_id(members)


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
        CrewReason.MEMBER_LOST: not _to_members(eligible).issuperset(
            current.members
        ),
        CrewReason.SERVER_UNOWNED: any(
            sum(current.shares.get(one.server_id, {}).values()) != one.slots
            for one in need.servers
        ),
        CrewReason.SIZE: _count_by_data_centre(current.members)
        != _count_by_data_centre(wanted),
        CrewReason.SERVER_GONE: not listed.issuperset(current.shares),
        CrewReason.REBALANCE: current.members != wanted,
    }
    return next((reason for reason, holds in checks.items() if holds), None)


def _group_by_data_centre(
    instances: Iterable[instance.EntryInstance],
) -> dict[ids.DataCentre, list[instance.EntryInstance]]:
    by_centre: dict[ids.DataCentre, list[instance.EntryInstance]] = {}
    for one in instances:
        by_centre.setdefault(one.data_centre, []).append(one)
    return by_centre


def _to_members(
    instances: Iterable[instance.EntryInstance],
) -> set[crew.CrewMember]:
    return {
        crew.CrewMember(one.instance_id, one.incarnation, one.data_centre)
        for one in instances
    }


def _count_by_data_centre(
    members: Iterable[crew.CrewMember],
) -> dict[ids.DataCentre, int]:
    counts: dict[ids.DataCentre, int] = {}
    for one in members:
        counts[one.data_centre] = counts.get(one.data_centre, 0) + 1
    return counts


def _sort_by_id(
    members: Iterable[crew.CrewMember],
) -> tuple[crew.CrewMember, ...]:
    return tuple(sorted(members, key=lambda one: one.instance_id))


def _rendezvous_weight(
    service: ids.ServiceName, instance_id: ids.InstanceId
) -> int:
    return xxhash.xxh64_intdigest(
        f"proposer\n{service}\n{instance_id}".encode()
    )
