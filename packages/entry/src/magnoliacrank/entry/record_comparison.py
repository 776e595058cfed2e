"""Compares values of records of the operators' and the servers' topic."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.platform import backend_wire
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import rewound_records

if TYPE_CHECKING:
    from magnoliacrank.model import backend_entry


class OperatorComparison:
    """See `keyed_view.Comparison`; for the operators' topic."""

    rewrite_window_s = rewound_records.REWRITE_WINDOW_S["operators"]

    def is_same(self, before: bytes | None, after: bytes | None) -> bool:
        """Returns whether two values are equal."""
        return before == after

    def judge(
        self, key: str, known: bytes | None, listed: bytes | None
    ) -> rewound_records.Standing:
        """Judges a configuration by its version; other orders have none."""
        version = None
        if key == operator_wire.CONFIGURATION_KEY:
            version = _version(known)
        if version is None:
            return rewound_records.Standing.UNCERTAIN
        return rewound_records.judge_configuration(version, _version(listed))


class ServerComparison:
    """See `keyed_view.Comparison`; for the backend servers' topic."""

    rewrite_window_s = rewound_records.REWRITE_WINDOW_S["servers"]

    def is_same(self, before: bytes | None, after: bytes | None) -> bool:
        """Returns whether two entries are equal but for a falling warm-up."""
        if before is None or after is None:
            return before == after
        old, new = _entry(before), _entry(after)
        if old is None or new is None:
            return before == after
        has_become_cold = new.warmup_left_s > old.warmup_left_s
        return (
            not has_become_cold and old.without_warmup() == new.without_warmup()
        )

    def judge(
        self, key: str, known: bytes | None, listed: bytes | None
    ) -> rewound_records.Standing:
        """Judges the entry of a server by its start and its state."""
        del key
        return rewound_records.judge_server(_entry(known), _entry(listed))


def _version(value: bytes | None) -> int | None:
    if value is None:
        return None
    try:
        return operator_wire.decode_configuration(value).version
    except wire_values.WireValueError:
        return None


def _entry(value: bytes | None) -> backend_entry.BackendEntry | None:
    if value is None:
        return None
    try:
        return backend_wire.decode_entry("", value)
    except wire_values.WireValueError:
        return None
