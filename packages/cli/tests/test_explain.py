"""Tests of the `explain` and `check-settings` commands."""

import argparse

import pytest

from magnoliacrank.cli import check_settings
from magnoliacrank.cli import explain

LINES = [
    '{"time": "2", "instance": "b", "event": "request refused", '
    '"request_id": "r1", "status": 503, "reason": "overloaded"}',
    '  0.5 front-1 {"time": "1", "instance": "a", "event": "dispatch failed",'
    ' "request_id": "r1", "verdict": "not-run"}',
    '{"time": "1", "instance": "a", "event": "x", "request_id": "r2"}',
    '{"instance": "a", "event": "log lines left out", "total": 7}',
    "not a log line",
    "{broken",
    "",
]


def test_history_is_in_order_across_instances():
    history = explain.read_history(LINES, "r1")
    events = [line["event"] for line in history.lines]
    assert events == ["dispatch failed", "request refused"]
    text = "\n".join(explain.format_history(history))
    assert "reason=overloaded" in text
    assert "a left out 7 lines" in text
    assert "unreadable lines: 2" in text


def test_history_shows_a_line_for_each_span():
    line = (
        '{"time": "1", "event": "request refused", "request_id": "r1", '
        '"spans": [{"hop": "place", "start_s": 0.1, "outcome": "found"}, '
        '{"hop": "dispatch", "start_s": 0.2, "server": "i-1"}, 7]}'
    )
    shown = explain.format_history(explain.read_history([line], "r1"))
    assert shown[1:] == [
        "    hop=place start_s=0.1 outcome=found",
        "    hop=dispatch start_s=0.2 server=i-1",
    ]
    assert "spans" not in shown[0]


def test_history_tells_what_decided_on_a_refusal():
    line = (
        '{"time": "1", "event": "request refused", "request_id": "r1", '
        '"service": "desk", "priority": 0, "customer": "acme", "decided_by": '
        '"wait-too-long", "ahead": 12, "wait_s": 0.4, "left_s": 0.08}'
    )
    shown = explain.format_history(explain.read_history([line], "r1"))
    assert "decided_by=wait-too-long" in shown[0]
    assert shown[1] == (
        "    wait-too-long: 12 requests of desk go before priority 0 of "
        "customer acme; they take 0.4 s, and it has 0.08 s to wait"
    )


def test_history_of_unknown_request_says_what_may_be_missing():
    history = explain.read_history(LINES, "r9")
    text = "\n".join(explain.format_history(history))
    assert "no line names this request" in text
    assert "one in 64" in text


@pytest.mark.parametrize(
    ("content", "code"), [("node: 1\n", 2), ("[", 2), (None, 2)]
)
def test_invalid_settings_print_one_line_and_exit_with_2(
    tmp_path, capsys, content, code
):
    path = tmp_path / "node.yaml"
    if content is not None:
        path.write_text(content)
    arguments = argparse.Namespace(file=str(path))
    assert check_settings.run(arguments) == code
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert str(path) in error
