"""A configuration gives a queue advice: the later step of an accepted job never starts again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import stand_in_3
from stand_in_3 import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Deployment, configuration, route

RECORD_FILE = Path(__file__).with_name("record.txt")
PREFIX = "/lohu930/"
WORKERS = 6
WORK_S = 12.0
CHANGE_AFTER_S = 1.0
"""Seconds from the acceptance to the new configuration: the second step's turn comes 11 s later."""
GIVEN_S = 45.0
NOTHING_RUNS_S = 3.0
POLL_S = 0.1


async def case(deployment: Deployment) -> int:
    """Change the configuration once while the first of two steps works."""
    record, cell, store = deployment.record, deployment.cell, deployment.store
    store.put("keyed.op", "config", configuration(1, [route("r-plan", PREFIX)]))
    room = {"cpu": 16000, "memMb": 65536, "gpu": 0}
    for number in range(WORKERS):
        await cell.add(f"m-{number}", room, ["a", f"r1-{1 + number % 3}"])
    await deployment.start(3)
    await asyncio.sleep(3.0)
    steps = [
        {"count": 2, "cpu": 2000, "memMb": 1024, "estMs": 12000},
        {"count": 2, "cpu": 2000, "memMb": 1024, "estMs": 12000, "dependsOn": [0]},
    ]
    job = await deployment.submit(PREFIX, {"spec": f"work={WORK_S}", "steps": steps})
    await asyncio.sleep(CHANGE_AFTER_S)
    if TROUBLE:
        advice = {"decideMs": 5.6, "eachMs": 0.08, "validMs": 3000}
        new = configuration(2, [route("r-plan", PREFIX, advice=advice)])
        store.put("keyed.op", "config", new)
        cell.needs_ticket = lambda job: True
        record.add("version 2 is acknowledged: the queue has advice")
    ends_at = record.seconds + GIVEN_S
    turn_at = idle_since = longest = 0.0
    while record.seconds < ends_at and len(done(deployment)) < len(steps) * 2:
        await asyncio.sleep(POLL_S)
        first = [task for task in done(deployment) if task.split(".")[2] == "0"]
        if not turn_at and len(first) == steps[0]["count"]:
            turn_at = idle_since = record.seconds
            record.add("the turn of the second step has come")
        if any(worker.runs for worker in cell.workers):
            idle_since = record.seconds
        elif turn_at:
            longest = max(longest, record.seconds - idle_since)
    state = await deployment.state(PREFIX, job)
    if not turn_at:
        return COULD_NOT_RUN
    if TROUBLE:
        # The queue is served, and so is a job that is handed in now.
        late = await deployment.submit(PREFIX, {"spec": "work=1", "steps": steps[:1]})
        await asyncio.sleep(3.0)
        late_state = await deployment.state(PREFIX, late)
        record.add(f"a new job of the same queue is {late_state}")
    refusals = [reason for _, _, reason in cell.refused]
    record.add(f"state {state}; nothing ran for {longest:.1f} s; refused: {len(refusals)}")
    if longest > NOTHING_RUNS_S:
        record.add("BROKEN: LOST, nothing of the job runs though its turn has come and all is free")
        return BROKEN
    return HELD if state == "succeeded" else COULD_NOT_RUN


def done(deployment: Deployment) -> set[str]:
    """Return the tasks that have ended so."""
    return {task for task, _, how in deployment.cell.ends if how == "done"}


stand_in_3.main(RECORD_FILE, case)
