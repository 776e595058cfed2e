"""Tests of validating and reading the lists of plans and allowances."""

from __future__ import annotations

import pathlib

import pytest

from magnoliacrank.cli import list_reader
from magnoliacrank.model import ids
from magnoliacrank.model import request

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_PLANS = (_EXAMPLES / "plans.yaml").read_text(encoding="utf-8")
_ALLOWANCES = (_EXAMPLES / "allowances.yaml").read_text(encoding="utf-8")


def _read(plans=_PLANS, allowances=_ALLOWANCES):
    return list_reader.read_lists("p.yaml", plans, "a.yaml", allowances)


def test_read_lists_returns_typed_configuration():
    lists = _read()
    plan, service = lists.find_service(ids.ServiceName("rounds"))
    assert plan.customer == "cirelis"
    assert service.routes[1].request_class is request.RequestClass.AT_MOST_ONCE
    assert lists.find_allowance(plan.customer).concurrency == 200


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("deadline_ms: 1000", "deadline_ms: soon", "deadline_ms"),
        ("deadline_ms: 1000", "deadline_s: 1", "deadline_s"),
        ("class: idempotent", "class: maybe", "class"),
        ("vannes: in", "vannes: away", "data_centres.vannes"),
        ("brest, vannes]", "brest, quimper]", "data_centres[2]"),
        ("vannes: in", "rennes: out", "data_centres.rennes"),
        (
            'version: "1.0"',
            'version: "1.0"\n        move_deadline: 2026-13-01T00:00Z',
            "move_deadline",
        ),
        ("customer: cirelis", "customer: other", "customer"),
        ("plans:", "plans: [", ""),
    ],
)
def test_read_lists_names_line_and_field_of_error(old, new, field):
    plans = _PLANS.replace(old, new, 1)
    result = _read(plans=plans)
    assert isinstance(result, list_reader.InvalidLists)
    errors = [error for error in result.errors if field in error.field]
    wanted = plans.splitlines()[errors[0].line - 1]
    assert field.split("[")[0].split(".")[-1] in wanted


def test_read_lists_reports_errors_of_both_lists_at_once():
    result = _read(
        plans=_PLANS.replace("class: idempotent", "class: maybe"),
        allowances=_ALLOWANCES.replace("concurrency: 200", "concurrency: 0"),
    )
    assert [error.file for error in result.errors] == ["p.yaml", "a.yaml"]
