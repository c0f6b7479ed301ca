"""The request path for callers, implemented directly on tornado's connection delegates.

``POST /v1/requests/<organisation>/<template>`` is handled here, without the cost of tornado's
routing, templates and cookies, which it does not need. All other paths go to the application.
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
    http_status,
)
from sablemount.runtime import Runtime

__all__ = ["EntryDelegate"]

PATH_PREFIX = "/v1/requests/"
DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
MAX_REQUEST_ID_CHARS = 128
REASON_PHRASES = {200: "OK"}


class EntryDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates the delegate that handles each HTTP request of a connection."""

    def __init__(self, runtime: Runtime, application: web.Application) -> None:
        self._runtime = runtime
        self._application = application

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate for one HTTP request."""
        return _RequestDelegate(self._runtime, self._application, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: each request delegate is notified of the close itself."""


class _RequestDelegate(httputil.HTTPMessageDelegate):
    """Handles one HTTP request, or passes it on to the application.

    ``_internal_id`` identifies the request in the cell. ``_request_id`` is returned to the caller:
    the id that the caller sent, truncated, or else the internal id.
    """

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
        self._application_delegate: httputil.HTTPMessageDelegate | None = None
        self._chunks: list[bytes] = []
        self._headers = httputil.HTTPHeaders()
        self._path = ""
        self._method = ""
        self._internal_id = ""
        self._request_id = ""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the request line and headers, or pass them to the application."""
        assert isinstance(start_line, httputil.RequestStartLine)
        if not start_line.path.startswith(PATH_PREFIX):
            self._application_delegate = self._application.start_request(
                self._server_conn, self._connection
            )
            self._application_delegate.headers_received(start_line, headers)
            return
        self._path = start_line.path
        self._method = start_line.method
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or pass it to the application."""
        if self._application_delegate is not None:
            self._application_delegate.data_received(chunk)
        else:
            self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Withdraw the request of a caller that has disconnected."""
        if self._application_delegate is not None:
            self._application_delegate.on_connection_close()
        elif self._internal_id:
            self._runtime.withdraw_request(self._internal_id)

    def finish(self) -> None:
        """Submit the complete request to the runtime."""
        if self._application_delegate is not None:
            self._application_delegate.finish()
            return
        self._internal_id = self._runtime.new_id()
        self._request_id = self._headers.get(REQUEST_HEADER, self._internal_id)[
            :MAX_REQUEST_ID_CHARS
        ]
        if self._method != "POST":
            self._reject(f"method: expected POST, got {self._method}")
            return
        seconds = self._parse_deadline_seconds()
        if seconds is None:
            return
        arrival = RequestArrived(
            self._internal_id,
            self._path[len(PATH_PREFIX) :].partition("?")[0],
            monotonic() + seconds,
            b"".join(self._chunks),
            self._headers.get(KEY_HEADER, ""),
        )
        self._runtime.submit_request(arrival, self._answer)

    def _parse_deadline_seconds(self) -> float | None:
        """Return the seconds until the deadline, or reject a bad header and return ``None``."""
        limits = self._runtime.settings.limits
        text = self._headers.get(DEADLINE_HEADER)
        if text is None:
            return limits.default_deadline
        try:
            seconds = float(text) / 1000
        except ValueError:
            seconds = math.nan
        if not 0 < seconds <= limits.max_deadline:
            expected = f"expected 1 to {limits.max_deadline * 1000:g} milliseconds"
            self._reject(f"{DEADLINE_HEADER}: got {text!r}; {expected}")
            return None
        return seconds

    def _reject(self, detail: str) -> None:
        failure = Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
        self._write_failure(failure)

    # -- Responses ---------------------------------------------------------------------------

    def _answer(self, result: ServeResult) -> None:
        if isinstance(result, Ok):
            self._write_served(result.ok_value)
        else:
            self._write_failure(result.err_value)

    def _write_served(self, served: Served) -> None:
        header_fields = {VERDICT_HEADER: Verdict.DONE.value, UPSTREAM_HEADER: served.upstream}
        self._write(served.status, header_fields, served.body)

    def _write_failure(self, failure: Failure) -> None:
        header_fields = {VERDICT_HEADER: failure.verdict.value, "Content-Type": "application/json"}
        if failure.retry_after is not None:
            header_fields[RETRY_HEADER] = f"{failure.retry_after:.3f}"
        self._write(http_status(failure), header_fields, failure_body(failure, self._request_id))

    def _write(self, status: int, header_fields: dict[str, str], body: bytes) -> None:
        headers = httputil.HTTPHeaders(header_fields)
        headers[REQUEST_HEADER] = self._request_id
        headers["Content-Length"] = str(len(body))
        reason = REASON_PHRASES.get(status) or httputil.responses.get(status, "Unknown")
        status_line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(status_line, headers, body)
        self._connection.finish()
