"""Fields that are there without a value, in settings and configurations.

Every instance reads the same fields: one that ends a start, or makes a
configuration unreadable, stops the whole system at once.
"""

import copy
import json

import pytest

from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import settings_file
from magnoliacrank.platform import wire_values

EMPTY_FORMS = [None, {}, [], ""]

SETTINGS = {
    "node": "front-1",
    "ip": "10.1.0.35",
    "zone": "a",
    "listen": {
        "front": "10.1.0.35:8144",
        "ready": "10.1.0.35:8140",
        "directory": "10.1.0.35:8143",
    },
    "internal-ports": [7660, 7675],
    "platform": {"address": "10.200.1.7:8142"},
    "heartbeat": "1500ms",
    "seeds": ["10.1.0.35:8146"],
    "cloud": {
        "address": "10.200.0.199:8608",
        "duties": ["usage_report"],
        "duty-per-s": 50.0,
    },
    "bounds": {
        name: "7s" if reader is not wire_values.read_number else 7
        for name, reader in settings_file._BOUND_FIELDS.values()
    },
    "limits": {"cpu-share": 0.5, "cores": 3, "link-mbps": 10, "memory-mb": 9},
}

OPTIONAL = [
    ("seeds",),
    ("cloud",),
    ("cloud", "duties"),
    ("cloud", "duty-per-s"),
    ("bounds",),
    ("limits",),
    ("listen", "directory"),
    *(("bounds", name) for name in SETTINGS["bounds"]),
    *(("limits", name) for name in SETTINGS["limits"]),
]

REQUIRED = [
    ("node",),
    ("ip",),
    ("zone",),
    ("listen",),
    ("listen", "front"),
    ("listen", "ready"),
    ("internal-ports",),
    ("platform",),
    ("platform", "address"),
]

CONFIGURATION = {
    "version": 7,
    "services": [
        {
            "name": "svc",
            "health-path": "/health",
            "max-connections": 220,
            "warmup": "3s",
            "warmup-per-s": 5.5,
        }
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1048576,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
    },
    "tenants": [{"name": "huka", "api-keys": ["key"], "priority": 1}],
    "virtual-hosts": [
        {
            "host": "a.example",
            "paths": [
                {
                    "name": "r",
                    "path-prefix": "/r/",
                    "kind": "safe",
                    "timeout": "1500ms",
                    "target-latency": "600ms",
                    "priority": 2,
                    "max-attempts": 2,
                    "service": "svc",
                    "public": True,
                    "homes": ["north"],
                    "traffic-split": [{"service": "other", "weight": 1}],
                }
            ],
        }
    ],
}

ROUTE = ("virtual-hosts", 0, "paths", 0)


def _with(document, path, value):
    """Returns a copy with another value at a path."""
    changed = copy.deepcopy(document)
    table = changed
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = value
    return changed


def _without(document, path):
    changed = _with(document, path, None)
    table = changed
    for name in path[:-1]:
        table = table[name]
    del table[path[-1]]
    return changed


@pytest.mark.parametrize("form", EMPTY_FORMS, ids=repr)
@pytest.mark.parametrize("path", OPTIONAL, ids=".".join)
def test_empty_setting_has_its_default(path, form):
    """Guards against processes that don't start for an empty field."""
    document = _with(SETTINGS, path, form)
    loaded = settings_file.decode_for_start(document, "f")
    missing = settings_file.decode(_without(SETTINGS, path), "f")
    assert loaded.settings == missing
    assert loaded.empty_fields == (".".join(path),)
    assert not loaded.ignored
    assert settings_file.decode(document, "f") == missing


@pytest.mark.parametrize("form", EMPTY_FORMS, ids=repr)
@pytest.mark.parametrize("path", REQUIRED, ids=".".join)
def test_empty_setting_without_a_default_is_named(path, form):
    for decode in (settings_file.decode, settings_file.decode_for_start):
        with pytest.raises(settings_file.SettingsFileError) as error:
            decode(_with(SETTINGS, path, form), "/etc/node.yaml")
        assert "/etc/node.yaml" in str(error.value)
        assert path[-1] in str(error.value)


@pytest.mark.parametrize(
    "cloud", [{"address": form, "duties": []} for form in EMPTY_FORMS]
)
def test_table_of_empty_fields_is_empty(cloud):
    document = _with(SETTINGS, ("cloud",), cloud)
    loaded = settings_file.decode_for_start(document, "f")
    assert loaded.settings.cloud is None
    assert loaded.empty_fields == ("cloud.address", "cloud.duties")
    assert not loaded.ignored


@pytest.mark.parametrize("value", [False, 0, 0.0])
def test_false_and_zero_are_values(value):
    assert not wire_values.is_empty(value)


def test_document_that_contains_itself_ends():
    document = {"a": None}
    document["b"] = document
    kept, dropped = wire_values.drop_empty(document)
    assert set(kept) == {"b"}
    assert dropped == ["a", "b.a"]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("heartbeat",), "1500"),
        (("heartbeat",), None),
        (("seeds",), ["10.1.0.35"]),
        (("seeds",), [None]),
        (("cloud",), {"address": "10.200.0.199"}),
        (("cloud", "duty-per-s"), 0),
        (("listen", "directory"), "10.1.0.35"),
        (("bounds", "drain"), 2),
        (("bounds", "usage-window"), "0s"),
        (("limits", "cpu-share"), "much"),
        (("limits", "memory-mb"), []),
    ],
)
def test_malformed_setting_with_a_default_ends_no_start(path, value):
    """A check and a reload name it; a start goes on without it."""
    document = _with(SETTINGS, path, value)
    loaded = settings_file.decode_for_start(document, "f")
    missing = settings_file.decode_for_start(_without(SETTINGS, path), "f")
    if path not in (("seeds",), ("cloud",), ("cloud", "duty-per-s")):
        assert loaded.settings == missing.settings
    if wire_values.is_empty(value) and path != ("heartbeat",):
        assert not loaded.ignored
        return
    assert len(loaded.ignored) == 1
    with pytest.raises(settings_file.SettingsFileError) as error:
        settings_file.decode(document, "f")
    assert loaded.ignored[0] in str(error.value)


def _decode(document):
    return operator_wire.decode_configuration(json.dumps(document).encode())


@pytest.mark.parametrize(
    ("path", "form"),
    [
        *((("tenants",), form) for form in (None, {}, "")),
        *((("tenants", 0, "priority"), form) for form in EMPTY_FORMS),
        *(((*ROUTE, "public"), form) for form in EMPTY_FORMS),
        *(((*ROUTE, "homes"), form) for form in EMPTY_FORMS),
        *(((*ROUTE, "traffic-split"), form) for form in EMPTY_FORMS),
    ],
)
def test_empty_field_of_a_configuration_counts_as_missing(path, form):
    """Guards against a version that no instance can read."""
    document = _with(CONFIGURATION, path, form)
    plan = _decode(document)
    missing = _decode(_without(CONFIGURATION, path))
    assert plan.routes == missing.routes
    assert plan.customers == missing.customers
    assert plan.empty_fields == (path if path == ("tenants",) else ())
    listing = operator_wire.decode_listing(json.dumps(document).encode())
    assert listing.plan == plan


@pytest.mark.parametrize("form", EMPTY_FORMS, ids=repr)
def test_customer_without_keys_has_none(form):
    document = _with(CONFIGURATION, ("tenants", 0, "api-keys"), form)
    table = _decode(document).customers
    assert set(table.customers) == {"huka"}
    assert table.find("key") is None
