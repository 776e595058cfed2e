"""PeerLink: connects the request path to messages from other instances.

Most messages go to the crew of a service, that is, the instances that own
slots (permissions for concurrent requests) on its backend servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

from magnoliacrank.policy import crash_messages
from magnoliacrank.policy import rollout_evidence
from magnoliacrank.policy import sample
from magnoliacrank.policy import slot_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliacrank.gateway import service_directory
    from magnoliacrank.gateway import service_runtime
    from magnoliacrank.gateway import suspect_guard
    from magnoliacrank.model import instance
    from magnoliacrank.peers import messenger
    from magnoliacrank.peers import server
    from magnoliacrank.state import move_table


@attrs.frozen
class ServerSigns:
    """Message with one crew member's observations of backend servers."""

    signs: tuple[sample.ServerStateUpdate, ...]
    """Concurrency limit and warm-up state of each server that changed."""


_SLOT_MESSAGES: tuple[tuple[str, type[Any]], ...] = (
    ("loan-request", slot_messages.LoanRequest),
    ("loan-grant", slot_messages.LoanGrant),
    ("loan-return", slot_messages.LoanReturn),
    ("loan-recall", slot_messages.LoanRecall),
    ("crew-check", slot_messages.CrewCheck),
    ("crew-state", slot_messages.CrewState),
)
"""Wire name and type of each message about the slots of a crew."""


_SUSPECT_MESSAGES: tuple[tuple[str, type[Any]], ...] = (
    ("crash", crash_messages.CrashNotice),
    ("crash-known", crash_messages.CrashNoticeReceipt),
    ("cleared", crash_messages.SuspectCleared),
)
"""Wire name and type of each message on requests that crash servers."""


class PeerLink:
    """Sends and handles the messages between instances on the request path.

    They concern slots, backend servers, requests that crash servers, and
    evidence on moves. A move is a gradual rollout of a service's new version.

    Args:
        own: This instance.
        services: Services in the configuration; they handle the messages.
        moves: Moves that this instance observes.
        messages: Transport of messages between instances.
        clock: Returns the monotonic time in seconds, like `time.monotonic`.
    """

    def __init__(
        self,
        own: instance.EntryInstance,
        services: service_directory.ServiceDirectory,
        moves: move_table.MoveTable,
        messages: messenger.PeerMessenger,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._services = services
        self._moves = moves
        self._messages = messages
        self._clock = clock

    def register(self) -> None:
        """Registers the message handlers and enables sending."""
        self._services.send = self._messages.send
        for kind, message_type in _SLOT_MESSAGES:
            self._messages.register(kind, message_type, self._on_slot)
        for kind, suspect_type in _SUSPECT_MESSAGES:
            self._messages.register(kind, suspect_type, self._on_suspect)
        self._messages.register("signs", ServerSigns, self._on_state_updates)
        self._messages.register(
            "evidence", rollout_evidence.Evidence, self._on_evidence
        )

    def tick(self) -> None:
        """Runs the services' periodic work; sends server changes to crews."""
        self._services.tick()
        for runtime in self._services.services:
            self._send_state_updates(runtime)

    def send_evidence(self, evidence: rollout_evidence.Evidence) -> None:
        """Sends this instance's evidence on a move to those that decide on it.

        Args:
            evidence: Counts of requests, errors and slow answers of the old
                and the new version, or a fault of the new one.
        """
        for instance_id in self._moves.evidence_recipients(evidence):
            self._messages.send(instance_id, evidence)

    def _send_state_updates(
        self, runtime: service_runtime.ServiceRuntime
    ) -> None:
        state_updates = runtime.router.take_state_updates()
        if not state_updates:
            return
        self._send_to_crew(runtime, ServerSigns(state_updates))

    def _send_to_crew(
        self,
        runtime: service_runtime.ServiceRuntime,
        message: ServerSigns,
    ) -> None:
        if runtime.crew is None:
            return
        for member in runtime.crew.members:
            if member.instance_id != self._own.instance_id:
                self._messages.send(member.instance_id, message)

    def _on_evidence(
        self, sender: server.PeerSender, message: rollout_evidence.Evidence
    ) -> None:
        del sender
        self._moves.on_evidence(message)

    def _on_state_updates(
        self, sender: server.PeerSender, message: ServerSigns
    ) -> None:
        del sender
        for state_update in message.signs:
            self._services.on_state_update(state_update)

    def _on_slot(
        self, sender: server.PeerSender, message: slot_messages.Message
    ) -> None:
        del sender
        runtime = self._services.find(message.service)
        if runtime is not None:
            runtime.on_slot_message(message)

    def _on_suspect(
        self, sender: server.PeerSender, message: suspect_guard.CrashMessage
    ) -> None:
        del sender
        runtime = self._services.find(message.service)
        if runtime is not None:
            runtime.suspects.on_message(message)
