"""SuspectGuard: keeps requests that crash servers of one service apart."""

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

_SETTLE_S = 5.0
_RECEIPT_TIMEOUT_S = 0.2

Message = (
    crash_messages.CrashNotice
    | crash_messages.CrashNoticeReceipt
    | crash_messages.SuspectCleared
)
"""Any message between the guards of one service's crew."""

Send = Callable[[ids.InstanceId, Any], bool]
"""Sends a message to another instance; False when it cannot."""

Fingerprinter = Callable[[], crash_messages.Fingerprint]
"""Works out a request's fingerprint; done only when it is needed."""


class SuspectGuard:
    """Tells the crew of a server's death before any caller is answered.

    Args:
        own_id: Name of this instance.
        service: Name of the service.
        send: Sends a message to another instance.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        own_id: ids.InstanceId,
        service: ids.ServiceName,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        self._own_id = own_id
        self._send = send
        self._clock = clock
        self._suspects = crash_suspects.CrashSuspects(
            own_id, service, settle_s=_SETTLE_S
        )
        self._others: tuple[ids.InstanceId, ...] = ()
        self._running: dict[ids.ServerId, list[Fingerprinter]] = {}
        self._awaited: dict[
            crash_messages.ServerDeath, set[ids.InstanceId]
        ] = {}
        self._told: dict[crash_messages.ServerDeath, asyncio.Event] = {}

    def set_crew(self, record: crew.Crew) -> None:
        """Takes in the members of the service's crew."""
        names = [member.instance_id for member in record.members]
        joined = set(names) - set(self._others) - {self._own_id}
        self._others = tuple(name for name in names if name != self._own_id)
        now_s = self._clock()
        self._suspects.set_members(names, now_s)
        for notice in self._suspects.notices(now_s):
            for name in joined:
                self._send(name, notice)

    def decide(self, fingerprint: Fingerprinter) -> crash_suspects.Decision:
        """Decides who may run a request."""
        if self._suspects.is_empty:
            return crash_suspects.RunFreely()
        return self._suspects.decide(fingerprint(), self._clock())

    def is_suspect(self, fingerprint: Fingerprinter) -> bool:
        """Returns whether a request must not be hedged or retried."""
        if self._suspects.is_empty:
            return False
        return self._suspects.is_suspect(fingerprint(), self._clock())

    def begin(
        self, server_id: ids.ServerId, fingerprint: Fingerprinter
    ) -> None:
        """Notes that a request runs on a backend server."""
        self._running.setdefault(server_id, []).append(fingerprint)

    def end(self, server_id: ids.ServerId, fingerprint: Fingerprinter) -> None:
        """Notes that a request no longer runs there."""
        self._running[server_id].remove(fingerprint)

    def finish_single(
        self, fingerprint: Fingerprinter, *, is_survived: bool
    ) -> None:
        """Notes the end of a suspect that this instance ran singly."""
        cleared = self._suspects.on_run_singly_finished(
            fingerprint(), is_survived=is_survived, now_s=self._clock()
        )
        if cleared is not None:
            for name in self._others:
                self._send(name, cleared)

    async def on_server_died(
        self, server_id: ids.ServerId, incarnation: int
    ) -> None:
        """Tells the crew and waits until it knows, or for a short time.

        Args:
            server_id: The backend server, still with its requests.
            incarnation: Start number of the process that died.
        """
        death = crash_messages.ServerDeath(server_id, incarnation)
        told = self._told.get(death)
        if told is None:
            told = asyncio.Event()
            self._told[death] = told
            self._tell(death)
            self._check_told(death)
        try:
            await asyncio.wait_for(told.wait(), _RECEIPT_TIMEOUT_S)
        except TimeoutError:
            logging.warning(
                "suspects: Not every instance knows that %s died.", server_id
            )
        self._told.pop(death, None)
        self._awaited.pop(death, None)

    def on_message(self, message: Message) -> None:
        """Takes a message of another instance."""
        now_s = self._clock()
        if isinstance(message, crash_messages.CrashNotice):
            receipt = self._suspects.on_crash_notice(message, now_s)
            self._send(message.sender, receipt)
        elif isinstance(message, crash_messages.SuspectCleared):
            self._suspects.on_suspect_cleared(message, now_s)
        else:
            self._awaited.get(message.death, set()).discard(message.sender)
            self._check_told(message.death)

    def _tell(self, death: crash_messages.ServerDeath) -> None:
        running = self._running.get(death.server_id, ())
        prints = {fingerprint() for fingerprint in running}
        notice = self._suspects.on_server_died(death, prints, self._clock())
        self._awaited[death] = {
            name for name in self._others if self._send(name, notice)
        }

    def _check_told(self, death: crash_messages.ServerDeath) -> None:
        told = self._told.get(death)
        if told is not None and not self._awaited.get(death):
            told.set()
