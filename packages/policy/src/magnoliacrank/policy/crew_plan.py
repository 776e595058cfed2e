"""Chooses the members of a service's crew and the slots that each one owns.

The crew of a service is the set of entry instances that dispatch its requests.
A slot is the right to have one request in flight at a backend server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from magnoliacrank.model import crew

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from magnoliacrank.model import ids
    from magnoliacrank.model import instance
    from magnoliacrank.model import server

_DEFAULT_MEMBERS_PER_DATA_CENTRE = 2
_MIN_SLOTS_PER_OWNER = 32


def pick_members(
    service: ids.ServiceName,
    live: Iterable[instance.EntryInstance],
    per_data_centre: int = _DEFAULT_MEMBERS_PER_DATA_CENTRE,
) -> tuple[crew.CrewMember, ...]:
    """Returns crew members chosen by rendezvous hashing.

    Every instance derives the same crew from the same live instances, and the
    loss of a member replaces that member only.

    Args:
        service: Service of the crew.
        live: Instances that may be members.
        per_data_centre: Maximum number of members in each data centre.
    """
    by_centre: dict[ids.DataCentre, list[instance.EntryInstance]] = {}
    for one in live:
        by_centre.setdefault(one.data_centre, []).append(one)
    chosen: list[instance.EntryInstance] = []
    for instances in by_centre.values():
        instances.sort(
            key=lambda one: _rendezvous_weight(service, one.instance_id),
            reverse=True,
        )
        chosen.extend(instances[:per_data_centre])
    chosen.sort(key=lambda one: one.instance_id)
    return tuple(
        crew.CrewMember(one.instance_id, one.incarnation, one.data_centre)
        for one in chosen
    )


def assign_slots(
    servers: Sequence[server.BackendServer],
    members: Sequence[crew.CrewMember],
) -> dict[ids.ServerId, Mapping[ids.InstanceId, int]]:
    """Returns the number of slots that each member owns, by backend server.

    The slots of a server are owned by members in its data centre, or by all
    members if there are none. Where a data centre has few slots, one member
    owns them all and the other ones are standbys: with split slots, requests
    would wait at one member while slots are free at another. Many slots are
    split evenly.
    """
    if not members:
        return {}
    centres = {one.data_centre for one in members}
    owners = {
        centre: _choose_owners(centre, servers, members) for centre in centres
    }
    return {
        one.server_id: _split_slots(
            one, owners.get(one.data_centre, list(members))
        )
        for one in servers
    }


def preferred_members(record: crew.Crew) -> tuple[crew.CrewMember, ...]:
    """Returns the members that callers should use, namely those with slots."""
    owners = {
        name
        for shares in record.shares.values()
        for name, count in shares.items()
        if count
    }
    return tuple(one for one in record.members if one.instance_id in owners)


def _choose_owners(
    centre: ids.DataCentre,
    servers: Sequence[server.BackendServer],
    members: Sequence[crew.CrewMember],
) -> list[crew.CrewMember]:
    slots = sum(one.slots for one in servers if one.data_centre == centre)
    services = {one.service for one in servers}
    local = [one for one in members if one.data_centre == centre]
    local.sort(
        key=lambda one: _rendezvous_weight(
            min(services, default=""), one.instance_id
        ),
        reverse=True,
    )
    return local[: max(1, slots // _MIN_SLOTS_PER_OWNER)]


def _split_slots(
    backend: server.BackendServer, owners: Sequence[crew.CrewMember]
) -> Mapping[ids.InstanceId, int]:
    ranked = sorted(
        owners,
        key=lambda one: _rendezvous_weight(backend.server_id, one.instance_id),
    )
    slots_each, remainder = divmod(backend.slots, len(ranked))
    shares = {
        one.instance_id: slots_each + (index < remainder)
        for index, one in enumerate(ranked)
    }
    return {name: count for name, count in sorted(shares.items()) if count}


def _rendezvous_weight(name: str, instance_id: ids.InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{name}\n{instance_id}".encode())
