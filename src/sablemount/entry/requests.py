"""The callers' request path, straight on tornado's connection delegates.

A request needs no routing table, no templates and no cookies, so it does not pay for them:
``POST /v1/requests/<organisation>/<template>`` is taken here, everything else goes on to the
application.
"""

import math

from result import Ok
from tornado import httputil, web

from sablemount.boottime import monotonic
from sablemount.core.events import RequestArrived
from sablemount.core.verdict import Failure, Reason, Served, ServeResult, Verdict
from sablemount.entry.answers import (
    REQUEST_HEADER,
    RETRY_HEADER,
    UPSTREAM_HEADER,
    VERDICT_HEADER,
    failure_body,
    status_of,
)
from sablemount.runtime import Runtime

__all__ = ["EntryDelegate"]

PREFIX = "/v1/requests/"
DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
MAX_ID = 128
REASONS = {200: "OK"}


class EntryDelegate(httputil.HTTPServerConnectionDelegate):
    """Sends each message to the request path or to the application."""

    def __init__(self, runtime: Runtime, application: web.Application) -> None:
        self._runtime = runtime
        self._application = application

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate for one message."""
        return _Message(self._runtime, self._application, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: each message notices the close itself."""


class _Message(httputil.HTTPMessageDelegate):
    """One message; it is answered here or by the application."""

    def __init__(
        self,
        runtime: Runtime,
        application: web.Application,
        server_conn: object,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._runtime = runtime
        self._application = application
        self._server_conn = server_conn
        self._connection = connection
        self._other: httputil.HTTPMessageDelegate | None = None
        self._chunks: list[bytes] = []
        self._headers = httputil.HTTPHeaders()
        self._path = ""
        self._method = ""
        self._id = ""
        self._shown_id = ""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the first line and the headers."""
        assert isinstance(start_line, httputil.RequestStartLine)
        if not start_line.path.startswith(PREFIX):
            self._other = self._application.start_request(self._server_conn, self._connection)
            self._other.headers_received(start_line, headers)
            return
        self._path = start_line.path
        self._method = start_line.method
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self._other is not None:
            self._other.data_received(chunk)
        else:
            self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Forget a caller that has gone."""
        if self._other is not None:
            self._other.on_connection_close()
        elif self._id:
            self._runtime.withdraw(self._id)

    def finish(self) -> None:
        """Hand the whole request in."""
        if self._other is not None:
            self._other.finish()
            return
        self._id = self._runtime.new_id()
        self._shown_id = self._headers.get(REQUEST_HEADER, self._id)[:MAX_ID]
        if self._method != "POST":
            self._refuse(f"method: expected POST, got {self._method}")
            return
        seconds = self._seconds()
        if seconds is None:
            return
        arrival = RequestArrived(
            self._id,
            self._path[len(PREFIX) :].partition("?")[0],
            monotonic() + seconds,
            b"".join(self._chunks),
            self._headers.get(KEY_HEADER, ""),
        )
        self._runtime.request(arrival, self._answer)

    def _seconds(self) -> float | None:
        """Return the time to the deadline, or answer a bad one and return ``None``."""
        limits = self._runtime.settings.limits
        text = self._headers.get(DEADLINE_HEADER)
        if text is None:
            return limits.default_deadline
        try:
            seconds = float(text) / 1000
        except ValueError:
            seconds = math.nan
        if not 0 < seconds <= limits.max_deadline:
            allowed = f"expected 1 to {limits.max_deadline * 1000:g} milliseconds"
            self._refuse(f"{DEADLINE_HEADER}: got {text!r}; {allowed}")
            return None
        return seconds

    def _refuse(self, detail: str) -> None:
        failure = Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
        self._write_failure(failure)

    # -- Answers -----------------------------------------------------------------------------

    def _answer(self, result: ServeResult) -> None:
        if isinstance(result, Ok):
            self._write_served(result.ok_value)
        else:
            self._write_failure(result.err_value)

    def _write_served(self, served: Served) -> None:
        fields = {VERDICT_HEADER: Verdict.DONE.value, UPSTREAM_HEADER: served.upstream}
        self._write(served.status, fields, served.body)

    def _write_failure(self, failure: Failure) -> None:
        fields = {VERDICT_HEADER: failure.verdict.value, "Content-Type": "application/json"}
        if failure.retry_after is not None:
            fields[RETRY_HEADER] = f"{failure.retry_after:.3f}"
        self._write(status_of(failure), fields, failure_body(failure, self._shown_id))

    def _write(self, status: int, fields: dict[str, str], body: bytes) -> None:
        headers = httputil.HTTPHeaders(fields)
        headers[REQUEST_HEADER] = self._shown_id
        headers["Content-Length"] = str(len(body))
        reason = REASONS.get(status) or httputil.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
