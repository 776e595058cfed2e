"""What one life knows of its crew: newest record, older ones, confirmation."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from magnoliacrank.model import ids
from magnoliacrank.policy import crew_shares
from magnoliacrank.policy import crew_trust
from magnoliacrank.policy import former_crew
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from magnoliacrank.model import crew as crew_model
    from magnoliacrank.policy import slot_timing

_NO_RECORD = ids.LogOffset(-1)
_NEVER_S = float("-inf")
_NOT_YET_S = float("inf")


class CrewView:
    """Crew records of one service as one life knows them."""

    def __init__(
        self, own: slot_messages.Owner, timing: slot_timing.SlotTiming
    ) -> None:
        """Starts without a record.

        Args:
            own: Own life.
            timing: Times that all members share.
        """
        self._own = own
        self._timing = timing
        self._trust = crew_trust.CrewTrust(own, timing.silence_s)
        self._shares: crew_shares.CrewShares | None = None
        self._formers: list[former_crew.FormerCrew] = []
        self._blind_until_s = _NEVER_S
        self._blind_number = _NO_RECORD
        self._blind_aware: set[slot_messages.Owner] = set()
        self._check_ids = itertools.count(1)
        self._checks_s: dict[int, float] = {}
        self._next_check_s = _NEVER_S

    @property
    def shares(self) -> crew_shares.CrewShares | None:
        """The newest record, or None before the first."""
        return self._shares

    @property
    def number(self) -> ids.LogOffset:
        """Number of the newest record, or -1."""
        return _NO_RECORD if self._shares is None else self._shares.number

    @property
    def trust(self) -> crew_trust.CrewTrust:
        """Confirmations of the newest record."""
        return self._trust

    @property
    def is_member(self) -> bool:
        """Whether this life is in the newest record."""
        return self._shares is not None and self._own in self._shares.members

    def set_crew(self, crew: crew_model.Crew, now_s: float) -> bool:
        """Changes to a newer record.

        When the record that it replaced is not known, unknown owners are
        waited out from the time at which a quorum of members knows this one,
        or until a member tells that there are none.

        Args:
            crew: The record as folded from the log.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the record is newer.
        """
        if crew.number <= self.number:
            return False
        if crew.based_on != self.number:
            self._blind_until_s = _NOT_YET_S
            self._blind_number = crew.number
            self._blind_aware = set()
        if self._shares is not None:
            former = former_crew.FormerCrew(self._shares)
            former.note_aware(self._own, now_s)
            self._formers.append(former)
        self._shares = crew_shares.CrewShares(crew)
        for former in self._formers:
            former.succeed(self._shares)
        self._trust.set_members(self._shares.members)
        self._limit_blindness(now_s)
        return True

    def usable_share(self, server_id: ids.ServerId, now_s: float) -> int:
        """Returns the own slots that no former owner can use."""
        if self._shares is None or now_s < self._blind_until_s:
            return 0
        usable = self._shares.share(self._own, server_id)
        for former in self._formers:
            limit = former.share_limit(self._own, server_id)
            if limit is not None:
                usable = min(usable, limit)
        return usable

    def is_steward(self, server_id: ids.ServerId, now_s: float) -> bool:
        """Returns whether this life alone warms a backend server."""
        if self._shares is None or now_s < self._blind_until_s:
            return False
        if self._shares.steward(server_id) != self._own:
            return False
        return all(
            former.is_steward(self._own, server_id) for former in self._formers
        )

    def end_old(self, now_s: float) -> bool:
        """Forgets older records that are over.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Whether shares may have become usable.
        """
        wait_s = self._timing.takeover_s
        formers = [f for f in self._formers if not f.is_over(now_s, wait_s)]
        was_blind = now_s >= self._blind_until_s > _NEVER_S
        is_changed = was_blind or len(formers) < len(self._formers)
        self._formers = formers
        if was_blind:
            self._blind_until_s = _NEVER_S
        return is_changed

    def on_crew_check(
        self,
        message: slot_messages.CrewCheck,
        over_share: tuple[ids.ServerId, ...],
        now_s: float,
    ) -> slot_messages.Outgoing:
        """Answers a check.

        Args:
            message: The check.
            over_share: Backend servers of which this life occupies more
                than its share.
            now_s: Monotonic time in seconds.
        """
        self._note_aware(message.sender, message.crew_number, now_s)
        state = slot_messages.CrewState(
            message.service,
            self._own,
            message.check_id,
            self.number,
            over_share,
            is_settled=not self._formers and now_s >= self._blind_until_s,
        )
        return slot_messages.Outgoing(message.sender.instance_id, state)

    def on_crew_state(
        self, message: slot_messages.CrewState, now_s: float
    ) -> None:
        """Takes in the answer to a check."""
        asked_s = self._checks_s.get(message.check_id)
        if asked_s is not None and message.crew_number <= self.number:
            self._trust.heard_member(message.sender, asked_s)
        self._note_aware(message.sender, message.crew_number, now_s)
        for former in self._formers:
            former.note_settled(message)
        is_known = self._blind_number <= message.crew_number <= self.number
        if message.is_settled and is_known:
            self._blind_until_s = min(self._blind_until_s, now_s)

    def checks(self, now_s: float) -> list[slot_messages.Outgoing]:
        """Returns checks to send to those whose answer is wanted."""
        if self._shares is None or now_s < self._next_check_s:
            return []
        targets = self._check_targets(self._shares, now_s)
        if not targets:
            return []
        self._next_check_s = now_s + self._timing.check_interval_s
        check = slot_messages.CrewCheck(
            self._shares.service,
            self._own,
            next(self._check_ids),
            self._shares.number,
        )
        oldest_s = now_s - self._timing.silence_s
        self._checks_s = {
            check_id: asked_s
            for check_id, asked_s in self._checks_s.items()
            if asked_s >= oldest_s
        }
        self._checks_s[check.check_id] = now_s
        return [slot_messages.Outgoing(name, check) for name in targets]

    def _note_aware(
        self,
        sender: slot_messages.Owner,
        crew_number: ids.LogOffset,
        now_s: float,
    ) -> None:
        """Notes which record a member knows."""
        for former in self._formers:
            if crew_number > former.number:
                former.note_aware(sender, now_s)
        if crew_number >= self._blind_number:
            self._blind_aware.add(sender)
            self._limit_blindness(now_s)

    def _limit_blindness(self, now_s: float) -> None:
        """Starts to wait out unknown owners once a quorum knows better."""
        if self._blind_until_s != _NOT_YET_S or self._shares is None:
            return
        members = self._shares.members
        aware = members & (self._blind_aware | {self._own})
        needed = min(crew_trust.quorum(len(members)), len(members))
        if len(aware) >= needed:
            self._blind_until_s = now_s + self._timing.takeover_s

    def _check_targets(
        self, shares: crew_shares.CrewShares, now_s: float
    ) -> list[ids.InstanceId]:
        """Returns whom to ask: unsettled owners, all if trust runs out."""
        targets = {
            owner.instance_id
            for former in self._formers
            for owner in former.awaited
        }
        left_s = self._trust.until_s - now_s
        is_unconfirmed = left_s < self._timing.silence_s / 2
        is_blind = now_s < self._blind_until_s
        if self.is_member and (is_unconfirmed or is_blind):
            targets.update(owner.instance_id for owner in shares.members)
        targets.discard(self._own.instance_id)
        return sorted(targets)
