"""A request that has waited unread in a socket is as old as it is, and not as its reading.

The event loop is blocked here while a request waits, as in a process that stands still.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import pytest
from tornado.testing import bind_unused_port

from sablemount.control.figures import Metrics
from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.jobs.model import RequestLimits
from sablemount.platform.front import TOO_LATE, Frontend
from tests.platform.standin import HOST, PREFIX

JOB = json.dumps({"spec": "s", "steps": [{"count": 1}]}).encode()
ADDRESS = "127.0.0.1"
TIMEOUT_S = 20.0
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Feed:
    version = 1

    def subscribe(self, on_configuration: object) -> None:
        """Ignore a subscription."""


class _Member:
    """A member that takes every call, and keeps the time that it was given for it."""

    def __init__(self) -> None:
        self.feed = _Feed()
        self.metrics = Metrics()
        self.served: list[tuple[Operation, float]] = []

    async def serve(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        self.served.append((call.operation, timeout))
        return CallerReply(Outcome.DONE, state="pending")


class _Process:
    """A process whose front listens at a port."""

    def __init__(self) -> None:
        self.member = _Member()
        loop = asyncio.get_running_loop()
        self.front = Frontend(self.member, loop.create_task)  # type: ignore[arg-type]
        self.front.server.set_limits(RequestLimits())
        listener, self.port = bind_unused_port(address=ADDRESS)
        self.front.server.add_socket(listener)

    async def connect(self) -> Connection:
        """Return a connection over which a request was answered, so that it is accepted."""
        connection = await asyncio.open_connection(ADDRESS, self.port)
        connection[1].write(_head("GET", 3_000, 0))
        assert await _status(connection) == HTTPStatus.OK
        self.member.served.clear()
        return connection


def _head(method: str, deadline_ms: int, length: int) -> bytes:
    return (
        f"{method} {PREFIX}a1 HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def _submission(deadline_ms: int) -> bytes:
    return _head("POST", deadline_ms, len(JOB)) + JOB


async def _status(connection: Connection) -> int:
    reader, _ = connection
    async with asyncio.timeout(TIMEOUT_S):
        status = int((await reader.readline()).split()[1])
        length = 0
        while line := (await reader.readline()).strip():
            name, _, value = line.partition(b":")
            length = int(value) if name.lower() == b"content-length" else length
        await reader.readexactly(length)
    return status


def _stand_still(connection: Connection, text: bytes, seconds: float, leave: bool = False) -> None:
    """Send a request, and let the process of the server stand still before it reads it."""
    _, writer = connection
    writer.write(text)
    if leave:
        writer.write_eof()
    time.sleep(seconds)


def _run(scenario: Callable[[_Process], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario(_Process())

    asyncio.run(run())


def test_a_submission_whose_deadline_has_passed_in_the_socket_is_not_taken() -> None:
    """It was passed on as if it had just come, with its whole deadline before it."""

    async def scenario(process: _Process) -> None:
        connection = await process.connect()
        _stand_still(connection, _submission(300), 0.6)
        assert await _status(connection) == HTTPStatus.SERVICE_UNAVAILABLE
        assert process.member.served == []
        assert process.member.metrics.counters[("refused", TOO_LATE)] == 1

    _run(scenario)


def test_a_submission_has_the_rest_of_its_deadline() -> None:
    async def scenario(process: _Process) -> None:
        connection = await process.connect()
        _stand_still(connection, _submission(10_000), 0.6)
        assert await _status(connection) == HTTPStatus.OK
        ((operation, timeout),) = process.member.served
        assert operation is Operation.SUBMIT
        assert timeout <= 9.0 - 0.5

    _run(scenario)


def test_a_submission_whose_caller_has_left_is_not_taken() -> None:
    async def scenario(process: _Process) -> None:
        connection = await process.connect()
        _stand_still(connection, _submission(10_000), 0.6, leave=True)
        refused = ("refused", TOO_LATE)
        async with asyncio.timeout(TIMEOUT_S):
            while not process.member.metrics.counters[refused]:
                await asyncio.sleep(0)
        assert process.member.served == []

    _run(scenario)


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_other_late_requests_are_answered(method: str) -> None:
    """A cancelling is wanted however late it is read."""

    async def scenario(process: _Process) -> None:
        connection = await process.connect()
        _stand_still(connection, _head(method, 300, 0), 0.6)
        assert await _status(connection) == HTTPStatus.OK
        assert len(process.member.served) == 1

    _run(scenario)


def test_a_submission_that_did_not_wait_is_taken() -> None:
    async def scenario(process: _Process) -> None:
        connection = await process.connect()
        connection[1].write(_submission(3_000))
        assert await _status(connection) == HTTPStatus.OK
        assert len(process.member.served) == 1

    _run(scenario)
