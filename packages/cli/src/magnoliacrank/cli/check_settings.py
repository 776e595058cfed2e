"""The `check-settings` command: checks a settings file of the platform."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from magnoliacrank.platform import settings_file

if TYPE_CHECKING:
    import argparse

EXIT_INVALID = 2
"""Exit code when the settings file is invalid or can't be read."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of `check-settings`."""
    parser.add_argument("file", help="path of the settings file")


def run(arguments: argparse.Namespace) -> int:
    """Prints the errors of a settings file, or a summary of a valid one.

    Returns:
        0 for a valid file, else `EXIT_INVALID`.
    """
    try:
        settings = settings_file.load(arguments.file)
    except settings_file.SettingsFileError as error:
        sys.stderr.write(f"magnoliacrank check-settings: {error}\n")
        return EXIT_INVALID
    host, port = settings.front
    sys.stdout.write(
        f"{arguments.file}: instance {settings.node} in "
        f"{settings.data_centre} at {host}:{port}\n"
    )
    return 0
