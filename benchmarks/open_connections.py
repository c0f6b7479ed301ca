"""Callers that keep their connection and use it until the process at its end is gone."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.node_processes import Node
from tests.platform.standin import HOST, PREFIX

__all__ = ["Answer", "Cut", "OpenConnection"]

BETWEEN_CALLS = 0.1
"""Seconds between an answer and the next call on the same connection."""
RECONNECT_PAUSE = 0.1
ANSWER_LIMIT = 8.0
"""Seconds without an answer after which a caller gives its connection up."""


@dataclass(frozen=True)
class Answer:
    """The answer to one call: its status and body."""

    code: int
    body: bytes


@dataclass(frozen=True)
class Cut:
    """A call whose connection ended without an answer."""

    node: Node
    life: int
    waited: float


class OpenConnection:
    """One caller of one process; what it asks for and what it makes of it come from outside."""

    def __init__(self, node: Node, cut: Callable[[Cut], None]) -> None:
        self._node = node
        self._cut = cut
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._life = 0

    async def call(self, method: str, job: str, body: object, key: str) -> Answer | None:
        """Make one call over the open connection; ``None`` without an answer."""
        if not await self._connected():
            await asyncio.sleep(RECONNECT_PAUSE)
            return None
        assert self._writer is not None
        self._writer.write(_request(method, job, body, key))
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_LIMIT):
                answer = await self._answer()
        except TimeoutError:
            self.close()
            return None
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._cut(Cut(self._node, self._life, time.monotonic() - sent_at))
            self.close()
            return None
        await asyncio.sleep(BETWEEN_CALLS)
        return answer

    async def _connected(self) -> bool:
        if self._writer is not None:
            return True
        host, _, port = self._node.front.rpartition(":")
        try:
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        self._life = self._node.lives
        return True

    async def _answer(self) -> Answer:
        assert self._reader is not None
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection") == "close":
            self.close()
        return Answer(int(head[0].split()[1]), body)

    def close(self) -> None:
        """End the connection; the next call opens another."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def _request(method: str, job: str, body: object, key: str) -> bytes:
    payload = b"" if body is None else json.dumps(body).encode()
    lines = (
        f"{method} {PREFIX}{job} HTTP/1.1",
        f"Host: {HOST}",
        "Deadline-Ms: 3000",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(payload)}",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + payload
