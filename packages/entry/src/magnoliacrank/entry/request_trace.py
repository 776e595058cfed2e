"""RequestTrace: the spans of one request, one for each hop of its way."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


class Hop(enum.Enum):
    """What a span of time was spent on."""

    READ = "read"
    """Reading the request from its caller."""

    PLACE = "place"
    """Finding a backend server, waiting included."""

    DISPATCH = "dispatch"
    """One backend server, from sending to the end of its answer."""


@attrs.frozen
class Choice:
    """What was known of a backend server when a request was sent to it."""

    server_id: str
    """Identity of the server."""

    slowdown: float
    """How long work takes there, as it reported; 1.0 is as usual."""

    busy: int
    """Requests that it was running, as far as is known."""

    pace: float
    """Duration of its work against what it promises."""

    report_age_s: float
    """Seconds since it reported its load."""


@attrs.define
class Span:
    """Time that a request spent on one hop."""

    hop: Hop
    """What it was spent on."""

    start_s: float
    """Seconds from the request's arrival to the start of the span."""

    choice: Choice | None = None
    """The backend server, for a dispatch."""

    duration_s: float | None = None
    """Length in seconds; None for a hop that has not ended."""

    outcome: str = ""
    """How the hop ended."""

    @property
    def fields(self) -> dict[str, Any]:
        """What a log line shows of it."""
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
                "pace": round(choice.pace, 2),
                "report_age_s": round(choice.report_age_s, 4),
            }
        if self.duration_s is not None:
            shown["duration_s"] = round(self.duration_s, 4)
            shown["outcome"] = self.outcome
        return shown


class RequestTrace:
    """Spans in the order of their start.

    The request's identity is the identity of the trace: callers send it and
    each hop passes it on, so lines of all hops can be joined.

    Args:
        arrived_s: Clock time at which the request arrived.
        clock: Seconds.
    """

    def __init__(self, arrived_s: float, clock: Callable[[], float]) -> None:
        self._arrived_s = arrived_s
        self._clock = clock
        self._spans: list[Span] = []

    @property
    def arrived_s(self) -> float:
        """Clock time at which the request arrived."""
        return self._arrived_s

    @property
    def fields(self) -> list[dict[str, Any]]:
        """What a log line shows of the spans."""
        return [span.fields for span in self._spans]

    def begin(self, hop: Hop, choice: Choice | None = None) -> Span:
        """Starts a span.

        Args:
            hop: What the time is spent on.
            choice: The backend server, for a dispatch.
        """
        span = Span(hop, self._clock() - self._arrived_s, choice)
        self._spans.append(span)
        return span

    def end(self, span: Span, outcome: str) -> None:
        """Ends a span.

        Args:
            span: The span.
            outcome: How the hop ended.
        """
        span.duration_s = self._clock() - self._arrived_s - span.start_s
        span.outcome = outcome
