"""Look-ups of slot owners in one crew record."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import xxhash

from magnoliacrank.policy import slot_account
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Collection

    from magnoliacrank.model import crew as crew_model
    from magnoliacrank.model import ids


class CrewShares:
    """Number of slots that each crew member owns under one crew record.

    A member is identified by its instance and incarnation, so a restarted
    instance owns nothing until a newer record names its new incarnation.
    """

    def __init__(self, crew: crew_model.Crew) -> None:
        """Indexes a crew record.

        Args:
            crew: The crew as read from the log.
        """
        self._crew = crew
        self._owners = {
            member.instance_id: slot_messages.InstanceIncarnation(
                member.instance_id, member.incarnation
            )
            for member in crew.members
        }

    @property
    def service(self) -> ids.ServiceName:
        """Service of the crew."""
        return self._crew.service

    @property
    def number(self) -> ids.LogOffset:
        """Log offset of the record; a larger one is newer."""
        return self._crew.number

    @property
    def servers(self) -> Collection[ids.ServerId]:
        """Backend servers whose slots the record assigns."""
        return self._crew.shares.keys()

    @functools.cached_property
    def members(self) -> frozenset[slot_messages.InstanceIncarnation]:
        """Instances of the crew, with their incarnations."""
        return frozenset(self._owners.values())

    def share(
        self, owner: slot_messages.InstanceIncarnation, server_id: ids.ServerId
    ) -> int:
        """Returns how many slots of a backend server a member owns.

        Args:
            owner: Instance and incarnation; others than members own none.
            server_id: Backend server.
        """
        if self._owners.get(owner.instance_id) != owner:
            return 0
        shares = self._crew.shares.get(server_id)
        return shares.get(owner.instance_id, 0) if shares else 0

    def owners(
        self, server_id: ids.ServerId
    ) -> list[slot_messages.InstanceIncarnation]:
        """Returns the members that own slots of a backend server, by name."""
        shares = self._crew.shares.get(server_id, {})
        return [
            self._owners[name]
            for name in sorted(shares)
            if shares[name] and name in self._owners
        ]

    def limit_share(
        self,
        owner: slot_messages.InstanceIncarnation,
        server_id: ids.ServerId,
        limit: int,
    ) -> int:
        """Returns the part of a backend server's limit that a member may use.

        The limit is split in proportion to the owned slots.

        Args:
            owner: Instance and incarnation.
            server_id: Backend server.
            limit: Current concurrency limit of the backend server.
        """
        owners = self.owners(server_id)
        if owner not in owners:
            return 0
        shares = [self.share(other, server_id) for other in owners]
        parts = slot_account.apportion(limit, shares)
        return parts[owners.index(owner)]

    def warmup_owner(
        self, server_id: ids.ServerId
    ) -> slot_messages.InstanceIncarnation | None:
        """Returns the only member that may use a cold backend server.

        This is the member with most slots; hashing decides between equals.
        """
        return max(
            self.owners(server_id),
            key=lambda owner: (
                self.share(owner, server_id),
                _weight(server_id, owner.instance_id),
            ),
            default=None,
        )


def _weight(server_id: ids.ServerId, instance_id: ids.InstanceId) -> int:
    """Returns a weight that spreads servers with equal shares over members."""
    return xxhash.xxh64_intdigest(f"{server_id}\n{instance_id}".encode())
