"""Structured logging to standard output: one JSON object per line, rate-limited and non-blocking.

A line contains the fields passed in ``extra``. Decision lines (requests, leadership, dependencies)
and run lines (about single runs) have separate byte budgets, so that many runs cannot crowd out
decisions. A line that exceeds its budget, or that the reader of standard output does not take in
time, is dropped and counted; the next line that is written reports the number of dropped lines.
"""

import logging
import os
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from sablemount.boottime import monotonic

__all__ = ["RUN_LOGGER", "BoundedHandler", "ByteBudget", "StructuredFormatter", "configure"]

RUN_LOGGER = "sablemount.jobs.runs"
"""Name of the logger for lines about single runs."""
DECISION_BYTES_PER_SECOND = 512_000.0
"""Twenty times the volume of the decisions at 40 jobs and 400 starts per second."""
DECISION_BURST_BYTES = 2_000_000.0
"""A new leader logs a line for each VM and each job at once."""
RUN_BYTES_PER_SECOND = 48_000.0
"""About 400 lines per second."""
RUN_BURST_BYTES = 240_000.0
MAX_UNSENT_BYTES = 1_000_000
"""A decision line is dropped while this many bytes wait for the reader."""
_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


class StructuredFormatter(logging.Formatter):
    """Formats a record as a JSON object that includes its extra fields."""

    def __init__(self) -> None:
        super().__init__()
        self._encoder = msgspec.json.Encoder()

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name.removeprefix("sablemount."),
            "message": record.getMessage(),
        }
        for key, value in record.__dict__.items():
            if key not in _STANDARD_ATTRIBUTES:
                line[key] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


class ByteBudget:
    """A token bucket, in bytes, for one class of lines.

    A line may be written while any bytes are left, even if it is larger than the remainder.
    """

    def __init__(
        self, bytes_per_second: float, burst_bytes: float, clock: Callable[[], float]
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._clock = clock
        self._remaining = burst_bytes
        self._refilled_at = clock()
        self.dropped = 0
        """Number of lines dropped so far."""
        self.unreported = 0
        """Number of dropped lines that no written line has reported yet."""

    def has_bytes_left(self) -> bool:
        """Refill the budget and return whether a line may be written now."""
        now = self._clock()
        self._remaining = min(
            self._burst_bytes, self._remaining + (now - self._refilled_at) * self._bytes_per_second
        )
        self._refilled_at = now
        return self._remaining > 0

    def consume(self, size: int) -> None:
        """Deduct the size of a written line, in bytes."""
        self._remaining -= size

    def count_dropped(self) -> None:
        """Count a line that was not written."""
        self.dropped += 1
        self.unreported += 1


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, within the byte budget of their class."""

    def __init__(self, descriptor: int, clock: Callable[[], float] = monotonic) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.decision_budget = ByteBudget(DECISION_BYTES_PER_SECOND, DECISION_BURST_BYTES, clock)
        self.run_budget = ByteBudget(RUN_BYTES_PER_SECOND, RUN_BURST_BYTES, clock)
        self._unsent = bytearray()
        """Bytes not written yet; may begin in the middle of a line."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record as a line, or count it as dropped."""
        budget = self.run_budget if record.name == RUN_LOGGER else self.decision_budget
        self.flush()
        if not budget.has_bytes_left() or not self._may_queue(budget):
            budget.count_dropped()
            return
        line = self._encode_line(record)
        budget.consume(len(line))
        self._unsent += line
        self.flush()

    def _may_queue(self, budget: ByteBudget) -> bool:
        """Return whether a line may be buffered; run lines never wait behind unsent bytes."""
        return (
            len(self._unsent) < MAX_UNSENT_BYTES
            if budget is self.decision_budget
            else not self._unsent
        )

    def _encode_line(self, record: logging.LogRecord) -> bytes:
        line = self.format(record)
        for field, budget in (
            ("dropped_decisions", self.decision_budget),
            ("dropped_runs", self.run_budget),
        ):
            if budget.unreported:
                line = f'{line[:-1]},"{field}":{budget.unreported}}}'
                budget.unreported = 0
        return f"{line}\n".encode()

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts without blocking."""
        while self._unsent:
            try:
                written = os.write(self._descriptor, self._unsent)
            except OSError:
                # The reader does not keep up, or there is none. The buffer is written with the next
                # line; lines that no longer fit are dropped and counted.
                return
            del self._unsent[:written]


def configure(level: int = logging.INFO) -> BoundedHandler:
    """Configure the ``sablemount`` loggers to write to standard output; return their handler."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(StructuredFormatter())
    logger = logging.getLogger("sablemount")
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
