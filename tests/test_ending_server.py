"""A server that shuts down answers each call that is on its way, but serves none of them."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import pytest
from tornado import httputil
from tornado.testing import bind_unused_port

from sablemount.adapters.ending_server import GracefulServer, final_response
from sablemount.platform.front import respond

HOST = "127.0.0.1"
CALL = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
FINAL = final_response(b'{"error":"ends"}', {"X-Verdict": "NOT_RUN"})
TIMEOUT_S = 30.0

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _TestServer:
    """A server that records requests and answers them when the test asks for it."""

    def __init__(self) -> None:
        self.requests: list[httputil.HTTPServerRequest] = []
        self.server = GracefulServer(self.requests.append, final=FINAL)
        listener, self.port = bind_unused_port(address=HOST)
        self.server.add_socket(listener)

    async def connect(self) -> Connection:
        """Return a connection that the server has accepted."""
        before = self.server.open_connections
        connection = await asyncio.open_connection(HOST, self.port)
        await until(lambda: self.server.open_connections > before)
        return connection

    async def take(self, connection: Connection, text: bytes = CALL) -> None:
        """Send a call and wait until the server has received it."""
        connection[1].write(text)
        await until(lambda: bool(self.requests))

    def answer(self) -> None:
        respond(self.requests[-1], HTTPStatus.OK, b"{}", {})


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def run_scenario(scenario: Callable[[_TestServer], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await scenario(_TestServer())

    asyncio.run(run())


@pytest.mark.parametrize("end", [GracefulServer.close_idle, GracefulServer.shut_down])
def test_an_idle_connection_is_told_that_it_is_over(end: Callable[[GracefulServer], int]) -> None:
    async def scenario(harness: _TestServer) -> None:
        reader, writer = await harness.connect()
        await asyncio.sleep(0)
        assert end(harness.server) == 1
        assert await reader.read() == FINAL
        writer.close()
        await until(lambda: not harness.server.open_connections)

    run_scenario(scenario)


@pytest.mark.parametrize("calls", [1, 3])
def test_a_call_that_crosses_the_end_has_an_answer_and_is_not_served(calls: int) -> None:
    async def scenario(harness: _TestServer) -> None:
        reader, writer = await harness.connect()
        await asyncio.sleep(0)
        harness.server.close_idle()
        for _ in range(calls):
            writer.write(CALL)
        assert await reader.read() == FINAL
        writer.close()
        await until(lambda: not harness.server.open_connections)
        assert harness.requests == []

    run_scenario(scenario)


@pytest.mark.parametrize("sent", [1, 20, len(CALL) - 1], ids=["a byte", "headers", "body"])
def test_a_call_that_is_not_whole_at_the_end_has_an_answer_and_is_not_served(sent: int) -> None:
    async def scenario(harness: _TestServer) -> None:
        reader, writer = await harness.connect()
        writer.write(CALL[:sent])
        await until(lambda: bool(harness.server._partial))
        assert harness.server.close_idle() == 0
        assert harness.server.shut_down() == 1
        writer.write(CALL[sent:])
        assert await reader.read() == FINAL
        writer.close()
        await until(lambda: not harness.server.open_connections)
        assert harness.requests == []

    run_scenario(scenario)


def test_a_call_in_flight_has_its_own_answer_and_the_next_one_the_final() -> None:
    async def scenario(harness: _TestServer) -> None:
        connection = await harness.connect()
        await harness.take(connection)
        assert harness.server.shut_down() == 0
        harness.answer()
        connection[1].write(CALL)
        answer = await connection[0].read()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.endswith(b"{}" + FINAL)
        assert len(harness.requests) == 1
        connection[1].close()

    run_scenario(scenario)


def test_a_connection_that_waits_as_the_server_ends_has_the_final_answer() -> None:
    """Such a connection used to be reset when the listener was closed."""

    async def scenario(harness: _TestServer) -> None:
        connections = [await asyncio.open_connection(HOST, harness.port) for _ in range(5)]
        for _, writer in connections:
            writer.write(CALL)
        harness.server.shut_down()
        for reader, writer in connections:
            assert await reader.read() == FINAL
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, harness.port)

    run_scenario(scenario)


def test_a_connection_that_comes_after_the_idle_ones_ended_has_the_final_answer() -> None:
    async def scenario(harness: _TestServer) -> None:
        harness.server.close_idle()
        reader, writer = await harness.connect()
        assert await reader.read() == FINAL
        writer.close()

    run_scenario(scenario)
