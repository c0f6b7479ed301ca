"""An HTTP server whose request limits can change while it runs.

tornado limits headers and bodies itself, but answers oversized ones with 400 or not at all, and
its header timeout includes the time for which the connection was idle before the headers.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from tornado import httputil, iostream

from sablemount.adapters.ending_server import GracefulServer
from sablemount.control.rpc import set_user_timeout
from sablemount.jobs.model import RequestLimits

__all__ = ["BODY_TIMEOUT_S", "DEFAULT_LIMITS", "CallerServer"]

DEFAULT_LIMITS = RequestLimits(
    header_bytes=16 * 1024, body_bytes=256 * 1024, header_seconds=5.0, idle_seconds=30.0
)
"""Limits where the configuration gives none. A body of 256 KiB is 60 times the longest payload,
which leaves space for jobs of many steps."""
MAX_EXCESS_HEADER_BYTES = 64 * 1024
"""Bytes of headers beyond the limit that are still read, so that the request can be answered with
an error; with more, the connection is closed."""
BODY_TIMEOUT_S = 10.0
"""Seconds within which a request's body has to arrive. Without this limit, a client that stops
sending in the middle of a body would occupy its connection forever."""
MAX_BODY_LIMIT_BYTES = 64 * 1024 * 1024
"""Largest body limit that a configuration may set: a third of a small process's memory."""
HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value: ``": "`` and the line end."""

RefusalWriter = Callable[[httputil.HTTPConnection, HTTPStatus, str], None]
"""Writes the error response to a request of which no more is read."""


class CallerServer(GracefulServer):
    """Serves callers; ``refuse`` writes the response to a request that exceeds a limit.

    Create it with ``body_timeout=BODY_TIMEOUT_S``; ``set_limits`` sets all other limits.
    """

    limits: RequestLimits
    refuse: RefusalWriter

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply limits, to open connections from their next request."""
        defaults = DEFAULT_LIMITS
        self.limits = RequestLimits(
            limits.header_bytes or defaults.header_bytes,
            min(limits.body_bytes or defaults.body_bytes, MAX_BODY_LIMIT_BYTES),
            limits.header_seconds or defaults.header_seconds,
            limits.idle_seconds or defaults.idle_seconds,
        )
        # tornado's own limits are higher: they only end connections that are too far over the limit
        # to be answered.
        self.conn_params.max_header_size = self.limits.header_bytes + MAX_EXCESS_HEADER_BYTES
        self.conn_params.max_body_size = self.limits.body_bytes + 1
        self.conn_params.header_timeout = self.limits.idle_seconds + self.limits.header_seconds

    def handle_stream(self, stream: iostream.IOStream, address: tuple[str, int]) -> None:
        """Serve a connection; it is closed if the peer stops acknowledging responses."""
        set_user_timeout(stream)
        super().handle_stream(stream, address)

    @property
    def idle_seconds(self) -> float:
        """Return how long a connection may be idle."""
        return self.limits.idle_seconds

    @property
    def header_seconds(self) -> float:
        """Return how long a request's headers may take from their first byte."""
        return self.limits.header_seconds

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate for the next request of a connection."""
        return _LimitedRequest(super().start_request(server_conn, request_conn), request_conn, self)


class _LimitedRequest(httputil.HTTPMessageDelegate):
    """Passes on one request and refuses it as soon as it exceeds a limit."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
        server: CallerServer,
    ) -> None:
        self._inner = inner
        self._connection = connection
        self._server = server
        self._body_bytes_left = server.limits.body_bytes
        self._refused = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass on the headers; refuse if they or the declared body are too large."""
        size = sum(
            len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in headers.get_all()
        )
        if size > self._server.limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers too large")
            return None
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._body_bytes_left:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body; a chunked body has no declared length to check."""
        if self._refused:
            return None
        self._body_bytes_left -= len(chunk)
        if self._body_bytes_left < 0:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Pass on the end of the request."""
        if not self._refused:
            self._inner.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection closed before the end of the request."""
        self._inner.on_connection_close()

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        self._refused = True
        if self._server.mark_received(self._connection):
            self._server.refuse(self._connection, status, reason)
