"""VMs restart under their ids, and hold and know nothing of what came before.

A restarted VM was mistaken for its previous incarnation: its answers were ignored until its clock
was past that one's, and its completions, numbered from 1 again, counted as already seen and were
acknowledged with the number that the previous incarnation had reached. Completed runs were lost
("run not there" 21 times, once per poll, and no completion, after a placement 2.5 s after the
restart) and started again elsewhere: a task that must run once ran twice, and one was started six
times for three failures.
"""

import asyncio

import pytest

from tests.emulator.loop import run
from tests.emulator.system import System

RESTARTS = 3
"""Times that each VM restarts."""
RESTART_INTERVAL_S = 4.0


async def _restart_all(system: System) -> None:
    for _ in range(RESTARTS):
        await asyncio.sleep(RESTART_INTERVAL_S)
        for vm in [vm for vm in system.cell.vms.values() if vm.up]:
            system.restart_vm(vm, 0.7)
            await asyncio.sleep(0.3)


async def _scenario(seed: int, fail_share: float) -> list[str]:
    """Submit short jobs while all VMs restart in turn; return what is wrong at the end."""
    system = System(seed, vms=4)
    system.cell.mean_task_seconds = 0.3
    system.cell.failure_share = fail_share
    system.start_all()
    await asyncio.sleep(1.0)
    restarts = asyncio.create_task(_restart_all(system))
    await system.traffic("a", 200, 0.1)
    await restarts
    await system.settle(60.0)
    return await system.find_violations()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fail_share", [0.0, 0.4], ids=["done", "failed"])
def test_what_ends_on_a_vm_that_has_started_again_counts(seed: int, fail_share: float) -> None:
    assert run(_scenario(seed, fail_share)) == []
