"""Tests of the `check-config` command."""

import copy
import json

import pytest

from magnoliacrank.cli import check_config
from magnoliacrank.cli import main

SECRET = "rjvz48wuakn2ftimaj3n"
ROUTE = {
    "name": "r1",
    "path-prefix": "/a/",
    "kind": "unsafe",
    "timeout": "1000ms",
    "target-latency": "400ms",
    "priority": 1,
    "service": "s",
    "max-attempts": 2,
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
    "tenants": [{"name": "huka", "api-keys": [SECRET], "priority": 1}],
    "virtual-hosts": [{"host": "site.example", "paths": [ROUTE]}],
}
HOST = ("virtual-hosts", 0)
SPLIT = [{"service": "s", "weight": 1}, {"service": "s2", "weight": 0}]


def _changed(place, value):
    document = copy.deepcopy(CONFIG)
    at = document
    for step in place[:-1]:
        at = at[step]
    at[place[-1]] = value
    return document


def _run(tmp_path, capsys, document, *flags, before=None):
    path = tmp_path / "config.json"
    path.write_text(
        document if isinstance(document, str) else json.dumps(document)
    )
    words = ["check-config", str(path), "--json", *flags]
    if before is not None:
        in_force = tmp_path / "in-force.json"
        in_force.write_text(json.dumps(before))
        words += ["--in-force", str(in_force)]
    with pytest.raises(SystemExit) as ended:
        main.main(words)
    text = capsys.readouterr().out
    assert SECRET not in text
    return ended.value.code, json.loads(text)


@pytest.mark.parametrize("flags", [(), ("--memory-mb", "400")])
def test_valid_configuration_has_no_findings(tmp_path, capsys, flags):
    code, found = _run(tmp_path, capsys, CONFIG, *flags)
    assert code == check_config.EXIT_VALID
    assert found == {"findings": [], "changes": []}


@pytest.mark.parametrize(
    ("place", "value", "severity", "message"),
    [
        ((*HOST, "paths"), [ROUTE, ROUTE], "error", "listed 2 times"),
        (("services",), CONFIG["services"] * 2, "error", "listed 2 times"),
        (
            ("virtual-hosts",),
            CONFIG["virtual-hosts"] * 2,
            "error",
            "listed 2 times",
        ),
        ((*HOST, "paths", 0, "path-prefix"), "/a", "error", "never matches"),
        ((*HOST, "paths", 0, "path-prefix"), "a/", "error", "never matches"),
        ((*HOST, "host"), "site.example:80", "error", "never matches"),
        ((*HOST, "paths", 0, "service"), "t", "error", "unknown service"),
        ((*HOST, "paths", 0, "service"), "t", "warning", "no route leads"),
        ((*HOST, "paths", 0, "timeout"), "0ms", "error", "ends at once"),
        ((*HOST, "paths", 0, "kind"), "odd", "warning", "kind is unknown"),
        ((*HOST, "paths", 0, "timeout"), "399ms", "warning", "is below"),
        ((*HOST, "paths", 0, "traffic-split"), SPLIT, "warning", "weight 0"),
        (("services", 0, "max-connections"), 0, "error", "no connection"),
        (("limits", "max-header-bytes"), 0, "error", "refused"),
        (("tenants",), [], "warning", "none is listed"),
        (("tenants",), None, "warning", "counts as missing"),
        (("tenants", 0, "api-keys"), [], "warning", "holds no API key"),
        (("tenants", 0, "api-keys"), SECRET, "error", "not a list"),
        (("limits", "idle-timeout"), 5, "error", "idle-timeout"),
    ],
)
def test_finding_is_reported(tmp_path, capsys, place, value, severity, message):
    code, found = _run(tmp_path, capsys, _changed(place, value))
    assert any(
        finding["severity"] == severity and message in finding["message"]
        for finding in found["findings"]
    )
    severities = {finding["severity"] for finding in found["findings"]}
    assert code == (2 if "error" in severities else 1)


def test_body_limit_is_compared_with_the_smallest_instance(tmp_path, capsys):
    code, found = _run(tmp_path, capsys, CONFIG, "--memory-mb", "200")
    assert code == check_config.EXIT_WARNINGS
    assert "takes 40000000" in found["findings"][0]["message"]


@pytest.mark.parametrize("document", ["", "[]", f'["{SECRET}"]', "{"])
def test_unreadable_configuration_is_an_error(tmp_path, capsys, document):
    code, _ = _run(tmp_path, capsys, document)
    assert code == check_config.EXIT_ERRORS


def test_missing_file_is_an_error(tmp_path, capsys):
    with pytest.raises(SystemExit) as ended:
        main.main(["check-config", str(tmp_path / "none.json")])
    assert ended.value.code == check_config.EXIT_ERRORS
    assert "can't be read" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("place", "value", "change"),
    [
        (("tenants", 0, "priority"), 2, "customer huka: priority: 1 -> 2"),
        (
            ("tenants", 0, "api-keys"),
            ["a", "b"],
            "customer huka: 2 keys added, 1 removed",
        ),
        (("tenants", 0, "name"), "puhu", "customer huka: removed"),
        (("tenants", 0, "name"), "puhu", "customer puhu: added"),
        (
            (*HOST, "paths", 0, "timeout"),
            "2s",
            "route site.example/a/: timeout_s: 1.0 -> 2.0",
        ),
        (
            (*HOST, "paths", 0, "public"),
            True,
            "route site.example/a/: is_public: False -> True",
        ),
        ((*HOST, "host"), "new.example", "route new.example/a/: added"),
        (
            ("limits", "max-body-bytes"),
            1024,
            "limits: max_body_bytes: 67108864 -> 1024",
        ),
    ],
)
def test_changes_are_listed(tmp_path, capsys, place, value, change):
    document = {**_changed(place, value), "version": 8}
    code, found = _run(tmp_path, capsys, document, before=CONFIG)
    assert code == check_config.EXIT_VALID
    assert change in found["changes"]


@pytest.mark.parametrize(("version", "code"), [(6, 2), (7, 2), (8, 0)])
def test_version_has_to_grow(tmp_path, capsys, version, code):
    document = {**CONFIG, "version": version}
    found, _ = _run(tmp_path, capsys, document, before=CONFIG)
    assert found == code


def test_text_names_keys_required_from_now_on(tmp_path, capsys):
    before, after = tmp_path / "a", tmp_path / "b"
    document = {key: CONFIG[key] for key in CONFIG if key != "tenants"}
    before.write_text(json.dumps(document))
    after.write_text(json.dumps({**CONFIG, "version": 8}))
    with pytest.raises(SystemExit) as ended:
        main.main(["check-config", str(after), "--in-force", str(before)])
    assert ended.value.code == 0
    assert "API keys are required" in capsys.readouterr().out
