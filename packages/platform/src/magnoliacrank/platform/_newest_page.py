"""Decodes pages of the newest records of a topic with keys."""

from __future__ import annotations

import base64
from typing import Any

import attrs

from magnoliacrank.platform import store_records
from magnoliacrank.platform import wire_values


@attrs.frozen
class NewestPage:
    """One page of the newest record of each key."""

    records: tuple[store_records.KeyedRecord, ...]
    """Records in the order of their keys."""

    has_more: bool
    """Whether a page with further keys follows."""

    end: int
    """Offset after the newest record of the topic."""


def decode(data: bytes, era: int) -> NewestPage:
    """Decodes one page of the newest records.

    Args:
        data: Body of the response.
        era: Era of the store that the response states.

    Raises:
        WireValueError: The page is malformed.
    """
    document = wire_values.decode_json(data)
    records = tuple(
        store_records.KeyedRecord(
            wire_values.read_string(item, "key"),
            _decode_value(item),
            wire_values.read_integer(item, "offset"),
            era,
        )
        for item in wire_values.read_list(document, "items")
    )
    return NewestPage(
        records,
        bool(document.get("has-more")),
        wire_values.read_integer(document, "end"),
    )


def _decode_value(item: Any) -> bytes | None:
    value = item.get("value")
    try:
        return base64.b64decode(value) or None
    except (ValueError, TypeError) as error:
        raise wire_values.WireValueError(f"value: {error}") from error
