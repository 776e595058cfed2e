"""Names of the HTTP headers and paths that callers and servers see."""

from __future__ import annotations

CUSTOMER = "Magnoliacrank-Customer"
"""Request: the customer."""

SERVICE = "Magnoliacrank-Service"
"""Request: the service; it goes before the Host header."""

KEY = "Idempotency-Key"
"""Request: the idempotency key."""

TICKET = "Magnoliacrank-Ticket"
"""Request: the ticket under which the key was made."""

DEADLINE_MS = "Magnoliacrank-Deadline-Ms"
"""Request: milliseconds left; to backend servers too."""

RETRY = "Magnoliacrank-Retry"
"""Request: "no" forbids further retries below this level."""

FORWARDED_BY = "Magnoliacrank-Forwarded-By"
"""Request between entry instances: who forwarded it; one hop at most."""

DELEGATED = "Magnoliacrank-Delegated"
"""Request between entry instances: the key's owner asks for its dispatch."""

VERDICT = "Magnoliacrank-Verdict"
"""Answer: done, not-run or may-have-run."""

REASON = "Magnoliacrank-Reason"
"""Answer: the reason of the verdict."""

NOT_RUN = "Magnoliacrank-Not-Run"
"""Backend server's answer: "1" on a refusal that ran nothing."""

LOAD = "Magnoliacrank-Load"
"""Backend server's answer: in_flight=2;queued=0;incarnation=7;limit=4."""

TRACE_PARENT = "traceparent"
"""W3C trace context."""

ENTRIES_PATH = "/v1/entries"
"""Answers callers which entry instances to use."""

STATUS_PATH = "/v1/status"
"""Answers operators what is in force on this instance."""

NOTICES_PATH = "/v1/notices"
"""Answers operators the notices of moves from an offset on."""

HEALTH_PATH = "/healthz"
"""Answers 200 while the process runs."""

READY_PATH = "/readyz"
"""Answers 200 while the instance serves."""

METRICS_PATH = "/metrics"
"""Metrics in the Prometheus text format."""
