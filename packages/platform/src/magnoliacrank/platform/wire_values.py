"""Decoding of documents and values from outside, within bounds.

Every function returns a value within the bounds that it states, or raises
`WireValueError` and nothing else.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Any

import msgspec

MAX_INTEGER = 2**53 - 1
"""Largest integer that every JSON implementation represents exactly; also the
largest number."""

MAX_DURATION_S = 30 * 86_400.0
"""Longest duration, in seconds."""

MALFORMED_ERRORS = (ValueError, RecursionError)
"""Exceptions of msgspec and of the YAML loader for malformed input.

Input that is nested too deeply raises `RecursionError`, which isn't a
`ValueError`.
"""

_DURATION = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)(ms|s)")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
_COUNT = re.compile(r"[0-9]{1,9}")
_INTEGER = re.compile(r"[0-9]{1,15}")
_PORT = re.compile(r"[0-9]{1,5}")
_HOST = re.compile(r"(?!.{254})[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*")
_MAX_SHOWN = 80


class WireValueError(ValueError):
    """A field is missing or holds a value that is not allowed."""


def decode_json(value: bytes) -> Any:
    """Decodes a JSON document.

    Raises:
        WireValueError: The bytes are no JSON document, or it is nested too
            deeply or contains a number out of range.
    """
    try:
        return msgspec.json.decode(value)
    except MALFORMED_ERRORS as error:
        raise WireValueError(str(error)) from error


def is_empty(value: Any) -> bool:
    """Returns whether a value states nothing, as if its field were missing.

    False and zero are values.
    """
    return value is None or value in ("", [], {})


def drop_empty(
    fields: dict[str, Any], prefix: str = "", depth: int = 2
) -> tuple[dict[str, Any], list[str]]:
    """Returns a mapping without the fields that are empty.

    A nested mapping of which nothing is left is empty, too.

    Args:
        fields: The mapping.
        prefix: Beginning of the paths that are returned.
        depth: Levels of mappings that are searched for empty fields. Documents
            in YAML may contain themselves.

    Returns:
        The other fields, and the paths of the empty ones, such as `a.b`.
    """
    kept: dict[str, Any] = {}
    dropped: list[str] = []
    for name, value in fields.items():
        path = f"{prefix}{name}"
        left = value
        if is_empty(value):
            dropped.append(path)
        elif depth > 1 and isinstance(value, dict):
            left, nested = drop_empty(value, f"{path}.", depth - 1)
            dropped += nested
        if not is_empty(left):
            kept[name] = left
    return kept, dropped


def parse_count(text: str) -> int | None:
    """Returns a count of up to nine ASCII digits, or None for another text."""
    return int(text) if _COUNT.fullmatch(text) else None


def parse_integer(text: str) -> int | None:
    """Returns an integer of up to 15 ASCII digits, or None for another text."""
    return int(text) if _INTEGER.fullmatch(text) else None


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IP address, not a name to look up."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def check_ip_address(text: str, field: str) -> None:
    """Checks that a text is an IP address.

    Raises:
        WireValueError: It isn't.
    """
    if not is_ip_address(text):
        raise WireValueError(f"{field}: {_shown(text)} is not an IP address")


def parse_duration_s(text: Any, field: str) -> float:
    """Returns the seconds of a duration with a unit.

    Args:
        text: Duration such as `1500ms` or `2.5s`.
        field: Name of the field, for the error message.

    Raises:
        WireValueError: The text is not such a duration.
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise WireValueError(
            f"{field}: {_shown(text)} is not a duration such as 1500ms"
        )
    seconds = float(found[1]) * _SECONDS_PER_UNIT[found[2]]
    if seconds > MAX_DURATION_S:
        raise WireValueError(
            f"{field}: {text} is longer than {MAX_DURATION_S:g}s"
        )
    return seconds


def format_duration(seconds: float) -> str:
    """Returns a duration in milliseconds with its unit, such as `1500ms`."""
    return f"{round(seconds * 1000)}ms"


def read_string(fields: Any, name: str) -> str:
    """Returns a string field that is not empty.

    Raises:
        WireValueError: The field is missing, empty or of another type.
    """
    value = _read(fields, name)
    if not isinstance(value, str) or not value:
        raise WireValueError(
            f"{name}: {_shown(value)} is not a non-empty string"
        )
    return value


def read_number(
    fields: Any, name: str, minimum: float = 0.0, maximum: float = MAX_INTEGER
) -> float:
    """Returns a number field.

    Raises:
        WireValueError: The field is missing, not finite, out of bounds or of
            another type.
    """
    value = _read(fields, name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireValueError(f"{name}: {_shown(value)} is not a number")
    if not minimum <= value <= maximum:
        raise WireValueError(
            f"{name}: {_shown(value)} is not between {minimum:g} and"
            f" {maximum:g}"
        )
    return value


def read_integer(
    fields: Any, name: str, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Returns an integer field.

    Raises:
        WireValueError: The field is missing, out of bounds or of another type.
    """
    value = read_number(fields, name, minimum, maximum)
    if not isinstance(value, int):
        raise WireValueError(f"{name}: {_shown(value)} is not an integer")
    return value


def read_boolean(fields: Any, name: str, *, default: bool) -> bool:
    """Returns a boolean field, or the default if it is missing or empty.

    Raises:
        WireValueError: The field is of another type.
    """
    if isinstance(fields, dict) and is_empty(fields.get(name)):
        return default
    value = _read(fields, name)
    if not isinstance(value, bool):
        raise WireValueError(f"{name}: {_shown(value)} is not a boolean")
    return value


def read_duration_s(fields: Any, name: str) -> float:
    """Returns a duration field in seconds.

    Raises:
        WireValueError: The field is missing or not a duration.
    """
    return parse_duration_s(_read(fields, name), name)


def read_list(fields: Any, name: str) -> list[Any]:
    """Returns a list field.

    Raises:
        WireValueError: The field is missing or of another type.
    """
    value = _read(fields, name)
    if not isinstance(value, list):
        raise WireValueError(f"{name}: {_shown(value)} is not a list")
    return value


def read_mapping(fields: Any, name: str) -> dict[str, Any]:
    """Returns a mapping field.

    Raises:
        WireValueError: The field is missing or of another type.
    """
    value = _read(fields, name)
    if not isinstance(value, dict):
        raise WireValueError(f"{name}: {_shown(value)} is not a mapping")
    return value


def _read(fields: Any, name: str) -> Any:
    if not isinstance(fields, dict):
        raise WireValueError(f"{name}: {_shown(fields)} is not in a mapping")
    if name not in fields:
        raise WireValueError(f"{name}: missing")
    return fields[name]


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Returns the host and port of an address.

    Args:
        text: Address, as HOST:PORT.
        field: Name of the field, for the error message.

    Raises:
        WireValueError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    if (
        not _HOST.fullmatch(host)
        or not _PORT.fullmatch(port)
        or not 0 < int(port) < 65536
    ):
        raise WireValueError(f"{field}: {_shown(text)} is not HOST:PORT")
    return host, int(port)


def _shown(value: Any) -> str:
    """Returns the beginning of a value's representation, for messages."""
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"an integer of {value.bit_length()} bits"
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN else f"{text[:_MAX_SHOWN]}..."
