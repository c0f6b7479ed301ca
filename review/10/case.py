"""A job whose cancelling was answered 410 is accepted afterwards, and runs to its end."""

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_in_3
from stand_in_3 import (
    BROKEN,
    COULD_NOT_RUN,
    GONE,
    HELD,
    HOST,
    METRICS_PORT,
    OK,
    TROUBLE,
    Deployment,
    Node,
    configuration,
    fetch,
    route,
)

RECORD_FILE = Path(__file__).with_name("record.txt")
PREFIX = "/lohu930/"
WORKERS = 6
FROZEN_S = 3.9
"""Seconds for which one machine stands still; the page of the site names 4."""
LEAVES_AFTER_S = 0.3
"""Seconds after which the client leaves: within half of the objective, which is 1 s."""
CANCEL_S = 3.0
"""``cancel_ms``."""
WORK_S = 5.0


async def follower(deployment: Deployment) -> Node:
    """Return a node that does not lead, by the figures that it tells."""
    for node in deployment.nodes:
        address = f"{node.settings['ip']}:{METRICS_PORT}"
        _, figures = await fetch(address, "GET", "/metrics")
        lines = [line for line in figures.decode().splitlines() if '"leading"' in line]
        if lines and float(lines[0].split()[-1]) == 0:
            return node
    raise stand_in_3.CannotRun("no node follows")


async def send_and_leave(deployment: Deployment, node: Node, name: str, job: object) -> None:
    """Send a job, wait for the answer for a short time, and close the connection."""
    body = json.dumps(job).encode()
    host, _, port = node.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {PREFIX}{name} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 3000\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    deployment.record.add(f"POST {PREFIX}{name} {body.decode()} at {node.name}")
    try:
        async with asyncio.timeout(LEAVES_AFTER_S):
            line = await reader.readline()
            deployment.record.add(f"the answer: {line.decode().strip()}")
    except TimeoutError:
        deployment.record.add("no answer; the client leaves and closes the connection")
    writer.close()


async def case(deployment: Deployment) -> int:
    """Freeze a machine, hand a job in there, leave, and cancel the job at another machine."""
    record, cell = deployment.record, deployment.cell
    deployment.store.put("keyed.op", "config", configuration(1, [route("r-plan", PREFIX)]))
    room = {"cpu": 16000, "memMb": 65536, "gpu": 0}
    for number in range(WORKERS):
        await cell.add(f"m-{number}", room, ["a", f"r1-{1 + number % 3}"])
    await deployment.start(3)
    await asyncio.sleep(4.0)
    frozen = await follower(deployment)
    other = next(node for node in deployment.nodes if node is not frozen)
    name = f"{random.getrandbits(64):016x}"
    step = {"count": 2, "cpu": 2000, "memMb": 1024, "estMs": 5000}
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
        record.add(f"{frozen.name}, which does not lead, stands still")
    wakes_at = record.seconds + FROZEN_S
    await send_and_leave(deployment, frozen, name, {"spec": f"work={WORK_S}", "steps": [step]})
    status, _ = await deployment.call("DELETE", PREFIX + name, node=other)
    acked_at = record.seconds
    if status not in (OK, GONE):
        return COULD_NOT_RUN
    await asyncio.sleep(max(0.0, wakes_at - record.seconds))
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
        record.add(f"{frozen.name} wakes")
    await asyncio.sleep(WORK_S + 3.0)
    state = await deployment.state(PREFIX, name)
    late = [start for start in cell.starts if start[0] > acked_at + CANCEL_S]
    record.add(f"state {state}; starts over {CANCEL_S} s after the cancelling's answer: {late}")
    if late:
        record.add("BROKEN: UNASKED, a job starts though its cancelling was acknowledged")
        return BROKEN
    return HELD


stand_in_3.main(RECORD_FILE, case)
