"""Base of the HTTP handlers: typed bodies in, typed bodies out, failures with a verdict."""

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
    status_of,
)
from sablemount.logs import request_id
from sablemount.runtime import Runtime

__all__ = ["Handler", "Refused"]

_logger = logging.getLogger("sablemount.entry")
_T = TypeVar("_T")
MAX_ID = 128


class Refused(Exception):
    """A request that is answered with a failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class Handler(web.RequestHandler):
    """Base of the handlers: typed bodies in, typed bodies out."""

    def initialize(self, runtime: Runtime) -> None:
        """Take what the routes share, and the caller's id or a new one."""
        self.runtime = runtime
        given = self.request.headers.get(REQUEST_HEADER)
        self.shown_id = given[:MAX_ID] if given else runtime.new_id()

    def decode(self, kind: type[_T]) -> _T:
        """Return the body as a typed value, or refuse it."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.DecodeError as error:
            raise Refused(Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, str(error))) from error

    def reply(self, body: Any, status: int = 200) -> None:
        """Answer with a typed body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(REQUEST_HEADER, self.shown_id)
        self.finish(msgspec.json.encode(body))

    def fail(self, failure: Failure) -> None:
        """Answer with a failure."""
        self.set_header(VERDICT_HEADER, failure.verdict.value)
        if failure.retry_after is not None:
            self.set_header(RETRY_HEADER, f"{failure.retry_after:.3f}")
        body = FailureBody(failure.verdict, failure.reason, failure.detail, self.shown_id)
        self.reply(body, status_of(failure))

    def deadline(self, seconds: float | None) -> float:
        """Return the monotonic deadline, or refuse one in the past."""
        limits = self.runtime.settings.limits
        wanted = limits.default_deadline if seconds is None else seconds
        if not 0 < wanted <= limits.max_deadline:
            detail = f"$.deadline_seconds: got {wanted}; expected 0 to {limits.max_deadline:g}"
            raise Refused(Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
        return monotonic() + wanted

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an exception; the framework's own refusals have run nothing."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, Refused):
            self.fail(error.failure)
            return
        inside = not isinstance(error, web.HTTPError)
        verdict = Verdict.MAY_HAVE_RUN if inside else Verdict.NOT_RUN
        self.set_header(VERDICT_HEADER, verdict.value)
        body = FailureBody(verdict, Reason.BAD_REQUEST, self._reason, self.shown_id)
        self.reply(body, status_code)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log only what is a fault of ours."""
        if not isinstance(value, Refused | web.HTTPError):
            with request_id(self.shown_id):
                _logger.error("internal error", exc_info=value)
