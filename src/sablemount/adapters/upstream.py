"""Kept HTTP connections to upstreams that never repeat a request by themselves.

tornado's simple client opens a connection for every request, and its curl client keeps
connections but lets libcurl reissue a request when a kept one dies, whatever the method. This
client keeps connections over tornado's own ``HTTP1Connection`` and tells apart what the verdicts
need: whether a byte of the request may have left.
"""

import asyncio
from collections.abc import Callable, Mapping

import msgspec
from tornado import http1connection, httputil, iostream, tcpclient

from sablemount.boottime import monotonic

__all__ = ["Answer", "CutShort", "NotSent", "Parts", "UpstreamPool"]

IDLE_SECONDS = 4.0
"""How long a connection may idle and still be used; upstreams commonly close idle ones later."""
SUSPECT_AFTER = 0.1
"""Seconds without an answer, 25 times a usual one, after which other idle connections to the same
address are not used: open connections may fall silent together, without a reset, while new ones
work."""
PARAMETERS = http1connection.HTTP1ConnectionParameters(max_body_size=64 * 1024 * 1024)
NO_STATUS = 0


class NotSent(Exception):
    """No byte of the request has left; ``refused`` tells that nothing listens at the address."""

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class CutShort(Exception):
    """The request may have arrived, and no whole answer came.

    ``received`` is how many bytes of its body did.
    """

    def __init__(self, reason: str, received: int = 0) -> None:
        super().__init__(reason)
        self.received = received


def _is_refusal(error: Exception) -> bool:
    cause = getattr(error, "real_error", None) or error
    return isinstance(cause, ConnectionRefusedError)


class Answer(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class Parts(msgspec.Struct, frozen=True):
    """How an answer is awaited that may be long: ``arrived`` takes the bytes of each part.

    ``silence`` is for how many seconds none may come once the first has.
    """

    silence: float
    arrived: Callable[[int], None]


class _Awaited:
    """A call without an answer: when it was sent, and from when on it is overdue."""

    __slots__ = ("due_at", "sent_at")

    def __init__(self, sent_at: float, due_at: float) -> None:
        self.sent_at = sent_at
        self.due_at = due_at


class _Collector(httputil.HTTPMessageDelegate):
    """Collects one answer; ``complete`` is set only when all of it is there."""

    __slots__ = ("_awaited", "_parts", "bound", "chunks", "complete", "headers", "status")

    def __init__(self, awaited: _Awaited, parts: Parts | None) -> None:
        self._awaited = awaited
        self._parts = parts
        self.bound: asyncio.Timeout | None = None
        """What ends the wait for the answer."""
        self.status = NO_STATUS
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the status and the headers."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    @property
    def received(self) -> int:
        """Return how many bytes of the body have come."""
        return sum(len(chunk) for chunk in self.chunks)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.chunks.append(chunk)
        self._awaited.due_at = float("inf")
        if self._parts is not None:
            self._parts.arrived(len(chunk))
            self._await_more(self._parts.silence)

    def _await_more(self, seconds: float) -> None:
        bound = self.bound
        until = asyncio.get_running_loop().time() + seconds
        if bound is not None and until > (bound.when() or until):
            bound.reschedule(until)

    def finish(self) -> None:
        """Take the end of the answer."""
        self.complete = True

    def on_connection_close(self) -> None:
        """Leave the answer incomplete."""


class UpstreamPool:
    """Connections to upstreams by address, a limited number to each."""

    def __init__(self, per_address: int, idle_seconds: float = IDLE_SECONDS) -> None:
        self._per_address = per_address
        self._idle_seconds = idle_seconds
        self._client = tcpclient.TCPClient()
        self._idle: dict[str, list[tuple[float, iostream.IOStream]]] = {}
        self._open: dict[str, int] = {}
        self._awaited: dict[str, set[_Awaited]] = {}
        """Calls without an answer, by address."""
        self._distrusted: dict[str, float] = {}
        """Time up to which connections that were put back are not used any more, by address."""

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
        parts: Parts | None = None,
    ) -> Answer:
        """Send a request once and return the whole answer.

        ``timeout`` is in seconds; ``not_after`` is the last monotonic time at which the bytes
        may be handed to the network, and ``waits`` the seconds for which the upstream is asked to
        hold its answer back. With ``parts`` an answer that has begun to come is awaited while more
        of it comes. Raises ``NotSent`` or ``CutShort``.
        """
        deadline = monotonic() + timeout
        stream = await self._take(address, deadline)
        # Checked at the last moment: the process may have been paused while it connected.
        if monotonic() > not_after:
            self._put_back(address, stream)
            raise NotSent("the lease is over")
        now = monotonic()
        awaited = _Awaited(now, now + waits + SUSPECT_AFTER)
        self._awaited.setdefault(address, set()).add(awaited)
        try:
            collector = _Collector(awaited, parts)
            answer = await self._exchange(
                stream, address, method, path, body, headers, deadline, collector
            )
        except CutShort:
            self._discard(address, stream)
            # What idled before the call was sent may have ended, or fallen silent, with it.
            self._distrust(address, awaited.sent_at)
            raise
        except BaseException:
            self._discard(address, stream)
            raise
        finally:
            self._awaited[address].discard(awaited)
        self._put_back(address, stream)
        return answer

    def _distrust_overdue(self, address: str, now: float) -> None:
        """Take that what idled before an overdue call was sent may have fallen silent with it."""
        for call in self._awaited.get(address, ()):
            if now > call.due_at:
                self._distrust(address, call.sent_at)

    def _distrust(self, address: str, before: float) -> None:
        self._distrusted[address] = max(self._distrusted.get(address, 0.0), before)

    async def _exchange(
        self,
        stream: iostream.IOStream,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline: float,
        collector: "_Collector",
    ) -> Answer:
        connection = http1connection.HTTP1Connection(stream, True, PARAMETERS)
        fields = httputil.HTTPHeaders(headers)
        fields["Host"] = address
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        try:
            start = httputil.RequestStartLine(method, path, "HTTP/1.1")
            # Nothing waits for the write: a failed one shows as an answer that does not come.
            connection.write_headers(start, fields, body)
            connection.finish()
            # A timeout in place costs no task of its own, as waiting for one would.
            async with asyncio.timeout(max(0.0, deadline - monotonic())) as bound:
                collector.bound = bound
                await connection.read_response(collector)
        except (
            TimeoutError,
            OSError,
            iostream.StreamClosedError,
            httputil.HTTPInputError,
        ) as error:
            raise CutShort(type(error).__name__, collector.received) from error
        if not collector.complete:
            reason = "the connection closed before the end of the answer"
            raise CutShort(reason, collector.received)
        return Answer(collector.status, collector.headers, b"".join(collector.chunks))

    async def _take(self, address: str, deadline: float) -> iostream.IOStream:
        now = monotonic()
        self._distrust_overdue(address, now)
        trusted_from = max(now - self._idle_seconds, self._distrusted.get(address, 0.0))
        idle = self._idle.get(address, [])
        while idle:
            since, stream = idle.pop()
            if not stream.closed() and since > trusted_from:
                return stream
            self._discard(address, stream)
        if self._open.get(address, 0) >= self._per_address:
            raise NotSent("all connections to the upstream are in use")
        return await self._connect(address, deadline)

    async def _connect(self, address: str, deadline: float) -> iostream.IOStream:
        host, _, port = address.rpartition(":")
        self._open[address] = self._open.get(address, 0) + 1
        try:
            connecting = self._client.connect(host, int(port))
            stream = await asyncio.wait_for(connecting, max(0.0, deadline - monotonic()))
        except (TimeoutError, OSError, iostream.StreamClosedError) as error:
            self._open[address] -= 1
            raise NotSent(type(error).__name__, _is_refusal(error)) from error
        except BaseException:
            # A caller that gives up while it connects: its place in the limit is free again.
            self._open[address] -= 1
            raise
        stream.set_nodelay(True)
        return stream

    def _put_back(self, address: str, stream: iostream.IOStream) -> None:
        if stream.closed():
            self._open[address] -= 1
        else:
            self._idle.setdefault(address, []).append((monotonic(), stream))

    def _discard(self, address: str, stream: iostream.IOStream) -> None:
        self._open[address] -= 1
        stream.close()

    def close(self) -> None:
        """Close the idle connections."""
        for streams in self._idle.values():
            for _, stream in streams:
                stream.close()
        self._idle.clear()
        self._client.close()
