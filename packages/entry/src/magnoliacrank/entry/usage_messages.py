"""Messages and records about customers' usage, and their codecs."""

from __future__ import annotations

import msgspec

from magnoliacrank.entry import heartbeat
from magnoliacrank.platform import wire_values
from magnoliacrank.policy import duty_lease
from magnoliacrank.policy import usage_windows

PATH = "/usage-counts"
"""Path of counts on the port between instances."""

MAX_BYTES = 1 << 20
"""Largest size of a message with counts, in bytes."""

HOLDER_KEY = "holder"
"""Key of the record that names the holder of the duty."""

REPORT_KEY_PREFIX = "report/"
"""Prefix of the keys of the records with reports."""

_CountsRow = tuple[
    heartbeat.Count, heartbeat.Count, bool, dict[str, heartbeat.Count]
]


class UsagePush(msgspec.Struct, array_like=True):
    """Counts of one process, as sent to another instance."""

    node: str
    """Name of the instance that counted."""

    incarnation: heartbeat.Count
    """Start time of its process in milliseconds since 1970."""

    rows: list[_CountsRow]
    """Fields of `usage_windows.WindowCounts`, in the order of their
    definition."""

    @property
    def source(self) -> usage_windows.Source:
        """The process that counted."""
        return usage_windows.Source(self.node, self.incarnation)

    @property
    def windows(self) -> list[usage_windows.WindowCounts]:
        """Counts by window."""
        return [usage_windows.WindowCounts(*row) for row in self.rows]


class HolderRecord(msgspec.Struct):
    """Value of the record that names the holder of the duty."""

    holder: str
    """Name of the instance."""

    token: heartbeat.Count
    """Fencing token."""

    era: heartbeat.Count
    """Era of the store in which the duty was taken."""


class ReportRecord(msgspec.Struct):
    """Value of the record of a window that is to be reported, or left out."""

    window: heartbeat.Count
    """Number of the window."""

    content: str | None
    """The report as sent to the platform; None if no report may be sent."""


_PUSH_ENCODER = msgspec.msgpack.Encoder()
_PUSH_DECODER = msgspec.msgpack.Decoder(UsagePush)
_RECORD_ENCODER = msgspec.json.Encoder()
_HOLDER_DECODER = msgspec.json.Decoder(HolderRecord)
_REPORT_DECODER = msgspec.json.Decoder(ReportRecord)


def encode_push(
    source: usage_windows.Source, windows: list[usage_windows.WindowCounts]
) -> bytes:
    """Encodes the counts of a process."""
    rows = [
        (item.window, item.revision, item.is_final, item.counts)
        for item in windows
    ]
    return _PUSH_ENCODER.encode(
        UsagePush(source.node, source.incarnation, rows)
    )


def decode_push(data: bytes) -> UsagePush | None:
    """Decodes the counts of a process; returns None if malformed."""
    try:
        return _PUSH_DECODER.decode(data)
    except wire_values.MALFORMED_ERRORS:
        return None


def encode_holder(record: duty_lease.DutyRecord) -> bytes:
    """Encodes the record that names the holder."""
    return _RECORD_ENCODER.encode(
        HolderRecord(record.holder, record.token, record.era)
    )


def decode_holder(value: bytes) -> duty_lease.DutyRecord | None:
    """Decodes the record that names the holder; returns None if malformed."""
    try:
        found = _HOLDER_DECODER.decode(value)
    except wire_values.MALFORMED_ERRORS:
        return None
    return duty_lease.DutyRecord(found.holder, found.token, found.era)


def report_key(window: int, kept_windows: int) -> str:
    """Returns the key of the record of a window.

    A later window reuses the key of an earlier one, so that the topic stays
    small.

    Args:
        window: Number of the window.
        kept_windows: Number of windows whose records are kept.
    """
    return f"{REPORT_KEY_PREFIX}{window % kept_windows}"


def encode_report(window: int, content: str | None) -> bytes:
    """Encodes the record of a window."""
    return _RECORD_ENCODER.encode(ReportRecord(window, content))


def decode_report(value: bytes) -> ReportRecord | None:
    """Decodes the record of a window; returns None if malformed."""
    try:
        return _REPORT_DECODER.decode(value)
    except wire_values.MALFORMED_ERRORS:
        return None
