"""StateLink: puts what the log says into force on the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.state import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from magnoliacrank.gateway import service_directory
    from magnoliacrank.state import log_follower


class StateLink:
    """Takes the messages of the log follower.

    Args:
        follower: The fold of the log.
        services: Services of this instance.
    """

    def __init__(
        self,
        follower: log_follower.LogFollower,
        services: service_directory.ServiceDirectory,
    ) -> None:
        self._follower = follower
        self._services = services
        self._handlers: Mapping[
            type, Callable[[messages.StateMessage], None]
        ] = {
            messages.ConfigurationChanged: self._on_configuration,
            messages.CrewChanged: self._on_crew,
        }

    def register(self) -> None:
        """Takes the messages from now on."""
        self._follower.subscribe(self.on_message)

    def on_message(self, message: messages.StateMessage) -> None:
        """Takes one message."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _on_configuration(self, message: messages.StateMessage) -> None:
        assert isinstance(message, messages.ConfigurationChanged)
        logging.info("config: Version %d is in force.", message.version)
        self._services.set_configuration(message.configuration)
        for record in self._follower.state.crews.values():
            self._services.set_crew(record)

    def _on_crew(self, message: messages.StateMessage) -> None:
        assert isinstance(message, messages.CrewChanged)
        self._services.set_crew(message.crew)
