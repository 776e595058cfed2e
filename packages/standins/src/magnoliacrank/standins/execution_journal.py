"""ExecutionJournal: requests that the backend servers of a service ran."""

from __future__ import annotations

import collections
import enum

import attrs


class ExecutionState(enum.Enum):
    """State of one execution of a request."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@attrs.define(eq=False)
class Execution:
    """One execution of a request by a backend server."""

    server_id: str
    """Backend server that runs the request."""

    method: str
    """HTTP method."""

    target: str
    """Path and query of the request."""

    key: str | None
    """Idempotency key of the request, or None."""

    started_s: float
    """Value of `time.monotonic` when the execution began."""

    state: ExecutionState = ExecutionState.RUNNING
    """Whether the execution is running, or how it ended."""


class ExecutionJournal:
    """Records executions; all servers of a service can share one journal.

    Tests compare it with what callers saw, for instance to find requests that
    ran twice.
    """

    def __init__(self) -> None:
        self._executions: list[Execution] = []

    @property
    def executions(self) -> tuple[Execution, ...]:
        """All executions, in the order in which they began."""
        return tuple(self._executions)

    def begin(self, execution: Execution) -> None:
        """Records the start of an execution."""
        self._executions.append(execution)

    def executions_on_server(self, server_id: str) -> tuple[Execution, ...]:
        """Returns the executions by one backend server."""
        return tuple(
            item for item in self._executions if item.server_id == server_id
        )

    def runs_by_key(self) -> dict[str, int]:
        """Returns the number of executions for each idempotency key."""
        return dict(
            collections.Counter(
                item.key for item in self._executions if item.key is not None
            )
        )

    def duplicate_keys(self) -> tuple[str, ...]:
        """Returns the idempotency keys with more than one execution."""
        return tuple(
            key for key, runs in self.runs_by_key().items() if runs > 1
        )
