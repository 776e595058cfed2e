"""The `check-config` command: checks a configuration before it is sent."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import TYPE_CHECKING

from magnoliacrank.cli import output_format
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import configuration_review

if TYPE_CHECKING:
    import argparse

    from magnoliacrank.model import configuration_listing

EXIT_VALID = 0
"""Exit code without findings."""

EXIT_WARNINGS = 1
"""Exit code with warnings only."""

EXIT_ERRORS = 2
"""Exit code with an error, or if a file can't be read."""

_BYTES_PER_MB = 1_000_000

Severity = configuration_review.Severity
Finding = configuration_review.Finding


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the flags of `check-config`."""
    parser.add_argument("file", help="path of the configuration, as JSON")
    parser.add_argument(
        "--in-force", help="path of the configuration that it is to replace"
    )
    parser.add_argument(
        "--memory-mb",
        type=float,
        help="memory of the smallest instance, in MB",
    )
    output_format.add_output_argument(parser)
    parser.add_argument(
        "--json",
        action="store_const",
        const=output_format.JSON,
        dest="output",
        help="same as --output json",
    )


def run(arguments: argparse.Namespace) -> int:
    """Prints the findings about a configuration and what it changes.

    Returns:
        `EXIT_VALID`, `EXIT_WARNINGS` or `EXIT_ERRORS`.
    """
    findings: list[Finding] = []
    changes: list[str] = []
    listing = _load(arguments.file, findings)
    before = None
    if arguments.in_force is not None:
        before = _load(arguments.in_force, findings)
    if listing is not None:
        memory_bytes = None
        if arguments.memory_mb is not None:
            memory_bytes = int(arguments.memory_mb * _BYTES_PER_MB)
        findings += configuration_review.review(listing, memory_bytes)
        if before is not None:
            findings += configuration_review.check_successor(
                before.plan, listing.plan
            )
            changes = configuration_review.differences(
                before.plan, listing.plan
            )
    _print(arguments, findings, changes)
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if severities else EXIT_VALID


def _load(
    path: str, findings: list[Finding]
) -> configuration_listing.ConfigurationListing | None:
    try:
        return operator_wire.decode_listing(pathlib.Path(path).read_bytes())
    except OSError as error:
        message = f"can't be read: {error.strerror}"
    except wire_values.WireValueError as error:
        message = str(error)
    findings.append(Finding(Severity.ERROR, path, message))
    return None


def _print(
    arguments: argparse.Namespace, findings: list[Finding], changes: list[str]
) -> None:
    if arguments.output == output_format.JSON:
        rows = [
            {
                "severity": finding.severity.value,
                "place": finding.place,
                "message": finding.message,
            }
            for finding in findings
        ]
        print(json.dumps({"findings": rows, "changes": changes}))
        return
    for finding in findings:
        sys.stderr.write(
            f"{finding.severity.value}: {finding.place}: {finding.message}\n"
        )
    for change in changes:
        print(change)
    if not findings:
        print(f"{arguments.file}: valid")
