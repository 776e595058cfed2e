"""ArgumentParser: flags and environment variables, with one-line errors."""

from __future__ import annotations

import argparse
import ipaddress
import math
import sys
from typing import TYPE_CHECKING
from typing import NoReturn
from urllib import parse as urllib_parse

import configargparse

if TYPE_CHECKING:
    from collections.abc import Callable

ENVIRONMENT_PREFIX = "MAGNOLIACRANK_"
"""Prefix of the environment variables that set flags."""

_MAX_NAME_LENGTH = 64

EXIT_USAGE = 2
"""Exit code for invalid flags or environment variables."""


class ArgumentParser(configargparse.ArgParser):  # type: ignore[misc]
    """Parser whose flags can also be set by MAGNOLIACRANK_* variables."""

    def __init__(self, **kwargs: object) -> None:
        kwargs.setdefault("auto_env_var_prefix", ENVIRONMENT_PREFIX)
        kwargs.setdefault("add_config_file_help", False)
        kwargs.setdefault("allow_abbrev", False)
        kwargs.setdefault(
            "formatter_class", argparse.ArgumentDefaultsHelpFormatter
        )
        super().__init__(**kwargs)

    def error(self, message: str) -> NoReturn:
        """Prints the error on one line and exits with `EXIT_USAGE`."""
        line = " ".join(message.split())
        sys.stderr.write(f"{self.prog}: {line}\n")
        sys.exit(EXIT_USAGE)


def whole_number(low: int, high: int) -> Callable[[str], int]:
    """Returns a flag type for whole numbers from `low` to `high`, inclusive."""

    def convert(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            value = low - 1
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(
                f"{text!r} is not allowed; expected a whole number from "
                f"{low} to {high}"
            )
        return value

    return convert


def seconds(low: float, high: float) -> Callable[[str], float]:
    """Returns a flag type for seconds from `low` to `high`, inclusive."""

    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(
                f"{text!r} is not allowed; expected seconds from {low:g} to "
                f"{high:g}"
            )
        return value

    return convert


def ip_address(text: str) -> str:
    """Flag type for an IP address; host names are rejected, not resolved."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not allowed; expected an IP address"
        ) from None


def http_url(text: str) -> str:
    """Flag type for the base URL of an HTTP service.

    Trailing slashes are removed.
    """
    parts = urllib_parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not allowed; expected http://HOST:PORT"
        )
    return text.rstrip("/")


def identifier(text: str) -> str:
    """Flag type for the name of an instance, data centre or topic."""
    is_plain = all(c.isalnum() or c in "-." for c in text)
    if not text or not is_plain or len(text) > _MAX_NAME_LENGTH:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not allowed; expected 1 to {_MAX_NAME_LENGTH} "
            "letters, digits, dots and dashes"
        )
    return text


def add_store_url_argument(parser: argparse._ActionsContainer) -> None:
    """Adds the `--store-url` flag: base URL of the platform's store."""
    parser.add_argument(
        "--store-url",
        type=http_url,
        required=True,
        help="base URL of the platform's store",
    )


def add_topic_argument(parser: argparse._ActionsContainer) -> None:
    """Adds the `--topic` flag: topic that holds the system's own log."""
    parser.add_argument(
        "--topic",
        type=identifier,
        default="magnoliacrank",
        help="topic of the store that holds the system's own log",
    )
