"""Tests of reading the settings file."""

import copy

import attrs
import pytest
import yaml

from magnoliacrank.platform import settings_file

DOCUMENT = {
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
    "bounds": {"drain": "2000ms", "retry-budget-ratio": 0.3},
    "a-new-field": {"of": "the platform"},
}


def test_known_fields_are_read_and_unknown_ones_ignored(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(DOCUMENT))
    settings = settings_file.load(str(path))
    assert settings.front == ("10.1.0.35", 8144)
    assert settings.store == ("10.200.1.7", 8142)
    assert settings.peer_port == 7660
    assert settings.heartbeat_s == 1.5
    assert settings.bounds.drain_s == 2.0
    assert settings.bounds.retry_ratio == 0.3
    assert settings.bounds.probes_per_s == 60.0


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("node",), None, "node"),
        (("ip",), 7, "ip"),
        (("heartbeat",), "1500", "heartbeat"),
        (("listen", "front"), "10.1.0.35", "front"),
        (("listen", "front"), "10.1.0.35:99999", "front"),
        (("platform",), [], "platform"),
        (("internal-ports",), [], "internal-ports"),
        (("bounds", "drain"), 2, "drain"),
        (("bounds", "retry-budget-ratio"), "0.2", "retry-budget-ratio"),
        (("limits",), {"cpu-share": "much"}, "cpu-share"),
        (("limits",), {"link-mbps": [10]}, "link-mbps"),
    ],
)
def test_wrong_field_is_named_with_the_file(path, value, named):
    document = copy.deepcopy(DOCUMENT)
    table = document
    for name in path[:-1]:
        table = table[name]
    table[path[-1]] = value
    with pytest.raises(settings_file.SettingsFileError) as error:
        settings_file.decode(document, "/etc/node.yaml")
    assert "/etc/node.yaml" in str(error.value)
    assert named in str(error.value)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("limits", "cores", "link_mbps", "memory_mb"),
    [
        (None, 1.0, 1000.0, 300.0),
        ({}, 1.0, 1000.0, 300.0),
        ({"cpu-share": 0.5, "memory-mb": 200}, 0.5, 1000.0, 200.0),
        ({"cpu-share": 0.5, "cores": 3, "link-mbps": 10}, 1.5, 10.0, 300.0),
    ],
)
def test_limits_of_the_machine_are_read(limits, cores, link_mbps, memory_mb):
    document = {**DOCUMENT, "limits": limits}
    settings = settings_file.decode(document, "f")
    assert settings.cores == cores
    assert settings.link_mbps == link_mbps
    assert settings.memory_mb == memory_mb


def test_all_errors_are_named_at_once():
    with pytest.raises(settings_file.SettingsFileError) as error:
        settings_file.decode({"node": "x"}, "f")
    assert "ip: missing" in str(error.value)
    assert "heartbeat: missing" in str(error.value)


@pytest.mark.parametrize("text", ["a: [", "just text", "", "\xff"])
def test_unreadable_file_is_one_error(tmp_path, text):
    path = tmp_path / "node.yaml"
    path.write_bytes(text.encode("latin-1"))
    with pytest.raises(settings_file.SettingsFileError):
        settings_file.load(str(path))


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(settings_file.SettingsFileError):
        settings_file.load(str(tmp_path / "none.yaml"))


@pytest.mark.parametrize(
    ("fields", "cloud"),
    [
        (None, None),
        (
            {
                "address": "10.200.0.199:8608",
                "duties": ["usage_report"],
                "duty-per-s": 50.0,
            },
            (("10.200.0.199", 8608), ("usage_report",), 50.0),
        ),
        (
            {"address": "10.200.0.199:8608", "duty-per-s": 5},
            (("10.200.0.199", 8608), (), 5),
        ),
    ],
)
def test_interface_for_duties_is_read(fields, cloud):
    settings = settings_file.decode({**DOCUMENT, "cloud": fields}, "f")
    found = settings.cloud
    assert (found and attrs.astuple(found, recurse=False)) == cloud


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("cloud", "address"), "10.200.0.199", "address"),
        (("cloud", "duty-per-s"), 0, "duty-per-s"),
        (("bounds", "usage-window"), "0s", "usage-window"),
    ],
)
def test_wrong_field_of_duties_is_named(path, value, named):
    document = copy.deepcopy(DOCUMENT)
    document["cloud"] = {"address": "10.200.0.199:8608", "duty-per-s": 50.0}
    document[path[0]][path[1]] = value
    with pytest.raises(settings_file.SettingsFileError, match=named):
        settings_file.decode(document, "f")
