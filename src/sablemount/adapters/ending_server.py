"""An HTTP server that can end without cutting a call off.

A connection that idles tells its caller nothing of an end to come, and a call may be on its way
over it as it is closed. Such a connection is sent a final answer first, which says that nothing is
taken, and is closed in the direction of the caller only: a call that crosses the end has an answer,
and one who has no call on its way sees that the connection is over. What still comes is read and
never served.
"""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus

from tornado import httputil, iostream
from tornado.httpserver import HTTPServer

__all__ = ["EndingServer", "final_answer"]

REST = 64 * 1024
"""Bytes of what still comes that are read at once."""
RETRY_AFTER = 1
"""Seconds after which whoever meets the end of a server may call again, another one best."""

_logger = logging.getLogger("sablemount.adapters.ending_server")


def final_answer(body: bytes, headers: Mapping[str, str] | None = None) -> bytes:
    """Return the whole answer, with a JSON body, that nothing is taken any more."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    lines = (
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Retry-After: {RETRY_AFTER}",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class EndingServer(HTTPServer):
    """Serves HTTP until it is ended."""

    def initialize(self, *args: object, **options: object) -> None:
        """Take what tornado's server takes, and ``final``, the last answer of each connection."""
        final = options.pop("final", None)
        self._final = final if isinstance(final, bytes) else final_answer(b"{}")
        super().initialize(*args, **options)  # type: ignore[arg-type]
        self._ending = False
        self._idle: set[iostream.IOStream] = set()
        """Connections of which no byte of a next request was read."""
        self._partial: set[iostream.IOStream] = set()
        """Connections of which a part of a request was read."""
        self._left: set[iostream.IOStream] = set()
        """Connections that have their final answer."""

    @property
    def open_connections(self) -> int:
        """Return how many connections have not ended on both sides."""
        return len(self._connections)

    # -- Bounds of a request, which a subclass may have --------------------------------------

    @property
    def idle_seconds(self) -> float | None:
        """Return for how long a connection may idle; ``None`` for any time."""
        return None

    @property
    def header_seconds(self) -> float | None:
        """Return how long a request's headers may take from their first byte on."""
        return None

    # -- Connections -------------------------------------------------------------------------

    def handle_stream(self, stream: iostream.IOStream, address: tuple[str, int]) -> None:
        """Serve a connection."""
        read = stream.read_until_regex

        def read_headers(regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
            reading = asyncio.ensure_future(
                self._read_headers(stream, lambda: read(regex, max_bytes))
            )
            reading.add_done_callback(_ended)
            return reading

        stream.read_until_regex = read_headers  # type: ignore[method-assign]
        super().handle_stream(stream, address)

    async def _read_headers(
        self, stream: iostream.IOStream, read: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        """Wait for a request for as long as a connection may idle, and then for its headers."""
        self._idle.add(stream)
        if self._ending:
            self._leave(stream)
        try:
            async with asyncio.timeout(self.idle_seconds):
                first = await stream.read_bytes(1)
            self._began(stream)
            async with asyncio.timeout(self.header_seconds):
                headers = first + await read()
        except TimeoutError as error:
            stream.close()
            raise iostream.StreamClosedError() from error
        while stream in self._left:
            await stream.read_bytes(REST, partial=True)
        return headers

    def _began(self, stream: iostream.IOStream) -> None:
        """Take the first byte of a request."""
        if stream in self._idle:
            self._idle.remove(stream)
            self._partial.add(stream)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return what takes the next request of a connection."""
        return _Whole(super().start_request(server_conn, request_conn), request_conn, self)

    def settled(self, connection: httputil.HTTPConnection) -> bool:
        """Take that a request is whole, or refused; return whether it may still be answered."""
        stream = connection.stream  # type: ignore[attr-defined]
        self._partial.discard(stream)
        return stream not in self._left

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        super().on_close(server_conn)
        stream = server_conn.stream  # type: ignore[attr-defined]
        for streams in (self._idle, self._partial, self._left):
            streams.discard(stream)

    # -- The end -----------------------------------------------------------------------------

    def leave_idle(self) -> int:
        """End the connections on which no request has begun; return how many.

        From now on connections end before their next request, and new ones before their first.
        """
        self._ending = True
        idle = list(self._idle)
        for stream in idle:
            self._leave(stream)
        return len(idle)

    def end(self) -> int:
        """Stop listening, and end the connections without a whole request; return how many.

        A connection that was made before has its final answer, one that comes later is refused.
        """
        for listener in self._sockets.values():
            self._accept_waiting(listener)
        self.stop()
        left = self.leave_idle()
        partial = list(self._partial)
        for stream in partial:
            self._leave(stream)
        return left + len(partial)

    def _accept_waiting(self, listener: socket.socket) -> None:
        """Take the connections that wait: they would be reset as the listener closes."""
        while True:
            try:
                connection, address = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _logger.warning("connection not taken", extra={"error": repr(error)})
                return
            self._handle_connection(connection, address)

    def _leave(self, stream: iostream.IOStream) -> None:
        self._idle.discard(stream)
        self._partial.discard(stream)
        self._left.add(stream)
        try:
            sending = stream.write(self._final)
        except iostream.StreamClosedError:
            return
        sending.add_done_callback(lambda sent: _half_close(stream, sent))


def _half_close(stream: iostream.IOStream, sent: "asyncio.Future[None]") -> None:
    """Tell the other side that nothing more comes, and go on reading."""
    if sent.cancelled() or sent.exception() is not None or stream.closed():
        return
    try:
        stream.socket.shutdown(socket.SHUT_WR)
    except OSError as error:
        _logger.debug("connection ended", extra={"error": repr(error)})


def _ended(reading: "asyncio.Future[bytes]") -> None:
    """Take the end of a wait for a request, for which nobody may wait any more as a process stops.

    The end of a connection would be told as an error of the process then.
    """
    error = None if reading.cancelled() else reading.exception()
    if error is not None:
        _logger.debug("connection ended", extra={"error": repr(error)})


class _Whole(httputil.HTTPMessageDelegate):
    """Passes a request on, unless its connection has its final answer once it is whole."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
        server: EndingServer,
    ) -> None:
        self._inner = inner
        self._connection = connection
        self._server = server

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Take the headers."""
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body."""
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Take the end of the request."""
        if self._server.settled(self._connection):
            self._inner.finish()
        else:
            self._inner.on_connection_close()

    def on_connection_close(self) -> None:
        """Take that the connection has ended before the request."""
        self._inner.on_connection_close()
