"""A call that arrives late in a planned stop, over an open connection, gets a response.

A stopping process accepts calls until it ends, and ends at a set time whatever is in flight. One
accepted a call 4.8 s after its stop signal, while leadership changed, and cut it off when it ended
0.42 s later: it logged `stopping` and, 5.2 s later, `stopped` with 1 call in flight.
"""

import asyncio
import contextlib
import json

import msgspec

from sablemount.platform.front import decode_job
from sablemount.platform.settings import Bounds
from tests.platform.standin import HOST, PREFIX
from tests.platform.test_whole_path import JOB, ProcessPair, run_scenario

GRACE_S = 4.0
"""Grace period of a process, which ends 0.8 s before."""
CALL_AFTER_S = 3.0
NAME = "00000000000000ae"


async def _call_late(pair: ProcessPair) -> bytes:
    """Stop a process, call it shortly before it ends and return the response."""
    host, _, port = pair.processes[0].boot.listen.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    pair.standin.cell.jobs[NAME] = decode_job(json.dumps(JOB).encode())
    pair.processes[0].request_stop()
    await asyncio.sleep(CALL_AFTER_S)
    # The leader has to wait for the store, which delays the response.
    pair.standin.store.latency_s = 1.0
    body = json.dumps(JOB).encode()
    head = f"POST {PREFIX}{NAME} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    response = b""
    with contextlib.suppress(TimeoutError):
        response = await asyncio.wait_for(reader.read(), GRACE_S - CALL_AFTER_S)
    writer.close()
    pair.standin.store.latency_s = 0.004
    return response


def test_a_call_late_in_a_planned_stop_gets_an_answer() -> None:
    async def scenario(pair: ProcessPair) -> None:
        first = pair.processes[0]
        first.boot = msgspec.structs.replace(first.boot, bounds=Bounds(grace_s=GRACE_S))
        assert (await _call_late(pair)).startswith(b"HTTP/1.1 ")

    run_scenario(scenario)


async def _call_in_time(pair: ProcessPair) -> bytes:
    """Call a stopping process whose answer would take longer than it lives."""
    host, _, port = pair.processes[0].boot.listen.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    pair.standin.cell.jobs[NAME] = decode_job(json.dumps(JOB).encode())
    pair.standin.store.latency_s = 5.0
    pair.processes[0].request_stop()
    await asyncio.sleep(0.1)
    body = json.dumps(JOB).encode()
    head = f"POST {PREFIX}{NAME} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 9000\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    response = await reader.read()
    writer.close()
    pair.standin.store.latency_s = 0.004
    return response


def test_a_call_that_takes_longer_than_a_process_that_stops_gets_an_answer() -> None:
    async def scenario(pair: ProcessPair) -> None:
        first = pair.processes[0]
        first.boot = msgspec.structs.replace(first.boot, bounds=Bounds(grace_s=GRACE_S))
        assert (await _call_in_time(pair)).startswith(b"HTTP/1.1 ")

    run_scenario(scenario)
