"""Answers that the front side gives before a request reaches a handler."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

import msgspec

from magnoliacrank.gateway import framing
from magnoliacrank.model import headers as header_names
from magnoliacrank.model import verdict as verdicts

if TYPE_CHECKING:
    from collections.abc import Mapping

_STATUS_LINES: Mapping[int, str] = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}"
    for status in http.HTTPStatus
}


def status_line(status: int) -> str:
    """Returns the status line of an answer without its line end."""
    return _STATUS_LINES.get(status) or f"HTTP/1.1 {status} Status"


def verdict_headers(verdict: verdicts.Verdict) -> list[tuple[str, str]]:
    """Returns the headers that tell a caller the verdict."""
    return [
        (header_names.VERDICT, verdict.outcome.value),
        (header_names.REASON, verdict.reason.value),
    ]


def verdict_body(verdict: verdicts.Verdict) -> bytes:
    """Returns the JSON body that tells a caller the verdict."""
    return msgspec.json.encode(
        {"verdict": verdict.outcome.value, "reason": verdict.reason.value}
    )


def closing_answer(status: int, verdict: verdicts.Verdict) -> bytes:
    """Returns a whole answer after which the connection closes.

    Args:
        status: HTTP status.
        verdict: What is known about the request.
    """
    body = verdict_body(verdict)
    headers = [
        *verdict_headers(verdict),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    head = framing.head_bytes(status_line(status), headers)
    return head + b"\r\n" + body
