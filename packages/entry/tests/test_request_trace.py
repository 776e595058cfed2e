"""Tests of the spans of a request in log lines."""

import asyncio

import pytest

from magnoliacrank.standins import platform_backend


async def test_refused_request_logs_a_span_for_each_hop(site):
    backend = await site.add_backend("s1")
    backend.fault = platform_backend.BackendFault.LOSE
    await site.add_instance()
    await site.ready()
    status, _, _ = await site.request("/write/1", "POST", data=b"x")
    assert status == 502
    (line,) = [
        fields
        for name, fields in site.logs[0].lines
        if name == "request refused"
    ]
    spans = line["spans"]
    assert [span["hop"] for span in spans] == ["read", "place", "dispatch"]
    assert spans[2]["server"] == "s1"
    assert spans[2]["outcome"] == "connection-lost"
    starts = [span["start_s"] for span in spans]
    assert starts == sorted(starts)
    whole_s = sum(span["duration_s"] for span in spans)
    assert whole_s <= line["duration_s"] + 0.01


async def test_hedged_request_ends_the_span_of_the_slower_server(site):
    slow = await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    slow.work_s = 3600.0
    answer = asyncio.ensure_future(site.request(request_id="r1"))
    await site.until(lambda: slow.runs)
    await site.add_backend("s2")
    status, _, body = await answer
    assert (status, body) == (200, b"s2")
    (line,) = [
        fields
        for name, fields in site.logs[0].lines
        if name in ("request answered", "answer late")
    ]
    sent = [span for span in line["spans"] if span["hop"] == "dispatch"]
    assert [span["server"] for span in sent] == ["s1", "s2"]
    outcomes = [span["outcome"] for span in sent]
    assert outcomes == ["cancelled", "status-200"]


@pytest.mark.parametrize(
    ("work_s", "event"), [(0.005, "request answered"), (0.5, "answer late")]
)
async def test_answer_beyond_its_objective_is_logged_as_late(
    site, work_s, event
):
    backend = await site.add_backend("s1")
    await site.add_instance()
    await site.ready()
    backend.work_s = work_s
    status, _, _ = await site.request("/write/1", "POST", data=b"x")
    assert status == 200
    (line,) = [fields for name, fields in site.logs[0].lines if name == event]
    (sent,) = [span for span in line["spans"] if span["hop"] == "dispatch"]
    assert sent["slowdown"] == 1.0
    assert 0.0 <= sent["report_age_s"] < 0.2
