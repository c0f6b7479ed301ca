"""Mixes in which queues of two priorities are sent from pool to pool while their steps run."""

import asyncio
import random
from collections.abc import Sequence

from sablemount.jobs.model import Organisation, Queue
from tests.emulator.faults import Fault
from tests.emulator.mixes import (
    OPERATOR_RETRY_DELAY_S,
    SPREAD_CAPS_MILLICORES,
    organisations,
    run_system,
)
from tests.emulator.placement_jobs import PlacementJobs
from tests.emulator.system import CAPACITY, HOST, OTHER_PREFIX, PREFIX, System
from tests.emulator.vms import emulated_wall_ms

__all__ = ["run_placement_mix"]

KINDS = ("a", "b")
POOLS = ("pool", "other", "third")
HOMES = ("pool", "third")
"""The pools between which the queues of ``PREFIX`` and ``URGENT_PREFIX`` are moved."""
VMS_PER_LABEL = 2
"""VMs of each kind in each pool."""
URGENT_PREFIX = "/urgent/"
PREFIXES = (PREFIX, PREFIX, PREFIX, URGENT_PREFIX, URGENT_PREFIX, OTHER_PREFIX)
TASK_SECONDS = 4.0
MAX_TASK_SECONDS = 12.0
JOBS = 14
JOB_INTERVAL_S = 0.6
MOVES = 5
MOVE_INTERVAL_S = (0.5, 7.0)
CANCELS = 2
CANCEL_INTERVAL_S = (2.0, 8.0)


async def run_placement_mix(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Inject faults beside steps whose spread, label, pool and capacity bind together."""
    system = System(seed, vms=0, advice=advice, pools=POOLS)
    _add_vms(system)
    system.emulates_time_of_day = True
    system.cell.mean_task_seconds = TASK_SECONDS
    system.cell.max_task_seconds = MAX_TASK_SECONDS
    rng = random.Random(seed + 5)
    owners = organisations(4 * rng.choice(SPREAD_CAPS_MILLICORES)) if seed % 3 == 0 else None
    operator = _Operator(system, random.Random(seed + 9), owners)
    operator.publish()
    jobs = PlacementJobs(rng, KINDS, 1 if advice else VMS_PER_LABEL, emulated_wall_ms)
    callers = ("rueda", "yard") if owners else ("",)
    return await run_system(system, seed, chosen, _submit(system, rng, jobs, callers), operator.run)


def _add_vms(system: System) -> None:
    """Add VMs to each pool, so that advice, which excludes machines by their number, leaves some.

    Of the two VMs of a pool and kind it excludes one at most.
    """
    pools, kinds = len(POOLS), len(KINDS)
    for number in range(VMS_PER_LABEL * kinds * pools):
        group = number // pools
        pool, kind = POOLS[(number + group) % pools], KINDS[group % kinds]
        address = f"10.0.0.{number + 1}:8240"
        system.list_vm(system.cell.add(f"w{number}", f"r{group}", CAPACITY, address, pool, kind))


async def _submit(
    system: System, rng: random.Random, jobs: PlacementJobs, callers: tuple[str, ...]
) -> None:
    tasks = []
    for number in range(JOBS):
        prefix = rng.choice(PREFIXES)
        submission = system.submit(f"p{number:04x}", jobs.job(), rng.choice(callers), prefix)
        tasks.append(asyncio.create_task(submission))
        await asyncio.sleep(rng.expovariate(1.0 / JOB_INTERVAL_S))
    await asyncio.wait(tasks)


class _Operator:
    """Sends the queues to one pool and back, under rising versions, and cancels some jobs."""

    def __init__(
        self, system: System, rng: random.Random, owners: tuple[Organisation, ...] | None
    ) -> None:
        self._system = system
        self._rng = rng
        self._owners = owners
        self._version = 1
        self._homes = [HOMES[0], HOMES[0]]

    def publish(self) -> None:
        """Publish the next version; callers need keys if there are organisations."""
        self._version += self._rng.randint(1, 3)
        work, urgent = self._homes
        terms = self._system.terms
        queues = (
            Queue(HOST, PREFIX, terms("work", work, 1)),
            Queue(HOST, URGENT_PREFIX, terms("urgent", urgent, 0)),
            Queue(HOST, OTHER_PREFIX, terms("other", POOLS[1], 1)),
        )
        self._system.configure(self._version, organisations=self._owners, queues=queues)

    async def run(self, system: System, rng: random.Random) -> None:
        """Move the queues again and again, and cancel jobs meanwhile."""
        cancels = asyncio.create_task(self._cancel_some())
        for _ in range(MOVES):
            await asyncio.sleep(self._rng.uniform(*MOVE_INTERVAL_S))
            while system.store.down or system.store.refusal_share:
                # A configuration applies from the store's reply on.
                await asyncio.sleep(OPERATOR_RETRY_DELAY_S)
            moved = self._rng.choice(((0,), (0,), (1,), (0, 1)))
            for number in moved:
                self._homes[number] = HOMES[self._homes[number] == HOMES[0]]
            self.publish()
        await cancels

    async def _cancel_some(self) -> None:
        for _ in range(CANCELS):
            await asyncio.sleep(self._rng.uniform(*CANCEL_INTERVAL_S))
            if self._system.accepted:
                await self._system.cancel(self._rng.choice(sorted(self._system.accepted)))
