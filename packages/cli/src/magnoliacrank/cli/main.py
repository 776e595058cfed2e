"""Entry point of the `magnoliacrank` program and its commands."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING
from typing import Protocol
from typing import cast

import attrs

from magnoliacrank.cli import argument_parser

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence


class Command(Protocol):
    """Functions that the module of each command defines."""

    def add_arguments(self, parser: argument_parser.ArgumentParser) -> None:
        """Adds the command's flags."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Runs the command and returns the exit code."""


@attrs.frozen
class _CommandEntry:
    """A command and the name of the module that implements it."""

    name: str
    module: str
    summary: str


_COMMANDS = (
    _CommandEntry("serve", "serve", "run an entry instance"),
    _CommandEntry(
        "instance", "instance", "run an entry instance on the users' platform"
    ),
    _CommandEntry(
        "check-settings",
        "check_settings",
        "check a settings file of the platform",
    ),
    _CommandEntry(
        "check-config",
        "check_config",
        "check a configuration of the platform before it is sent",
    ),
    _CommandEntry(
        "explain", "explain", "print the story of a request from log lines"
    ),
    _CommandEntry("check", "check", "validate the two lists offline"),
    _CommandEntry("publish", "publish", "put the two lists into force"),
    _CommandEntry("watch", "watch", "print notices as they come"),
    _CommandEntry("status", "status", "print what is in force where"),
    _CommandEntry("demo", "demo", "run the whole path on loopback"),
)


def build_parser(only: str | None = None) -> argument_parser.ArgumentParser:
    """Returns the parser of the program's command line.

    Args:
        only: Name of the only command to add, or None for all. The modules
            of other commands are not imported, which saves an instance memory
            and start-up time.
    """
    parser = argument_parser.ArgumentParser(
        prog="magnoliacrank",
        description="Load balancer for servers whose load shifts in "
        "milliseconds. Each flag can be set by an environment variable, "
        "such as MAGNOLIACRANK_HTTP_PORT for --http-port.",
    )
    commands = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for entry in _COMMANDS:
        if only not in (None, entry.name):
            continue
        command = commands.add_parser(
            entry.name, help=entry.summary, description=entry.summary
        )
        _import_command(entry).add_arguments(command)
        command.set_defaults(entry=entry)
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the command that the arguments name and exits with its code.

    Args:
        argv: Arguments without the program name; `sys.argv[1:]` when None.
    """
    words = sys.argv[1:] if argv is None else argv
    names = {entry.name for entry in _COMMANDS}
    only = words[0] if words and words[0] in names else None
    arguments = build_parser(only).parse_args(argv)
    sys.exit(_import_command(arguments.entry).run(arguments))


def _import_command(entry: _CommandEntry) -> Command:
    module = importlib.import_module(f"magnoliacrank.cli.{entry.module}")
    return cast("Command", module)


if __name__ == "__main__":
    main()
