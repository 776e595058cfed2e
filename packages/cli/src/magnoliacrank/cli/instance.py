"""The `instance` command: runs an entry instance on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

from magnoliacrank.entry import entry_instance
from magnoliacrank.platform import settings_file

if TYPE_CHECKING:
    import argparse

EXIT_BIND = 1
"""Exit code when a port can't be bound."""

EXIT_SETTINGS = 2
"""Exit code when the settings file is missing or invalid."""


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
        settings = settings_file.load(arguments.settings)
    except settings_file.SettingsFileError as error:
        sys.stderr.write(f"magnoliacrank instance: {error}\n")
        return EXIT_SETTINGS
    return asyncio.run(_serve(settings, arguments.settings))


async def _serve(settings: settings_file.InstanceSettings, path: str) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    instance = entry_instance.EntryInstance(settings)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, settings, path)
    try:
        await instance.start()
    except OSError as error:
        sys.stderr.write(f"magnoliacrank instance: {error}\n")
        return EXIT_BIND
    await stop.wait()
    await instance.leave()
    await instance.close()
    return 0


def _reload(
    instance: entry_instance.EntryInstance,
    settings: settings_file.InstanceSettings,
    path: str,
) -> None:
    """Validates the settings file again on SIGHUP and logs the result.

    Changed settings take effect only at the next start.
    """
    try:
        changed = settings_file.load(path)
    except settings_file.SettingsFileError as error:
        instance.log.warning("settings not reloaded", reason=str(error))
        return
    instance.log.event("settings reloaded", changed=changed != settings)
