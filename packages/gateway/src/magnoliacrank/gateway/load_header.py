"""Parses the load report in the headers of a backend server's answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.model import headers
from magnoliacrank.model import server

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_LENGTH = 256
_MAX_DIGITS = 18


def read_load(fields: Mapping[str, str]) -> server.LoadReport | None:
    """Returns the load report in an answer's headers.

    Args:
        fields: Headers of the answer.

    Returns:
        The report, or None if it is missing or malformed.
    """
    text = fields.get(headers.LOAD)
    if text is None or len(text) > _MAX_LENGTH:
        return None
    values: dict[str, int] = {}
    for pair in text.split(";"):
        name, _, value = pair.partition("=")
        if value.isascii() and value.isdigit() and len(value) <= _MAX_DIGITS:
            values[name.strip()] = int(value)
    if "in_flight" not in values:
        return None
    return server.LoadReport(
        in_flight=values["in_flight"],
        queued=values.get("queued", 0),
        incarnation=values.get("incarnation", 0),
        limit=values.get("limit"),
    )
