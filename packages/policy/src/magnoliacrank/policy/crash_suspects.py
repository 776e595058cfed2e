"""Crash suspects: requests that ran on a backend server when it died.

The first death makes a request a suspect in the whole crew: the instance
that saw it tells the others before it answers the caller. From then on one
owner runs the suspect, one copy at a time. A second death has it refused
everywhere for a time. So a caller that sends its request again after each
failure loses two backend servers, wherever it sends to.

More are lost only to copies that were dispatched before the news of the
first death, or by members that the news did not reach.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import xxhash

from magnoliacrank.model import ids
from magnoliacrank.model import verdict
from magnoliacrank.policy import crash_messages

if TYPE_CHECKING:
    from collections.abc import Collection

_SUSPICION_S = 300.0
_REFUSAL_S = 300.0
_MOST_SUSPECTS = 10_000
_DEATHS_TO_REFUSE = 2
_REFUSED = verdict.not_run(verdict.Reason.CRASH_SUSPECT)


@attrs.frozen
class RunFreely:
    """The request is no suspect."""


@attrs.frozen
class RunSingly:
    """This instance owns the suspect; report its end."""


@attrs.frozen
class ForwardTo:
    """Another member owns the suspect."""

    owner: ids.InstanceId
    """Who runs it."""


@attrs.frozen
class SuspectRefused:
    """The request is refused without dispatch."""

    verdict: verdict.Verdict
    """What the caller is told."""


Decision = RunFreely | RunSingly | ForwardTo | SuspectRefused
"""What to do with a request."""

_FREELY = RunFreely()
_SINGLY = RunSingly()
_REFUSE = SuspectRefused(_REFUSED)


class TrialState(enum.Enum):
    """Whether the owner runs a suspect at present."""

    IDLE = "idle"
    RUNNING = "running"


@attrs.define
class _Suspect:
    """What is known of one suspect."""

    deaths: frozenset[crash_messages.ServerDeath]
    until_s: float
    trial: TrialState = TrialState.IDLE


class CrashSuspects:
    """Suspects as one member of a crew knows them."""

    def __init__(
        self,
        own: ids.InstanceId,
        service: ids.ServiceName,
        *,
        settle_s: float,
    ) -> None:
        """Starts without suspects.

        Args:
            own: Own instance.
            service: Service of the requests.
            settle_s: Seconds after a change of the crew in which nobody runs
                a suspect, so that a former owner's copy has ended.
        """
        self._own = own
        self._service = service
        self._settle_s = settle_s
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._settled_s = 0.0
        self._suspects: dict[crash_messages.Fingerprint, _Suspect] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspects."""
        return not self._suspects

    def set_members(
        self, members: Collection[ids.InstanceId], now_s: float
    ) -> None:
        """Changes the crew.

        Args:
            members: Instances of the newest crew record.
            now_s: Monotonic time in seconds.
        """
        if frozenset(members) == self._members:
            return
        self._settled_s = now_s + self._settle_s if self._members else now_s
        self._members = frozenset(members)

    def is_suspect(
        self, request: crash_messages.Fingerprint, now_s: float
    ) -> bool:
        """Returns whether a request must not be hedged or retried."""
        return self._find(request, now_s) is not None

    def decide(
        self, request: crash_messages.Fingerprint, now_s: float
    ) -> Decision:
        """Decides who may run a request.

        Args:
            request: Its fingerprint.
            now_s: Monotonic time in seconds.

        Returns:
            Whether to run it, to run it singly, to forward or refuse it.
        """
        if not self._suspects:
            return _FREELY
        suspect = self._find(request, now_s)
        if suspect is None:
            return _FREELY
        if len(suspect.deaths) >= _DEATHS_TO_REFUSE:
            return _REFUSE
        owner = self._owner(request)
        if owner != self._own:
            return _REFUSE if owner is None else ForwardTo(owner)
        if now_s < self._settled_s or suspect.trial is TrialState.RUNNING:
            return _REFUSE
        suspect.trial = TrialState.RUNNING
        return _SINGLY

    def on_server_died(
        self,
        death: crash_messages.ServerDeath,
        running: Collection[crash_messages.Fingerprint],
        now_s: float,
    ) -> crash_messages.CrashNotice:
        """Notes a death.

        Args:
            death: Which backend server died.
            running: Requests that it was running for this instance.
            now_s: Monotonic time in seconds.

        Returns:
            What every member must confirm before the callers are answered,
            or until a short time has passed.
        """
        notice = crash_messages.CrashNotice(
            self._service, self._own, death, tuple(running)
        )
        self._add(notice, now_s)
        return notice

    def on_crash_notice(
        self, message: crash_messages.CrashNotice, now_s: float
    ) -> crash_messages.CrashNoticeReceipt:
        """Takes in the news of a death and confirms it."""
        self._add(message, now_s)
        return crash_messages.CrashNoticeReceipt(
            self._service, self._own, message.death
        )

    def on_run_singly_finished(
        self,
        request: crash_messages.Fingerprint,
        *,
        is_survived: bool,
        now_s: float,
    ) -> crash_messages.SuspectCleared | None:
        """Notes the end of a suspect that this instance ran.

        Args:
            request: Its fingerprint.
            is_survived: Whether it got a whole answer.
            now_s: Monotonic time in seconds.

        Returns:
            What to tell the members, if it is cleared.
        """
        suspect = self._find(request, now_s)
        if suspect is None:
            return None
        suspect.trial = TrialState.IDLE
        if not is_survived or len(suspect.deaths) >= _DEATHS_TO_REFUSE:
            return None
        del self._suspects[request]
        return crash_messages.SuspectCleared(
            self._service, self._own, request, suspect.deaths
        )

    def on_suspect_cleared(
        self, message: crash_messages.SuspectCleared, now_s: float
    ) -> None:
        """Forgets a suspect unless another death is known."""
        suspect = self._find(message.suspect, now_s)
        if suspect is not None and suspect.deaths <= message.deaths:
            del self._suspects[message.suspect]

    def notices(self, now_s: float) -> tuple[crash_messages.CrashNotice, ...]:
        """Returns all that is known, for an instance that joins."""
        self._forget_old(now_s)
        suspects: dict[
            crash_messages.ServerDeath, list[crash_messages.Fingerprint]
        ] = {}
        for request, suspect in self._suspects.items():
            for death in suspect.deaths:
                suspects.setdefault(death, []).append(request)
        return tuple(
            crash_messages.CrashNotice(
                self._service, self._own, death, tuple(requests)
            )
            for death, requests in suspects.items()
        )

    def _owner(
        self, request: crash_messages.Fingerprint
    ) -> ids.InstanceId | None:
        """Returns the member that runs a suspect."""
        scope = f"{request.customer}\n{request.service}\n".encode()
        content = scope + request.digest
        return max(
            self._members,
            key=lambda name: xxhash.xxh64_intdigest(content + name.encode()),
            default=None,
        )

    def _find(
        self, request: crash_messages.Fingerprint, now_s: float
    ) -> _Suspect | None:
        """Returns a suspect whose time is not over."""
        suspect = self._suspects.get(request)
        if suspect is None or now_s < suspect.until_s:
            return suspect
        del self._suspects[request]
        return None

    def _add(self, notice: crash_messages.CrashNotice, now_s: float) -> None:
        """Adds a death to each of its suspects; a repeat does nothing."""
        for request in notice.suspects:
            suspect = self._find(request, now_s)
            if suspect is None:
                self._make_room(now_s)
                suspect = _Suspect(frozenset(), now_s + _SUSPICION_S)
                self._suspects[request] = suspect
            if notice.death in suspect.deaths:
                continue
            suspect.deaths |= {notice.death}
            if len(suspect.deaths) >= _DEATHS_TO_REFUSE:
                suspect.until_s = now_s + _REFUSAL_S

    def _make_room(self, now_s: float) -> None:
        """Keeps the suspects bounded; the oldest go."""
        if len(self._suspects) < _MOST_SUSPECTS:
            return
        self._forget_old(now_s)
        while len(self._suspects) >= _MOST_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def _forget_old(self, now_s: float) -> None:
        """Forgets suspects whose time is over."""
        for request in list(self._suspects):
            self._find(request, now_s)
