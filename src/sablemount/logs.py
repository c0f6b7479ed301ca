"""Logging of the daemon, as text or JSON; each line carries the id of the current request.

Only changes of state are logged.
"""

import contextvars
import json
import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from sablemount.settings import LogSettings

__all__ = ["JsonFormatter", "RequestFilter", "configure", "request_context"]

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s [%(request)s] %(message)s"
NO_REQUEST = "-"

_current_request: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request", default=NO_REQUEST
)


@contextmanager
def request_context(request: str) -> Iterator[None]:
    """Attach a request's id to the records logged inside the ``with`` block."""
    token = _current_request.set(request)
    try:
        yield
    finally:
        _current_request.reset(token)


class RequestFilter(logging.Filter):
    """Adds the id of the current request to each record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set ``record.request`` and return ``True``."""
        record.request = _current_request.get()
        return True


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "request": getattr(record, "request", NO_REQUEST),
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(settings: LogSettings) -> None:
    """Configure the ``sablemount`` loggers to write to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    json_lines = settings.format == "json"
    handler.setFormatter(JsonFormatter() if json_lines else logging.Formatter(TEXT_FORMAT))
    handler.addFilter(RequestFilter())
    logger = logging.getLogger("sablemount")
    logger.handlers = [handler]
    logger.setLevel(settings.level.upper())
    logger.propagate = False
