"""Verdict: whether a request ran, did not run, or may have run, and why."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.Enum):
    """What is known about the execution of one request."""

    DONE = "done"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.Enum):
    """Why a request ended with its outcome; the values are sent to callers."""

    ANSWERED = "answered"
    REPEATED = "repeated"

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CUSTOMER = "unknown-customer"
    UNKNOWN_ROUTE = "unknown-route"
    KEY_REQUIRED = "key-required"
    KEY_MISMATCH = "key-mismatch"
    KEY_EXPIRED = "key-expired"
    KEY_IN_PROGRESS = "key-in-progress"
    TICKET_INVALID = "ticket-invalid"
    OWNER_UNREACHABLE = "owner-unreachable"
    OWNER_LOST = "owner-lost"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    ALLOWANCE_EXCEEDED = "allowance-exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_EXPIRED = "deadline-expired"
    NO_SERVER = "no-server"
    CRASH_SUSPECT = "crash-suspect"
    SERVER_REFUSED = "server-refused"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MALFORMED = "answer-malformed"
    CALLER_GONE = "caller-gone"
    NOT_READY = "not-ready"
    SHUTTING_DOWN = "shutting-down"


@attrs.frozen
class Verdict:
    """Outcome of one request and the reason for it."""

    outcome: Outcome
    """What is known about the execution."""

    reason: Reason
    """Why the request had this outcome."""

    @property
    def is_done(self) -> bool:
        """Whether the request ran and its complete response is known."""
        return self.outcome is Outcome.DONE

    @property
    def may_have_run(self) -> bool:
        """Whether a second dispatch could run the request twice."""
        return self.outcome is not Outcome.NOT_RUN


DONE = Verdict(Outcome.DONE, Reason.ANSWERED)
"""Verdict of a request whose complete response arrived."""


def not_run(reason: Reason) -> Verdict:
    """Returns the verdict for a request that certainly did not run."""
    return Verdict(Outcome.NOT_RUN, reason)


def may_have_run(reason: Reason) -> Verdict:
    """Returns the verdict for a request that may have run."""
    return Verdict(Outcome.MAY_HAVE_RUN, reason)
