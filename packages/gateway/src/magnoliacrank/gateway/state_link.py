"""StateLink: applies configuration and crews from the log to the services."""

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
    """Passes changes that the log follower reports to the services.

    Args:
        follower: Reads the log, and reports changes of the resulting state.
        services: Services to which configuration and crews (the instances
            that own a service's slots) are applied.
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
        """Subscribes to the messages of the log follower."""
        self._follower.subscribe(self.on_message)

    def on_message(self, message: messages.StateMessage) -> None:
        """Applies one change; kinds of no interest here are ignored.

        Args:
            message: Message of the log follower.
        """
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
