"""A connection that has ended as a process stops is no error of the process.

As callers were cut off in a planned stop, a process wrote "Task exception was never retrieved" with
a traceback of StreamClosedError beside its log lines: the wait for a next request had ended in the
same moment in which what waited for it was cancelled.
"""

import asyncio
import gc
import socket
from collections.abc import Mapping

import pytest
from tornado.iostream import IOStream

from sablemount.adapters.caller_server import BODY_SECONDS, CallerServer
from sablemount.jobs.model import RequestLimits


def _serve_nothing(request: object) -> None:
    """Take a request that does not come."""


async def _end_after(steps: int, told: list[str]) -> None:
    """Serve a connection that has ended, and end with it some steps of the loop later."""

    def tell(loop: asyncio.AbstractEventLoop, context: Mapping[str, object]) -> None:
        told.append(str(context["message"]))

    asyncio.get_running_loop().set_exception_handler(tell)
    server = CallerServer(_serve_nothing, body_timeout=BODY_SECONDS)
    server.set_limits(RequestLimits())
    here, there = socket.socketpair()
    stream = IOStream(here)
    stream.close()
    there.close()
    server.handle_stream(stream, ("127.0.0.1", 1))
    for _ in range(steps):
        await asyncio.sleep(0)


@pytest.mark.parametrize("steps", range(8))
def test_a_connection_that_ends_with_the_process_is_not_told_as_an_error(steps: int) -> None:
    told: list[str] = []
    asyncio.run(_end_after(steps, told))
    gc.collect()
    assert told == []
