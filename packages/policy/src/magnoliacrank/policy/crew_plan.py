"""Picks the members of a crew and gives each its slots."""

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

_LEAST_PER_DATA_CENTRE = 2
_LEAST_OWNED_SLOTS = 32


def pick_members(
    service: ids.ServiceName,
    live: Iterable[instance.EntryInstance],
    per_data_centre: int = _LEAST_PER_DATA_CENTRE,
) -> tuple[crew.CrewMember, ...]:
    """Returns a few members per data centre by rendezvous hashing.

    The same instances give the same crew wherever it is worked out, and the
    loss of a member replaces that member only.

    Args:
        service: Service of the crew.
        live: Instances that may be members.
        per_data_centre: Members in each data centre, if it has that many.
    """
    by_centre: dict[ids.DataCentre, list[instance.EntryInstance]] = {}
    for one in live:
        by_centre.setdefault(one.data_centre, []).append(one)
    chosen: list[instance.EntryInstance] = []
    for instances in by_centre.values():
        instances.sort(
            key=lambda one: _weight(service, one.instance_id), reverse=True
        )
        chosen.extend(instances[:per_data_centre])
    chosen.sort(key=lambda one: one.instance_id)
    return tuple(
        crew.CrewMember(one.instance_id, one.incarnation, one.data_centre)
        for one in chosen
    )


def share_slots(
    servers: Sequence[server.BackendServer],
    members: Sequence[crew.CrewMember],
) -> dict[ids.ServerId, Mapping[ids.InstanceId, int]]:
    """Returns the slots of each backend server by owner.

    Members in the server's data centre own its slots, all members where it
    has none. Few slots have one owner, since splitting them makes requests
    wait at one member while slots are free at another; its second member
    stands by. Many slots are split evenly.
    """
    if not members:
        return {}
    centres = {one.data_centre for one in members}
    owners = {
        centre: _owners_in(centre, servers, members) for centre in centres
    }
    return {
        one.server_id: _share_server(
            one, owners.get(one.data_centre, list(members))
        )
        for one in servers
    }


def preferred_members(record: crew.Crew) -> tuple[crew.CrewMember, ...]:
    """Returns the members that callers should use: those that own slots."""
    owners = {
        name
        for shares in record.shares.values()
        for name, count in shares.items()
        if count
    }
    return tuple(one for one in record.members if one.instance_id in owners)


def _owners_in(
    centre: ids.DataCentre,
    servers: Sequence[server.BackendServer],
    members: Sequence[crew.CrewMember],
) -> list[crew.CrewMember]:
    slots = sum(one.slots for one in servers if one.data_centre == centre)
    services = {one.service for one in servers}
    near = [one for one in members if one.data_centre == centre]
    near.sort(
        key=lambda one: _weight(min(services, default=""), one.instance_id),
        reverse=True,
    )
    return near[: max(1, slots // _LEAST_OWNED_SLOTS)]


def _share_server(
    backend: server.BackendServer, owners: Sequence[crew.CrewMember]
) -> Mapping[ids.InstanceId, int]:
    ranked = sorted(
        owners, key=lambda one: _weight(backend.server_id, one.instance_id)
    )
    whole, odd = divmod(backend.slots, len(ranked))
    shares = {
        one.instance_id: whole + (index < odd)
        for index, one in enumerate(ranked)
    }
    return {name: count for name, count in sorted(shares.items()) if count}


def _weight(name: str, instance_id: ids.InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{name}\n{instance_id}".encode())
