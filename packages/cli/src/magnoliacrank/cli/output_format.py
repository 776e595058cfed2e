"""Output formats of the operators' commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

TEXT = "text"
"""Lines and tables for people."""

JSON = "json"
"""One JSON document, or one a line for streams."""


def add_output_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the `--output` argument."""
    parser.add_argument(
        "--output", choices=(TEXT, JSON), default=TEXT, help="output format"
    )
