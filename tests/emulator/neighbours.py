"""A job without a fault beside tasks that crash VMs: which of them do so is not left to chance.

Of the jobs that start beside the job, some turn out to crash VMs, until as many have as the job may
meet by chance. They crash each VM that starts them from then on. Other jobs crash VMs as well.
"""

import asyncio
import random
from collections import Counter

from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.emulator.store_faults import leaders_killed
from tests.emulator.system import System
from tests.emulator.vm import Run, Vm
from tests.emulator.vm_faults import leader_suspended
from tests.emulator.vms import CRASH_DELAYS_S, Cell, loop_time

__all__ = ["BLAMELESS_JOB", "NeighbourMix", "run_neighbour_mix"]

BLAMELESS_JOB = "b0000"
SPEC = JobSpec("payload", (StepSpec(1, Shape(1_000, 500), expected_ms=1000.0),))
RECENT_START_S = 0.3
"""Seconds since its start within which a neighbour may begin to crash VMs."""
JOBS = 220
JOB_INTERVAL_S = 0.06
"""Mean seconds between two jobs: as many as callers of the process soak submit."""
TASK_SECONDS = 0.6
FAILURE_SHARE = 0.02
SETTLE_TIMEOUT_S = 60.0


class CrashingNeighbours:
    """Makes jobs crash VMs as they start beside the blameless job."""

    def __init__(self, cell: Cell, rng: random.Random, limit: int) -> None:
        self._cell = cell
        self._rng = rng
        self._remaining = limit
        cell.on_start = self._on_start

    def _on_start(self, vm: Vm, _: Run) -> None:
        neighbours = [run for run in vm.runs.values() if not _is_blameless(run)]
        if not self._remaining or len(neighbours) == len(vm.runs):
            return
        found = [run for run in neighbours if self._may_crash_vms(run)]
        if found:
            self._remaining -= 1
            delay = self._rng.choice(CRASH_DELAYS_S)
            self._cell.make_crash_vms(vm, self._rng.choice(found), delay)

    def _may_crash_vms(self, run: Run) -> bool:
        is_recent = loop_time() - run.started_at < RECENT_START_S
        return is_recent and not self._cell.crashes_vms(run.task.partition(".")[0])


def _is_blameless(run: Run) -> bool:
    return run.task.startswith(f"{BLAMELESS_JOB}.")


class NeighbourMix:
    """A mix: its system, and what became of the tasks that crash VMs."""

    def __init__(
        self, seed: int, neighbours: int = 4, crash_share: float = 0.1, kills: bool = False
    ) -> None:
        self.system = System(seed, advice=seed % 2 == 0)
        self._rng = random.Random(seed + 7)
        self._crash_share = crash_share
        self._kills = kills
        cell = self.system.cell
        cell.failure_share = FAILURE_SHARE
        cell.mean_task_seconds = TASK_SECONDS
        CrashingNeighbours(cell, self._rng, neighbours)

    async def run(self) -> list[str]:
        """Run the mix and return the violations."""
        system, cell = self.system, self.system.cell
        system.start_all()
        await asyncio.sleep(1.0)
        traffic = asyncio.create_task(system.traffic("a", JOBS, JOB_INTERVAL_S))
        if self._kills:
            fault = self._rng.choice((leaders_killed, leader_suspended))
            asyncio.create_task(fault(system, self._rng))
        cell.crash_share = self._crash_share
        await asyncio.sleep(2.0)
        cell.crash_share = 0.0
        submission = asyncio.create_task(system.submit(BLAMELESS_JOB, SPEC))
        await asyncio.sleep(0.0)
        cell.crash_share = self._crash_share
        await submission
        await asyncio.sleep(4.0)
        cell.crash_share = 0.0
        await traffic
        await asyncio.sleep(9.0)
        await system.settle(SETTLE_TIMEOUT_S)
        return await system.find_violations()

    def crashes(self) -> Counter[int]:
        """Return how many tasks have crashed a number of VMs, by this number."""
        cell = self.system.cell
        return Counter(cell.crashes_caused[task] for task in cell.crash_delays_s)


async def run_neighbour_mix(seed: int, kills: bool = False) -> list[str]:
    """Run a mix with four such neighbours, and with leaders that end if ``kills``."""
    return await NeighbourMix(seed, kills=kills).run()
