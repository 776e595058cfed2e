"""Crew: the entry instances that carry one service, and their slots."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from magnoliacrank.model import ids


@attrs.frozen
class CrewMember:
    """One entry instance in a crew."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Life in which it joined."""

    data_centre: ids.DataCentre
    """Data centre in which it stands."""


@attrs.frozen
class Crew:
    """Members of one service's crew and the slots that each owns.

    The number is the offset of the record that fixed the crew, so a larger
    number replaces a smaller one on every instance alike.
    """

    service: ids.ServiceName
    """Service that the crew carries."""

    number: ids.LogOffset
    """Offset of the record."""

    members: tuple[CrewMember, ...]
    """Members in order of instance name."""

    shares: Mapping[ids.ServerId, Mapping[ids.InstanceId, int]]
    """Slots of each backend server by owner; they sum to its slots."""

    based_on: int = -1
    """Number of the crew that it replaced; -1 for a service's first."""
