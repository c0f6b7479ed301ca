"""A pool of persistent HTTP connections to upstreams that never repeats a request by itself.

tornado's simple client opens a connection for every request. Its curl client reuses connections,
but lets libcurl repeat a request, whatever its method, when a reused connection dies. This client
reuses connections with tornado's own ``HTTP1Connection`` and reports what the verdicts depend on:
whether a byte of the request may have been sent.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from math import inf

import msgspec
from tornado import http1connection, httputil, iostream, tcpclient

from sablemount.boottime import monotonic

__all__ = ["Response", "IncompleteResponse", "RequestNotSent", "StreamingWait", "UpstreamPool"]

IDLE_TIMEOUT_S = 4.0
"""Seconds after which an idle connection is closed; upstreams commonly close idle connections after
a longer time."""
OVERDUE_AFTER_S = 0.1
"""Seconds after which a call without a response is overdue, 25 times the usual response time. The
connections to its address that were idle when it was sent are not reused then: open connections
can stop responding together, without a reset, while new ones work."""
MIN_EXPIRY_INTERVAL_S = 0.1
"""Shortest interval between two checks for connections that have been idle for too long."""
CONNECT_CHECK_TIMEOUT_S = 0.5
"""Seconds in which a connection has to open that is only opened as a check."""
RESET_CHECK_S = 0.03
"""Seconds in which an upstream resets a connection that is only opened as a check. Until then it
stays open if this machine is lost, so the time is short: several round trips."""
RESET_ON_OPEN_WITHIN_S = 0.25
"""Seconds from the opening of a connection within which its end counts as a refusal to take it."""
CONNECTION_PARAMETERS = http1connection.HTTP1ConnectionParameters(max_body_size=64 * 1024 * 1024)
NO_STATUS = 0


class RequestNotSent(Exception):
    """No byte of the request was sent.

    ``refused`` is true if the connection was refused: nothing listens at the address.
    ``reset_on_open`` is true if it was reset as it was opened: the upstream takes no more of them.
    """

    def __init__(self, reason: str, refused: bool = False, reset_on_open: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused
        self.reset_on_open = reset_on_open


class IncompleteResponse(Exception):
    """The request may have arrived, but no complete response was received.

    ``received`` is the number of bytes of the response's body that arrived. ``reset_on_open`` is
    true if the upstream closed the connection as soon as it was opened, as it does while it has as
    many connections as it accepts.
    """

    def __init__(self, reason: str, received: int = 0, reset_on_open: bool = False) -> None:
        super().__init__(reason)
        self.received = received
        self.reset_on_open = reset_on_open


def _cause(error: Exception) -> Exception:
    """Return the error of the socket that closed a stream, if there is one."""
    return getattr(error, "real_error", None) or error


class Response(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class StreamingWait(msgspec.Struct, frozen=True):
    """How to wait for a response that may be long.

    ``on_received`` is called with the number of bytes of each part, and ``gap_timeout`` is the
    time in seconds that may pass between two parts.
    """

    gap_timeout: float
    on_received: Callable[[int], None]


class _PendingCall:
    """A call without a response so far: when it was sent, and from when it is overdue."""

    __slots__ = ("overdue_at", "sent_at")

    def __init__(self, sent_at: float, overdue_at: float) -> None:
        self.sent_at = sent_at
        self.overdue_at = overdue_at


class _ResponseCollector(httputil.HTTPMessageDelegate):
    """Collects one response; ``complete`` is set only once all of it has arrived."""

    __slots__ = (
        "_pending",
        "_streaming",
        "timeout_scope",
        "chunks",
        "complete",
        "headers",
        "status",
    )

    def __init__(self, pending: _PendingCall, streaming: StreamingWait | None) -> None:
        self._pending = pending
        self._streaming = streaming
        self.timeout_scope: asyncio.Timeout | None = None
        """The time limit for the response."""
        self.status = NO_STATUS
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the status and the headers."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    @property
    def received(self) -> int:
        """Return the number of bytes of the body received so far."""
        return sum(len(chunk) for chunk in self.chunks)

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body; from now on the call cannot be overdue."""
        self.chunks.append(chunk)
        self._pending.overdue_at = float("inf")
        if self._streaming is not None:
            self._streaming.on_received(len(chunk))
            self._extend_timeout(self._streaming.gap_timeout)

    def _extend_timeout(self, seconds: float) -> None:
        timeout_scope = self.timeout_scope
        until = asyncio.get_running_loop().time() + seconds
        if timeout_scope is not None and until > (timeout_scope.when() or until):
            timeout_scope.reschedule(until)

    def finish(self) -> None:
        """Mark the response complete."""
        self.complete = True

    def on_connection_close(self) -> None:
        """Leave the response incomplete."""


async def _closes(stream: iostream.IOStream) -> None:
    """Wait until a connection over which nothing was sent is closed."""
    with contextlib.suppress(iostream.StreamClosedError):
        await stream.read_bytes(1)


class UpstreamPool:
    """Reusable connections to upstreams, a limited number to each address."""

    def __init__(self, per_address: int, idle_seconds: float = IDLE_TIMEOUT_S) -> None:
        self._per_address = per_address
        self._idle_seconds = idle_seconds
        self._client = tcpclient.TCPClient()
        self._idle: dict[str, list[tuple[float, iostream.IOStream]]] = {}
        self._open: dict[str, int] = {}
        self._pending: dict[str, set[_PendingCall]] = {}
        """Calls without a response so far, by address."""
        self._distrusted_before: dict[str, float] = {}
        """By address, a time: connections that became idle before it are not reused."""
        self._expiry_timer: asyncio.TimerHandle | None = None
        self.resets_on_open = 0
        """Number of connections that an upstream closed as soon as they were opened."""

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return sum(self._open.values())

    @property
    def highest_open_count(self) -> int:
        """Return how many connections are open to the address that has the most."""
        return max(self._open.values(), default=0)

    async def fetch(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        not_after: float = float("inf"),
        method: str = "POST",
        waits: float = 0.0,
        streaming: StreamingWait | None = None,
    ) -> Response:
        """Send a request once and return the complete response.

        ``timeout`` is in seconds. ``not_after`` is the last monotonic time at which the request
        may be handed to the network. ``waits`` is how many seconds the upstream may delay its
        response, as in long polling, before the call can become overdue. With ``streaming``, a
        response that has begun may take longer than ``timeout`` as long as more of it arrives.
        Raises ``RequestNotSent`` or ``IncompleteResponse``.
        """
        deadline = monotonic() + timeout
        stream, is_new = await self._take(address, deadline)
        # Checked immediately before sending: the process may have been paused while it connected.
        if monotonic() > not_after:
            self._put_back(address, stream)
            raise RequestNotSent("the lease is over")
        now = monotonic()
        pending = _PendingCall(now, now + waits + OVERDUE_AFTER_S)
        self._pending.setdefault(address, set()).add(pending)
        try:
            collector = _ResponseCollector(pending, streaming)
            response = await self._exchange(
                stream, address, method, path, body, headers, deadline, collector
            )
        except IncompleteResponse as error:
            if is_new and self._was_reset_on_open(stream, collector, now):
                error.reset_on_open = True
                self.resets_on_open += 1
            self._discard(address, stream)
            # Connections that were idle before the call was sent may have failed with this one.
            self._distrust(address, pending.sent_at)
            raise
        except BaseException:
            self._discard(address, stream)
            raise
        finally:
            self._pending[address].discard(pending)
        self._put_back(address, stream)
        return response

    @staticmethod
    def _was_reset_on_open(
        stream: iostream.IOStream, collector: "_ResponseCollector", opened_at: float
    ) -> bool:
        """Return whether a new connection ended at once, without a part of a response."""
        early = monotonic() - opened_at < RESET_ON_OPEN_WITHIN_S
        return early and stream.closed() and collector.status == NO_STATUS

    def _distrust_overdue(self, address: str, now: float) -> None:
        """Distrust connections that were idle when a call that is overdue by now was sent."""
        for call in self._pending.get(address, ()):
            if now > call.overdue_at:
                self._distrust(address, call.sent_at)

    def _distrust(self, address: str, before: float) -> None:
        self._distrusted_before[address] = max(self._distrusted_before.get(address, 0.0), before)

    async def _exchange(
        self,
        stream: iostream.IOStream,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline: float,
        collector: "_ResponseCollector",
    ) -> Response:
        connection = http1connection.HTTP1Connection(stream, True, CONNECTION_PARAMETERS)
        fields = httputil.HTTPHeaders(headers)
        fields["Host"] = address
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        try:
            start = httputil.RequestStartLine(method, path, "HTTP/1.1")
            # The write is not awaited: if it fails, no response arrives.
            connection.write_headers(start, fields, body)
            connection.finish()
            # Unlike asyncio.wait_for with a coroutine, this timeout needs no task of its own.
            async with asyncio.timeout(max(0.0, deadline - monotonic())) as timeout_scope:
                collector.timeout_scope = timeout_scope
                await connection.read_response(collector)
        except (
            TimeoutError,
            OSError,
            iostream.StreamClosedError,
            httputil.HTTPInputError,
        ) as error:
            raise IncompleteResponse(type(error).__name__, collector.received) from error
        if not collector.complete:
            reason = "the connection closed before the end of the answer"
            raise IncompleteResponse(reason, collector.received)
        return Response(collector.status, collector.headers, b"".join(collector.chunks))

    async def _take(self, address: str, deadline: float) -> tuple[iostream.IOStream, bool]:
        """Return a connection, and whether it is new."""
        now = monotonic()
        self._distrust_overdue(address, now)
        reusable_from = max(now - self._idle_seconds, self._distrusted_before.get(address, 0.0))
        idle = self._idle.get(address, [])
        while idle:
            idle_since, stream = idle.pop()
            if not stream.closed() and idle_since > reusable_from:
                return stream, False
            self._discard(address, stream)
        if self._open.get(address, 0) >= self._per_address:
            raise RequestNotSent("all connections to the upstream are in use")
        return await self._connect(address, deadline), True

    async def _connect(self, address: str, deadline: float) -> iostream.IOStream:
        host, _, port = address.rpartition(":")
        self._open[address] = self._open.get(address, 0) + 1
        try:
            connecting = self._client.connect(host, int(port))
            stream = await asyncio.wait_for(connecting, max(0.0, deadline - monotonic()))
        except (TimeoutError, OSError, iostream.StreamClosedError) as error:
            self._open[address] -= 1
            refused = isinstance(_cause(error), ConnectionRefusedError)
            reset = isinstance(_cause(error), ConnectionResetError)
            self.resets_on_open += reset
            raise RequestNotSent(type(error).__name__, refused, reset) from error
        except BaseException:
            # The caller was cancelled while it connected: the connection no longer counts.
            self._open[address] -= 1
            raise
        stream.set_nodelay(True)
        return stream

    def _put_back(self, address: str, stream: iostream.IOStream) -> None:
        if stream.closed():
            self._open[address] -= 1
            return
        self._idle.setdefault(address, []).append((monotonic(), stream))
        if self._expiry_timer is None:
            self._schedule_expiry(self._idle_seconds)

    def _schedule_expiry(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(seconds, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections that were idle for too long, and come back for the next one."""
        self._expiry_timer = None
        expired_before = monotonic() - self._idle_seconds
        oldest = inf
        for address, idle in list(self._idle.items()):
            while idle and idle[0][0] <= expired_before:
                self._discard(address, idle.pop(0)[1])
            oldest = min(oldest, idle[0][0]) if idle else oldest
            if not idle:
                del self._idle[address]
        if oldest < inf:
            self._schedule_expiry(max(MIN_EXPIRY_INTERVAL_S, oldest - expired_before))

    def _discard(self, address: str, stream: iostream.IOStream) -> None:
        self._open[address] -= 1
        stream.close()

    async def takes_connections(self, address: str, count: int) -> bool | None:
        """Open some connections beside the others, and close them at once.

        Return whether the upstream keeps them open, and ``None`` if one cannot be opened at all.
        """
        deadline = monotonic() + CONNECT_CHECK_TIMEOUT_S
        streams: list[iostream.IOStream] = []
        try:
            for _ in range(count):
                streams.append(await self._connect(address, deadline))
            reading = [asyncio.ensure_future(_closes(stream)) for stream in streams]
            await asyncio.wait(reading, timeout=RESET_CHECK_S, return_when=asyncio.FIRST_COMPLETED)
            return not any(task.done() for task in reading)
        except RequestNotSent as error:
            return False if error.reset_on_open else None
        finally:
            for stream in streams:
                self._discard(address, stream)

    def close_idle(self, address: str | None = None) -> None:
        """Close the idle connections, to one address or to all."""
        for name in [address] if address is not None else list(self._idle):
            for _, stream in self._idle.pop(name, ()):
                self._discard(name, stream)

    def close(self) -> None:
        """Close the idle connections, and use no more of them."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        self.close_idle()
        self._client.close()
