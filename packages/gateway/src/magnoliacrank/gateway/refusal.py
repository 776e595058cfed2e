"""Builds the HTTP answers for refused and failed requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from magnoliacrank.gateway import framing
from magnoliacrank.model import headers
from magnoliacrank.model import verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

_STATUS: Mapping[verdict.Reason, int] = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.UNKNOWN_CUSTOMER: 403,
    verdict.Reason.UNKNOWN_ROUTE: 404,
    verdict.Reason.KEY_REQUIRED: 400,
    verdict.Reason.KEY_MISMATCH: 422,
    verdict.Reason.KEY_EXPIRED: 410,
    verdict.Reason.KEY_IN_PROGRESS: 409,
    verdict.Reason.TICKET_INVALID: 400,
    verdict.Reason.OWNER_UNREACHABLE: 503,
    verdict.Reason.OWNER_LOST: 502,
    verdict.Reason.CLAIM_UNAVAILABLE: 503,
    verdict.Reason.ALLOWANCE_EXCEEDED: 429,
    verdict.Reason.OVERLOADED: 503,
    verdict.Reason.DEADLINE_EXPIRED: 504,
    verdict.Reason.NO_SERVER: 503,
    verdict.Reason.CRASH_SUSPECT: 422,
    verdict.Reason.SERVER_REFUSED: 503,
    verdict.Reason.CONNECT_FAILED: 502,
    verdict.Reason.CONNECTION_LOST: 502,
    verdict.Reason.ANSWER_TRUNCATED: 502,
    verdict.Reason.ANSWER_MALFORMED: 502,
    verdict.Reason.CALLER_GONE: 400,
    verdict.Reason.NOT_READY: 503,
    verdict.Reason.SHUTTING_DOWN: 503,
}

_MESSAGES: Mapping[verdict.Reason, str] = {
    verdict.Reason.BAD_REQUEST: "the request is not valid",
    verdict.Reason.UNKNOWN_SERVICE: "no plan names this service",
    verdict.Reason.UNKNOWN_CUSTOMER: "this customer has no such service",
    verdict.Reason.UNKNOWN_ROUTE: "no route of the service matches",
    verdict.Reason.KEY_REQUIRED: "this route needs an Idempotency-Key header",
    verdict.Reason.KEY_MISMATCH: "the key was used with another request",
    verdict.Reason.KEY_EXPIRED: "the key is older than the retry horizon",
    verdict.Reason.KEY_IN_PROGRESS: "the first request is still running",
    verdict.Reason.TICKET_INVALID: "the ticket is not valid; ask for another",
    verdict.Reason.OWNER_UNREACHABLE: "the owner of the key does not answer",
    verdict.Reason.OWNER_LOST: "the owner of the key is gone",
    verdict.Reason.CLAIM_UNAVAILABLE: "the key cannot be claimed at present",
    verdict.Reason.ALLOWANCE_EXCEEDED: "the customer's allowance is used up",
    verdict.Reason.OVERLOADED: "the service has no room at present",
    verdict.Reason.DEADLINE_EXPIRED: "the deadline passed",
    verdict.Reason.NO_SERVER: "no backend server can take the request",
    verdict.Reason.CRASH_SUSPECT: "backend servers died running this request",
    verdict.Reason.SERVER_REFUSED: "the backend server refused the request",
    verdict.Reason.CONNECT_FAILED: "no connection to a backend server",
    verdict.Reason.CONNECTION_LOST: "the backend server's connection was lost",
    verdict.Reason.ANSWER_TRUNCATED: "the backend server's answer was cut",
    verdict.Reason.ANSWER_MALFORMED: "the backend server's answer is not valid",
    verdict.Reason.CALLER_GONE: "the caller closed its connection",
    verdict.Reason.NOT_READY: "this instance has no configuration yet",
    verdict.Reason.SHUTTING_DOWN: "this instance is leaving",
}

_RETRY_AFTER_S = "1"
_RETRYABLE_STATUSES = frozenset({429, 503})


@attrs.frozen
class Refusal:
    """HTTP answer for a request that was refused or failed."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[str, str], ...]
    """Names and values of the headers, without those for the framing."""

    body: bytes
    """JSON document with verdict, reason and message."""


def build_refusal(value: verdict.Verdict) -> Refusal:
    """Returns the answer for a verdict other than done.

    Args:
        value: The verdict.
    """
    status = _STATUS[value.reason]
    document = {
        "verdict": value.outcome.value,
        "reason": value.reason.value,
        "message": _MESSAGES[value.reason],
    }
    body = msgspec.json.encode(document)
    fields = [
        ("Content-Type", "application/json"),
        (headers.VERDICT, value.outcome.value),
        (headers.REASON, value.reason.value),
    ]
    if status in _RETRYABLE_STATUSES:
        fields.append(("Retry-After", _RETRY_AFTER_S))
    return Refusal(status=status, headers=tuple(fields), body=body)


def closing_answer(status: int, value: verdict.Verdict) -> bytes:
    """Returns the bytes of an answer after which the connection is closed.

    Args:
        status: HTTP status code; it may be more specific than the one that
            belongs to the verdict.
        value: Verdict on the request, other than done.
    """
    refused = build_refusal(value)
    fields = [
        *refused.headers,
        ("Content-Length", str(len(refused.body))),
        ("Connection", "close"),
    ]
    head = framing.encode_head(framing.status_line(status), fields)
    return head + b"\r\n" + refused.body
