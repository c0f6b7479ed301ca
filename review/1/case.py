"""Jobs with times are cancelled before their first time: some are started all the same, at once."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from stand_in import BOUNDS, MS, OK, Cluster, main  # noqa: E402

RECORD_FILE = Path(__file__).with_name("record.txt")
WORKERS = 8
LOAD_S = 12.0
LOAD_INTERVAL_S = 0.025
"""Seconds between two jobs of the ordinary load: a burst of 40 jobs of four tasks a second, where
the site has some 28 jobs of four tasks a second without one."""
LOAD_TASKS = 4
LOAD_TASK_S = 0.8
TIMED_JOBS = 150
TIMES = 4
INTERVAL_MS = 2000
DUE_AFTER_S = 30.0
"""Seconds until the first time of the jobs with times, which are cancelled long before."""
TASK_S = 1.0
WATCH_S = 6.0


async def _load(cluster: Cluster) -> None:
    """Submit ordinary jobs for a while, somewhat more than the workers can run at once."""
    step = {"count": LOAD_TASKS, "cpu": 1400, "memMb": 1024, "estMs": int(LOAD_TASK_S * MS)}
    submits = []
    for _ in range(int(LOAD_S / LOAD_INTERVAL_S)):
        submits.append(asyncio.create_task(cluster.submit([step], LOAD_TASK_S)))
        await asyncio.sleep(LOAD_INTERVAL_S)
    await asyncio.gather(*submits)


async def _cancel(cluster: Cluster, job: str, after: float, acked: dict[str, float]) -> None:
    """Cancel a job after some seconds, and note when that was acknowledged."""
    await asyncio.sleep(after)
    status, _ = await cluster.ask("DELETE", job)
    if status == OK:
        acked[job] = cluster.record.now


def _broken(cluster: Cluster, acked: dict[str, float]) -> list[str]:
    """Return how the rule was broken."""
    found = list(cluster.cell.foreign_orders)
    for run in cluster.cell.history:
        at = acked.get(run.task.partition(".")[0])
        if at is not None and run.began_at > at + BOUNDS["cancel_ms"] / MS:
            found.append(
                f"{run.task} began {run.began_at - at:.3f} s after its cancelling was acked"
            )
    return found


async def play(cluster: Cluster, trouble: bool) -> bool:
    """Play the case; return whether workers were told to start only what clients had sent."""
    record = cluster.record
    await cluster.start(WORKERS)
    await asyncio.sleep(3.0)
    due_at = time.time() + DUE_AFTER_S
    step = {"count": 2, "cpu": 1000, "memMb": 512, "estMs": int(TASK_S * MS)}
    times = {"maxRuns": TIMES, "startAtMs": int(due_at * MS), "intervalMs": INTERVAL_MS}
    jobs = [await cluster.submit([step], TASK_S, **times) for _ in range(TIMED_JOBS)]
    acked: dict[str, float] = {}
    work = [_load(cluster)]
    if trouble:
        for job in jobs:
            work.append(_cancel(cluster, job, random.uniform(1.0, LOAD_S - 1.0), acked))
    await asyncio.gather(*work)
    record.write(f"the cancelling of {len(acked)} of {TIMED_JOBS} jobs with times is acknowledged")
    await asyncio.sleep(WATCH_S)
    record.write(f"the first time of these jobs is due in {due_at - time.time():.1f} s")
    broken = _broken(cluster, acked)
    for line in broken:
        record.write(f"UNASKED: {line}")
    return not broken


if __name__ == "__main__":
    main(play, RECORD_FILE)
