"""Structured log lines on standard output: one JSON object a line, bounded, never blocking.

A line carries what was handed to ``extra``. Beyond a rate, or when nobody reads, lines are dropped
and counted; the next line that gets out tells how many.
"""

import logging
import os
import sys
import time
from typing import Any

import msgspec

__all__ = ["BoundedHandler", "StructuredFormatter", "configure"]

LINES_A_SECOND = 400.0
BURST = 2_000.0
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


class BoundedHandler(logging.Handler):
    """Writes lines at a bounded rate to a descriptor that does not block."""

    def __init__(self, descriptor: int, clock: Any = time.monotonic) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST
        self._filled_at = clock()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        if not self._take_token():
            self.dropped += 1
            return
        try:
            line = self.format(record)
            if self.dropped:
                line = f'{line[:-1]},"dropped":{self.dropped}}}'
            os.write(self._descriptor, f"{line}\n".encode())
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.dropped += 1

    def _take_token(self) -> bool:
        now = self._clock()
        self._tokens = min(BURST, self._tokens + (now - self._filled_at) * LINES_A_SECOND)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


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
