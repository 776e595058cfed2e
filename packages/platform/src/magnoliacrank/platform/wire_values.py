"""Type-checked access to fields of decoded JSON and YAML documents."""

from __future__ import annotations

import re
from typing import Any

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}


class WireValueError(ValueError):
    """A field is missing or holds a value that is not allowed."""


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
            f"{field}: {text!r} is not a duration such as 1500ms"
        )
    return float(found[1]) * _SECONDS_PER_UNIT[found[2]]


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
        raise WireValueError(f"{name}: {value!r} is not a non-empty string")
    return value


def read_number(fields: Any, name: str, minimum: float = 0.0) -> float:
    """Returns a number field.

    Raises:
        WireValueError: The field is missing, below the minimum or of another
            type.
    """
    value = _read(fields, name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireValueError(f"{name}: {value!r} is not a number")
    if value < minimum:
        raise WireValueError(f"{name}: {value!r} is less than {minimum:g}")
    return value


def read_integer(fields: Any, name: str, minimum: int = 0) -> int:
    """Returns an integer field.

    Raises:
        WireValueError: The field is missing, below the minimum or of another
            type.
    """
    value = read_number(fields, name, minimum)
    if not isinstance(value, int):
        raise WireValueError(f"{name}: {value!r} is not an integer")
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
        raise WireValueError(f"{name}: {value!r} is not a list")
    return value


def read_mapping(fields: Any, name: str) -> dict[str, Any]:
    """Returns a mapping field.

    Raises:
        WireValueError: The field is missing or of another type.
    """
    value = _read(fields, name)
    if not isinstance(value, dict):
        raise WireValueError(f"{name}: {value!r} is not a mapping")
    return value


def _read(fields: Any, name: str) -> Any:
    if not isinstance(fields, dict):
        raise WireValueError(f"{name}: {fields!r} is not a mapping")
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
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise WireValueError(f"{field}: {text!r} is not HOST:PORT")
    return host, int(port)
