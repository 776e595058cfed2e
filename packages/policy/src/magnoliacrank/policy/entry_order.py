"""Order in which a caller should use the entry instances of a crew.

The crew of a service is the group of entry instances that serve it; its
members own the slots of the service's backend servers.
"""

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
    """Returns the entry instances that a caller should use, the best first.

    Crew members that own slots go before standby members, and those in the
    caller's data centre before others. Callers are spread by hash over equally
    good members. Leaving instances are omitted; if no member is left, all live
    instances are returned, since any instance forwards to the crew.

    Args:
        record: The current crew of the service.
        live: Live instances in data centres that are in service.
        data_centre: The caller's data centre, or that of the instance asked.
        caller: Identity of the caller, such as its address.
    """
    usable = [one for one in live if one.state is server.ListedState.LIVE]
    member_ids = {one.instance_id for one in record.members}
    owner_ids = {one.instance_id for one in crew_plan.preferred_members(record)}
    members = [one for one in usable if one.instance_id in member_ids]

    def rank(one: instance.EntryInstance) -> tuple[bool, bool, int]:
        return (
            one.instance_id not in owner_ids,
            one.data_centre != data_centre,
            _rendezvous_hash(caller, one.instance_id),
        )

    return tuple(sorted(members or usable, key=rank))


def _rendezvous_hash(caller: str, instance_id: ids.InstanceId) -> int:
    """Returns the hash by which callers are spread over equal instances."""
    return xxhash.xxh64_intdigest(f"{caller}\n{instance_id}".encode())
