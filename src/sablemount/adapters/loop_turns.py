"""A limit on how much of the event loop the parsing of chunked bodies takes.

Each chunk costs some microseconds, whatever its size. A request's first chunks are read at once;
further ones wait for a turn, of which few are given in each iteration of the event loop.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from tornado import iostream

__all__ = ["LoopTurns", "limit_chunks"]

FREE_CHUNKS = 16
"""Chunks of a connection that are read before it waits for its first turn."""
CHUNKS_PER_TURN = 128
TURNS_PER_ITERATION = 2
"""Turns given in one iteration of the event loop, over all connections."""

Read = Callable[..., Awaitable[bytes]]


class LoopTurns:
    """Gives turns in the order in which they were requested."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._scheduled = False

    async def wait(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        if not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._give)
        await turn

    def _give(self) -> None:
        given = 0
        while self._waiting and given < TURNS_PER_ITERATION:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                given += 1
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            asyncio.get_running_loop().call_soon(self._give)


def limit_chunks(stream: iostream.IOStream, turns: LoopTurns) -> None:
    """Have the chunks that arrive on a connection wait for turns.

    The server reads up to a delimiter only for the size of a chunk.
    """
    read = stream.read_until
    chunks = 0

    def read_chunk_size(delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        nonlocal chunks
        chunks += 1
        if chunks % CHUNKS_PER_TURN != FREE_CHUNKS:
            return read(delimiter, max_bytes)
        return asyncio.ensure_future(_read_in_turn(stream, turns, read, delimiter, max_bytes))

    stream.read_until = read_chunk_size  # type: ignore[method-assign]


async def _read_in_turn(
    stream: iostream.IOStream,
    turns: LoopTurns,
    read: Read,
    delimiter: bytes,
    max_bytes: int | None,
) -> bytes:
    await turns.wait()
    if stream.closed():
        # What is still buffered would be parsed for a client that has gone.
        raise iostream.StreamClosedError()
    return await read(delimiter, max_bytes)
