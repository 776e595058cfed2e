"""ExecutionJournal: what a service's backend servers really ran."""

from __future__ import annotations

import collections
import enum

import attrs


class ExecutionState(enum.Enum):
    """How far one execution came."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@attrs.define(eq=False)
class Execution:
    """One execution of a request by a backend server."""

    server_id: str
    """The backend server."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    key: str | None
    """Idempotency key, if the request had one."""

    started_s: float
    """Monotonic time in seconds at which it began."""

    state: ExecutionState = ExecutionState.RUNNING
    """How far it came."""


class ExecutionJournal:
    """Records executions; servers of one service share a journal."""

    def __init__(self) -> None:
        self._executions: list[Execution] = []

    @property
    def executions(self) -> tuple[Execution, ...]:
        """All executions in the order of their start."""
        return tuple(self._executions)

    def begin(self, execution: Execution) -> None:
        """Records the start of an execution."""
        self._executions.append(execution)

    def of_server(self, server_id: str) -> tuple[Execution, ...]:
        """Returns the executions by one backend server."""
        return tuple(
            item for item in self._executions if item.server_id == server_id
        )

    def runs_by_key(self) -> dict[str, int]:
        """Returns how often the request of each key was run."""
        return dict(
            collections.Counter(
                item.key for item in self._executions if item.key is not None
            )
        )

    def doubled_keys(self) -> tuple[str, ...]:
        """Returns the keys whose requests were run more than once."""
        return tuple(
            key for key, runs in self.runs_by_key().items() if runs > 1
        )
