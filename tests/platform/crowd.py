"""Clients that begin a request and do not end it, all of them at once.

A member of a crowd sends its text, stops, and keeps the connection open. One whose connection the
server closes connects again after a pause.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Sequence

from tests.platform.standin import HOST, PREFIX

__all__ = [
    "Text",
    "begun_headers",
    "chunked",
    "complete_jobs",
    "crowd",
    "frame",
    "in_pieces",
    "many_headers",
    "sized",
    "unread_answers",
]

RECONNECT_PAUSE_S = 1.0
PIECE_BYTES = 16 * 1024
HEAD = f"POST {PREFIX}{{:016x}} HTTP/1.1\r\nHost: {HOST}\r\n"
Text = Sequence[bytes]
"""What a client sends: pieces, between which it gives way to the other clients."""


def sized(length: int, missing: int = 1) -> Text:
    """Return a request with a declared length whose last bytes are missing."""
    return [_head(f"Content-Length: {length}"), b" " * (length - missing)]


def in_pieces(text: Text) -> Text:
    """Return the same request, divided into small pieces."""
    return [
        part[start : start + PIECE_BYTES]
        for part in text
        for start in range(0, len(part), PIECE_BYTES)
    ]


def chunked(length: int, chunk: int) -> Text:
    """Return a chunked request of chunks of one size, without the chunk that ends the body."""
    row = f"{chunk:x}\r\n".encode() + b" " * chunk + b"\r\n"
    return [_head("Transfer-Encoding: chunked"), row * (length // chunk)]


def frame(length: int) -> Text:
    """Return a frame of the links between members whose last byte is missing."""
    return [length.to_bytes(4, "big"), b" " * (length - 1)]


def many_headers(length: int) -> Text:
    """Return a request of short headers of a total length, whose body does not arrive."""
    names = (f"{number:x}:\r\n" for number in range(length))
    rows = ""
    while len(rows) < length:
        rows += next(names)
    return [f"{HEAD.format(0xC0)}{rows}Content-Length: 9\r\n\r\n".encode()]


def complete_jobs(length: int) -> Text:
    """Return a job of as many steps as the length of the body allows."""
    step = b'{"count":1},'
    steps = step * (length // len(step))
    body = b'{"spec":"","steps":[' + steps.rstrip(b",") + b"]}"
    return [_head(f"Content-Length: {len(body)}"), body]


def unread_answers(path: str, count: int) -> Text:
    """Return calls whose answers are not read."""
    return [f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * count]


def begun_headers(length: int) -> Text:
    """Return headers that do not end."""
    return [f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\nX: ".encode() + b"x" * length]


def _head(framing: str) -> bytes:
    return f"{HEAD.format(0xC0)}{framing}\r\n\r\n".encode()


class _Crowd:
    """Connections of clients that send the same text."""

    def __init__(self, address: str, text: Text, reads: bool) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._text = text
        self._reads = reads
        self.stopped: set[int] = set()
        """Clients that have sent their text, or whose connection was closed, at least once."""

    async def run_client(self, number: int) -> None:
        """Send the text over one connection after another."""
        while True:
            with contextlib.suppress(OSError):
                await self._connect(number)
            self.stopped.add(number)
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connect(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            await loop.sock_connect(connection, self._address)
            for piece in self._text:
                await loop.sock_sendall(connection, piece)
                await asyncio.sleep(0)
            self.stopped.add(number)
            while not self._reads:
                await asyncio.sleep(RECONNECT_PAUSE_S)
            while await loop.sock_recv(connection, PIECE_BYTES):
                pass


@contextlib.asynccontextmanager
async def crowd(
    address: str, text: Text, size: int, patience_s: float, reads: bool = True
) -> AsyncIterator[None]:
    """Keep ``size`` clients at an address; enter once each has sent what it can.

    A server may leave a text unread; it is waited for ``patience_s`` seconds at most.
    """
    clients = _Crowd(address, text, reads)
    tasks = [asyncio.create_task(clients.run_client(number)) for number in range(size)]
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                while len(clients.stopped) < size:
                    await asyncio.sleep(0.05)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
