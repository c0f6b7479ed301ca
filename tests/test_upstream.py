"""The connection pool repeats no request and reports whether one may have been sent."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

import pytest

from sablemount.adapters.upstream import (
    OVERDUE_AFTER_S,
    IncompleteResponse,
    RequestNotSent,
    Response,
    StreamingWait,
    UpstreamPool,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
Reply = Callable[[int], tuple[bytes, bool]]


class RawServer:
    """Reads complete requests and answers each as ``reply`` says; it may close the connection."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply
        self.seen = 0
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(2)
                self.seen += 1
                response, close = self.reply(self.seen)
                writer.write(response)
                await writer.drain()
                if close:
                    break
        except asyncio.IncompleteReadError:
            pass
        writer.close()


def run_script(reply: Reply, script: Callable[[UpstreamPool, RawServer], Awaitable[None]]) -> None:
    async def run() -> None:
        server = RawServer(reply)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()[:2]
        server.address = f"{host}:{port}"
        pool = UpstreamPool(2)
        try:
            await script(pool, server)
        finally:
            pool.close()
            listener.close()

    asyncio.run(run())


async def post(pool: UpstreamPool, server: RawServer, not_after: float = float("inf")) -> Response:
    return await pool.fetch(server.address, "/serve", b"hi", {}, 1.0, not_after)


def test_a_connection_is_kept() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        for _ in range(3):
            assert (await post(pool, server)).body == b"good"
        assert pool._open == {server.address: 1}

    run_script(lambda number: (OK, False), script)


def test_a_request_is_not_repeated_when_a_kept_connection_dies() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        await post(pool, server)
        with pytest.raises(IncompleteResponse):
            await post(pool, server)
        assert server.seen == 2
        assert (await post(pool, server)).body == b"good"

    run_script(lambda number: (b"", True) if number == 2 else (OK, False), script)


@pytest.mark.parametrize(
    "response",
    [OK[:-1], OK[:20], b"", b"nonsense\r\n\r\n"],
    ids=["short body", "short head", "nothing", "no HTTP"],
)
def test_an_answer_that_is_not_whole_is_no_answer(response: bytes) -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        with pytest.raises(IncompleteResponse):
            await post(pool, server)
        assert server.seen == 1
        assert pool._open == {server.address: 0}

    run_script(lambda number: (response, True), script)


def test_nothing_is_sent_after_the_lease() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        with pytest.raises(RequestNotSent):
            await post(pool, server, not_after=time.monotonic() - 1.0)
        assert server.seen == 0

    run_script(lambda number: (OK, False), script)


def test_connections_to_one_upstream_are_limited() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        calls = [post(pool, server) for _ in range(5)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert sum(isinstance(result, RequestNotSent) for result in results) == 3
        assert server.seen == 2

    run_script(lambda number: (OK, False), script)


def test_a_refused_connection_sent_nothing() -> None:
    async def run() -> None:
        pool = UpstreamPool(2)
        with pytest.raises(RequestNotSent):
            await pool.fetch("127.0.0.1:9", "/serve", b"hi", {}, 1.0)
        pool.close()

    asyncio.run(run())


def test_calls_given_up_while_they_connect_use_up_no_connection() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        for _ in range(3):
            call = asyncio.ensure_future(post(pool, server))
            await asyncio.sleep(0)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
        assert (await post(pool, server)).status == 200

    run_script(lambda count: (OK, False), script)


class SilencedServer(RawServer):
    """Stops answering on the connections that were open when it was silenced."""

    def __init__(self) -> None:
        super().__init__(lambda seen: (OK, False))
        self.silent: set[int] = set()
        self.opened = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        number = self.opened
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(2)
                if number in self.silent:
                    continue
                writer.write(OK)
        writer.close()

    def silence_open_connections(self) -> None:
        self.silent = set(range(1, self.opened + 1))


def _run_with_silent_server(
    script: Callable[[UpstreamPool, SilencedServer], Awaitable[None]],
) -> None:
    async def run() -> None:
        server = SilencedServer()
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()[:2]
        server.address = f"{host}:{port}"
        pool = UpstreamPool(8)
        try:
            await asyncio.gather(*(post(pool, server) for _ in range(4)))
            assert server.opened == 4
            server.silence_open_connections()
            await script(pool, server)
        finally:
            pool.close()
            listener.close()

    asyncio.run(run())


def test_after_a_call_without_an_answer_no_other_idle_connection_is_trusted() -> None:
    async def script(pool: UpstreamPool, server: SilencedServer) -> None:
        with pytest.raises(IncompleteResponse):
            await pool.fetch(server.address, "/serve", b"hi", {}, 0.2)
        assert (await post(pool, server)).status == 200
        assert server.opened == 5

    _run_with_silent_server(script)


def test_while_a_call_is_overdue_the_next_one_takes_a_new_connection() -> None:
    async def script(pool: UpstreamPool, server: SilencedServer) -> None:
        stuck_call = asyncio.create_task(pool.fetch(server.address, "/serve", b"hi", {}, 5.0))
        await asyncio.sleep(OVERDUE_AFTER_S + 0.05)
        assert (await post(pool, server)).status == 200
        # A connection that has answered since is reused.
        assert (await post(pool, server)).status == 200
        assert server.opened == 5
        stuck_call.cancel()

    _run_with_silent_server(script)


def test_a_call_that_is_expected_to_wait_says_nothing_of_other_connections() -> None:
    async def script(pool: UpstreamPool, server: SilencedServer) -> None:
        server.silent = {4}
        waits = asyncio.create_task(pool.fetch(server.address, "/w", b"hi", {}, 5.0, waits=4.0))
        await asyncio.sleep(OVERDUE_AFTER_S + 0.05)
        assert (await post(pool, server)).status == 200
        assert server.opened == 4
        waits.cancel()

    _run_with_silent_server(script)


HALF_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ngood"


def test_what_has_come_of_an_answer_is_told_where_it_is_cut_short() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        with pytest.raises(IncompleteResponse) as error:
            await pool.fetch(server.address, "/list", b"hi", {}, 0.2)
        assert error.value.received == len(b"good")

    run_script(lambda seen: (HALF_RESPONSE, False), script)


def test_an_answer_that_comes_in_parts_is_awaited_from_each_part_on() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        sizes: list[int] = []
        started_at = time.monotonic()
        with pytest.raises(IncompleteResponse):
            streaming = StreamingWait(0.6, sizes.append)
            await pool.fetch(server.address, "/list", b"hi", {}, 0.3, streaming=streaming)
        # Without the part, the call would have timed out after 0.3 s.
        assert time.monotonic() - started_at > 0.5
        assert sizes == [len(b"good")]

    run_script(lambda seen: (HALF_RESPONSE, False), script)


def test_a_long_answer_on_its_way_says_nothing_of_other_connections() -> None:
    async def script(pool: UpstreamPool, server: RawServer) -> None:
        received_part = asyncio.Event()
        await asyncio.gather(post(pool, server), post(pool, server))
        assert pool._open == {server.address: 2}
        streaming = StreamingWait(5.0, lambda size: received_part.set())
        long_call = asyncio.create_task(
            pool.fetch(server.address, "/list", b"hi", {}, 5.0, streaming=streaming)
        )
        await received_part.wait()
        await asyncio.sleep(2 * OVERDUE_AFTER_S)
        before = {id(stream) for _, stream in pool._idle[server.address]}
        await post(pool, server)
        assert {id(stream) for _, stream in pool._idle[server.address]} == before
        long_call.cancel()

    run_script(lambda seen: (HALF_RESPONSE if seen == 3 else OK, False), script)
