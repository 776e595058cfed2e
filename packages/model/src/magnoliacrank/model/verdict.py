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
    """Why a request ended with its outcome; the value is the wire form."""

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
    """Outcome of one request with its reason."""

    outcome: Outcome
    """What is known about the execution."""

    reason: Reason
    """Why the request ended so."""

    @property
    def is_done(self) -> bool:
        """Whether the request ran and its whole answer is known."""
        return self.outcome is Outcome.DONE

    @property
    def may_have_run(self) -> bool:
        """Whether a second dispatch could run the request twice."""
        return self.outcome is not Outcome.NOT_RUN


DONE = Verdict(Outcome.DONE, Reason.ANSWERED)
"""The usual outcome: a whole answer arrived."""


def not_run(reason: Reason) -> Verdict:
    """Returns the verdict that the request certainly did not run."""
    return Verdict(Outcome.NOT_RUN, reason)


def may_have_run(reason: Reason) -> Verdict:
    """Returns the verdict that the request may have run."""
    return Verdict(Outcome.MAY_HAVE_RUN, reason)
