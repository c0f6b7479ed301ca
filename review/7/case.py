"""One accepted job whose times fall due together ends every process, one leader after the other."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_in_3
from stand_in_3 import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Deployment, configuration, route

RECORD_FILE = Path(__file__).with_name("record.txt")
PREFIX = "/lohu930/"
OTHER_PREFIX = "/pule252/"
WORKERS = 6
NODES = 3
TIMES = 7_500 if TROUBLE else 5
WIDTH = 60
"""Tasks of a time: the widest step of the site's mix has so many."""
DUE_AFTER_S = 4.0
OTHERS_WORK_S = 12.0
"""Work of a job of another queue, which is accepted before."""
WAIT_S = 45.0
"""Seconds from the due time until the other job is asked for: three times its work and more."""
FINISH_S = 14.0
"""``finish_s``: how long jobs are asked for."""
RESTART_S = 0.3
FINAL = ("succeeded", "failed", "cancelled")


async def platform(deployment: Deployment, kills: list[str]) -> None:
    """Kill a process that goes over its memory, and start it again, as the pages say."""
    while True:
        for node in deployment.nodes:
            held = node.memory()
            if held > node.memory_mb:
                kills.append(node.name)
                deployment.record.add(f"{node.name} holds {held:.0f} MB, over its {node.memory_mb}")
                node.signal(signal.SIGKILL)
                await asyncio.sleep(RESTART_S)
                await node.start()
            elif not node.running:
                code = None if node.process is None else node.process.returncode
                deployment.record.add(f"{node.name} has ended by itself: {code}")
                await node.start()
        await asyncio.sleep(0.05)


async def case(deployment: Deployment) -> int:
    """Hand in two jobs, one of which has many times that are due at one moment."""
    record, cell, store = deployment.record, deployment.cell, deployment.store
    routes = [route("r-plan", PREFIX), route("r-quote", OTHER_PREFIX, priority=0)]
    store.put("keyed.op", "config", configuration(1, routes))
    room = {"cpu": 16000, "memMb": 65536, "gpu": 0}
    for number in range(WORKERS):
        await cell.add(f"m-{number}", room, ["a", f"r1-{1 + number % 3}"])
    await deployment.start(NODES)
    await asyncio.sleep(3.0)
    kills: list[str] = []
    watching = asyncio.create_task(platform(deployment, kills))
    step = {"count": 2, "cpu": 1400, "memMb": 1024, "estMs": 12000}
    other = await deployment.submit(
        OTHER_PREFIX, {"spec": f"work={OTHERS_WORK_S}", "steps": [step]}
    )
    times = {
        "spec": "work=0.5",
        "steps": [{"count": WIDTH, "cpu": 980, "memMb": 500, "estMs": 500}],
        "maxRuns": TIMES,
        "startAtMs": int((time.time() + DUE_AFTER_S) * 1000),
    }
    timed = await deployment.submit(PREFIX, times)
    due_at = record.seconds + DUE_AFTER_S
    while record.seconds < due_at + WAIT_S:
        await asyncio.sleep(1.0)
        held = " ".join(f"{node.name} {node.memory():.0f} MB" for node in deployment.nodes)
        record.add(f"{held}; {len(cell.starts)} starts; {len(kills)} processes over their memory")
        if not TROUBLE and await deployment.state(OTHER_PREFIX, other) in FINAL:
            break
    asks_until = record.seconds + FINISH_S
    state = ""
    while record.seconds < asks_until and state not in FINAL:
        state = await deployment.state(OTHER_PREFIX, other)
        await asyncio.sleep(0.25)
    watching.cancel()
    record.add(f"other job {other}: {state}; timed job {timed}; {len(kills)} processes over memory")
    if state == "succeeded" and not kills:
        return HELD
    if state not in FINAL and len(kills) > NODES:
        record.add("BROKEN: LOST, an accepted job gets no answer in time; no process stays up")
        return BROKEN
    return COULD_NOT_RUN


stand_in_3.main(RECORD_FILE, case)
