"""Decodes backend servers' store entries and health responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.model import backend_entry
from magnoliacrank.platform import request_wire
from magnoliacrank.platform import wire_values

if TYPE_CHECKING:
    from collections.abc import Mapping

_IS_DRAINING = {"ready": False, "draining": True}
_NOMINAL_PACE = 100.0
"""Pace that a backend server reports when it works at its usual speed."""

_HEALTHY_STATUS = 200
_MIN_LOAD_FIELDS = 3

_MAX_SLOTS = 1 << 16
"""Largest number of slots of one backend server."""

_MAX_SLOWDOWN = 1000.0
"""Largest slowdown that a backend server may state."""

_UNREADABLE_WARMUP_S = 1.0
"""Warm-up time that is assumed if a server states one that is unreadable."""


def decode_entry(server_id: str, value: bytes) -> backend_entry.BackendEntry:
    """Decodes the entry that a backend server writes to the store.

    Raises:
        WireValueError: The entry is malformed or lacks a field; the server
            can't be used.
    """
    fields = wire_values.decode_json(value)
    info = wire_values.read_mapping(fields, "info")
    status = wire_values.read_mapping(fields, "status")
    state = wire_values.read_string(status, "state")
    if state not in _IS_DRAINING:
        raise wire_values.WireValueError(f"state: {state!r}")
    wire_values.read_integer(status, "seq")
    host, port = wire_values.parse_address(
        wire_values.read_string(fields, "address"), "address"
    )
    born_ms = None
    if "born" in fields:
        born_ms = wire_values.read_integer(fields, "born", 1)
    return backend_entry.BackendEntry(
        server_id=server_id,
        service=wire_values.read_string(info, "service"),
        host=host,
        port=port,
        data_centre=wire_values.read_string(info, "zone"),
        version=wire_values.read_string(info, "version"),
        slots=wire_values.read_integer(info, "slots", 1, _MAX_SLOTS),
        is_draining=_IS_DRAINING[state],
        warmup_left_s=wire_values.read_duration_s(status, "warmup-left"),
        born_ms=born_ms,
    )


def decode_health(
    status: int, headers: Mapping[str, str]
) -> backend_entry.HealthReport:
    """Decodes a response of a backend server's health path.

    Load figures that can't be decoded don't mean that the server states none.

    Args:
        status: HTTP status.
        headers: Headers of the response; lookups ignore case.
    """
    load = headers.get(request_wire.SERVER_LOAD)
    running, waiting, slots, slowdown = decode_load(load or "")
    cold_s = 0.0
    left = headers.get(request_wire.WARMUP_REMAINING)
    if left is not None:
        cold_s = _parse_warmup_s(left)
    return backend_entry.HealthReport(
        server_id=headers.get(request_wire.INSTANCE_ID, ""),
        is_healthy=status == _HEALTHY_STATUS,
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=slowdown,
        cold_s=cold_s,
        has_load=load is not None,
    )


def decode_answer_load(
    headers: Mapping[str, str], *, was_run: bool
) -> tuple[int, int, int, float]:
    """Decodes the load that the answer to a request states.

    A server still counts the request that it answers as running.

    Args:
        headers: Headers of the answer; lookups ignore case.
        was_run: Whether the server ran the request.

    Returns:
        The same as `decode_load`, without the answered request.
    """
    running, waiting, slots, slowdown = decode_load(
        headers.get(request_wire.SERVER_LOAD, "")
    )
    return max(running - was_run, 0), waiting, slots, slowdown


_NO_LOAD = (0, 0, 0, 1.0)
"""Result of `decode_load` for a value that can't be decoded."""


def decode_load(text: str) -> tuple[int, int, int, float]:
    """Decodes the value of the `Server-Load` header.

    Returns:
        Running requests, waiting requests, slots, and slowdown as a multiple of
        the usual duration; zero slots if the value can't be decoded.
    """
    figures = [
        wire_values.parse_count(part.strip()) for part in text.split(",")
    ]
    known = [figure for figure in figures if figure is not None]
    if len(known) < max(len(figures), _MIN_LOAD_FIELDS):
        return _NO_LOAD
    running, waiting, slots = known[:_MIN_LOAD_FIELDS]
    pace = known[3] if len(known) > _MIN_LOAD_FIELDS else _NOMINAL_PACE
    slowdown = pace / _NOMINAL_PACE
    if slots > _MAX_SLOTS or not 0 < slowdown <= _MAX_SLOWDOWN:
        return _NO_LOAD
    return running, waiting, slots, slowdown


def _parse_warmup_s(text: str) -> float:
    """Returns the seconds of a duration, whose unit may be missing.

    The presence of the header states that the server is cold, so a text that
    can't be decoded counts as `_UNREADABLE_WARMUP_S`.
    """
    text = text.strip()
    for candidate in (text, f"{text}s"):
        try:
            return wire_values.parse_duration_s(candidate, "warmup")
        except wire_values.WireValueError:
            continue
    return _UNREADABLE_WARMUP_S
