"""EventLog: structured logging that never blocks the handling of requests."""

from __future__ import annotations

import collections
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
"""Maximum number of lines that wait for standard output; further ones are
dropped."""

_MAX_REQUEST_LINES_PER_S = 100
"""Rate limit of lines about single requests."""

_SAMPLE_INTERVAL = 64
"""One in this many answers that meet the latency objective is logged."""

_HASH_RANGE = 1 << 16


class _DroppingHandler(handlers.QueueHandler):
    """Queue handler that drops lines when the queue is full and counts them."""

    def __init__(self, lines: queue.Queue[Any]) -> None:
        super().__init__(lines)
        self.dropped_lines = 0

    def enqueue(self, record: stdlib_logging.LogRecord) -> None:
        """Queues a line, or drops it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_lines += 1


class EventLog:
    """Writes JSON lines to standard output from a background thread.

    Args:
        node: Name of the instance, included in each line.
        data_centre: Data centre of the instance, included in each line.
        clock: Returns the time in seconds, for rate limiting.
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
        self._warnings: collections.Counter[str] = collections.Counter()

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped by the full queue or the rate limit."""
        return self._handler.dropped_lines + self._suppressed

    def start(self) -> None:
        """Starts writing the log to standard output."""
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
        """Writes the queued lines and stops the background thread."""
        if self._listener is not None:
            self._listener.stop()
            self._listener = None

    def event(self, name: str, **fields: Any) -> None:
        """Logs an event at level info.

        Args:
            name: Name of the event.
            fields: Further fields of the line.
        """
        logging.info(name, extra={**self._common, **fields})

    def warning(self, name: str, **fields: Any) -> None:
        """Logs an event at level warning.

        Args:
            name: Name of the event.
            fields: Further fields of the line.
        """
        self._warnings[name] += 1
        logging.warning(name, extra={**self._common, **fields})

    def warning_count(self, name: str) -> int:
        """Returns how many warnings of a name were logged or dropped."""
        return self._warnings[name]

    def request(self, name: str, request_id: str, **fields: Any) -> None:
        """Logs an event of one request, subject to the rate limit.

        Args:
            name: Name of the event.
            request_id: Id that the caller gave to the request.
            fields: Further fields of the line.
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
        """Whether to log a request that meets its latency objective.

        The decision depends only on the request id, so all hops that use the
        same rule log the same requests.

        Args:
            request_id: Id that the caller gave to the request.
        """
        digest = xxhash.xxh32_intdigest(request_id.encode()) % _HASH_RANGE
        return digest % _SAMPLE_INTERVAL == 0

    def _report_suppressed(self) -> None:
        if self._written >= _MAX_REQUEST_LINES_PER_S:
            self.warning("log lines left out", total=self.dropped_lines)
