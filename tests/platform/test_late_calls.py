"""A call that comes late in a planned stop, over a connection that was open before, gets an answer.

A process that is stopped takes calls until it ends, and ends at a set time whatever is in flight.
In a soak of real processes one took a call 4.8 s after its signal, while the lead changed hands,
and cut it off 0.42 s later: its lines have `stopping` and, 5.2 s on, `stopped` with 1 in flight.
"""

import asyncio
import contextlib
import json

import msgspec

from sablemount.platform.front import decode_job
from sablemount.platform.settings import Bounds
from tests.platform.standin import HOST, PREFIX
from tests.platform.test_whole_path import JOB, Front, play

GRACE = 4.0
"""Seconds; the process ends 0.8 s before."""
LATE = 3.0
NAME = "00000000000000ae"


async def _call_late(front: Front) -> bytes:
    """Stop a process, call it shortly before it ends, and return what comes back in its grace."""
    host, _, port = front.processes[0].boot.listen.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    front.standin.cell.jobs[NAME] = decode_job(json.dumps(JOB).encode())
    front.processes[0].request_stop()
    await asyncio.sleep(LATE)
    # Whoever leads has to wait for the store, so that the answer takes its time.
    front.standin.store.latency = 1.0
    body = json.dumps(JOB).encode()
    head = f"POST {PREFIX}{NAME} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    answer = b""
    with contextlib.suppress(TimeoutError):
        answer = await asyncio.wait_for(reader.read(), GRACE - LATE)
    writer.close()
    front.standin.store.latency = 0.004
    return answer


def test_a_call_late_in_a_planned_stop_gets_an_answer() -> None:
    async def scenario(front: Front) -> None:
        first = front.processes[0]
        first.boot = msgspec.structs.replace(first.boot, bounds=Bounds(grace_s=GRACE))
        assert (await _call_late(front)).startswith(b"HTTP/1.1 ")

    play(scenario)


async def _call_in_time(front: Front) -> bytes:
    """Call a process that is stopped, whose answer takes longer than it lives."""
    host, _, port = front.processes[0].boot.listen.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    front.standin.cell.jobs[NAME] = decode_job(json.dumps(JOB).encode())
    front.standin.store.latency = 5.0
    front.processes[0].request_stop()
    await asyncio.sleep(0.1)
    body = json.dumps(JOB).encode()
    head = f"POST {PREFIX}{NAME} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 9000\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    answer = await reader.read()
    writer.close()
    front.standin.store.latency = 0.004
    return answer


def test_a_call_that_takes_longer_than_a_process_that_stops_gets_an_answer() -> None:
    async def scenario(front: Front) -> None:
        first = front.processes[0]
        first.boot = msgspec.structs.replace(first.boot, bounds=Bounds(grace_s=GRACE))
        assert (await _call_in_time(front)).startswith(b"HTTP/1.1 ")

    play(scenario)
