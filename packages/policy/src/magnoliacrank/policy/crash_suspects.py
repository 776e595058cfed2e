"""Crash suspects: requests that ran on a backend server when it crashed.

The crew of a service is the set of entry instances that own its slots. After
the first crash the whole crew treats the request as a suspect: the instance
that saw the crash notifies the others before it answers the caller. From then
on a single member, the owner, runs the suspect, one copy at a time. After a
second crash all members refuse it for some time. A caller that repeats its
request after each failure therefore crashes two backend servers at most,
whichever instances it sends to.

Further servers crash only if copies were dispatched before the first notice
arrived, or by members that the notice didn't reach.
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
"""Seconds for which a request stays a suspect after its first crash."""

_REFUSAL_S = 300.0
"""Seconds for which a request is refused after a second or later crash."""

_MAX_SUSPECTS = 10_000
_DEATHS_TO_REFUSE = 2
_REFUSED = verdict.not_run(verdict.Reason.CRASH_SUSPECT)


@attrs.frozen
class RunUnrestricted:
    """Decision to run a request without restrictions; it isn't a suspect."""


@attrs.frozen
class RunAsTrial:
    """Decision to run a suspect here, as its owner, one copy at a time.

    The end must be reported with `CrashSuspects.on_trial_finished`.
    """


@attrs.frozen
class ForwardTo:
    """Decision to forward a suspect to the member that owns it."""

    owner: ids.InstanceId
    """Member that runs the suspect."""


@attrs.frozen
class SuspectRefused:
    """Decision to refuse a suspect without dispatching it."""

    verdict: verdict.Verdict
    """Verdict for the caller."""


Decision = RunUnrestricted | RunAsTrial | ForwardTo | SuspectRefused
"""What to do with a request, depending on whether it is a suspect."""

_UNRESTRICTED = RunUnrestricted()
_TRIAL = RunAsTrial()
_REFUSE = SuspectRefused(_REFUSED)


class TrialState(enum.Enum):
    """Whether this instance currently runs a suspect."""

    IDLE = "idle"
    RUNNING = "running"


@attrs.define
class _Suspect:
    """Crashes and state of one suspect."""

    deaths: frozenset[crash_messages.ServerDeath]
    expires_s: float
    trial: TrialState = TrialState.IDLE


class CrashSuspects:
    """Crash suspects of one service, as known to one crew member."""

    def __init__(
        self,
        own: ids.InstanceId,
        service: ids.ServiceName,
        *,
        settle_s: float,
    ) -> None:
        """Starts without suspects.

        Args:
            own: Name of this instance.
            service: Service of the requests.
            settle_s: Seconds after a change of the crew during which no
                member runs a suspect, so that a copy run by a former owner
                has ended.
        """
        self._own = own
        self._service = service
        self._settle_s = settle_s
        self._members: frozenset[ids.InstanceId] = frozenset()
        self._trials_allowed_from_s = 0.0
        self._suspects: dict[crash_messages.Fingerprint, _Suspect] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspects."""
        return not self._suspects

    def set_members(
        self, members: Collection[ids.InstanceId], now_s: float
    ) -> None:
        """Sets the members of the crew.

        Args:
            members: Instances listed in the newest crew record.
            now_s: Current monotonic time, in seconds.
        """
        if frozenset(members) == self._members:
            return
        self._trials_allowed_from_s = (
            now_s + self._settle_s if self._members else now_s
        )
        self._members = frozenset(members)

    def is_suspect(
        self, request: crash_messages.Fingerprint, now_s: float
    ) -> bool:
        """Returns whether a request is a suspect.

        Suspects must not be hedged or retried.
        """
        return self._find_unexpired(request, now_s) is not None

    def decide(
        self, request: crash_messages.Fingerprint, now_s: float
    ) -> Decision:
        """Decides whether and by whom a request may be run.

        Args:
            request: Fingerprint of the request.
            now_s: Current monotonic time, in seconds.

        Returns:
            Whether to run the request, run it as a suspect, forward it to
            its owner or refuse it.
        """
        if not self._suspects:
            return _UNRESTRICTED
        suspect = self._find_unexpired(request, now_s)
        if suspect is None:
            return _UNRESTRICTED
        if len(suspect.deaths) >= _DEATHS_TO_REFUSE:
            return _REFUSE
        owner = self._owner(request)
        if owner != self._own:
            return _REFUSE if owner is None else ForwardTo(owner)
        if (
            now_s < self._trials_allowed_from_s
            or suspect.trial is TrialState.RUNNING
        ):
            return _REFUSE
        suspect.trial = TrialState.RUNNING
        return _TRIAL

    def on_server_died(
        self,
        death: crash_messages.ServerDeath,
        running: Collection[crash_messages.Fingerprint],
        now_s: float,
    ) -> crash_messages.CrashNotice:
        """Registers a crash that this instance has observed.

        Args:
            death: The crash.
            running: Requests of this instance that ran on the server then.
            now_s: Current monotonic time, in seconds.

        Returns:
            Notice to send to all other members. The callers should be
            answered only once all have confirmed it or after a short
            timeout.
        """
        notice = crash_messages.CrashNotice(
            self._service, self._own, death, tuple(running)
        )
        self._apply_notice(notice, now_s)
        return notice

    def on_crash_notice(
        self, message: crash_messages.CrashNotice, now_s: float
    ) -> crash_messages.CrashNoticeReceipt:
        """Registers a crash reported by another member.

        Returns:
            Receipt to send to that member.
        """
        self._apply_notice(message, now_s)
        return crash_messages.CrashNoticeReceipt(
            self._service, self._own, message.death
        )

    def on_trial_finished(
        self,
        request: crash_messages.Fingerprint,
        *,
        is_survived: bool,
        now_s: float,
    ) -> crash_messages.SuspectCleared | None:
        """Registers the end of a suspect that this instance ran.

        Args:
            request: Fingerprint of the suspect.
            is_survived: Whether the request got a complete answer.
            now_s: Current monotonic time, in seconds.

        Returns:
            Message for the other members if the suspect is cleared, or None.
        """
        suspect = self._find_unexpired(request, now_s)
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
        """Removes a cleared suspect, unless other crashes are known for it."""
        suspect = self._find_unexpired(message.suspect, now_s)
        if suspect is not None and suspect.deaths <= message.deaths:
            del self._suspects[message.suspect]

    def current_notices(
        self, now_s: float
    ) -> tuple[crash_messages.CrashNotice, ...]:
        """Returns crash notices of all suspects, for a member that joins."""
        self._forget_expired(now_s)
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
        """Returns the member that runs a suspect, by rendezvous hashing."""
        scope = f"{request.customer}\n{request.service}\n".encode()
        content = scope + request.digest
        return max(
            self._members,
            key=lambda name: xxhash.xxh64_intdigest(content + name.encode()),
            default=None,
        )

    def _find_unexpired(
        self, request: crash_messages.Fingerprint, now_s: float
    ) -> _Suspect | None:
        """Returns a suspect, or None if it is unknown or has expired."""
        suspect = self._suspects.get(request)
        if suspect is None or now_s < suspect.expires_s:
            return suspect
        del self._suspects[request]
        return None

    def _apply_notice(
        self, notice: crash_messages.CrashNotice, now_s: float
    ) -> None:
        """Adds a crash to each reported suspect; ignores a repeated notice."""
        for request in notice.suspects:
            suspect = self._find_unexpired(request, now_s)
            if suspect is None:
                self._evict_oldest(now_s)
                suspect = _Suspect(frozenset(), now_s + _SUSPICION_S)
                self._suspects[request] = suspect
            if notice.death in suspect.deaths:
                continue
            suspect.deaths |= {notice.death}
            if len(suspect.deaths) >= _DEATHS_TO_REFUSE:
                suspect.expires_s = now_s + _REFUSAL_S

    def _evict_oldest(self, now_s: float) -> None:
        """Evicts the oldest suspects if the maximum number is reached."""
        if len(self._suspects) < _MAX_SUSPECTS:
            return
        self._forget_expired(now_s)
        while len(self._suspects) >= _MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def _forget_expired(self, now_s: float) -> None:
        """Removes expired suspects."""
        for request in list(self._suspects):
            self._find_unexpired(request, now_s)
