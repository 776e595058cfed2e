"""Tests of the codecs for operators' records and backend servers' entries."""

import json

import pytest

from magnoliacrank.model import orders
from magnoliacrank.model import route_plan
from magnoliacrank.platform import backend_wire
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import request_wire
from magnoliacrank.platform import wire_values

ENTRY = {
    "address": "10.128.0.9:8080",
    "born": 1780000000000,
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 2},
    "status": {"state": "ready", "seq": 4, "warmup-left": "1500ms"},
}

CONFIG = {
    "version": 7,
    "services": [
        {
            "name": "s",
            "health-path": "/health",
            "max-connections": 260,
            "warmup": "3s",
            "warmup-per-s": 4.7,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
    "virtual-hosts": [
        {
            "host": "Site.example",
            "paths": [
                {
                    "name": "r1",
                    "path-prefix": "/a/",
                    "kind": "unsafe",
                    "timeout": "1000ms",
                    "target-latency": "400ms",
                    "priority": 1,
                    "service": "s",
                    "max-attempts": 2,
                },
                {
                    "name": "r2",
                    "path-prefix": "/a/b/",
                    "kind": "safe",
                    "timeout": "800ms",
                    "target-latency": "300ms",
                    "priority": 2,
                    "traffic-split": [
                        {"service": "s", "weight": 90},
                        {"service": "t", "weight": 10},
                        {"service": "u", "weight": 0},
                    ],
                    "max-attempts": 2,
                },
            ],
        }
    ],
}


def _encode(document):
    return json.dumps(document).encode()


def test_entry_is_decoded():
    entry = backend_wire.decode_entry("i-1", _encode(ENTRY))
    assert (entry.host, entry.port) == ("10.128.0.9", 8080)
    assert entry.data_centre == "a"
    assert entry.warmup_left_s == 1.5
    assert not entry.is_draining


@pytest.mark.parametrize(
    ("table", "field", "value"),
    [
        (None, "address", "10.0.0.1"),
        (None, "address", None),
        (None, "info", []),
        ("info", "service", 5),
        ("info", "slots", 0),
        ("info", "slots", "2"),
        ("info", "slots", True),
        ("status", "state", "gone"),
        ("status", "seq", "4"),
        ("status", "warmup-left", 3),
    ],
)
def test_malformed_entry_raises_an_error(table, field, value):
    document = json.loads(json.dumps(ENTRY))
    (document[table] if table else document)[field] = value
    with pytest.raises(wire_values.WireValueError):
        backend_wire.decode_entry("i-1", _encode(document))


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b"{"])
def test_unreadable_entry_is_an_error(value):
    with pytest.raises(wire_values.WireValueError):
        backend_wire.decode_entry("i-1", value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,0,8", (3, 0, 8, 1.0)),
        ("3, 1, 8, 500", (3, 1, 8, 5.0)),
        ("", (0, 0, 0, 1.0)),
        ("3,x,8", (0, 0, 0, 1.0)),
        ("-1,0,8", (0, 0, 0, 1.0)),
    ],
)
def test_load_is_decoded(text, expected):
    assert backend_wire.decode_load(text) == expected


@pytest.mark.parametrize(
    ("left", "cold_s"), [("1500ms", 1.5), ("2", 2.0), ("soon", 1.0)]
)
def test_unreadable_warmup_still_counts_as_cold(left, cold_s):
    report = backend_wire.decode_health(200, {"Warmup-Remaining": left})
    assert report.cold_s == cold_s


def test_configuration_is_decoded():
    plan = operator_wire.decode_configuration(_encode(CONFIG))
    assert plan.version == 7
    rule = plan.find_route("site.example", "/a/b/1")
    assert rule.kind is route_plan.RequestKind.IDEMPOTENT
    assert [share.service for share in rule.shares] == ["s", "t"]
    rule = plan.find_route("site.example", "/a/c")
    assert rule.kind is route_plan.RequestKind.AT_MOST_ONCE
    assert plan.services["s"].warmup_per_s == 4.7


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("site.example", "/a/b/", "r2"),
        ("site.example", "/a/b", "r1"),
        ("site.example", "/a", None),
        ("site.example", "/ab/", None),
        ("other.example", "/a/", None),
    ],
)
def test_longest_prefix_with_slashes_is_found(host, path, name):
    plan = operator_wire.decode_configuration(_encode(CONFIG))
    rule = plan.find_route(host, path)
    assert (rule and rule.name) == name


@pytest.mark.parametrize("kind", ["upload", "keyed", "odd"])
def test_unknown_kind_runs_at_most_once(kind):
    document = json.loads(json.dumps(CONFIG))
    document["virtual-hosts"][0]["paths"][0]["kind"] = kind
    plan = operator_wire.decode_configuration(_encode(document))
    rule = plan.find_route("site.example", "/a/x")
    assert rule.kind is route_plan.RequestKind.AT_MOST_ONCE


@pytest.mark.parametrize(
    "state",
    [
        orders.RolloutState.RUNNING,
        orders.RolloutState.COMPLETED,
        orders.RolloutState.ROLLED_BACK,
    ],
)
def test_rollout_status_survives_a_round_trip(state):
    status = orders.RolloutStatus("s", "v2", state)
    value = operator_wire.encode_rollout_status(status)
    assert operator_wire.decode_rollout_status("s", value) == status


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (421, {}, True),
        (503, {"Not-Executed": "1"}, True),
        (503, {}, False),
        (429, {}, False),
        (500, {}, False),
    ],
)
def test_not_executed_requires_an_explicit_statement(status, headers, expected):
    assert request_wire.is_not_executed(status, headers) is expected


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500", 1.5), ("", None), ("-4", None), ("x", None)]
)
def test_deadline_is_read(text, seconds):
    headers = {"Request-Deadline": text}
    assert request_wire.read_deadline_s(headers) == seconds
