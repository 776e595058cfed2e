"""Crew: the entry instances that own the slots of one service.

A slot is the right to run one request at a time on a backend server.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from magnoliacrank.model import ids


@attrs.frozen
class CrewMember:
    """One entry instance that is a member of a crew."""

    instance_id: ids.InstanceId
    """Name of the instance."""

    incarnation: ids.Incarnation
    """Incarnation of the instance that is the member.

    A later incarnation of the instance is not a member.
    """

    data_centre: ids.DataCentre
    """Data centre that the instance runs in."""


@attrs.frozen
class Crew:
    """Members of one service's crew and the slots that each owns.

    A crew's number is the log offset of the record that defined it. Every
    instance reads the same log, so all of them replace a crew by the one with
    the larger number.
    """

    service: ids.ServiceName
    """Service whose requests the crew dispatches."""

    number: ids.LogOffset
    """Log offset of the record that defined the crew."""

    members: tuple[CrewMember, ...]
    """Members, sorted by instance name."""

    shares: Mapping[ids.ServerId, Mapping[ids.InstanceId, int]]
    """Number of slots that each member owns, by backend server.

    The numbers of one server add up to its slots.
    """

    based_on: int = -1
    """Number of the crew that this one replaced; -1 if there was none."""
