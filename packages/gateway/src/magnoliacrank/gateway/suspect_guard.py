"""SuspectGuard: isolates requests that seem to crash a service's servers.

A request that was running on a backend server when the server crashed becomes
a suspect in the service's crew, that is, on all instances that own its slots.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from absl import logging

from magnoliacrank.model import ids
from magnoliacrank.policy import crash_messages
from magnoliacrank.policy import crash_suspects

if TYPE_CHECKING:
    from magnoliacrank.model import crew

_CREW_CHANGE_SETTLE_S = 5.0
_RECEIPT_TIMEOUT_S = 0.2

CrashMessage = (
    crash_messages.CrashNotice
    | crash_messages.CrashNoticeReceipt
    | crash_messages.SuspectCleared
)
"""Any message between the suspect guards of a service's crew."""

SendMessage = Callable[[ids.InstanceId, Any], bool]
"""Function that sends a message to another instance.

It returns False if the message can't be sent.
"""

FingerprintFunction = Callable[[], crash_messages.Fingerprint]
"""Function that computes the fingerprint of a request.

It is called only when there are suspects or a server crashes, which spares
most requests the cost of the digest.
"""


class SuspectGuard:
    """Decides who may run a suspected request, and informs the crew of crashes.

    The crew is informed of a crash before the callers of the suspects get
    their answers, so that a caller that retries at once on another instance
    is recognised there.

    Args:
        own_id: Name of this instance.
        service: Name of the service.
        send: Sends a message to another instance.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own_id: ids.InstanceId,
        service: ids.ServiceName,
        send: SendMessage,
        clock: Callable[[], float],
    ) -> None:
        self._own_id = own_id
        self._send = send
        self._clock = clock
        self._suspects = crash_suspects.CrashSuspects(
            own_id, service, settle_s=_CREW_CHANGE_SETTLE_S
        )
        self._other_members: tuple[ids.InstanceId, ...] = ()
        self._running: dict[ids.ServerId, list[FingerprintFunction]] = {}
        self._unconfirmed_by: dict[
            crash_messages.ServerDeath, set[ids.InstanceId]
        ] = {}
        self._confirmed: dict[crash_messages.ServerDeath, asyncio.Event] = {}

    def set_crew(self, record: crew.Crew) -> None:
        """Changes the crew; new members are sent the crashes known here.

        Args:
            record: The crew of the service.
        """
        names = [member.instance_id for member in record.members]
        joined = set(names) - set(self._other_members) - {self._own_id}
        self._other_members = tuple(
            name for name in names if name != self._own_id
        )
        now_s = self._clock()
        self._suspects.set_members(names, now_s)
        for notice in self._suspects.current_notices(now_s):
            for name in joined:
                self._send(name, notice)

    def decide(
        self, compute_fingerprint: FingerprintFunction
    ) -> crash_suspects.Decision:
        """Decides whether to run, forward or refuse a request.

        Args:
            compute_fingerprint: Computes the fingerprint of the request.
        """
        if self._suspects.is_empty:
            return crash_suspects.RunUnrestricted()
        return self._suspects.decide(compute_fingerprint(), self._clock())

    def is_suspect(self, compute_fingerprint: FingerprintFunction) -> bool:
        """Returns whether a request is a suspect, so must not be retried.

        Args:
            compute_fingerprint: Computes the fingerprint of the request.
        """
        if self._suspects.is_empty:
            return False
        return self._suspects.is_suspect(compute_fingerprint(), self._clock())

    def track_request(
        self, server_id: ids.ServerId, compute_fingerprint: FingerprintFunction
    ) -> None:
        """Records that a request runs on a backend server.

        Args:
            server_id: Name of the backend server.
            compute_fingerprint: Computes the fingerprint of the request.
        """
        self._running.setdefault(server_id, []).append(compute_fingerprint)

    def untrack_request(
        self, server_id: ids.ServerId, compute_fingerprint: FingerprintFunction
    ) -> None:
        """Records that a request no longer runs on a backend server.

        Args:
            server_id: Name of the backend server.
            compute_fingerprint: The function passed to `track_request`.
        """
        self._running[server_id].remove(compute_fingerprint)

    def on_exclusive_run_finished(
        self, compute_fingerprint: FingerprintFunction, *, is_survived: bool
    ) -> None:
        """Records the end of a suspect that only this instance could run.

        If it is cleared of the suspicion, the crew is informed.

        Args:
            compute_fingerprint: Computes the fingerprint of the request.
            is_survived: Whether the request got a complete answer.
        """
        cleared = self._suspects.on_trial_finished(
            compute_fingerprint(), is_survived=is_survived, now_s=self._clock()
        )
        if cleared is not None:
            for name in self._other_members:
                self._send(name, cleared)

    async def on_server_died(
        self, server_id: ids.ServerId, incarnation: int
    ) -> None:
        """Informs the crew of a crash and waits for its confirmations.

        After a short timeout it returns without them. Requests that were
        running on the server must still be tracked when it is called.

        Args:
            server_id: Name of the backend server that crashed.
            incarnation: Start number of the process that crashed.
        """
        death = crash_messages.ServerDeath(server_id, incarnation)
        confirmed = self._confirmed.get(death)
        if confirmed is None:
            confirmed = asyncio.Event()
            self._confirmed[death] = confirmed
            self._notify_crew(death)
            self._check_confirmed(death)
        try:
            await asyncio.wait_for(confirmed.wait(), _RECEIPT_TIMEOUT_S)
        except TimeoutError:
            logging.warning(
                "suspects: Not all instances confirmed the crash of %s.",
                server_id,
            )
        self._confirmed.pop(death, None)
        self._unconfirmed_by.pop(death, None)

    def on_message(self, message: CrashMessage) -> None:
        """Handles a message from the guard of another instance.

        Args:
            message: The message.
        """
        now_s = self._clock()
        if isinstance(message, crash_messages.CrashNotice):
            receipt = self._suspects.on_crash_notice(message, now_s)
            self._send(message.sender, receipt)
        elif isinstance(message, crash_messages.SuspectCleared):
            self._suspects.on_suspect_cleared(message, now_s)
        else:
            self._unconfirmed_by.get(message.death, set()).discard(
                message.sender
            )
            self._check_confirmed(message.death)

    def _notify_crew(self, death: crash_messages.ServerDeath) -> None:
        running = self._running.get(death.server_id, ())
        fingerprints = {
            compute_fingerprint() for compute_fingerprint in running
        }
        notice = self._suspects.on_server_died(
            death, fingerprints, self._clock()
        )
        self._unconfirmed_by[death] = {
            name for name in self._other_members if self._send(name, notice)
        }

    def _check_confirmed(self, death: crash_messages.ServerDeath) -> None:
        confirmed = self._confirmed.get(death)
        if confirmed is not None and not self._unconfirmed_by.get(death):
            confirmed.set()
