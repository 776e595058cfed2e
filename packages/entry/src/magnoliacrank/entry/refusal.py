"""Error answers that an instance generates itself, and what they stand for."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

from magnoliacrank.entry import dispatch as dispatches
from magnoliacrank.gateway import body as bodies

if TYPE_CHECKING:
    from magnoliacrank.entry import job as jobs
    from magnoliacrank.entry import request_carrier

Verdict = dispatches.Verdict

UNAUTHORIZED = 401
"""Status of a request whose API key is missing or unknown."""

UNAVAILABLE_RETRY_AFTER_S = 0.5
"""Retry delay stated to callers while the configuration is not known or the
memory for bodies or answers is used up."""


_LEAVING_RETRY_AFTER_S = 0.0
"""Retry delay stated while this instance stops: another one can take the
request at once."""


@attrs.frozen
class Refusal:
    """An error answer that this instance generates itself."""

    status: int
    """HTTP status."""

    reason: str
    """Short code of the cause, for log lines, metrics and the caller."""

    retry_after_s: float | None = None
    """Seconds after which the caller may retry; None states nothing."""

    fields: dict[str, Any] = attrs.field(factory=dict)
    """Further fields of its log line."""


LEAVING = Refusal(
    bodies.LEAVING.status, bodies.LEAVING.kind.value, _LEAVING_RETRY_AFTER_S
)
"""Refusal of a request that couldn't be finished before this instance stops."""


def of_body(
    body: bytes | bodies.BodyTooLarge | bodies.BodyFailure,
) -> Refusal | None:
    """Returns the refusal of a body that couldn't be read, else None."""
    if isinstance(body, bodies.BodyTooLarge):
        return Refusal(413, "body-too-large")
    if isinstance(body, bodies.BodyFailure):
        if body is bodies.NO_MEMORY:
            return Refusal(
                body.status, body.kind.value, UNAVAILABLE_RETRY_AFTER_S
            )
        if body is bodies.LEAVING:
            return LEAVING
        return Refusal(body.status, body.kind.value)
    return None


def of_result(
    result: request_carrier.RequestResult,
    job: jobs.Job,
    now_s: float,
    *,
    is_denied: bool,
) -> Refusal:
    """Returns the refusal of a request that no server answered.

    Args:
        result: Final outcome of the request.
        job: The request.
        now_s: Clock time in seconds.
        is_denied: Whether the caller lost its access while it waited.
    """
    shown = _decision_fields(result, job)
    if result.verdict is Verdict.NOT_RUN:
        if is_denied:
            return Refusal(UNAUTHORIZED, result.reason)
        return Refusal(503, result.reason, result.retry_after_s, shown)
    # The request may have run, so the status must not promise that it didn't.
    status = 504 if now_s >= job.deadline_s else 502
    return Refusal(status, result.reason, fields=shown)


def _decision_fields(
    result: request_carrier.RequestResult, job: jobs.Job
) -> dict[str, Any]:
    """Returns what decided on a request, as fields of its log line."""
    shown: dict[str, Any] = {
        "service": job.service,
        "priority": job.priority,
        "customer": job.customer,
    }
    decision = result.decision
    if decision is None:
        return shown | {"decided_by": result.end or result.reason}
    return shown | {
        "decided_by": decision.cause_code,
        "ahead": decision.ahead,
        "wait_s": round(decision.wait_s, 4),
        "left_s": round(decision.left_s, 4),
    }
