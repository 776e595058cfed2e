"""HTTP header names and paths used with callers and backend servers.

Each header's docstring begins with the messages that carry it.
"""

from __future__ import annotations

CUSTOMER = "Magnoliacrank-Customer"
"""Request: name of the customer."""

SERVICE = "Magnoliacrank-Service"
"""Request: name of the service; takes precedence over the Host header."""

KEY = "Idempotency-Key"
"""Request: idempotency key."""

TICKET = "Magnoliacrank-Ticket"
"""Request: ticket under which the caller made the idempotency key.

A ticket names the entry instance that dispatches the requests whose keys were
made under it.
"""

DEADLINE_MS = "Magnoliacrank-Deadline-Ms"
"""Request: milliseconds until the deadline; also sent to backend servers."""

RETRY = "Magnoliacrank-Retry"
"""Request: "no" forbids retries by the receiver and the levels below it.

Deferrable requests are retried nevertheless.
"""

FORWARDED_BY = "Magnoliacrank-Forwarded-By"
"""Request between entry instances: name of the instance that forwarded it.

A request is forwarded at most once.
"""

DELEGATED = "Magnoliacrank-Delegated"
"""Request between entry instances: asks the receiver to dispatch the request.

The sender is the instance that owns the request's idempotency key.
"""

VERDICT = "Magnoliacrank-Verdict"
"""Response: outcome of the request: done, not-run or may-have-run."""

REASON = "Magnoliacrank-Reason"
"""Response: reason of the outcome."""

NOT_RUN = "Magnoliacrank-Not-Run"
"""Response of a backend server: "1" if a refused request did not run."""

LOAD = "Magnoliacrank-Load"
"""Response of a backend server: its load.

For example in_flight=2;queued=0;incarnation=7;limit=4.
"""

TRACE_PARENT = "traceparent"
"""Request: W3C trace context."""

ENTRIES_PATH = "/v1/entries"
"""Path that returns to callers the entry instances to use for a service."""

STATUS_PATH = "/v1/status"
"""Path that returns to operators the state of this entry instance."""

NOTICES_PATH = "/v1/notices"
"""Path that returns to operators the notices from a log offset on.

A notice is a message for operators, such as that a move has ended.
"""

HEALTH_PATH = "/healthz"
"""Path that returns status 200 while the process runs."""

READY_PATH = "/readyz"
"""Path that returns status 200 while the instance is ready to serve."""

METRICS_PATH = "/metrics"
"""Path that returns metrics in the Prometheus text format."""
