"""Faults of VMs and of what runs on them, beside changes of leader.

A table of their own, so that the mixes drawn from the older tables stay as they were.
"""

import asyncio
import random

from tests.emulator.faults import FAULTS, Fault
from tests.emulator.store_faults import leaders_killed
from tests.emulator.system import System

__all__ = ["VM_FAULTS", "draw"]

FAULTS_A_MIX = 5
SHARE = 0.6
"""Share of a mix's faults that are drawn from this table."""


async def tasks_crash(system: System, rng: random.Random) -> None:
    """Let some of the jobs that come now have a task that crashes each VM that starts it."""
    system.cell.crash_share = rng.choice((0.05, 0.15))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    system.cell.crash_share = 0.0


async def tasks_crash_beside_leaders_killed(system: System, rng: random.Random) -> None:
    """Let some jobs have such a task, while one leader after the other is killed."""
    system.cell.crash_share = 0.15
    await leaders_killed(system, rng)
    system.cell.crash_share = 0.0


VM_FAULTS: tuple[Fault, ...] = (
    tasks_crash,
    tasks_crash_beside_leaders_killed,
)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most of them of this module, the others of any kind."""
    rng = random.Random(seed)
    tables = (VM_FAULTS if rng.random() < SHARE else FAULTS for _ in range(FAULTS_A_MIX))
    return [rng.choice(table) for table in tables]
