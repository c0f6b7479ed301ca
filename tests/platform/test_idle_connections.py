"""A planned stop leaves no call unanswered that arrives over a connection that was idle before.

The processes are real, because the test covers the last moments of a process: from the last time
it polls its sockets to the end of its interpreter.
"""

import asyncio
import json
import signal
from collections import Counter
from pathlib import Path

import pytest

from benchmarks.node_processes import Node, Nodes
from sablemount.platform.front import decode_job
from tests.platform.standin import HOST, PREFIX, Standin
from tests.platform.test_whole_path import JOB

CALLERS = 300
"""Number of callers: one every 0.02 s, since a process takes about 0.1 s to end after it last polls
its sockets."""
CALL_SPAN_S = 6.2
"""Time after the stop signal within which they call; some call after the process has to end."""
SILENT_STORE_LATENCY_S = 1e9


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _connect(node: Node) -> Connection:
    host, _, port = node.front.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _call_after_delay(number: int, connection: Connection) -> str:
    """Call over an idle connection at some time after the stop signal; return the outcome."""
    reader, writer = connection
    reading = asyncio.create_task(reader.read())
    await asyncio.sleep(CALL_SPAN_S * number / CALLERS)
    if reading.done():
        outcome = "told" if reading.exception() is None else "reset"
    else:
        body = json.dumps(JOB).encode()
        head = f"POST {PREFIX}{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        try:
            outcome = "answered" if (await reading).startswith(b"HTTP/1.1 ") else "cut"
        except OSError:
            outcome = "cut"
    writer.close()
    return outcome


async def _ready(node: Node) -> bool:
    host, _, port = node.ready.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


async def _stop_processes(folder: Path, count: int, store_answers: bool) -> Counter[str]:
    """Stop ``count`` of three processes while callers call; count the outcomes of the calls."""
    standin = Standin()
    standin.configure(3)
    for rack in ("r1", "r2"):
        standin.add_worker(rack)
    for number in range(CALLERS):
        standin.cell.jobs[f"{number:016x}"] = decode_job(json.dumps(JOB).encode())
    nodes = Nodes(3, folder, standin)
    await nodes.start()
    try:
        for node in nodes.rows:
            while not await _ready(node):
                await asyncio.sleep(0.05)
        return await _call_as_they_stop(nodes.rows[:count], standin, store_answers)
    finally:
        await nodes.close()
        standin.close()


async def _call_as_they_stop(
    nodes: list[Node], standin: Standin, store_answers: bool
) -> Counter[str]:
    connections = [await _connect(nodes[number % len(nodes)]) for number in range(CALLERS)]
    if not store_answers:
        standin.store.latency_s = SILENT_STORE_LATENCY_S
    for node in nodes:
        node.signal(signal.SIGTERM)
    calls = [_call_after_delay(number, connection) for number, connection in enumerate(connections)]
    outcomes = Counter(await asyncio.gather(*calls))
    for node in nodes:
        assert node.process is not None
        assert await node.process.wait() == 0
    return outcomes


@pytest.mark.parametrize("store_answers", [True, False], ids=["store up", "store silent"])
@pytest.mark.parametrize("count", [1, 3], ids=["one process", "all processes"])
def test_calls_over_idle_connections_are_answered_as_a_process_ends(
    count: int, store_answers: bool, tmp_path: Path
) -> None:
    """Callers were cut off in the last 0.05 to 0.2 s of each planned stop."""
    outcomes = asyncio.run(_stop_processes(tmp_path, count, store_answers))
    assert outcomes["cut"] == 0
    assert outcomes["reset"] == 0
    assert outcomes["answered"] > 0
