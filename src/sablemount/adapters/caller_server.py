"""An HTTP server whose request limits can change while it runs.

tornado limits headers and bodies itself, but answers oversized ones with 400 or not at all, and
its header timeout includes the time for which the connection was idle before the headers.

Headers that do not arrive at once and the bodies of all connections share one memory budget.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from tornado import httputil, iostream

from sablemount.adapters.ending_server import GracefulServer
from sablemount.adapters.loop_turns import LoopTurns, limit_chunks
from sablemount.control.memory_budget import BYTES_PER_MB, Grant, MemoryBudget
from sablemount.control.rpc import set_user_timeout
from sablemount.control.standing import MachineLimits
from sablemount.jobs.model import RequestLimits

__all__ = [
    "BODY_TIMEOUT_S",
    "DEFAULT_LIMITS",
    "TOO_BUSY",
    "CallerServer",
    "max_connections",
]

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
"""Largest body limit that a configuration may set, where the memory budget allows it."""
BODY_COPIES = 3
"""Copies of a body in memory: as it is received, as it is passed on, and one while they grow."""
MAX_BODY_SHARE = 0.25
"""Share of the memory budget that one body may have; its copies and headers fit beside it."""
READ_BYTES = 16 * 1024
"""Bytes read from a connection at a time."""
RECEIVE_BUFFER_BYTES = 64 * 1024
"""Size of the kernel's buffer for what a connection has sent and is not read yet."""
REQUEST_BYTES = 4 * 1024
"""Memory of a request beside its headers and body."""
MAX_HEADER_LIMIT_BYTES = 256 * 1024
"""Largest limit of headers that a configuration may set."""
MAX_HEADER_LINES = 256
HEADER_LINE_BYTES = 512
"""Memory of a parsed header line beside its text."""
OBJECT_BYTES = 600
"""Memory of a decoded JSON object with the fields of a step."""
VALUE_BYTES = 40
"""Memory of any other decoded value."""
STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
"""A JSON string."""
CONNECTION_BYTES = 32 * 1024
"""Memory of a connection that is not counted in the budget: its objects and buffers."""
CONNECTIONS_SHARE = 0.125
"""Share of the machine's memory for connections."""
DESCRIPTORS_SHARE = 0.5
"""Share of the machine's descriptors for connections of callers."""
DEFAULT_MAX_CONNECTIONS = 2_000
"""Connections of callers on a machine without limits."""
STALL_TIMEOUT_S = 4.0
"""Seconds without progress after which a request that is not complete is refused."""
SWEEP_INTERVAL_S = 1.0
"""Seconds between checks for such requests."""
TOO_BUSY = "too many requests in progress"
STALLED = "the request does not arrive"
HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value: ``": "`` and the line end."""

TOO_MANY_HEADERS = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/json\r\n"
    b'Connection: close\r\nContent-Length: 34\r\n\r\n{"error":"too many header fields"}'
)

RefusalWriter = Callable[[httputil.HTTPConnection, HTTPStatus, str], None]
"""Writes the error response to a request of which no more is read."""


def max_connections(machine: MachineLimits) -> int:
    """Return how many connections of callers a machine allows."""
    limit = float(DEFAULT_MAX_CONNECTIONS)
    if machine.descriptors > 0:
        limit = min(limit, machine.descriptors * DESCRIPTORS_SHARE)
    if machine.memory_mb > 0:
        limit = min(limit, machine.memory_mb * BYTES_PER_MB * CONNECTIONS_SHARE / CONNECTION_BYTES)
    return max(1, int(limit))


def decoded_size(body: bytes) -> int:
    """Return an upper estimate of the bytes that a decoded JSON body takes beside its strings."""
    structure = STRING.sub(b"", body)
    return structure.count(b"{") * OBJECT_BYTES + structure.count(b",") * VALUE_BYTES


class CallerServer(GracefulServer):
    """Serves callers; ``refuse`` writes the response to a request that exceeds a limit.

    Create it with ``body_timeout=BODY_TIMEOUT_S``; ``set_limits`` sets all other limits.
    """

    limits: RequestLimits
    refuse: RefusalWriter
    count_refusal: Callable[[HTTPStatus, str], None]
    """Called once for each request that is refused before it is complete."""

    def initialize(self, *args: object, **options: object) -> None:
        """Accept the options of the server and ``budget``, for the requests of all connections."""
        budget = options.pop("budget", None)
        self.budget = budget if isinstance(budget, MemoryBudget) else MemoryBudget.of_machine(0.0)
        super().initialize(*args, chunk_size=READ_BYTES, **options)
        self._turns = LoopTurns()
        self._grants: dict[iostream.IOStream, Grant] = {}
        """Grants of the requests that are not answered."""
        self._sweep_timer: asyncio.TimerHandle | None = None

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply limits, to open connections from their next request."""
        defaults = DEFAULT_LIMITS
        largest = min(MAX_BODY_LIMIT_BYTES, int(self.budget.capacity * MAX_BODY_SHARE))
        self.limits = RequestLimits(
            min(limits.header_bytes or defaults.header_bytes, MAX_HEADER_LIMIT_BYTES),
            min(limits.body_bytes or defaults.body_bytes, largest),
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
        if stream.socket is not None:
            with contextlib.suppress(OSError):
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        limit_chunks(stream, self._turns)
        super().handle_stream(stream, address)

    async def read_headers(
        self, stream: iostream.IOStream, read: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        """Read headers; those that do not arrive at once need a grant of memory."""
        reading = asyncio.ensure_future(read())
        grant = self.budget.open(lambda: self._drop(stream, STALLED))
        try:
            if not reading.done() and not grant.extend_to(self.conn_params.max_header_size or 0):
                self._drop(stream, TOO_BUSY)
            headers = await reading
        finally:
            grant.close()
            # The error of a read refers to this frame, and would keep the stream's buffer with it.
            del reading
        if headers.count(b"\n") > MAX_HEADER_LINES:
            self.refuse_unparsed(stream)
            raise iostream.StreamClosedError()
        return headers

    def _drop(self, stream: iostream.IOStream, reason: str) -> None:
        """Close a connection whose headers are not complete."""
        self.count_refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        stream.close()

    def refuse_unparsed(self, stream: iostream.IOStream) -> None:
        """Answer a request with too many header lines, which take long to parse."""
        self.count_refusal(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too many header fields")
        with contextlib.suppress(iostream.StreamClosedError):
            stream.write(TOO_MANY_HEADERS)
        stream.close()

    def open_grant(
        self, connection: httputil.HTTPConnection, size: int, revoke: Callable[[], None]
    ) -> Grant | None:
        """Grant memory to the request of a connection until ``release``, if there is enough."""
        stream = connection.stream  # type: ignore[attr-defined]
        self.release(connection)
        grant = self.budget.open(revoke)
        if not grant.extend_to(size):
            return None
        self._grants[stream] = grant
        self._sweep_later()
        return grant

    def admit_decoding(self, request: httputil.HTTPServerRequest) -> HTTPStatus | None:
        """Grant the memory that the decoded body of a complete request takes.

        Returns ``None``, 503 if there is not enough now, or 413 if there never is.
        """
        stream = getattr(request.connection, "stream", None)
        grant = None if stream is None else self._grants.get(stream)
        if grant is None:
            return None
        size = grant.held + decoded_size(request.body)
        if size > self.budget.capacity:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return None if grant.extend_to(size) else HTTPStatus.SERVICE_UNAVAILABLE

    def release(self, connection: httputil.HTTPConnection) -> None:
        """Return the memory of a request, which is answered."""
        stream = getattr(connection, "stream", None)
        if stream is not None:
            self._release(stream)

    def _release(self, stream: iostream.IOStream) -> None:
        grant = self._grants.pop(stream, None)
        if grant is not None:
            grant.close()

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        super().on_close(server_conn)
        stream = server_conn.stream  # type: ignore[attr-defined]
        grant = self._grants.get(stream)
        if grant is not None and grant.is_revocable:
            # A complete request is in progress without its connection, until it is released.
            self._release(stream)
        stream.__dict__.pop("read_until", None)

    def _sweep_later(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Refuse the requests that make no progress."""
        self._sweep_timer = None
        for grant in [
            grant for grant in self._grants.values() if grant.is_stalled(STALL_TIMEOUT_S)
        ]:
            self.budget.revoke(grant)
        if self._grants:
            self._sweep_later()

    def gauges(self) -> dict[str, float]:
        """Return the use of the memory budget and of connections."""
        return {
            "request_memory_bytes": float(self.budget.used),
            "request_memory_budget_bytes": float(self.budget.capacity),
            "requests_revoked": float(self.budget.revoked_count),
            "caller_connections": float(self.open_connections),
            "caller_connections_replaced": float(self.replaced_connections),
        }

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
        self._held_bytes = REQUEST_BYTES
        self._is_sized = False
        self._grant: Grant | None = None
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
        self._held_bytes += size + HEADER_LINE_BYTES * sum(1 for _ in headers.get_all())
        if length.isdecimal():
            self._held_bytes += BODY_COPIES * int(length)
        self._grant = self._server.open_grant(self._connection, self._held_bytes, self._revoke)
        if self._grant is None:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, TOO_BUSY)
            return None
        self._is_sized = length.isdecimal()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body; a chunked body has no declared length to check."""
        if self._refused:
            return None
        self._body_bytes_left -= len(chunk)
        if self._body_bytes_left < 0:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            return None
        if not self._is_sized:
            self._held_bytes += BODY_COPIES * len(chunk)
        if self._grant is not None and not self._grant.extend_to(self._held_bytes):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, TOO_BUSY)
            return None
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Pass on the end of the request."""
        if not self._refused:
            if self._grant is not None:
                self._grant.is_revocable = False
            self._inner.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection closed before the end of the request."""
        if not self._refused:
            self._inner.on_connection_close()

    def _revoke(self) -> None:
        """Refuse the request: its memory is needed elsewhere, or it does not arrive."""
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, STALLED)

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        if self._refused:
            return
        self._refused = True
        # Frees what has arrived before its memory is granted to another request.
        self._inner.on_connection_close()
        self._server.release(self._connection)
        if self._server.mark_received(self._connection):
            self._server.count_refusal(status, reason)
            self._server.refuse(self._connection, status, reason)
