"""Records of other writers and faults while records are applied.

An entry that can't be read names no server, and the others hold: in an
instance that starts while it stands as well as in one that reads it together
with other changes.
"""

import json

import pytest

from magnoliacrank.entry import heartbeat
from magnoliacrank.entry import peer_records
from magnoliacrank.entry import server_entries
from magnoliacrank.entry import site_view
from magnoliacrank.standins import platform_store

ENTRY = {
    "address": "127.0.0.1:9",
    "born": 1,
    "info": {"service": "svc", "version": "v1", "zone": "a", "slots": 4},
    "status": {"state": "ready", "seq": 1, "warmup-left": "0ms"},
}

ODD_ENTRIES = [
    pytest.param(b"[" * 4000, id="deep"),
    pytest.param(b'{"address":' + b"[" * 4000, id="deep-field"),
    pytest.param(b"\xff\xfe\x00", id="no-utf-8"),
    pytest.param(
        json.dumps({**ENTRY, "address": "127.0.0.1:²"}).encode(),
        id="port-superscript",
    ),
    pytest.param(
        json.dumps({**ENTRY, "address": "127.0.0.1:" + "9" * 5000}).encode(),
        id="port-long",
    ),
    pytest.param(
        json.dumps({**ENTRY, "address": "127.0.0.1:99999"}).encode(),
        id="port-out-of-range",
    ),
    pytest.param(
        json.dumps({**ENTRY, "info": {**ENTRY["info"], "slots": 10**300}})
        .encode(),
        id="slots-large",
    ),
]  # fmt: skip


@pytest.mark.parametrize("value", ODD_ENTRIES)
async def test_started_instance_reads_past_an_unreadable_entry(site, value):
    """Guards against servers that stay unknown behind an unreadable entry."""
    site.store.put("keyed.servers", "foreign", value)
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    status, _, _ = await site.request()
    assert status == 200
    await site.until(instance._reader.is_fresh)
    assert site.logs[0].names().count("server entry unreadable") == 1
    assert instance._view.unreadable_records == 1


@pytest.mark.parametrize("value", ODD_ENTRIES)
async def test_changes_read_with_an_unreadable_entry_hold(site, value):
    """Guards against a departure that is lost with the batch it came in."""
    leaving = await site.add_backend("s1")
    await site.add_backend("s2")
    instance = await site.add_instance()
    await site.ready()
    site.store.fault = platform_store.Fault.BUSY
    site.store.put("keyed.servers", "foreign", value)
    leaving.state = "draining"
    site.register(leaving)
    await site.add_backend("s3")
    site.store.fault = platform_store.Fault.NONE
    await site.until(lambda: instance._view.entry("s3") is not None)
    usable = {entry.server_id for entry in instance._view.backends("svc")}
    assert usable == {"s2", "s3"}


@pytest.mark.parametrize("value", ODD_ENTRIES)
async def test_entry_that_becomes_unreadable_names_no_server(site, value):
    await site.add_backend("s1")
    await site.add_backend("s2")
    instance = await site.add_instance()
    await site.ready()
    site.store.put("keyed.servers", "s1", value)
    await site.until(lambda: instance._view.entry("s1") is None)
    site.register(site.backends[0])
    await site.until(lambda: instance._view.entry("s1") is not None)


async def test_entry_without_a_start_hides_no_server(site):
    """It names a version and an address at which nobody listens."""
    foreign = {
        **ENTRY,
        "info": {**ENTRY["info"], "version": "v0"},
    }
    del foreign["born"]
    site.store.put("keyed.servers", "foreign", json.dumps(foreign).encode())
    await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    status, _, _ = await site.request()
    assert status == 200


async def test_records_whose_application_failed_are_read_again(
    site, monkeypatch
):
    """Guards against a batch that counts as read after an exception."""
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    apply = site_view.SiteView._rebuild_index
    failures = iter([RuntimeError("fault of the test")])

    def rebuild_index(view):
        for error in failures:
            raise error
        apply(view)

    monkeypatch.setattr(site_view.SiteView, "_rebuild_index", rebuild_index)
    await site.add_backend("s2")
    await site.add_backend("s3")
    await site.until(lambda: len(instance._view.backends("svc")) == 3)
    assert instance._reader.read_errors == 1
    assert "task failed" in site.logs[0].names()
    await site.until(instance._reader.is_fresh)


async def test_record_that_can_not_be_applied_takes_away_only_itself(
    site, monkeypatch
):
    """The records beside it are in force, and later ones are still read."""
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    apply = server_entries.ServerEntries.apply

    def apply_server(view, record):
        if record.key == "foreign":
            raise RuntimeError("fault of the test")
        apply(view, record)

    monkeypatch.setattr(server_entries.ServerEntries, "apply", apply_server)
    site.store.put("keyed.servers", "foreign", json.dumps(ENTRY).encode())
    await site.add_backend("s2")
    await site.until(lambda: instance._view.entry("s2") is not None)
    await site.add_backend("s3")
    await site.until(lambda: instance._view.entry("s3") is not None)
    status, _, _ = await site.request()
    assert status == 200


SENDER = ("n1", "a", "127.0.0.1", 1, True, False, True, 1.0)


def _beat(**fields):
    values = {
        "format": heartbeat.FORMAT,
        "sender": SENDER,
        "mesh_mark": 1,
        "lost": [],
        "operators_mark": 1,
        "servers_mark": 1,
        "verified_age_ms": 1,
        "trials": [],
        "crashes": {},
        "blocked": [],
        "time_ms": 1,
        "store_era": 1,
        "loads": [],
        **fields,
    }
    return heartbeat.encode(heartbeat.Heartbeat(**values))


def _report(**fields):
    values = {
        "service": "svc",
        "order_offset": 1,
        "age_ms": 1,
        "state": "running",
        "target_version": "v2",
        "rows": [("read", 1, 0, 0.1, 1, 0, 0.1)],
        "load_tests": [(1, 0)],
        **fields,
    }
    return heartbeat.TrialReport(**values)


def test_usual_heartbeat_is_decoded():
    assert heartbeat.decode(_beat(trials=[_report()])) is not None


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x91" * 4000,
        _beat()[:-1],
        b"\x9b" + _beat()[1:] + b"\x91" * 4000,
        _beat(sender=("n1", "a", "no address", 1, True, False, True, 1.0)),
        _beat(sender=(*SENDER[:7], float("nan"))),
        _beat(sender=(*SENDER[:7], float("inf"))),
        _beat(servers_mark=-1),
        _beat(servers_mark=2**60),
        _beat(verified_age_ms=-2),
        _beat(crashes={"f": -1}),
        _beat(trials=[_report(state="sideways")]),
        _beat(trials=[_report(load_tests=[(1, -1)])]),
        _beat(trials=[_report(rows=[("read", -1, 0, 0.1, 1, 0, 0.1)])]),
        _beat(trials=[_report(rows=[("read", 1, 0, float("nan"), 1, 0, 0.1)])]),
        _beat(trials=[_report(rows=[("read", 1, 0, 0.1, 1, 0, float("inf"))])]),
    ],
    ids=lambda data: f"{len(data)}",
)
def test_odd_heartbeat_is_ignored(data):
    assert heartbeat.decode(data) is None


@pytest.mark.parametrize("data", [b"", b"\x91" * 4000, b"\xff", b"x" * 100])
def test_odd_records_of_an_instance_are_ignored(data):
    assert peer_records.decode(data) is None
    assert peer_records.decode_changes(data) is None
