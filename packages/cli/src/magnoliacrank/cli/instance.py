"""The `instance` command: runs an entry instance on the users' platform.

Load pattern: all instances restart at once while callers go on connecting.
Callers can connect as soon as the settings are read; the parts of the instance,
most of the time of a start, are imported after that.
"""

from __future__ import annotations

import importlib
import os
import sys
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

from magnoliacrank.gateway import listener
from magnoliacrank.platform import settings_file

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping
    import socket

EXIT_BIND = 1
"""Exit code when a port can't be bound."""

EXIT_SETTINGS = 2
"""Exit code when the settings file is missing or invalid."""

_PROCESS_MODULE = "magnoliacrank.cli.instance_process"
"""Module that is imported once callers can connect."""


class InstanceProcess(Protocol):
    """Functions of the module that runs the instance."""

    def run(
        self,
        loaded: settings_file.LoadedSettings,
        path: str,
        listeners: Mapping[tuple[str, int], socket.socket],
    ) -> None:
        """Runs the instance until it is told to stop."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of `instance`."""
    parser.add_argument(
        "--settings",
        default=os.environ.get(settings_file.SETTINGS_VARIABLE),
        help="path of the platform's settings file "
        f"[env: {settings_file.SETTINGS_VARIABLE}]",
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the instance until SIGTERM or SIGINT.

    Returns:
        0 after a stop, else `EXIT_BIND` or `EXIT_SETTINGS`.
    """
    if not arguments.settings:
        variable = settings_file.SETTINGS_VARIABLE
        sys.stderr.write(f"magnoliacrank instance: {variable} is not set\n")
        return EXIT_SETTINGS
    try:
        loaded = settings_file.load_for_start(arguments.settings)
    except settings_file.SettingsFileError as error:
        sys.stderr.write(f"magnoliacrank instance: {error}\n")
        return EXIT_SETTINGS
    settings = loaded.settings
    try:
        listeners = {
            address: listener.open_listener(*address)
            for address in (settings.front, settings.directory)
            if address is not None
        }
        process = importlib.import_module(_PROCESS_MODULE)
        cast("InstanceProcess", process).run(
            loaded, arguments.settings, listeners
        )
    except OSError as error:
        sys.stderr.write(f"magnoliacrank instance: {error}\n")
        return EXIT_BIND
    return 0
