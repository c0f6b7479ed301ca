"""The store is down, and a worker is cut off by resets: its tasks start a second time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from stand_in import Cluster, NotRun, main  # noqa: E402

RECORD_FILE = Path(__file__).with_name("record.txt")
WORKERS = 8
TASKS = 4
TASK_S = 12.0
STORE_DOWN_S = 5.0
"""Seconds for which the store is down; the entries lapse after three heartbeats without a write."""
CUT_AFTER_S = 3.0
"""Seconds from the beginning of the outage until the worker is cut off."""
CUT_S = 7.0
WAIT_S = 40


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Play the case; return whether no task had two runs at the same time."""
    cell, record = cluster.cell, cluster.record
    await cluster.start(WORKERS)
    await asyncio.sleep(3.0)
    step = {"count": TASKS, "cpu": 4000, "memMb": 2048, "estMs": int(TASK_S * 1000)}
    job = await cluster.submit([step], TASK_S)
    await asyncio.sleep(0.5)
    busy = [worker for worker in cell.workers if worker.runs]
    if not busy:
        raise NotRun("no task has started")
    if trouble:
        cluster.store.down = True
        record.write("the store is down")
        await asyncio.sleep(CUT_AFTER_S)
        cell.cut(busy[0], resets=True)
        await asyncio.sleep(STORE_DOWN_S - CUT_AFTER_S)
        cluster.store.down = False
        record.write("the store is back")
        await asyncio.sleep(CUT_S - (STORE_DOWN_S - CUT_AFTER_S))
        await cell.heal(busy[0])
    await cluster.wait_until_final(job, WAIT_S)
    cluster.record_log_lines("VM terminated")
    return not cell.record_double_runs()


if __name__ == "__main__":
    main(play, RECORD_FILE)
