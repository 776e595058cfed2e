"""EventLog: structured log lines that never delay a request."""

from __future__ import annotations

import logging as stdlib_logging
from logging import handlers
import queue
import sys
from typing import TYPE_CHECKING
from typing import Any

from absl import logging
from pythonjsonlogger import json as jsonlogger
import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_QUEUED_LINES = 2000
"""Lines that wait for standard output; further ones are dropped."""

_MAX_REQUEST_LINES_PER_S = 100
"""Lines about single requests that are written in a second."""

_SAMPLE_INTERVAL = 64
"""One of so many ordinary successes is logged."""

_HASH_RANGE = 1 << 16


class _DroppingHandler(handlers.QueueHandler):
    """Puts lines into a bounded queue and counts those that find no room."""

    def __init__(self, lines: queue.Queue[Any]) -> None:
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: stdlib_logging.LogRecord) -> None:
        """Queues a line, or drops it."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class EventLog:
    """Writes JSON lines to standard output from a thread of its own.

    Args:
        node: Name of the instance; part of each line.
        data_centre: Its data centre; part of each line.
        clock: Seconds by which the rate of lines is bounded.
    """

    def __init__(
        self, node: str, data_centre: str, clock: Callable[[], float]
    ) -> None:
        self._common = {"instance": node, "data_centre": data_centre}
        self._clock = clock
        self._lines: queue.Queue[Any] = queue.Queue(_MAX_QUEUED_LINES)
        self._handler = _DroppingHandler(self._lines)
        self._listener: handlers.QueueListener | None = None
        self._second = 0
        self._written = 0
        self._suppressed = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return self._handler.dropped + self._suppressed

    def start(self) -> None:
        """Directs the log to standard output."""
        output = stdlib_logging.StreamHandler(sys.stdout)
        output.setFormatter(
            jsonlogger.JsonFormatter(
                ["levelname", "message"],
                rename_fields={"levelname": "level", "message": "event"},
                timestamp="time",
            )
        )
        logger = logging.get_absl_logger()
        for handler in list(stdlib_logging.root.handlers):
            stdlib_logging.root.removeHandler(handler)
        logger.handlers = [self._handler]
        logger.propagate = False
        logging.set_verbosity(logging.INFO)
        self._listener = handlers.QueueListener(self._lines, output)
        self._listener.start()

    def close(self) -> None:
        """Writes the lines that wait."""
        if self._listener is not None:
            self._listener.stop()
            self._listener = None

    def event(self, name: str, **fields: Any) -> None:
        """Writes a line about this instance or what it believes.

        Args:
            name: What happened.
            fields: Inputs and outcome.
        """
        logging.info(name, extra={**self._common, **fields})

    def warning(self, name: str, **fields: Any) -> None:
        """Writes a line about a fault.

        Args:
            name: What happened.
            fields: Inputs and outcome.
        """
        logging.warning(name, extra={**self._common, **fields})

    def request(self, name: str, request_id: str, **fields: Any) -> None:
        """Writes a line about one request, within the rate of such lines.

        Args:
            name: What was decided.
            request_id: Identity of the request.
            fields: Inputs and outcome.
        """
        second = int(self._clock())
        if second != self._second:
            self._report_suppressed()
            self._second = second
            self._written = 0
        if self._written >= _MAX_REQUEST_LINES_PER_S:
            self._suppressed += 1
            return
        self._written += 1
        self.event(name, request_id=request_id, **fields)

    def is_sampled(self, request_id: str) -> bool:
        """Whether the ordinary success of a request is logged.

        The choice depends on the request alone, so it is the same on each
        hop.

        Args:
            request_id: Identity of the request.
        """
        digest = xxhash.xxh32_intdigest(request_id.encode()) % _HASH_RANGE
        return digest % _SAMPLE_INTERVAL == 0

    def _report_suppressed(self) -> None:
        if self._written >= _MAX_REQUEST_LINES_PER_S:
            self.warning("log lines left out", total=self.dropped)
