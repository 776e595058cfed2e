"""Who pings whom: successors in a few rings over all members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.model import ids
    from magnoliacrank.policy import member


def choose_targets(
    own_id: ids.InstanceId,
    members: Iterable[member.MemberUpdate],
    count: int,
) -> list[ids.InstanceId]:
    """Returns the members that one of them monitors.

    Each ring visits all members once, and data centres by turns, so that each
    member is monitored by `count` others and, unless one data centre holds more
    than half of all members, from another data centre.

    Args:
        own_id: The monitoring member, which is one of `members`.
        members: All members that count as live.
        count: Number of rings, and so of targets.
    """
    present = list(members)
    targets: list[ids.InstanceId] = []
    for seed in range(count):
        ring = _sort_ring(present, seed)
        start = ring.index(own_id)
        for target in ring[start + 1 :] + ring[:start]:
            if target not in targets:
                targets.append(target)
                break
    return targets


def _sort_ring(
    members: list[member.MemberUpdate], seed: int
) -> list[ids.InstanceId]:
    by_data_centre: dict[str, list[tuple[int, ids.InstanceId]]] = {}
    for one in members:
        data_centre = one.address.data_centre if one.address else ""
        score = xxhash.xxh64_intdigest(one.instance_id.encode(), seed)
        ranked = by_data_centre.setdefault(data_centre, [])
        ranked.append((score, one.instance_id))
    placed: list[tuple[float, int, ids.InstanceId]] = []
    for data_centre, ranked in by_data_centre.items():
        tie = xxhash.xxh64_intdigest(data_centre.encode(), seed)
        for rank, (_, instance_id) in enumerate(sorted(ranked)):
            position = (rank + 0.5) / len(ranked)
            placed.append((position, tie, instance_id))
    return [instance_id for _, _, instance_id in sorted(placed)]
