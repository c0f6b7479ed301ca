"""Structured log lines on standard output: one JSON object a line, bounded, never blocking.

A line carries what was handed to ``extra``. Lines of decisions (requests, leadership,
dependencies) and lines of single runs have budgets of their own, so that many runs never keep a
decision's line from being written. What goes beyond a budget, or finds nobody who reads, is dropped
and counted; the next line that gets out tells how many.
"""

import logging
import os
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from sablemount.boottime import monotonic

__all__ = ["RUN_LOGGER", "BoundedHandler", "Budget", "StructuredFormatter", "configure"]

RUN_LOGGER = "sablemount.jobs.runs"
"""Name of the logger whose lines are about single runs."""
DECISION_BYTES_A_SECOND = 512_000.0
"""Twenty times what the decisions of 40 jobs and 400 starts a second take."""
DECISION_BURST = 2_000_000.0
"""Bytes; a new leader tells of each VM and of each job at once."""
RUN_BYTES_A_SECOND = 48_000.0
"""About 400 lines a second."""
RUN_BURST = 240_000.0
UNSENT_BYTES = 1_000_000
"""Bytes of decisions that wait for a reader at most."""
_STANDARD = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


class StructuredFormatter(logging.Formatter):
    """Formats a record as JSON with its extra fields."""

    def __init__(self) -> None:
        super().__init__()
        self._encoder = msgspec.json.Encoder()

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name.removeprefix("sablemount."),
            "message": record.getMessage(),
        }
        for key, value in record.__dict__.items():
            if key not in _STANDARD:
                line[key] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


class Budget:
    """Bytes that one class of lines may take; a line may overdraw it once it is not empty."""

    def __init__(self, bytes_a_second: float, burst: float, clock: Callable[[], float]) -> None:
        self._rate = bytes_a_second
        self._burst = burst
        self._clock = clock
        self._left = burst
        self._filled_at = clock()
        self.dropped = 0
        """Lines dropped so far."""
        self.untold = 0
        """Those of them that no line has told of yet."""

    def open(self) -> bool:
        """Tell whether a line may be written now."""
        now = self._clock()
        self._left = min(self._burst, self._left + (now - self._filled_at) * self._rate)
        self._filled_at = now
        return self._left > 0

    def take(self, size: int) -> None:
        """Take what a line needs."""
        self._left -= size

    def drop(self) -> None:
        """Count a line that is not written."""
        self.dropped += 1
        self.untold += 1


class BoundedHandler(logging.Handler):
    """Writes lines within their budgets to a descriptor that does not block."""

    def __init__(self, descriptor: int, clock: Callable[[], float] = monotonic) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.decisions = Budget(DECISION_BYTES_A_SECOND, DECISION_BURST, clock)
        self.runs = Budget(RUN_BYTES_A_SECOND, RUN_BURST, clock)
        self._unsent = bytearray()
        """What the descriptor has not taken yet; it begins with the rest of a line."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        budget = self.runs if record.name == RUN_LOGGER else self.decisions
        self.flush()
        if not budget.open() or not self._has_space(budget):
            budget.drop()
            return
        line = self._line(record)
        budget.take(len(line))
        self._unsent += line
        self.flush()

    def _has_space(self, budget: Budget) -> bool:
        """Tell whether a line may wait for a reader: one of a run does not."""
        return len(self._unsent) < UNSENT_BYTES if budget is self.decisions else not self._unsent

    def _line(self, record: logging.LogRecord) -> bytes:
        line = self.format(record)
        for name, budget in (("dropped_decisions", self.decisions), ("dropped_runs", self.runs)):
            if budget.untold:
                line = f'{line[:-1]},"{name}":{budget.untold}}}'
                budget.untold = 0
        return f"{line}\n".encode()

    def flush(self) -> None:
        """Hand on what the descriptor takes at once."""
        while self._unsent:
            try:
                written = os.write(self._descriptor, self._unsent)
            except OSError:
                # Nobody reads now; what waits goes with the next line, or is counted as dropped.
                return
            del self._unsent[:written]


def configure(level: int = logging.INFO) -> BoundedHandler:
    """Set up the ``sablemount`` loggers to write to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(StructuredFormatter())
    logger = logging.getLogger("sablemount")
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
