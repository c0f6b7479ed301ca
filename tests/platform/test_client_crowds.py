"""Crowds of clients that do not end their requests leave a process within its machine's limits.

Real processes under lowered limits. The checks do not depend on the speed of the machine: the
process still runs, its peak of resident memory and its open descriptors are within the limits that
its settings name, and an ordinary caller that tries again is answered, beside the crowd and after.
"""

import asyncio
import contextlib
import json
import os
import re
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from benchmarks.node_processes import Node, Nodes
from sablemount.platform.front import decode_job
from tests.platform.crowd import (
    Text,
    begun_headers,
    chunked,
    complete_jobs,
    crowd,
    frame,
    in_pieces,
    many_headers,
    sized,
    unread_answers,
)
from tests.platform.standin import HOST, PREFIX, Standin

MEMORY_MB = 80
"""Memory of the machine; a process without callers takes some 32 MB."""
MAX_DESCRIPTORS = 500
MAX_BODY_BYTES = 1024 * 1024
LARGEST_BODY_BYTES = 64 * 1024 * 1024
"""Largest limit of a body that a configuration may name."""
LIMITS = {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
KB = 1024
MB = 1024 * 1024
CROWD = 120
LARGE_CROWD = 400
START_TIMEOUT_S = 60.0
SENDING_S = 15.0
"""Seconds after which a crowd that cannot send on counts as complete."""
ANSWER_TIMEOUT_S = 90.0
"""Seconds after which an ordinary caller, who tries again, counts as never answered."""
ATTEMPT_S = 10.0
RETRY_PAUSE_S = 0.2
JOB = {"spec": "payload", "steps": [{"count": 1, "cpu": 500}]}


class _System:
    """Two processes of the product on small machines."""

    def __init__(self, folder: Path, max_body_bytes: int) -> None:
        self.standin = Standin()
        self.standin.configure(3, limits={"maxBodyBytes": max_body_bytes})
        for rack in ("r1", "r2"):
            self.standin.add_worker(rack)
        self.nodes = Nodes(2, folder, self.standin)
        self._last_job = 0
        for node in self.nodes.rows:
            node._boot_settings["limits"] = LIMITS

    async def start(self) -> None:
        await self.nodes.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in self.nodes.rows:
                while not await node.listens():
                    await asyncio.sleep(0.1)
        for node in self.nodes.rows:
            assert await self.submit(node)

    async def submit(self, node: Node) -> bool:
        """Submit a job as an ordinary caller, which tries again; return whether it is accepted."""
        self._last_job += 1
        name = f"{self._last_job:016x}"
        body = json.dumps(JOB).encode()
        self.standin.cell.jobs[name] = decode_job(body)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while await _post(node.front, name, len(body), [body]) != 200:
                    await asyncio.sleep(RETRY_PAUSE_S)
                return True
        return False


async def _post(address: str, name: str, length: int, body: Text) -> int:
    """Send a request with a declared length and return the status of its answer, or 0."""
    head = f"POST {PREFIX}{name} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {length}\r\n"
    return await _exchange(address, [f"{head}Connection: close\r\n\r\n".encode(), *body])


async def _exchange(address: str, text: Text) -> int:
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(ATTEMPT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            for part in text:
                writer.write(part)
                await writer.drain()
            status = re.match(rb"HTTP/1.1 (\d+) ", await reader.readline())
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()
    return int(status[1]) if status else 0


@contextlib.asynccontextmanager
async def _running(folder: Path, max_body_bytes: int) -> AsyncIterator[_System]:
    system = _System(folder, max_body_bytes)
    try:
        await system.start()
        yield system
    finally:
        await system.nodes.close()
        system.standin.close()


class _Usage:
    """The highest use of descriptors and memory by the processes."""

    def __init__(self, nodes: Nodes) -> None:
        self._pids = {node.name: node.process.pid for node in nodes.rows if node.process}
        self.descriptors = dict.fromkeys(self._pids, 0)

    def observe(self) -> None:
        for name, pid in self._pids.items():
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{pid}/fd"))
                self.descriptors[name] = max(self.descriptors[name], count)

    def exceeded(self) -> list[str]:
        """Return what is over its limit."""
        wrong = [
            f"{name} has {count} descriptors open, of {MAX_DESCRIPTORS}"
            for name, count in self.descriptors.items()
            if count > MAX_DESCRIPTORS
        ]
        for name, pid in self._pids.items():
            peak_mb = _peak_mb(pid)
            if peak_mb > MEMORY_MB:
                wrong.append(f"{name} has taken {peak_mb:.0f} MB of {MEMORY_MB} MB")
        return wrong


def _peak_mb(pid: int) -> float:
    """Return a process's peak of resident memory in MB; 0 if it has ended."""
    with contextlib.suppress(OSError):
        peak = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
        return int(peak[1]) / KB if peak else 0.0
    return 0.0


async def _meet(
    folder: Path, text: Text, size: int, at: Callable[[Node], str], reads: bool = True
) -> list[str]:
    """Have a crowd meet a process; return what went wrong."""
    wrong = []
    async with _running(folder, MAX_BODY_BYTES) as system:
        node = system.nodes.rows[0]
        usage = _Usage(system.nodes)
        async with crowd(at(node), text, size, SENDING_S, reads):
            usage.observe()
            if not await system.submit(node):
                wrong.append("no answer beside the crowd")
            usage.observe()
        if not await system.submit(node):
            wrong.append("no answer after the crowd")
        wrong += [f"{other.name} ended" for other in system.nodes.rows if not other.running]
        wrong += usage.exceeded()
    return wrong


LEGAL_BYTES = MAX_BODY_BYTES - KB
CROWDS = {
    "whole": (sized(LEGAL_BYTES), CROWD),
    "in pieces": (in_pieces(sized(LEGAL_BYTES)), CROWD),
    "large chunks": (chunked(LEGAL_BYTES, 64 * KB), CROWD),
    "small chunks": (chunked(LEGAL_BYTES, 1), LARGE_CROWD),
    "headers": (begun_headers(60 * KB), 2 * LARGE_CROWD),
    "many headers": (many_headers(15 * KB), LARGE_CROWD),
    "complete jobs": (complete_jobs(255 * KB), CROWD),
    "no request": ([], 2 * LARGE_CROWD),
}


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_of_callers_leaves_a_process_within_its_machine(name: str, tmp_path: Path) -> None:
    """Bodies that did not end took the memory of a process, or all turns of its event loop."""
    text, size = CROWDS[name]
    assert asyncio.run(_meet(tmp_path, text, size, _front_address)) == []


def _front_address(node: Node) -> str:
    return node.front


def _ready_address(node: Node) -> str:
    return node.ready


def _metrics_address(node: Node) -> str:
    return f"{node.front.rpartition(':')[0]}:9464"


@pytest.mark.parametrize("at", [_ready_address, _metrics_address], ids=["ready", "metrics"])
def test_a_crowd_at_another_address_leaves_a_process_within_its_machine(
    at: Callable[[Node], str], tmp_path: Path
) -> None:
    assert asyncio.run(_meet(tmp_path, sized(LEGAL_BYTES), CROWD, at)) == []


UNREAD = {
    "front": (unread_answers(PREFIX, 2_000), _front_address),
    "ready": (unread_answers("/api/readyz", 2_000), _ready_address),
    "metrics": (unread_answers("/metrics", 2_000), _metrics_address),
}


@pytest.mark.parametrize("name", UNREAD)
def test_answers_that_nobody_reads_leave_a_process_within_its_machine(
    name: str, tmp_path: Path
) -> None:
    text, at = UNREAD[name]
    assert asyncio.run(_meet(tmp_path, text, LARGE_CROWD, at, reads=False)) == []


def _link_address(node: Node) -> str:
    return f"{node.front.rpartition(':')[0]}:{node._boot_settings['portRange'][0]}"


def test_a_crowd_at_the_links_of_members_leaves_a_process_within_its_machine(
    tmp_path: Path,
) -> None:
    assert asyncio.run(_meet(tmp_path, frame(LEGAL_BYTES), CROWD, _link_address)) == []


async def _send_alone(folder: Path, max_body_bytes: int, length: int) -> list[str]:
    """Send one request of a given length, whole and in chunks of one byte, and return faults."""
    wrong = []
    async with _running(folder, max_body_bytes) as system:
        usage = _Usage(system.nodes)
        node = system.nodes.rows[0]
        status = await _post(node.front, "c1".zfill(16), length, sized(length, missing=0)[1:])
        if length <= MAX_BODY_BYTES and status != 400:
            # The body is blank, which is not a job.
            wrong.append(f"a whole body alone is answered with {status}")
        if not await system.submit(node):
            wrong.append("no answer afterwards")
        wrong += [f"{other.name} ended" for other in system.nodes.rows if not other.running]
        wrong += usage.exceeded()
    return wrong


@pytest.mark.parametrize("length", [MAX_BODY_BYTES, LARGEST_BODY_BYTES], ids=["1 MiB", "64 MiB"])
def test_one_large_body_leaves_a_process_within_its_machine(length: int, tmp_path: Path) -> None:
    assert asyncio.run(_send_alone(tmp_path, length, length)) == []


async def _send_chunks_alone(folder: Path, chunk: int) -> int:
    async with _running(folder, MAX_BODY_BYTES) as system:
        text = [*chunked(MAX_BODY_BYTES // 4, chunk), b"0\r\n\r\n"]
        return await _exchange(system.nodes.rows[0].front, text)


@pytest.mark.parametrize("chunk", [1, 64 * KB])
def test_a_chunked_body_alone_is_served(chunk: int, tmp_path: Path) -> None:
    """The body is blank, which is not a job."""
    assert asyncio.run(_send_chunks_alone(tmp_path, chunk)) == 400
