"""Requests that are too large or too slow are bounded, and hurt no other caller."""

import asyncio
import re
from collections.abc import Awaitable, Callable

from tests.platform.standin import HOST, PREFIX
from tests.platform.test_whole_path import HOST_ADDRESS, Front, play

LIMITS = {
    "maxHeaderBytes": 2_000,
    "maxBodyBytes": 3_000,
    "headerTimeoutMs": 400,
    "idleTimeoutMs": 700,
}
HEAD = f"HTTP/1.1\r\nHost: {HOST}\r\n"


async def _limited(front: Front) -> None:
    """Put the limits in force and wait until they are."""
    front.standin.configure(9, limits=LIMITS)

    async def in_force() -> bool:
        return all(process.member.feed.version == 9 for process in front.processes)

    await front.until(in_force)


async def _talk(front: Front, text: str) -> bytes:
    """Send some text over a new connection and return all that comes until it ends."""
    port = front.processes[0].boot.listen.front.rpartition(":")[2]
    reader, writer = await asyncio.open_connection(HOST_ADDRESS, int(port))
    writer.write(text.encode())
    try:
        async with asyncio.timeout(5.0):
            return await reader.read()
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


def _status(answer: bytes) -> list[int]:
    # A body does not end with its line, so that the next answer may follow it at once.
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+)", answer)]


def _play(check: Callable[[Front], Awaitable[None]]) -> None:
    async def scenario(front: Front) -> None:
        await _limited(front)
        await check(front)
        # Whatever one caller sends, another one is served.
        assert (await front.call(0, "GET", PREFIX)).code == 200

    play(scenario)


SIZED = {
    "small": (f"GET {PREFIX} {HEAD}Connection: close\r\n\r\n", [200]),
    "headers": (f"GET {PREFIX} {HEAD}X: {'x' * 3_000}\r\n\r\n", [431]),
    "key": (f"GET {PREFIX} {HEAD}Authorization: Bearer {'k' * 60_000}\r\n\r\n", [431]),
    "flood": (f"GET {PREFIX} {HEAD}X: {'x' * 200_000}\r\n\r\n", []),
    "body": (f"POST {PREFIX}aa {HEAD}Content-Length: 3001\r\n\r\n", [413]),
    "huge body": (f"POST {PREFIX}aa {HEAD}Content-Length: 99999999999999\r\n\r\n", [413]),
    "chunks": (
        f"POST {PREFIX}aa {HEAD}Transfer-Encoding: chunked\r\n\r\nbb9\r\n{'x' * 0xBB9}",
        [413],
    ),
}


def test_what_is_too_large_is_refused() -> None:
    async def check(front: Front) -> None:
        found = {name: _status(await _talk(front, text)) for name, (text, _) in SIZED.items()}
        assert found == {name: status for name, (_, status) in SIZED.items()}

    _play(check)


def test_a_connection_without_a_whole_request_is_closed() -> None:
    async def check(front: Front) -> None:
        for text in ("", f"GET {PREFIX} HTTP/1.1\r\nHost: "):
            assert await _talk(front, text) == b""

    _play(check)


def test_calls_that_come_together_are_answered_in_turn() -> None:
    async def check(front: Front) -> None:
        calls = f"GET {PREFIX} {HEAD}\r\n" * 20
        assert _status(await _talk(front, calls)) == [200] * 20

    _play(check)
