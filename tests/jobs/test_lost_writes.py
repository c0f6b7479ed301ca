"""While the store loses writes or carries them out late, jobs are still accepted soon."""

import asyncio
from statistics import median

import pytest

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

JOBS = 80


async def _acceptance_times(seed: int, lost: float, late: bool) -> tuple[list[float], int]:
    """Return the seconds until each job was accepted, and the number of leader changes.

    25 jobs per second are submitted while the store loses a share of its writes.
    """
    system = System(seed, members=6)
    leader = await start_system(system)
    system.store.lost_reply_share = lost
    system.store.executes_lost_late = late
    durations: list[float] = []

    async def submit(number: int) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reply = await system.submit_once(leader, f"a{number:04x}")
        durations.append(loop.time() - started_at if reply.outcome is Outcome.DONE else 9.0)

    calls = []
    for number in range(JOBS):
        calls.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(0.04)
    await asyncio.wait(calls)
    return durations, len(system.store.claimed_epochs) - 1


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("late", [True, False], ids=["done late", "done unanswered"])
def test_jobs_are_accepted_soon_while_every_other_write_is_lost(seed: int, late: bool) -> None:
    durations, changes = run(_acceptance_times(seed, 0.5, late))
    assert median(durations) < 0.2
    assert sorted(durations)[int(0.9 * JOBS)] < 0.6
    assert changes == 0
