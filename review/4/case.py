"""Case 4: machines that lead are lost one after the other, and no task is started any more."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_in_2 import Caller, CannotRun, Deployment, Log, job_id, route  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MACHINES = 6
WORKERS = 24
RACK = 6
LOSSES = 5
NEW_AFTER_S = 2.0
"""Seconds until a new machine comes: ``x`` of ``replace_core`` in the site file."""
TERM_S = 9.0
"""Seconds between two losses."""
JOBS = 12
WIDTH = 48
WORK_MS = 2200
CALM_S = 7.0
"""Seconds without disruption before the job by which the rule is checked."""
ANSWER_S = 20.0
"""Seconds in which nothing of that job runs; the rule allows 3."""
HOST, PREFIX = "nony24.example", "/lohu930/"


async def play(trouble: bool, log: Log) -> int:
    """Play the case and return the exit code."""
    deployment = Deployment(MACHINES, log)
    try:
        for number in range(WORKERS):
            await deployment.workers.add(["a", f"r1-{1 + number // RACK}"])
        deployment.configure([route("r-1", HOST, PREFIX, targetLatencyMs=3000, stretch=4.0)])
        await deployment.start()
        await asyncio.sleep(2.0)
        caller = Caller(deployment, HOST, PREFIX)
        for _ in range(LOSSES):
            began = log.now()
            await _hand_in(caller)
            await asyncio.sleep(max(0.0, TERM_S - NEW_AFTER_S - (log.now() - began)))
            _note(deployment)
            if trouble:
                (await deployment.leader()).lose()
            await asyncio.sleep(NEW_AFTER_S)
            if trouble:
                await (await deployment.add_machine()).start()
        await asyncio.sleep(CALM_S)
        return await _check(deployment, caller)
    except CannotRun as error:
        log.add("CANNOT RUN", error)
        return COULD_NOT_RUN
    finally:
        await deployment.close()


async def _hand_in(caller: Caller) -> None:
    """Hand in jobs that fill the workers with small tasks, all at once."""
    step = {"count": WIDTH, "cpu": 660, "memMb": 2000, "estMs": WORK_MS}
    await asyncio.gather(*(caller.submit(job_id(), str(WORK_MS), [step], 8) for _ in range(JOBS)))


def _note(deployment: Deployment) -> None:
    """Write down how many connections the workers have."""
    counts = sorted(worker.server.connections for worker in deployment.workers.up())
    resets = sum(worker.server.reset_count for worker in deployment.workers.up())
    deployment.log.add("CONNECTIONS of the workers", *counts, "- reset so far:", resets)


async def _check(deployment: Deployment, caller: Caller) -> int:
    """Hand in one more job and look whether any of it runs in time."""
    log = deployment.log
    _note(deployment)
    name = job_id()
    step = {"count": 2, "cpu": 980, "memMb": 2000, "estMs": WORK_MS}
    if not await caller.submit(name, str(WORK_MS), [step], 10):
        raise CannotRun("the last job was not accepted")
    accepted = log.now()
    while log.now() - accepted < ANSWER_S:
        if deployment.workers.running(name):
            log.add(f"HELD: its first task ran {log.now() - accepted:.2f} s after the acceptance")
            return HELD
        await asyncio.sleep(0.05)
    await caller.state(name)
    _note(deployment)
    busy = sum(len(worker.runs) for worker in deployment.workers.up())
    log.add(f"BROKEN: LOST: nothing of the job ran for {ANSWER_S} s; all workers run {busy} tasks")
    return BROKEN


if __name__ == "__main__":
    record = Log(HERE / "record.txt")
    sys.exit(asyncio.run(play(os.environ.get("TROUBLE", "1") != "0", record)))
