"""Mixes of large jobs and of terms that change, beside faults of the store and of members."""

import asyncio
import random
from collections.abc import Sequence

from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.emulator.faults import Fault
from tests.emulator.mixes import OPERATOR_RETRY_DELAY_S, run_system
from tests.emulator.system import System
from tests.emulator.vms import emulated_wall_ms

__all__ = ["run_backlog_mix", "run_terms_mix"]

LARGE_JOBS = 3
TIMES = (80, 200)
"""Range of the repetitions of a large job, all of which are due at one moment."""
DUE_AFTER_S = (-1.0, 3.0)
WIDTH = (200, 500)
"""Range of the tasks of a wide job without repetitions."""
SMALL = Shape(250, 64)
TASK_SECONDS = 0.3
OTHER_JOBS = 30
CHANGES = 8
CHANGE_AFTER_S = (0.3, 3.0)
CANCELLED_SHARE = 0.3


async def run_backlog_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults beside jobs whose repetitions fall due together, and wide ones."""
    system = System(seed, advice=advice)
    system.emulates_time_of_day = True
    system.cell.mean_task_seconds = TASK_SECONDS
    return await run_system(system, seed, chosen, system.traffic("a", OTHER_JOBS, 0.3), _large)


async def run_terms_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults while the queue is given advice and loses it again."""
    system = System(seed, advice=advice)
    return await run_system(system, seed, chosen, system.traffic("a", 60, 0.2), _change_advice)


async def _large(system: System, rng: random.Random) -> None:
    names = []
    for number in range(LARGE_JOBS):
        names.append(f"large{number}")
        await system.submit(names[-1], _large_job(rng))
        await asyncio.sleep(rng.uniform(0.0, 2.0))
    await asyncio.sleep(rng.uniform(0.0, 6.0))
    if rng.random() < CANCELLED_SHARE:
        await system.cancel(rng.choice(names))


def _large_job(rng: random.Random) -> JobSpec:
    if rng.random() < 0.3:
        return JobSpec("payload", (StepSpec(rng.randint(*WIDTH), SMALL, expected_ms=300.0),))
    steps = tuple(
        StepSpec(rng.randint(1, 3), SMALL, expected_ms=300.0, after=(0,) if number else ())
        for number in range(rng.randint(1, 2))
    )
    due_ms = emulated_wall_ms() + rng.uniform(*DUE_AFTER_S) * 1000.0
    return JobSpec("payload", steps, rng.randint(*TIMES), float(int(due_ms)))


async def _change_advice(system: System, rng: random.Random) -> None:
    for version in range(2, 2 + CHANGES):
        await asyncio.sleep(rng.uniform(*CHANGE_AFTER_S))
        while system.store.down or system.store.refusal_share:
            # A configuration applies from the store's reply on.
            await asyncio.sleep(OPERATOR_RETRY_DELAY_S)
        system.set_advice(not system.cell.requires_ticket)
        system.configure(version)
