"""Chooses which members each member pings: its successors in three rings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.model import ids
    from magnoliacrank.policy import member

_FORWARD_SEED = 1
_BACKWARD_SEED = 2


def choose_targets(
    own_id: ids.InstanceId, members: Iterable[member.MemberUpdate]
) -> list[ids.InstanceId]:
    """Returns the members, three at most, that a given member monitors.

    The first is the successor in a ring over the member's data centre, so that
    the members of a data centre still monitor each other if all other data
    centres are lost. The others are successors in two rings over all members,
    which alternate between the data centres and run in opposite directions. If
    there are three data centres of equal size and one or two of them are lost,
    each lost member therefore had a monitor in a remaining one.

    Args:
        own_id: The monitoring member, which is one of `members`.
        members: All members that may monitor and be monitored.
    """
    present = {one.instance_id: _find_data_centre(one) for one in members}
    own_data_centre = present[own_id]
    local = {
        name: own_data_centre
        for name, where in present.items()
        if where == own_data_centre
    }
    forward = _sort_ring(present, _FORWARD_SEED)
    backward = _sort_ring(present, _BACKWARD_SEED)[::-1]
    targets: list[ids.InstanceId] = []
    for ring in (_sort_ring(local, _FORWARD_SEED), forward, backward):
        start = ring.index(own_id)
        for target in ring[start + 1 :] + ring[:start]:
            if target not in targets:
                targets.append(target)
                break
    return targets


def _find_data_centre(one: member.MemberUpdate) -> str:
    return one.address.data_centre if one.address else ""


def _sort_ring(
    present: dict[ids.InstanceId, str], seed: int
) -> list[ids.InstanceId]:
    """Returns the members in ring order, alternating between data centres.

    The seed determines the order within each data centre; the order of the
    data centres is always the same.
    """
    by_data_centre: dict[str, list[tuple[int, ids.InstanceId]]] = {}
    for name, data_centre in present.items():
        score = xxhash.xxh64_intdigest(name.encode(), seed)
        by_data_centre.setdefault(data_centre, []).append((score, name))
    placed: list[tuple[float, str, ids.InstanceId]] = []
    for data_centre, ranked in by_data_centre.items():
        for rank, (_, name) in enumerate(sorted(ranked)):
            position = (rank + 0.5) / len(ranked)
            placed.append((position, data_centre, name))
    return [name for _, _, name in sorted(placed)]
