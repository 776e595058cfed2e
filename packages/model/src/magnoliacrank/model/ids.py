"""Identifiers of the domain, each with a type of its own."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of an entry instance; unlike the incarnation, it survives a restart."""

DataCentre = NewType("DataCentre", str)
"""Name of a data centre."""

CustomerId = NewType("CustomerId", str)
"""Name of a customer."""

ServiceName = NewType("ServiceName", str)
"""Name of a service; unique over all customers."""

ServerId = NewType("ServerId", str)
"""Name of a backend server."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Name of a software version that backend servers run."""

RequestKey = NewType("RequestKey", str)
"""Idempotency key of a request, scoped by customer and service."""

LogOffset = NewType("LogOffset", int)
"""Position of a record in the platform's log; the first record is at 0."""

Incarnation = NewType("Incarnation", int)
"""Number of one run of an entry instance; each restart has a larger one."""
