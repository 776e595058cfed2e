"""Names of the things that the system speaks about, as distinct types."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Names one entry instance; it survives a restart, the incarnation does not."""

DataCentre = NewType("DataCentre", str)
"""Names one data centre."""

CustomerId = NewType("CustomerId", str)
"""Names one customer."""

ServiceName = NewType("ServiceName", str)
"""Names one service; unique over all customers."""

ServerId = NewType("ServerId", str)
"""Names one backend server."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Names the software version that a backend server runs."""

RequestKey = NewType("RequestKey", str)
"""The idempotency key of one request, scoped by customer and service."""

LogOffset = NewType("LogOffset", int)
"""Position of a record in the platform's log; the first record is at 0."""

Incarnation = NewType("Incarnation", int)
"""Tells the lives of one instance apart; larger is later."""
