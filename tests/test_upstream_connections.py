"""What the connection pool leaves at an upstream that takes a limited number of connections."""

import asyncio

import pytest

from sablemount.adapters.upstream import IncompleteResponse, UpstreamPool
from tests.limited_server import LimitedServer, listening


async def _post(pool: UpstreamPool, server: LimitedServer) -> None:
    await pool.fetch(server.address, "/serve", b"hi", {}, 1.0)


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
