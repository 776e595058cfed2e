"""Output formats of the commands for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

TEXT = "text"
"""Human-readable lines and tables."""

JSON = "json"
"""One JSON document, or one per line for commands that stream."""


def add_output_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the `--output` flag."""
    parser.add_argument(
        "--output", choices=(TEXT, JSON), default=TEXT, help="output format"
    )
