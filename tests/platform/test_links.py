"""The connections between the processes fail as the soak wants them to, and not otherwise."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from tests.platform.links import Direction, Link

SOON = 5.0
"""Seconds within which what is not held up arrives on any machine."""
A_WHILE = 0.2
"""Seconds for which nothing is seen to arrive."""
SENT = b"x" * 4_000


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while piece := await reader.read(1_024):
        writer.write(piece)
    writer.close()


async def _through(
    play: Callable[[Link, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> None:
    """Play something over a connection to an echo."""
    server = await asyncio.start_server(_echo, "127.0.0.1")
    host, port = server.sockets[0].getsockname()
    link = Link(f"{host}:{port}", random.Random(1))
    to = link.address.rpartition(":")
    reader, writer = await asyncio.open_connection(to[0], int(to[2]))
    await play(link, reader, writer)
    writer.close()
    link.close()
    server.close()


async def _echoed(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(SOON):
        return await reader.readexactly(len(SENT))


def test_all_bytes_arrive_in_both_directions_and_so_does_the_end() -> None:
    async def play(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(SENT)
        assert await _echoed(reader) == SENT
        writer.write_eof()
        async with asyncio.timeout(SOON):
            assert await reader.read() == b""

    asyncio.run(_through(play))


@pytest.mark.parametrize("direction", Direction)
def test_what_is_silent_is_held_back_and_arrives_once_it_is_not(direction: Direction) -> None:
    async def play(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link.silence(direction)
        writer.write(SENT)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(A_WHILE):
                await reader.read(1)
        link.calm()
        assert await _echoed(reader) == SENT

    asyncio.run(_through(play))


def test_connections_are_reset_and_new_ones_are_taken() -> None:
    async def play(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(SENT)
        await _echoed(reader)
        link.reset()
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(SOON):
                await reader.read()
        host, _, port = link.address.rpartition(":")
        again, other = await asyncio.open_connection(host, int(port))
        other.write(SENT)
        assert await _echoed(again) == SENT
        other.close()

    asyncio.run(_through(play))


@pytest.mark.parametrize("after", [0, 1, 1_500])
def test_a_connection_is_reset_at_some_byte(after: int) -> None:
    async def play(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link.reset_after = after
        writer.write(SENT)
        got = b""
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(SOON):
                while True:
                    piece = await reader.read(100)
                    assert piece
                    got += piece
        assert len(got) <= after

    asyncio.run(_through(play))


def test_where_nothing_listens_a_connection_is_reset_and_a_closed_link_refuses() -> None:
    async def scenario() -> None:
        link = Link("127.0.0.1:1", random.Random(1))
        host, _, port = link.address.rpartition(":")
        reader, _ = await asyncio.open_connection(host, int(port))
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(SOON):
                await reader.read()
        link.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))

    asyncio.run(scenario())
