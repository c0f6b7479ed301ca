"""A worker that drains is cut off for a while and runs on: its tasks start a second time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from stand_in import HEARTBEAT_S, Cluster, NotRun, main  # noqa: E402

RECORD_FILE = Path(__file__).with_name("record.txt")
WORKERS = 8
TASKS = 4
TASK_S = 8.0
STAYS_S = 9.0
"""Seconds for which the worker serves on after it has announced that it leaves."""
CUT_S = 5.5
BEFORE_HEARTBEAT_S = 0.1
WAIT_S = 40


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Play the case; return whether no task had two runs at the same time."""
    cell, record = cluster.cell, cluster.record
    await cluster.start(WORKERS)
    await asyncio.sleep(3.0)
    step = {"count": TASKS, "cpu": 4000, "memMb": 2048, "estMs": int(TASK_S * 1000)}
    job = await cluster.submit([step], TASK_S)
    await asyncio.sleep(0.3)
    busy = [worker for worker in cell.workers if worker.runs]
    if not busy:
        raise NotRun("no task has started")
    worker = max(busy, key=lambda row: len(row.runs))
    cell.drain(worker, STAYS_S)
    await asyncio.sleep(0.8)
    if trouble:
        # The cut may come at any moment; here it comes shortly before a heartbeat.
        while record.now - worker.written_at < HEARTBEAT_S - BEFORE_HEARTBEAT_S:
            await asyncio.sleep(0.005)
        cell.cut(worker)
        await asyncio.sleep(CUT_S)
        await cell.heal(worker)
    await cluster.wait_until_final(job, WAIT_S)
    cluster.record_log_lines("VM terminated")
    return not cell.record_double_runs()


if __name__ == "__main__":
    main(play, RECORD_FILE)
