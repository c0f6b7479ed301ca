"""Callers that keep a connection open and use it until the process at its other end has ended."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.node_processes import Node
from tests.platform.standin import HOST

__all__ = ["Answer", "Cut", "OpenConnection"]

CALL_INTERVAL_S = 0.1
"""Seconds between a reply and the next call on the same connection."""
RECONNECT_DELAY_S = 0.1
REPLY_TIMEOUT_S = 8.0
"""Seconds without a reply after which a caller closes its connection."""


@dataclass(frozen=True)
class Answer:
    """The reply to a call: its status and body."""

    code: int
    body: bytes


@dataclass(frozen=True)
class Cut:
    """A call whose connection ended without a reply."""

    node: Node
    start_count: int
    waited: float


class OpenConnection:
    """A client of one process that reuses its connection."""

    def __init__(self, node: Node, cut: Callable[[Cut], None]) -> None:
        self._node = node
        self._cut = cut
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._life = 0

    async def call(self, method: str, path: str, body: object, key: str) -> Answer | None:
        """Make a call over the open connection; return ``None`` if there is no reply."""
        if not await self._connect():
            await asyncio.sleep(RECONNECT_DELAY_S)
            return None
        assert self._writer is not None
        self._writer.write(_request(method, path, body, key))
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                answer = await self._read_reply()
        except TimeoutError:
            self.close()
            return None
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._cut(Cut(self._node, self._life, time.monotonic() - sent_at))
            self.close()
            return None
        await asyncio.sleep(CALL_INTERVAL_S)
        return answer

    async def _connect(self) -> bool:
        if self._writer is not None:
            return True
        host, _, port = self._node.front.rpartition(":")
        try:
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        self._life = self._node.start_count
        return True

    async def _read_reply(self) -> Answer:
        assert self._reader is not None
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection") == "close":
            self.close()
        return Answer(int(head[0].split()[1]), body)

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def _request(method: str, path: str, body: object, key: str) -> bytes:
    payload = b"" if body is None else json.dumps(body).encode()
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "Deadline-Ms: 3000",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(payload)}",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + payload
