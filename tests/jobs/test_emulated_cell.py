"""The emulated cell: an error in it fails the run, and a job submitted again stays the same job.

When a caller submitted another job under an id in use, the cell checked the starts of the first job
against the second. In one test file 797 calls ended with "IndexError: tuple index out of range" in
a task that nothing awaited: the VM seemed silent, and the test passed.
"""

import asyncio

import pytest

from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system


def test_an_error_in_a_call_to_a_vm_fails_the_run() -> None:
    async def scenario() -> None:
        system = System(5)
        leader = await start_system(system)
        system.cell.jobs.clear()
        await system.submit_once(leader, "a1")
        system.cell.jobs.clear()
        await asyncio.sleep(3.0)

    with pytest.raises(ExceptionGroup) as raised:
        run(scenario())
    assert raised.group_contains(KeyError)


@pytest.mark.parametrize("seed", range(6))
def test_a_job_that_is_handed_in_again_is_the_one_that_came_first(seed: int) -> None:
    async def scenario() -> None:
        system = System(seed)
        leader = await start_system(system)
        await system.submit_once(leader, "a1")
        first = system.cell.jobs["a1"]
        for _ in range(5):
            await system.submit_once(leader, "a1")
        assert system.cell.jobs["a1"] == first
        await asyncio.sleep(3.0)

    run(scenario())
