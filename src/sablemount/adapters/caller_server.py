"""An HTTP server whose bounds of a request may change while it runs.

tornado bounds headers and bodies by itself, but answers what is too large with 400 or not at all,
and counts the time of the headers together with the time that a connection idles before them.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from tornado import httputil, iostream

from sablemount.adapters.ending_server import EndingServer
from sablemount.control.rpc import set_user_timeout
from sablemount.jobs.model import RequestLimits

__all__ = ["BODY_SECONDS", "DEFAULT_LIMITS", "CallerServer"]

DEFAULT_LIMITS = RequestLimits(
    header_bytes=16 * 1024, body_bytes=256 * 1024, header_seconds=5.0, idle_seconds=30.0
)
"""Bounds in force where the configuration gives none. A body of 256 KB is 60 times the longest
payload, for jobs of many steps."""
MOST_HEADERS = 64 * 1024
"""Bytes of headers beyond the bound that are read to be answered; more end the connection."""
BODY_SECONDS = 10.0
"""Seconds in which a request's body has to be there: a connection that falls silent in the midst
of one would be held for good."""
MOST_BODY = 64 * 1024 * 1024
"""Bytes of a body that a configuration may allow at most, a third of a small process's memory."""
FIELD_BYTES = 4
"""Bytes of a header's line beside its name and value."""

Refuse = Callable[[httputil.HTTPConnection, HTTPStatus, str], None]
"""Answers a request that is not read any further."""


class CallerServer(EndingServer):
    """Serves callers; ``refuse`` writes the answer to a request that is over a bound.

    Make it with ``body_timeout=BODY_SECONDS``; the other bounds are set here.
    """

    limits: RequestLimits
    refuse: Refuse

    def set_limits(self, limits: RequestLimits) -> None:
        """Put bounds in force, for open connections from their next request on."""
        given = DEFAULT_LIMITS
        self.limits = RequestLimits(
            limits.header_bytes or given.header_bytes,
            min(limits.body_bytes or given.body_bytes, MOST_BODY),
            limits.header_seconds or given.header_seconds,
            limits.idle_seconds or given.idle_seconds,
        )
        # The bounds of tornado's own stay beyond these, and hold for what is not answered.
        self.conn_params.max_header_size = self.limits.header_bytes + MOST_HEADERS
        self.conn_params.max_body_size = self.limits.body_bytes + 1
        self.conn_params.header_timeout = self.limits.idle_seconds + self.limits.header_seconds

    def handle_stream(self, stream: iostream.IOStream, address: tuple[str, int]) -> None:
        """Serve a connection; one whose answers nobody acknowledges is given up."""
        set_user_timeout(stream)
        super().handle_stream(stream, address)

    @property
    def idle_seconds(self) -> float:
        """Return for how long a connection may idle."""
        return self.limits.idle_seconds

    @property
    def header_seconds(self) -> float:
        """Return how long a request's headers may take from their first byte on."""
        return self.limits.header_seconds

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes the next request of a connection."""
        return _Bounded(super().start_request(server_conn, request_conn), request_conn, self)


class _Bounded(httputil.HTTPMessageDelegate):
    """Takes one request, as far as it keeps to the bounds."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
        server: CallerServer,
    ) -> None:
        self._inner = inner
        self._connection = connection
        self._server = server
        self._left = server.limits.body_bytes
        self._refused = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Take the headers, and refuse by what they say of the body."""
        size = sum(len(name) + len(value) + FIELD_BYTES for name, value in headers.get_all())
        if size > self._server.limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers too large")
            return None
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._left:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body; a chunked one has not told its length."""
        if self._refused:
            return None
        self._left -= len(chunk)
        if self._left < 0:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Take the end of the request."""
        if not self._refused:
            self._inner.finish()

    def on_connection_close(self) -> None:
        """Take that the connection has ended before the request."""
        self._inner.on_connection_close()

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        self._refused = True
        if self._server.settled(self._connection):
            self._server.refuse(self._connection, status, reason)
