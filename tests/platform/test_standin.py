"""The stand-in answers as the platform was observed to answer."""

import asyncio
import json

import pytest

from sablemount.adapters.upstream import UpstreamPool
from sablemount.control.ports import CallError, HoldCall
from sablemount.control.store import Topic
from sablemount.jobs.actions import VmReport
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from sablemount.platform.lives import incarnation_name
from sablemount.platform.workers import PlatformWorkers
from tests.emulator.advice import make_ticket
from tests.emulator.system import loop_time
from tests.emulator.vm import Vm
from tests.platform.standin import Standin

APPEND = "/api/log-append?topic=keyed.sablemount-jobs&part=0"
NEWEST = "/api/log-newest?topic=keyed.sablemount-jobs&part=0"
RECORD = b"\x00\x00\x00\x03\x01kv"
TASK = "j.0.0.0"


async def _send(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    target: str,
    body: bytes,
    instance: str = "",
) -> tuple[int, bytes]:
    head = f"{target} HTTP/1.1\r\nHost: x\r\nExpect-Instance: {instance}\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    response = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = int(response.lower().partition("content-length: ")[2].partition("\r\n")[0])
    return int(response.split(" ")[1]), await reader.readexactly(length)


async def _call(address: str, target: str, body: bytes, instance: str = "") -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await _send(reader, writer, target, body, instance)
    finally:
        writer.close()


def test_a_connection_whose_answer_was_lost_says_nothing_further() -> None:
    async def scenario() -> None:
        standin = Standin()
        host, _, port = standin.store_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        standin.store.lost_reply_share = 1.0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await _send(reader, writer, f"POST {APPEND}", RECORD)
        assert standin.store.topics[Topic.JOBS].end == 1
        standin.store.lost_reply_share = 0.0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await _send(reader, writer, f"GET {NEWEST}", b"")
        assert (await _call(standin.store_address, f"GET {NEWEST}", b""))[0] == 200
        writer.close()
        standin.close()

    asyncio.run(scenario())


async def _start(standin: Standin, worker: Vm, run: int, seconds: float, good: str) -> object:
    start_request = {"task": TASK, "run": run, "spec": "", "fence": 1, "ticket": good}
    start_request["untilMs"] = int(worker.clock_ms(loop_time()) + seconds * 1000)
    address = standin.address_of(worker)
    body = json.dumps(start_request).encode()
    status, response = await _call(address, "POST /api/run-start", body, worker.info.name)
    return status, json.loads(response).get("reason")


def test_a_start_is_refused_for_its_fence_time_number_and_ticket_in_this_order() -> None:
    async def scenario() -> None:
        standin = Standin()
        standin.cell.mean_task_seconds = 60.0
        standin.cell.jobs["j"] = JobSpec("", (StepSpec(1, Shape(1_000, 1_000)),))
        worker = standin.add_worker("r")
        good = make_ticket("j.0.0", worker.info.name, loop_time() + 60.0)
        assert await _start(standin, worker, 1, 5.0, "") == (409, "ticket")
        assert await _start(standin, worker, 1, -1.0, "") == (409, "late")
        assert await _start(standin, worker, 1, 5.0, good) == (200, None)
        assert await _start(standin, worker, 1, 5.0, "") == (200, None)
        assert await _start(standin, worker, 1, -1.0, good) == (409, "late")
        stop_request = json.dumps({"task": TASK, "run": 1, "fence": 1}).encode()
        address = standin.address_of(worker)
        status, response = await _call(
            address, "POST /api/run-stop", stop_request, worker.info.name
        )
        assert (status, list(json.loads(response))) == (200, ["clockMs"])
        await asyncio.sleep(0.4)
        assert await _start(standin, worker, 1, 5.0, "") == (409, "old")
        worker.fence = 2
        assert await _start(standin, worker, 1, -1.0, "") == (409, "fence")
        standin.close()

    asyncio.run(scenario())


def test_a_worker_that_crashes_while_it_is_polled_does_not_answer() -> None:
    async def scenario() -> None:
        standin = Standin()
        worker = standin.add_worker("r0")
        address = standin.address_of(worker)
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps({"fence": 1, "ackedUpto": 0, "waitMs": 300}).encode()
        head = f"POST /api/hold HTTP/1.1\r\nHost: x\r\nExpect-Instance: {worker.info.name}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        while not standin.requests:
            await asyncio.sleep(0.01)
        standin.crash_worker(worker)
        assert await reader.read() == b""
        writer.close()
        standin.close()

    asyncio.run(scenario())


def test_a_worker_resets_connections_beyond_those_that_it_takes() -> None:
    async def scenario() -> None:
        standin = Standin()
        standin.accepted_connections = 1
        worker = standin.add_worker("r1")
        pool = UpstreamPool(4)
        workers = PlatformWorkers(pool)
        name = incarnation_name(worker.info.name, worker.started_at_ms)
        poll = HoldCall(name, standin.address_of(worker), 1, 0, 0, 0.5)
        first = asyncio.create_task(workers.hold(poll, 2.0))
        while standin.connection_counts() != [1]:
            await asyncio.sleep(0.01)
        resets = (CallError.RESET_ON_OPEN, CallError.RESET_UNSENT)
        assert await workers.hold(poll, 2.0) in resets
        assert standin.resets() == pool.resets_on_open == 1
        assert await workers.takes_connections(poll.address, 1) is False
        assert isinstance(await first, VmReport)
        workers.close_connections(poll.address)
        while standin.connection_counts() != [0]:
            await asyncio.sleep(0.01)
        assert await workers.takes_connections(poll.address, 1) is True
        pool.close()
        standin.close()

    asyncio.run(scenario())
