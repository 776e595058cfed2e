"""Runs one entry instance until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from magnoliacrank.entry import entry_instance
from magnoliacrank.platform import instance_settings
from magnoliacrank.platform import settings_file

if TYPE_CHECKING:
    from collections.abc import Mapping
    import socket

    from magnoliacrank.entry import event_log


def run(
    loaded: settings_file.LoadedSettings,
    path: str,
    listeners: Mapping[tuple[str, int], socket.socket],
) -> None:
    """Runs an instance until SIGTERM or SIGINT.

    Args:
        loaded: Settings of the instance.
        path: Path of the settings file, which is read again on SIGHUP.
        listeners: Sockets that already listen, by address.

    Raises:
        OSError: A port can't be bound.
    """
    asyncio.run(_serve(loaded, path, listeners))


async def _serve(
    loaded: settings_file.LoadedSettings,
    path: str,
    listeners: Mapping[tuple[str, int], socket.socket],
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    settings = loaded.settings
    instance = entry_instance.EntryInstance(settings, listeners=listeners)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, settings, path)
    await instance.start()
    _log_defaults(instance.log, loaded)
    await stop.wait()
    await instance.leave()
    await instance.close()


def _log_defaults(
    log: event_log.EventLog, loaded: settings_file.LoadedSettings
) -> None:
    """Logs which fields of the settings file have their defaults instead."""
    if loaded.empty_fields:
        log.event("settings fields empty", fields=list(loaded.empty_fields))
    if loaded.ignored:
        log.warning("settings fields ignored", reasons=list(loaded.ignored))


def _reload(
    instance: entry_instance.EntryInstance,
    settings: instance_settings.InstanceSettings,
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
