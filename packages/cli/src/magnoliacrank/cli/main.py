"""Entry point of the `magnoliacrank` program."""

from __future__ import annotations

import sys


def main() -> None:
    """Runs the command that the arguments name."""
    sys.exit(2)
