"""The server of callers within a budget of memory, connections and turns of the event loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import pytest
from tornado import httputil
from tornado.testing import bind_unused_port

from sablemount.adapters import caller_server
from sablemount.adapters.caller_server import BODY_TIMEOUT_S, TOO_BUSY, CallerServer
from sablemount.adapters.loop_turns import CHUNKS_PER_TURN, TURNS_PER_ITERATION, LoopTurns
from sablemount.control import refusal_log
from sablemount.control.memory_budget import MemoryBudget
from sablemount.control.refusal_log import RefusalLog
from sablemount.control.standing import MachineLimits
from sablemount.jobs.model import RequestLimits
from sablemount.platform.front import respond

HOST = "127.0.0.1"
KB = 1024
TIMEOUT_S = 30.0
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Server:
    """A server that answers complete requests when the test asks for it."""

    def __init__(self, capacity: int, connections: int) -> None:
        self.requests: list[httputil.HTTPServerRequest] = []
        self.refusals: list[str] = []
        self.server = CallerServer(
            self.requests.append,
            body_timeout=BODY_TIMEOUT_S,
            budget=MemoryBudget(capacity),
            max_connections=connections,
        )
        self.server.set_limits(RequestLimits())
        self.server.refuse = self._refuse
        self.server.count_refusal = lambda status, reason: self.refusals.append(reason)
        listener, self.port = bind_unused_port(address=HOST)
        self.server.add_socket(listener)

    def _refuse(self, connection: httputil.HTTPConnection, status: HTTPStatus, reason: str) -> None:
        line = httputil.ResponseStartLine("HTTP/1.1", status.value, status.phrase)
        fields = httputil.HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        connection.write_headers(line, fields)
        connection.finish()

    def answer(self, request: httputil.HTTPServerRequest) -> None:
        assert request.connection is not None
        self.server.release(request.connection)
        respond(request, HTTPStatus.OK, b"{}", {})

    async def send(self, text: bytes = b"") -> Connection:
        connection = await asyncio.open_connection(HOST, self.port)
        connection[1].write(text)
        return connection

    async def begin(self, length: int) -> Connection:
        """Send headers that declare a body, and wait until memory is granted or refused."""
        before = self.server.budget.used, len(self.refusals)
        connection = await self.send(HEAD + b"Content-Length: %d\r\n\r\n" % length)
        await until(lambda: (self.server.budget.used, len(self.refusals)) != before)
        return connection


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def run_scenario(
    scenario: Callable[[_Server], Awaitable[None]], capacity: int = 1024 * KB, connections: int = 0
) -> None:
    async def run() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await scenario(_Server(capacity, connections))

    asyncio.run(run())


async def _status(connection: Connection) -> bytes:
    return (await connection[0].readline())[9:12]


def test_a_body_without_memory_is_refused_before_it_is_sent() -> None:
    async def scenario(harness: _Server) -> None:
        first = await harness.begin(200 * KB)
        second = await harness.begin(200 * KB)
        assert await _status(second) == b"503"
        assert harness.refusals == [TOO_BUSY]
        first[1].write(b"x" * 200 * KB)
        await until(lambda: len(harness.requests) == 1)
        harness.answer(harness.requests[0])
        assert await _status(first) == b"200"
        assert harness.server.budget.used == 0

    run_scenario(scenario)


def test_a_small_request_is_served_beside_bodies_that_hold_the_memory() -> None:
    async def scenario(harness: _Server) -> None:
        large = await harness.begin(250 * KB)
        await harness.begin(80 * KB)
        small = await harness.send(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 20_000)
        await until(lambda: len(harness.requests) == 1)
        harness.answer(harness.requests[0])
        assert await _status(small) == b"200"
        assert await _status(large) == b"503"

    run_scenario(scenario)


def test_a_body_that_makes_no_progress_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(caller_server, "STALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(caller_server, "SWEEP_INTERVAL_S", 0.05)

    async def scenario(harness: _Server) -> None:
        connection = await harness.begin(100)
        assert await _status(connection) == b"503"
        assert harness.server.budget.used == 0

    run_scenario(scenario)


@pytest.mark.parametrize("framing", [b"Content-Length: 40000", b"Transfer-Encoding: chunked"])
def test_the_memory_of_a_request_is_returned_when_its_connection_closes(framing: bytes) -> None:
    async def scenario(harness: _Server) -> None:
        connection = await harness.send(HEAD + framing + b"\r\n\r\n9c40\r\n" + b"x" * 30_000)
        await until(lambda: harness.server.budget.used > 0)
        connection[1].close()
        await until(lambda: harness.server.budget.used == 0)

    run_scenario(scenario)


def test_a_complete_request_holds_its_memory_after_its_connection_has_closed() -> None:
    async def scenario(harness: _Server) -> None:
        connection = await harness.send(HEAD + b"Content-Length: 4\r\n\r\nbody")
        await until(lambda: len(harness.requests) == 1)
        connection[1].close()
        await until(lambda: not harness.server.open_connections)
        assert harness.server.budget.used > 0
        harness.answer(harness.requests[0])
        assert harness.server.budget.used == 0

    run_scenario(scenario)


def test_too_many_header_lines_are_refused() -> None:
    async def scenario(harness: _Server) -> None:
        connection = await harness.send(HEAD + b"a:\r\n" * 300 + b"\r\n")
        assert await _status(connection) == b"431"

    run_scenario(scenario)


def test_a_new_connection_replaces_the_longest_idle_one() -> None:
    async def scenario(harness: _Server) -> None:
        oldest = await harness.send()
        await until(lambda: harness.server.open_connections == 1)
        second = await harness.send()
        await until(lambda: harness.server.open_connections == 2)
        newest = await harness.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert await oldest[0].read() == b""
        await until(lambda: len(harness.requests) == 1)
        harness.answer(harness.requests[0])
        assert await _status(newest) == b"200"
        assert not second[0].at_eof()

    run_scenario(scenario, connections=2)


def test_requests_that_are_queued_on_a_replaced_connection_are_not_served() -> None:
    async def scenario(harness: _Server) -> None:
        await harness.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 20)
        await until(lambda: len(harness.requests) == 1)
        harness.requests[0].connection.stream.close()  # type: ignore[union-attr]
        await until(lambda: not harness.server.open_connections)
        assert len(harness.requests) == 1
        assert not harness.server._idle

    run_scenario(scenario)


def test_a_large_body_limit_is_lowered_to_the_budget() -> None:
    async def scenario(harness: _Server) -> None:
        harness.server.set_limits(RequestLimits(body_bytes=64 * KB * KB))
        assert harness.server.limits.body_bytes == 256 * KB
        connection = await harness.send(HEAD + b"Content-Length: 300000\r\n\r\n")
        assert await _status(connection) == b"413"

    run_scenario(scenario)


def test_few_turns_are_given_in_one_iteration_of_the_event_loop() -> None:
    async def run() -> list[int]:
        turns = LoopTurns()
        done: list[int] = []

        async def client(number: int) -> None:
            await turns.wait()
            done.append(number)

        tasks = [asyncio.create_task(client(number)) for number in range(9)]
        counts = []
        while len(done) < 9:
            await asyncio.sleep(0)
            counts.append(len(done))
        await asyncio.gather(*tasks)
        assert done == sorted(done)
        return counts

    counts = asyncio.run(run())
    steps = [after - before for before, after in zip([0, *counts], counts, strict=False)]
    assert max(steps) <= TURNS_PER_ITERATION
    assert CHUNKS_PER_TURN * TURNS_PER_ITERATION <= 256


def test_a_crowd_of_refusals_makes_one_line(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    logger = logging.getLogger("tests.refusals")
    caplog.set_level(logging.INFO, logger.name)

    async def run() -> None:
        log = RefusalLog(logger, "refused")
        for _ in range(100):
            log.add(TOO_BUSY, status=503)
        monkeypatch.setattr(refusal_log, "LINE_INTERVAL_S", 0.0)
        log.add(TOO_BUSY, status=503)

    asyncio.run(run())
    assert [line.__dict__["count"] for line in caplog.records] == [1, 100]


def test_connections_are_limited_by_the_machine() -> None:
    assert caller_server.max_connections(MachineLimits()) == 2_000
    assert caller_server.max_connections(MachineLimits(descriptors=500)) == 250
    assert caller_server.max_connections(MachineLimits(descriptors=4_100, memory_mb=160)) == 640


def test_text_within_strings_is_not_counted_as_decoded_objects() -> None:
    assert caller_server.decoded_size(rb'{"a":"{{{,,,\"{{"}') == caller_server.OBJECT_BYTES
    assert caller_server.decoded_size(rb'[{"\u0061":1},{}]') > 2 * caller_server.OBJECT_BYTES
    assert caller_server.decoded_size(b'"{' * 3) > caller_server.OBJECT_BYTES
