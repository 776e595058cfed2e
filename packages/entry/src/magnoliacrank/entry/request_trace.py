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


@attrs.define
class Span:
    """Time that a request spent on one hop."""

    hop: Hop
    """What it was spent on."""

    start_s: float
    """Seconds from the request's arrival to the start of the span."""

    duration_s: float | None = None
    """Length in seconds; None for a hop that has not ended."""

    server: str = ""
    """Identity of the backend server, for a dispatch."""

    outcome: str = ""
    """How the hop ended."""

    @property
    def fields(self) -> dict[str, Any]:
        """What a log line shows of it."""
        shown = {
            "hop": self.hop.value,
            "start_s": round(self.start_s, 4),
            "duration_s": _rounded(self.duration_s),
            "server": self.server,
            "outcome": self.outcome,
        }
        return {
            name: value
            for name, value in shown.items()
            if value not in ("", None)
        }


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

    def begin(self, hop: Hop, server: str = "") -> Span:
        """Starts a span.

        Args:
            hop: What the time is spent on.
            server: Identity of the backend server, for a dispatch.
        """
        span = Span(hop, self._clock() - self._arrived_s, server=server)
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


def _rounded(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 4)
