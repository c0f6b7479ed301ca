"""Base class of the HTTP handlers: typed bodies, and failures that carry a verdict."""

import logging
from typing import Any, TypeVar

import msgspec
from tornado import web

from sablemount.boottime import monotonic
from sablemount.core.verdict import Failure, Reason, Verdict
from sablemount.entry.answers import (
    REQUEST_HEADER,
    RETRY_HEADER,
    VERDICT_HEADER,
    FailureBody,
    http_status,
)
from sablemount.logs import request_context
from sablemount.runtime import Runtime

__all__ = ["Handler", "RequestRejected"]

_logger = logging.getLogger("sablemount.entry")
_T = TypeVar("_T")
MAX_REQUEST_ID_CHARS = 128


class RequestRejected(Exception):
    """Raised by a handler to answer the request with a failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class Handler(web.RequestHandler):
    """Base class of the HTTP handlers; decodes and encodes typed JSON bodies."""

    def initialize(self, runtime: Runtime) -> None:
        """Store the runtime, and set the request id: the caller's, truncated, or else a new one."""
        self.runtime = runtime
        header = self.request.headers.get(REQUEST_HEADER)
        self.request_id = header[:MAX_REQUEST_ID_CHARS] if header else runtime.new_id()

    def decode(self, body_type: type[_T]) -> _T:
        """Return the body as a typed value, or reject the request."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except msgspec.DecodeError as error:
            raise RequestRejected(
                Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, str(error))
            ) from error

    def reply(self, body: Any, status: int = 200) -> None:
        """Write a response with a typed body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(REQUEST_HEADER, self.request_id)
        self.finish(msgspec.json.encode(body))

    def fail(self, failure: Failure) -> None:
        """Write a response that reports a failure."""
        self.set_header(VERDICT_HEADER, failure.verdict.value)
        if failure.retry_after is not None:
            self.set_header(RETRY_HEADER, f"{failure.retry_after:.3f}")
        body = FailureBody(failure.verdict, failure.reason, failure.detail, self.request_id)
        self.reply(body, http_status(failure))

    def deadline(self, seconds: float | None) -> float:
        """Return the deadline as a monotonic time, or reject one that is out of range."""
        limits = self.runtime.settings.limits
        requested = limits.default_deadline if seconds is None else seconds
        if not 0 < requested <= limits.max_deadline:
            detail = f"$.deadline_seconds: got {requested}; expected 0 to {limits.max_deadline:g}"
            raise RequestRejected(Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
        return monotonic() + requested

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write the response to an exception.

        An ``HTTPError`` rejects a request before anything has run, so its verdict is ``NOT_RUN``;
        after any other exception the verdict is ``MAY_HAVE_RUN``.
        """
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, RequestRejected):
            self.fail(error.failure)
            return
        internal = not isinstance(error, web.HTTPError)
        verdict = Verdict.MAY_HAVE_RUN if internal else Verdict.NOT_RUN
        self.set_header(VERDICT_HEADER, verdict.value)
        body = FailureBody(verdict, Reason.BAD_REQUEST, self._reason, self.request_id)
        self.reply(body, status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log an exception unless it stands for a rejected request."""
        if not isinstance(value, RequestRejected | web.HTTPError):
            with request_context(self.request_id):
                _logger.error("internal error", exc_info=value)
