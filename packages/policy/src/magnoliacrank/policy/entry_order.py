"""Order in which a caller should use the entry instances of a crew."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from magnoliacrank.model import server
from magnoliacrank.policy import crew_plan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliacrank.model import crew
    from magnoliacrank.model import ids
    from magnoliacrank.model import instance


def order_entries(
    record: crew.Crew,
    live: Iterable[instance.EntryInstance],
    data_centre: ids.DataCentre,
    caller: str,
) -> tuple[instance.EntryInstance, ...]:
    """Returns the members that a caller should use, the best first.

    Members that own slots go before those that stand by, and those in the
    caller's data centre before others. Callers are spread over members that
    are equally good, and over the data centres that they fall back to. Leaving
    instances are omitted; where no member is left, any live instance does,
    since it forwards.

    Args:
        record: The crew in force.
        live: Live instances in data centres that take work.
        data_centre: The caller's data centre, or the asked instance's.
        caller: Tells callers apart, such as the caller's address.
    """
    usable = [one for one in live if one.state is server.ListedState.LIVE]
    names = {one.instance_id for one in record.members}
    owners = {one.instance_id for one in crew_plan.preferred_members(record)}
    members = [one for one in usable if one.instance_id in names]

    def rank(one: instance.EntryInstance) -> tuple[bool, bool, int]:
        return (
            one.instance_id not in owners,
            one.data_centre != data_centre,
            _weight(caller, one.instance_id),
        )

    return tuple(sorted(members or usable, key=rank))


def _weight(caller: str, instance_id: ids.InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{caller}\n{instance_id}".encode())
