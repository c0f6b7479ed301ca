"""While writes are lost and done late, what comes is still accepted soon."""

import asyncio
from statistics import median

import pytest

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import begun

JOBS = 80


async def _times(seed: int, lost: float, late: bool) -> tuple[list[float], int]:
    """Return the seconds that jobs took to be accepted, and how many changes of leader there were.

    They come 25 a second for as long as some of the store's writes are lost.
    """
    system = System(seed, members=6)
    leader = await begun(system)
    system.store.lost = lost
    system.store.late = late
    took: list[float] = []

    async def hand_in(number: int) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await system.hand_in(leader, f"a{number:04x}")
        took.append(loop.time() - began if reply.outcome is Outcome.DONE else 9.0)

    calls = []
    for number in range(JOBS):
        calls.append(asyncio.create_task(hand_in(number)))
        await asyncio.sleep(0.04)
    await asyncio.wait(calls)
    return took, len(system.store.claims) - 1


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("late", [True, False], ids=["done late", "done unanswered"])
def test_jobs_are_accepted_soon_while_every_other_write_is_lost(seed: int, late: bool) -> None:
    took, changes = run(_times(seed, 0.5, late))
    assert median(took) < 0.2
    assert sorted(took)[int(0.9 * JOBS)] < 0.6
    assert changes == 0
