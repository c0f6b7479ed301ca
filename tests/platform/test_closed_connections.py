"""A connection that closes while a process stops is not reported as an error of the process.

A process wrote "Task exception was never retrieved" with a traceback of StreamClosedError beside
its log when callers were cut off in a planned stop: the read of the next request had failed at the
same moment at which the task that awaited it was cancelled.
"""

import asyncio
import gc
import socket
from collections.abc import Mapping

import pytest
from tornado.iostream import IOStream

from sablemount.adapters.caller_server import BODY_TIMEOUT_S, CallerServer
from sablemount.jobs.model import RequestLimits


def _handle_request(request: object) -> None:
    """Handle no request: none is sent."""


async def _end_after(steps: int, errors: list[str]) -> None:
    """Serve a closed connection and return some steps of the event loop later."""

    def record_error(loop: asyncio.AbstractEventLoop, context: Mapping[str, object]) -> None:
        errors.append(str(context["message"]))

    asyncio.get_running_loop().set_exception_handler(record_error)
    server = CallerServer(_handle_request, body_timeout=BODY_TIMEOUT_S)
    server.set_limits(RequestLimits())
    server_end, client_end = socket.socketpair()
    stream = IOStream(server_end)
    stream.close()
    client_end.close()
    server.handle_stream(stream, ("127.0.0.1", 1))
    for _ in range(steps):
        await asyncio.sleep(0)


@pytest.mark.parametrize("steps", range(8))
def test_a_connection_that_ends_with_the_process_is_not_told_as_an_error(steps: int) -> None:
    errors: list[str] = []
    asyncio.run(_end_after(steps, errors))
    gc.collect()
    assert errors == []
