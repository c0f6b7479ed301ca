"""What the connection pool leaves at an upstream that takes a limited number of connections."""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.adapters.upstream import IncompleteResponse, UpstreamPool
from tests.limited_server import LimitedServer, listening

WAIT_LIMIT_S = 10.0
"""Time limit of a call or of a wait; nothing that is checked depends on it."""


async def _post(pool: UpstreamPool, server: LimitedServer) -> None:
    await pool.fetch(server.address, "/serve", b"hi", {}, WAIT_LIMIT_S)


def test_connections_that_are_reset_as_they_open_are_told_apart() -> None:
    """Such calls could not be told from calls to an upstream that is silent or has ended."""

    async def scenario() -> None:
        pool = UpstreamPool(8)
        async with listening(LimitedServer(limit=1, delay_s=0.05)) as server:
            first = asyncio.create_task(_post(pool, server))
            while not server.connections:
                await asyncio.sleep(0.001)
            with pytest.raises(IncompleteResponse) as error:
                await _post(pool, server)
            await first
            assert error.value.reset_on_open
            assert pool.resets_on_open == server.resets == 1
            assert pool.open_count == pool.highest_open_count == 1
            pool.close()

    asyncio.run(scenario())


def test_a_connection_that_ends_later_counts_as_no_reset() -> None:
    """An upstream that ends closes connections that it has served."""

    async def scenario() -> None:
        pool = UpstreamPool(8)
        async with listening(LimitedServer(limit=1)) as server:
            await _post(pool, server)
            for writer in list(server._writers):
                writer.close()
            with pytest.raises(IncompleteResponse) as error:
                await _post(pool, server)
            assert not error.value.reset_on_open
            assert pool.resets_on_open == 0
            pool.close()

    asyncio.run(scenario())


async def _reached(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_idle_connections_close_although_a_newer_one_is_used_again_and_again() -> None:
    """The connections of a burst stayed open for good: only the newest was ever looked at."""

    async def scenario() -> None:
        pool = UpstreamPool(8, idle_seconds=0.3)
        async with listening(LimitedServer(limit=8, delay_s=0.02)) as server:
            await asyncio.gather(*(_post(pool, server) for _ in range(6)))
            assert server.connections == pool.open_count == 6
            using = asyncio.create_task(_post_repeatedly(pool, server))
            await _reached(lambda: server.connections == 1 and pool.open_count == 1)
            using.cancel()
            await _reached(lambda: server.connections == 0 and pool.open_count == 0)
            assert server.opened == 6
            pool.close()

    asyncio.run(scenario())


async def _post_repeatedly(pool: UpstreamPool, server: LimitedServer) -> None:
    while True:
        await _post(pool, server)


def test_all_idle_connections_close_on_request_and_calls_go_on() -> None:
    """A former leader that lives kept all its connections to the VMs."""

    async def scenario() -> None:
        pool = UpstreamPool(8)
        async with listening(LimitedServer(limit=8, delay_s=0.02)) as server:
            await asyncio.gather(*(_post(pool, server) for _ in range(6)))
            in_flight = asyncio.create_task(_post(pool, server))
            await asyncio.sleep(0)
            pool.close_idle()
            await _reached(lambda: server.connections <= 1)
            await in_flight
            assert pool.open_count == 1
            pool.close()

    asyncio.run(scenario())


def test_a_check_for_further_connections_leaves_none_open() -> None:
    async def scenario() -> None:
        pool = UpstreamPool(8)
        async with listening(LimitedServer(limit=4)) as server:
            await _post(pool, server)
            assert await pool.takes_connections(server.address, 3) is True
            await _reached(lambda: server.connections == 1)
            assert await pool.takes_connections(server.address, 4) is False
            await _reached(lambda: server.connections == 1)
            assert pool.open_count == 1
            await _post(pool, server)
        assert await pool.takes_connections("127.0.0.1:9", 1) is None
        pool.close()

    asyncio.run(scenario())


def test_idle_connections_to_one_address_close_without_the_others() -> None:
    async def scenario() -> None:
        pool = UpstreamPool(8)
        async with listening(LimitedServer(4)) as first, listening(LimitedServer(4)) as second:
            await _post(pool, first)
            await _post(pool, second)
            pool.close_idle(first.address)
            await _reached(lambda: first.connections == 0)
            assert second.connections == pool.open_count == 1
            pool.close()

    asyncio.run(scenario())
