"""The `check` command: validates the lists of plans and allowances offline."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import TYPE_CHECKING

import attrs

from magnoliacrank.cli import list_document
from magnoliacrank.cli import list_reader
from magnoliacrank.cli import output_format

if TYPE_CHECKING:
    import argparse

    from magnoliacrank.cli import argument_parser
    from magnoliacrank.model import configuration

EXIT_VALID = 0
"""Exit code when both lists are valid."""

EXIT_INVALID = 1
"""Exit code when a list holds an error or cannot be read."""


def add_list_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the `--plans` and `--allowances` flags, which take file paths."""
    parser.add_argument("--plans", required=True, help="YAML list of plans")
    parser.add_argument(
        "--allowances", required=True, help="YAML list of allowances"
    )


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `check`."""
    add_list_arguments(parser)
    output_format.add_output_argument(parser)


def load_lists(
    arguments: argparse.Namespace,
) -> configuration.Configuration | list_reader.InvalidLists:
    """Reads and validates the two files that `arguments` names.

    Returns:
        The configuration that the lists describe, or all errors found.
    """
    texts: list[str] = []
    errors: list[list_document.ListError] = []
    for file in (arguments.plans, arguments.allowances):
        try:
            texts.append(pathlib.Path(file).read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            message = f"the file cannot be read: {error}"
            errors.append(list_document.ListError(file, 1, "", message))
    if errors:
        return list_reader.InvalidLists(tuple(errors))
    return list_reader.read_lists(
        arguments.plans, texts[0], arguments.allowances, texts[1]
    )


def print_errors(invalid: list_reader.InvalidLists, output: str) -> None:
    """Prints every error: to stderr as lines, or to stdout as JSON."""
    if output == output_format.JSON:
        rows = [attrs.asdict(error) for error in invalid.errors]
        print(json.dumps({"valid": False, "errors": rows}))
        return
    for error in invalid.errors:
        sys.stderr.write(f"{error}\n")


def run(arguments: argparse.Namespace) -> int:
    """Validates the two lists and prints the result.

    Args:
        arguments: Parsed arguments.

    Returns:
        `EXIT_VALID` or `EXIT_INVALID`.
    """
    lists = load_lists(arguments)
    if isinstance(lists, list_reader.InvalidLists):
        print_errors(lists, arguments.output)
        return EXIT_INVALID
    services = sum(len(plan.services) for plan in lists.plans)
    if arguments.output == output_format.JSON:
        print(json.dumps({"valid": True, "errors": []}))
    else:
        print(f"valid: {len(lists.plans)} customers, {services} services")
    return EXIT_VALID
