"""RequestTrace: the spans of one request, one per hop, for log lines."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


class Hop(enum.Enum):
    """Step in the handling of a request that a span measures."""

    READ = "read"
    """Reading the request's body from the caller."""

    PLACE = "place"
    """Finding a backend server, including the time in the queue."""

    DISPATCH = "dispatch"
    """Exchange with one backend server, until its answer is complete."""


@attrs.frozen
class ChosenServer:
    """State of a backend server at the time a request was sent to it."""

    server_id: str
    """Id of the server."""

    slowdown: float
    """Execution time that the server last reported, relative to its usual
    one; 1.0 is the usual speed."""

    busy: int
    """Estimated requests in execution: as reported, plus those sent since by
    this instance, this request included."""

    duration_ratio: float
    """Smoothed ratio of measured to expected execution time on the server."""

    report_age_s: float
    """Seconds since the newest load report arrived."""


@attrs.define
class Span:
    """Time that a request spent on one hop."""

    hop: Hop
    """Step that the span measures."""

    start_s: float
    """Seconds from the request's arrival to the start of the span."""

    choice: ChosenServer | None = None
    """State of the chosen backend server; only for `Hop.DISPATCH`."""

    duration_s: float | None = None
    """Length in seconds; None while the hop has not ended."""

    outcome: str = ""
    """Short code of how the hop ended, such as `found` or `status-200`."""

    @property
    def fields(self) -> dict[str, Any]:
        """Fields of the span in a log line."""
        shown: dict[str, Any] = {
            "hop": self.hop.value,
            "start_s": round(self.start_s, 4),
        }
        choice = self.choice
        if choice is not None:
            shown |= {
                "server": choice.server_id,
                "slowdown": choice.slowdown,
                "busy": choice.busy,
                "pace": round(choice.duration_ratio, 2),
                "report_age_s": round(choice.report_age_s, 4),
            }
        if self.duration_s is not None:
            shown["duration_s"] = round(self.duration_s, 4)
            shown["outcome"] = self.outcome
        return shown


class RequestTrace:
    """Spans of one request in the order of their start.

    The request id serves as trace id: callers send it and each hop passes it
    on, so log lines of all hops can be joined.

    Args:
        arrived_s: Clock time in seconds at which the request arrived.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, arrived_s: float, clock: Callable[[], float]) -> None:
        self._arrived_s = arrived_s
        self._clock = clock
        self._spans: list[Span] = []

    @property
    def arrived_s(self) -> float:
        """Clock time in seconds at which the request arrived."""
        return self._arrived_s

    @property
    def fields(self) -> list[dict[str, Any]]:
        """Fields of all spans in a log line, in the order of their start."""
        return [span.fields for span in self._spans]

    def begin(self, hop: Hop, choice: ChosenServer | None = None) -> Span:
        """Starts a span.

        Args:
            hop: Step that the span measures.
            choice: State of the chosen server; only for `Hop.DISPATCH`.

        Returns:
            The span, to be passed to `end`.
        """
        span = Span(hop, self._clock() - self._arrived_s, choice)
        self._spans.append(span)
        return span

    def end(self, span: Span, outcome: str) -> None:
        """Ends a span.

        Args:
            span: The span, as returned by `begin`.
            outcome: Short code of how the hop ended.
        """
        span.duration_s = self._clock() - self._arrived_s - span.start_s
        span.outcome = outcome
