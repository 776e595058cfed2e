"""Converts answers and failures of exchanges to samples for the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliacrank.gateway import exchange_failure
from magnoliacrank.gateway import load_header
from magnoliacrank.policy import sample

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliacrank.gateway import answer

_SERVER_ERROR_STATUS = 500

_Kind = exchange_failure.FailureKind

_FAILURE_KINDS: Mapping[_Kind, sample.FailureKind] = {
    _Kind.POOL_EXHAUSTED: sample.FailureKind.CALLER_GONE,
    _Kind.POOL_CLOSED: sample.FailureKind.CALLER_GONE,
    _Kind.CONNECT_FAILED: sample.FailureKind.CONNECT_FAILED,
    _Kind.CONNECT_TIMEOUT: sample.FailureKind.CONNECT_FAILED,
    _Kind.CONNECTION_LOST: sample.FailureKind.RESET,
    _Kind.TIMEOUT: sample.FailureKind.TIMEOUT,
    _Kind.MALFORMED: sample.FailureKind.TRUNCATED,
    _Kind.TRUNCATED: sample.FailureKind.TRUNCATED,
    _Kind.BODY_FAILED: sample.FailureKind.CALLER_GONE,
}


def answer_sample(
    received: answer.Answer, latency_s: float
) -> sample.AnswerSample:
    """Returns the sample of an answer.

    Args:
        received: The answer.
        latency_s: Seconds from the dispatch of the request to the end of its
            answer.
    """
    is_error = received.status >= _SERVER_ERROR_STATUS
    return sample.AnswerSample(
        latency_s=latency_s,
        status=(
            sample.AnswerStatus.ERROR if is_error else sample.AnswerStatus.OK
        ),
        report=load_header.read_load(received.headers),
    )


def failure_sample(
    failure: exchange_failure.ExchangeFailure, latency_s: float
) -> sample.AnswerSample | sample.FailureKind:
    """Returns the sample or the failure kind that the router counts.

    A refusal is an answer by which the server sheds load, so it becomes an
    answer sample.

    Args:
        failure: The failed exchange.
        latency_s: Seconds from dispatch to the failure.
    """
    if failure.kind is _Kind.REFUSED:
        return sample.AnswerSample(
            latency_s=latency_s,
            status=sample.AnswerStatus.SHED,
            report=load_header.read_load(failure.headers),
        )
    return _FAILURE_KINDS[failure.kind]
