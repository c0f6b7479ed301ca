"""A server that takes a limited number of connections and resets further ones."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
HOST = "127.0.0.1"


class LimitedServer:
    """Answers each request after ``delay_s`` seconds."""

    def __init__(self, limit: int, delay_s: float = 0.0) -> None:
        self.limit = limit
        self.delay_s = delay_s
        self.address = ""
        self.opened = 0
        self.resets = 0
        self.highest = 0
        self.seen = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._writers)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection, or reset it."""
        if len(self._writers) >= self.limit:
            self.resets += 1
            writer.transport.abort()
            return
        self.opened += 1
        self._writers.add(writer)
        self.highest = max(self.highest, len(self._writers))
        try:
            await self._answer(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
                await reader.readexactly(length)
                self.seen += 1
                await asyncio.sleep(self.delay_s)
                writer.write(OK)
                await writer.drain()


@contextlib.asynccontextmanager
async def listening(server: LimitedServer) -> AsyncIterator[LimitedServer]:
    """Let a server listen at a free port."""
    listener = await asyncio.start_server(server.serve, HOST, 0)
    host, port = listener.sockets[0].getsockname()[:2]
    server.address = f"{host}:{port}"
    try:
        yield server
    finally:
        listener.close()
