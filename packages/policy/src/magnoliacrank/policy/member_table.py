"""Table of the members that one entry instance knows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.policy import member

_MAX_ABSENT = 4_096


class MemberTable:
    """Keeps the newest statement about each member.

    Members that were removed or left stay in the table, oldest forgotten
    first beyond a limit, so that a late statement can't bring them back.
    """

    def __init__(self) -> None:
        self._entries: dict[ids.InstanceId, member.MemberUpdate] = {}
        self._absent: collections.OrderedDict[ids.InstanceId, None] = (
            collections.OrderedDict()
        )
        self._digest = 0
        self._present = 0

    @property
    def digest(self) -> int:
        """Hash of the members present; equal tables have equal digests."""
        return self._digest

    @property
    def present_count(self) -> int:
        """Number of members that count as live."""
        return self._present

    def find(self, instance_id: ids.InstanceId) -> member.MemberUpdate | None:
        """Returns the newest statement about a member, or None."""
        return self._entries.get(instance_id)

    def list_all(self) -> list[member.MemberUpdate]:
        """Returns the statements about all members."""
        return list(self._entries.values())

    def list_present(self) -> list[member.MemberUpdate]:
        """Returns the statements about the members that count as live."""
        return [one for one in self._entries.values() if one.is_present]

    def accepts(self, update: member.MemberUpdate) -> bool:
        """Returns whether a statement is newer than the one in the table."""
        held = self._entries.get(update.instance_id)
        if held is None:
            return update.address is not None or not update.is_present
        return update.precedence > held.precedence

    def put(self, update: member.MemberUpdate) -> member.MemberUpdate:
        """Replaces the statement about a member.

        An omitted address is taken from the one before, and within one
        incarnation a member that is leaving stays so.

        Returns:
            The statement as kept.
        """
        held = self._entries.get(update.instance_id)
        if held is not None:
            update = _complete(update, held)
            self._forget(held)
        self._entries[update.instance_id] = update
        if update.is_present:
            self._present += 1
            self._digest ^= _hash(update)
        else:
            self._keep_absent(update.instance_id)
        return update

    def _forget(self, held: member.MemberUpdate) -> None:
        if held.is_present:
            self._present -= 1
            self._digest ^= _hash(held)
        self._absent.pop(held.instance_id, None)

    def _keep_absent(self, instance_id: ids.InstanceId) -> None:
        self._absent[instance_id] = None
        if len(self._absent) > _MAX_ABSENT:
            oldest, _ = self._absent.popitem(last=False)
            del self._entries[oldest]


def _complete(
    update: member.MemberUpdate, held: member.MemberUpdate
) -> member.MemberUpdate:
    address = update.address or held.address
    is_leaving = update.is_leaving
    if update.incarnation == held.incarnation:
        is_leaving = is_leaving or held.is_leaving
    return attrs.evolve(update, address=address, is_leaving=is_leaving)


def _hash(update: member.MemberUpdate) -> int:
    text = (
        f"{update.instance_id}|{update.incarnation}|{update.revision}"
        f"|{update.is_leaving}"
    )
    return xxhash.xxh64_intdigest(text.encode())
