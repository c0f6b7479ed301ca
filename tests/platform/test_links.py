"""``Link`` injects exactly the connection faults that are configured."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from tests.platform.links import Direction, Link

ARRIVAL_TIMEOUT_S = 5.0
"""Time within which undelayed data arrives on any machine."""
QUIET_PERIOD_S = 0.2
"""Time for which the tests check that no data arrives."""
PAYLOAD = b"x" * 4_000


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while chunk := await reader.read(1_024):
        writer.write(chunk)
    writer.close()


async def _run_over_link(
    scenario: Callable[[Link, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> None:
    """Run a scenario over a link to an echo server."""
    server = await asyncio.start_server(_echo, "127.0.0.1")
    host, port = server.sockets[0].getsockname()
    link = Link(f"{host}:{port}", random.Random(1))
    to = link.address.rpartition(":")
    reader, writer = await asyncio.open_connection(to[0], int(to[2]))
    await scenario(link, reader, writer)
    writer.close()
    link.close()
    server.close()


async def _read_echo(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
        return await reader.readexactly(len(PAYLOAD))


def test_all_bytes_arrive_in_both_directions_and_so_does_the_end() -> None:
    async def scenario(
        link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(PAYLOAD)
        assert await _read_echo(reader) == PAYLOAD
        writer.write_eof()
        async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
            assert await reader.read() == b""

    asyncio.run(_run_over_link(scenario))


@pytest.mark.parametrize("direction", Direction)
def test_data_of_a_silent_direction_arrives_once_it_is_no_longer_silent(
    direction: Direction,
) -> None:
    async def scenario(
        link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link.block(direction)
        writer.write(PAYLOAD)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(QUIET_PERIOD_S):
                await reader.read(1)
        link.clear_faults()
        assert await _read_echo(reader) == PAYLOAD

    asyncio.run(_run_over_link(scenario))


def test_connections_are_reset_and_new_ones_are_taken() -> None:
    async def scenario(
        link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(PAYLOAD)
        await _read_echo(reader)
        link.reset()
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                await reader.read()
        host, _, port = link.address.rpartition(":")
        new_reader, new_writer = await asyncio.open_connection(host, int(port))
        new_writer.write(PAYLOAD)
        assert await _read_echo(new_reader) == PAYLOAD
        new_writer.close()

    asyncio.run(_run_over_link(scenario))


@pytest.mark.parametrize("after", [0, 1, 1_500])
def test_a_connection_is_reset_at_some_byte(after: int) -> None:
    async def scenario(
        link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link.reset_after = after
        writer.write(PAYLOAD)
        received = b""
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                while True:
                    chunk = await reader.read(100)
                    assert chunk
                    received += chunk
        assert len(received) <= after

    asyncio.run(_run_over_link(scenario))


def test_where_nothing_listens_a_connection_is_reset_and_a_closed_link_refuses() -> None:
    async def scenario() -> None:
        link = Link("127.0.0.1:1", random.Random(1))
        host, _, port = link.address.rpartition(":")
        reader, _ = await asyncio.open_connection(host, int(port))
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                await reader.read()
        link.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))

    asyncio.run(scenario())
