"""One crew record, prepared for look-ups of shares."""

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
    """Who owns which slots under one crew record."""

    def __init__(self, crew: crew_model.Crew) -> None:
        """Prepares a record.

        Args:
            crew: The record.
        """
        self._crew = crew
        self._owners = {
            member.instance_id: slot_messages.Owner(
                member.instance_id, member.incarnation
            )
            for member in crew.members
        }

    @property
    def service(self) -> ids.ServiceName:
        """Service that the crew carries."""
        return self._crew.service

    @property
    def number(self) -> ids.LogOffset:
        """Number of the record."""
        return self._crew.number

    @property
    def servers(self) -> Collection[ids.ServerId]:
        """Backend servers with owned slots."""
        return self._crew.shares.keys()

    @functools.cached_property
    def members(self) -> frozenset[slot_messages.Owner]:
        """Lives that are members."""
        return frozenset(self._owners.values())

    def share(self, owner: slot_messages.Owner, server_id: ids.ServerId) -> int:
        """Returns how many slots of a backend server a life owns."""
        if self._owners.get(owner.instance_id) != owner:
            return 0
        shares = self._crew.shares.get(server_id)
        return shares.get(owner.instance_id, 0) if shares else 0

    def owners(self, server_id: ids.ServerId) -> list[slot_messages.Owner]:
        """Returns the lives that own slots of a backend server, by name."""
        shares = self._crew.shares.get(server_id, {})
        return [
            self._owners[name]
            for name in sorted(shares)
            if shares[name] and name in self._owners
        ]

    def portion(
        self, owner: slot_messages.Owner, server_id: ids.ServerId, limit: int
    ) -> int:
        """Returns a life's part of a backend server's present limit."""
        owners = self.owners(server_id)
        if owner not in owners:
            return 0
        shares = [self.share(other, server_id) for other in owners]
        parts = slot_account.apportion(limit, shares)
        return parts[owners.index(owner)]

    def steward(self, server_id: ids.ServerId) -> slot_messages.Owner | None:
        """Returns the life that warms a backend server while it is cold."""
        return max(
            self.owners(server_id),
            key=lambda owner: (
                self.share(owner, server_id),
                _weight(server_id, owner.instance_id),
            ),
            default=None,
        )


def _weight(server_id: ids.ServerId, instance_id: ids.InstanceId) -> int:
    """Returns a rank that spreads equal shares over the members."""
    return xxhash.xxh64_intdigest(f"{server_id}\n{instance_id}".encode())
