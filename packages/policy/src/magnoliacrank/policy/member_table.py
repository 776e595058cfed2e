"""Table of the newest update about each member that an instance knows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from magnoliacrank.model import ids
    from magnoliacrank.policy import member

_MAX_TOMBSTONES = 4_096


class MemberTable:
    """Newest update about each member, present or not.

    Members that were removed or left stay in the table as tombstones, so that
    a late update can't revive them. Beyond a limit, the oldest tombstones are
    dropped.
    """

    def __init__(self) -> None:
        self._entries: dict[ids.InstanceId, member.MemberUpdate] = {}
        self._tombstones: collections.OrderedDict[ids.InstanceId, None] = (
            collections.OrderedDict()
        )
        self._digest = 0
        self._live_count = 0

    @property
    def digest(self) -> int:
        """Hash of the live members; equal for tables with the same ones.

        It covers their incarnations, revisions and whether they are leaving.
        """
        return self._digest

    @property
    def present_count(self) -> int:
        """Number of members that count as live."""
        return self._live_count

    def find(self, instance_id: ids.InstanceId) -> member.MemberUpdate | None:
        """Returns the newest update about a member, or None."""
        return self._entries.get(instance_id)

    def list_all(self) -> list[member.MemberUpdate]:
        """Returns the newest updates about all members, tombstones included."""
        return list(self._entries.values())

    def list_present(self) -> list[member.MemberUpdate]:
        """Returns the newest updates about the members that count as live."""
        return [one for one in self._entries.values() if one.is_present]

    def accepts(self, update: member.MemberUpdate) -> bool:
        """Returns whether an update takes precedence over the one in the table.

        About an unknown member, a live state is accepted only with an address.
        """
        held = self._entries.get(update.instance_id)
        if held is None:
            return update.address is not None or not update.is_present
        return update.precedence > held.precedence

    def put(self, update: member.MemberUpdate) -> member.MemberUpdate:
        """Replaces the update about a member.

        A missing address is taken from the previous update, and within one
        incarnation a leaving member remains leaving.

        Returns:
            The update as stored.
        """
        held = self._entries.get(update.instance_id)
        if held is not None:
            update = _merge_fields(update, held)
            self._discard(held)
        self._entries[update.instance_id] = update
        if update.is_present:
            self._live_count += 1
            self._digest ^= _hash(update)
        else:
            self._add_tombstone(update.instance_id)
        return update

    def _discard(self, held: member.MemberUpdate) -> None:
        if held.is_present:
            self._live_count -= 1
            self._digest ^= _hash(held)
        self._tombstones.pop(held.instance_id, None)

    def _add_tombstone(self, instance_id: ids.InstanceId) -> None:
        self._tombstones[instance_id] = None
        if len(self._tombstones) > _MAX_TOMBSTONES:
            oldest, _ = self._tombstones.popitem(last=False)
            del self._entries[oldest]


def _merge_fields(
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
