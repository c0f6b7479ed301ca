"""Requests that are too large or too slow are refused and do not affect other callers."""

import asyncio
import re
from collections.abc import Awaitable, Callable

from tests.platform.standin import HOST, PREFIX
from tests.platform.test_whole_path import HOST_ADDRESS, ProcessPair, run_scenario

LIMITS = {
    "maxHeaderBytes": 2_000,
    "maxBodyBytes": 3_000,
    "headerTimeoutMs": 400,
    "idleTimeoutMs": 700,
}
HEAD = f"HTTP/1.1\r\nHost: {HOST}\r\n"


async def _apply_limits(pair: ProcessPair) -> None:
    """Configure the limits and wait until all processes apply them."""
    pair.standin.configure(9, limits=LIMITS)

    async def in_force() -> bool:
        return all(process.member.feed.version == 9 for process in pair.processes)

    await pair.until(in_force)


async def _exchange(pair: ProcessPair, text: str) -> bytes:
    """Send text over a new connection; return everything received until it is closed."""
    port = pair.processes[0].boot.listen.front.rpartition(":")[2]
    reader, writer = await asyncio.open_connection(HOST_ADDRESS, int(port))
    writer.write(text.encode())
    try:
        async with asyncio.timeout(5.0):
            return await reader.read()
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


def _statuses(response: bytes) -> list[int]:
    # A body has no line end, so the next response can follow it on the same line.
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+)", response)]


def _run_check(check: Callable[[ProcessPair], Awaitable[None]]) -> None:
    async def scenario(pair: ProcessPair) -> None:
        await _apply_limits(pair)
        await check(pair)
        # Whatever one caller sends, others are served.
        assert (await pair.call(0, "GET", PREFIX)).code == 200

    run_scenario(scenario)


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
    async def check(pair: ProcessPair) -> None:
        statuses = {
            name: _statuses(await _exchange(pair, text)) for name, (text, _) in SIZED.items()
        }
        assert statuses == {name: status for name, (_, status) in SIZED.items()}

    _run_check(check)


def test_a_connection_without_a_whole_request_is_closed() -> None:
    async def check(pair: ProcessPair) -> None:
        for text in ("", f"GET {PREFIX} HTTP/1.1\r\nHost: "):
            assert await _exchange(pair, text) == b""

    _run_check(check)


def test_calls_that_come_together_are_answered_in_turn() -> None:
    async def check(pair: ProcessPair) -> None:
        calls = f"GET {PREFIX} {HEAD}\r\n" * 20
        assert _statuses(await _exchange(pair, calls)) == [200] * 20

    _run_check(check)
