"""An HTTP server that can shut down without leaving a call unanswered.

HTTP/1.1 has no way to announce that an idle connection is about to be closed, so a client may send
a request while the server closes it. The server therefore first writes a final response, which
says that no request is accepted, and then closes only its sending direction of the connection. A
request that was already on its way gets this response, and a client without one sees the end of the
stream. Whatever still arrives is read and discarded.

The number of connections may be limited. A new one beyond it replaces the one that has been without
a request for longest, or the one whose request has been incomplete for longest.
"""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Iterable, Mapping
from http import HTTPStatus

from tornado import httputil, ioloop, iostream
from tornado.httpserver import HTTPServer

__all__ = ["GracefulServer", "final_response"]

DISCARD_CHUNK_BYTES = 64 * 1024
"""Bytes read at a time from a connection whose input is discarded."""
ACCEPTS_PER_ITERATION = 16
"""Connections accepted at a listener in one iteration of the event loop, so that a crowd of new
connections does not delay the others."""
RETRY_AFTER_S = 1
"""Seconds after which a client may retry, preferably at another server."""

_logger = logging.getLogger("sablemount.adapters.ending_server")


def final_response(body: bytes, headers: Mapping[str, str] | None = None) -> bytes:
    """Return the complete response, with a JSON body, that refuses all further requests."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    lines = (
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Retry-After: {RETRY_AFTER_S}",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class GracefulServer(HTTPServer):
    """Serves HTTP and answers every connection before it closes it on shutdown."""

    def initialize(self, *args: object, **options: object) -> None:
        """Accept the options of tornado's server and two more.

        ``final`` is each connection's last response, ``max_connections`` the number of connections
        that may be open, without a limit if it is 0.
        """
        limit = options.pop("max_connections", 0)
        self.max_connections = limit if isinstance(limit, int) else 0
        self.replaced_connections = 0
        """Number of connections closed for new ones."""
        final = options.pop("final", None)
        self._final = final if isinstance(final, bytes) else final_response(b"{}")
        super().initialize(*args, **options)  # type: ignore[arg-type]
        self._shutting_down = False
        self._idle: dict[iostream.IOStream, None] = {}
        """Connections of whose next request no byte has been read, the longest idle first."""
        self._partial: dict[iostream.IOStream, None] = {}
        """Connections of whose current request only a part has been read, the oldest first."""
        self._finalized: set[iostream.IOStream] = set()
        """Connections to which the final response has been written."""

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are not closed in both directions."""
        return len(self._connections)

    # -- Time limits of a request, which a subclass may set ----------------------------------

    @property
    def idle_seconds(self) -> float | None:
        """Return how long a connection may be idle; ``None`` for no limit."""
        return None

    @property
    def header_seconds(self) -> float | None:
        """Return how long headers may take from their first byte; ``None`` for no limit."""
        return None

    # -- Connections -------------------------------------------------------------------------

    def handle_stream(self, stream: iostream.IOStream, address: tuple[str, int]) -> None:
        """Serve a connection, with the time limits of idle connections and headers."""
        if not self._make_room():
            stream.close()
            return
        self._idle[stream] = None
        read = stream.read_until_regex

        def read_headers(regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
            reading = asyncio.ensure_future(
                self._read_headers(stream, lambda: read(regex, max_bytes))
            )
            reading.add_done_callback(_log_failed_read)
            return reading

        stream.read_until_regex = read_headers  # type: ignore[method-assign]
        super().handle_stream(stream, address)

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections at listening sockets, few in each iteration of the event loop."""
        for listener in sockets:
            self._sockets[listener.fileno()] = listener
            self._handlers[listener.fileno()] = self._accept_at(listener)

    def _accept_at(self, listener: socket.socket) -> Callable[[], None]:
        """Accept connections at a socket until the returned function is called."""
        loop = ioloop.IOLoop.current()

        def accept(ready: socket.socket, events: int) -> None:
            for _ in range(ACCEPTS_PER_ITERATION):
                if not self._accept(listener):
                    return

        loop.add_handler(listener, accept, ioloop.IOLoop.READ)
        return lambda: loop.remove_handler(listener)

    def _make_room(self) -> bool:
        """Close a connection if there are as many as may be open; return whether a new one fits."""
        if not self.max_connections or len(self._connections) < self.max_connections:
            return True
        for streams in (self._idle, self._partial):
            while streams:
                oldest = next(iter(streams))
                del streams[oldest]
                if not oldest.closed():
                    self.replaced_connections += 1
                    oldest.close()
                    return True
        return False

    async def _read_headers(
        self, stream: iostream.IOStream, read: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        """Wait for a request for as long as the connection may be idle, then read its headers."""
        if stream.closed():
            # Requests that are still buffered would be served for a client that has gone.
            raise iostream.StreamClosedError()
        self._idle[stream] = None
        if self._shutting_down:
            self._send_final(stream)
        try:
            async with asyncio.timeout(self.idle_seconds):
                first = await stream.read_bytes(1)
            self._mark_begun(stream)
            async with asyncio.timeout(self.header_seconds):
                headers = first + await self.read_headers(stream, read)
        except TimeoutError as error:
            stream.close()
            raise iostream.StreamClosedError() from error
        while stream in self._finalized:
            await stream.read_bytes(DISCARD_CHUNK_BYTES, partial=True)
        return headers

    async def read_headers(
        self, stream: iostream.IOStream, read: Callable[[], Awaitable[bytes]]
    ) -> bytes:
        """Read the headers of a request after their first byte; a subclass may limit them."""
        return await read()

    def _mark_begun(self, stream: iostream.IOStream) -> None:
        """Record that the first byte of a request has arrived."""
        if stream in self._idle:
            del self._idle[stream]
            self._partial[stream] = None

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate for the next request of a connection."""
        return _CompleteRequest(
            super().start_request(server_conn, request_conn), request_conn, self
        )

    def mark_received(self, connection: httputil.HTTPConnection) -> bool:
        """Record that a request is complete or refused; return whether it may still be answered."""
        stream = connection.stream  # type: ignore[attr-defined]
        self._partial.pop(stream, None)
        return stream not in self._finalized

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        super().on_close(server_conn)
        stream = server_conn.stream  # type: ignore[attr-defined]
        self._idle.pop(stream, None)
        self._partial.pop(stream, None)
        self._finalized.discard(stream)
        # The replaced method refers to its stream, whose buffers would wait for a collection.
        stream.__dict__.pop("read_until_regex", None)

    # -- Shutdown ----------------------------------------------------------------------------

    def close_idle(self) -> int:
        """Send the final response on idle connections and return their number.

        From now on a connection gets the final response instead of serving its next request, and
        a new connection instead of serving its first.
        """
        self._shutting_down = True
        idle = list(self._idle)
        for stream in idle:
            self._send_final(stream)
        return len(idle)

    def shut_down(self) -> int:
        """Stop listening, and send the final response where no request is complete.

        Connections that are established but not accepted yet get it too; later ones are refused.
        Returns the number of connections that were idle or had sent a part of a request.
        """
        for listener in self._sockets.values():
            self._accept_pending(listener)
        self.stop()
        idle = self.close_idle()
        partial = list(self._partial)
        for stream in partial:
            self._send_final(stream)
        return idle + len(partial)

    def _accept_pending(self, listener: socket.socket) -> None:
        """Accept pending connections, which closing the listener would reset."""
        while self._accept(listener):
            pass

    def _accept(self, listener: socket.socket) -> bool:
        """Accept one connection; return whether there may be another one."""
        try:
            connection, address = listener.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            _logger.warning("pending connection not accepted", extra={"error": repr(error)})
            return False
        self._handle_connection(connection, address)
        return True

    def _send_final(self, stream: iostream.IOStream) -> None:
        self._idle.pop(stream, None)
        self._partial.pop(stream, None)
        self._finalized.add(stream)
        try:
            writing = stream.write(self._final)
        except iostream.StreamClosedError:
            return
        writing.add_done_callback(lambda written: _half_close(stream, written))


def _half_close(stream: iostream.IOStream, written: "asyncio.Future[None]") -> None:
    """Close the sending direction only, so that the connection can still be read."""
    if written.cancelled() or written.exception() is not None or stream.closed():
        return
    try:
        stream.socket.shutdown(socket.SHUT_WR)
    except OSError as error:
        _logger.debug("connection ended", extra={"error": repr(error)})


def _log_failed_read(reading: "asyncio.Future[bytes]") -> None:
    """Log the error of a read, if any, so that it counts as retrieved.

    While a process stops, nobody may await the read any more, and asyncio would report a closed
    connection as "Task exception was never retrieved".
    """
    error = None if reading.cancelled() else reading.exception()
    if error is not None:
        _logger.debug("connection ended", extra={"error": repr(error)})


class _CompleteRequest(httputil.HTTPMessageDelegate):
    """Passes on one request; drops it if the final response was sent before it was complete."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        connection: httputil.HTTPConnection,
        server: GracefulServer,
    ) -> None:
        self._inner = inner
        self._connection = connection
        self._server = server

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Pass on the headers."""
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body."""
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Pass on the complete request, or drop it after the final response."""
        if self._server.mark_received(self._connection):
            self._inner.finish()
        else:
            self._inner.on_connection_close()

    def on_connection_close(self) -> None:
        """Pass on that the connection closed before the end of the request."""
        self._inner.on_connection_close()
