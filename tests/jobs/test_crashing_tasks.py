"""A task that crashed each VM that started it was started again without end, and each time took
the ten to fifteen runs beside it along. What is lost with a VM is no failure of its task, so that
nothing counted it and nothing bounded it. The lines that settled it, four times in a row under one
leader:

    19.008 "VM's life over"  i-508ad1e799   19.042 "step placed" [0, 10002, "i-2eec1fd465"]
    22.8   "VM's life over"  i-2eec1fd465   22.824 "step placed" [0, 10003, "i-6236b58058"]

Now a task under which VMs have crashed is tried apart from others, given up with its job, and what
only ran beside it is served. The count lasts over changes of leader.
"""

import asyncio
import random

import pytest

from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.emulator.loop import run
from tests.emulator.system import System

CRASHES = (0.01, 0.4, 2.0)
"""Seconds after which a task crashes its VM."""
LEADERS = 8
"""Leaders that are killed, one each few seconds."""


async def _kill_leaders(system: System, rng: random.Random) -> None:
    for _ in range(LEADERS):
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        leader = system.leader()
        if leader is not None:
            system.kill(leader, 0.3)


async def _scenario(after: float, gang: bool, killed: bool, seed: int) -> list[str]:
    """Hand in a job with a crashing task among many others; return what is wrong in the end."""
    system = System(seed, vms=8)
    system.cell.fail_share = 0.0
    system.cell.seconds = 3.0
    system.start_all()
    await asyncio.sleep(1.0)
    rng = random.Random(seed)
    step = StepSpec(3, Shape(1_000, 1_000), expected_ms=3000.0, gang=gang)
    system.cell.crashing["bad.0.0.1"] = after
    beside = [asyncio.create_task(system.traffic("a", 150, 0.2))]
    beside.append(asyncio.create_task(system.submit("bad", JobSpec("payload", (step,)))))
    if killed:
        beside.append(asyncio.create_task(_kill_leaders(system, rng)))
    await asyncio.wait(beside)
    await system.settle(60.0)
    wrong = await system.faults()
    reply = await system.state("bad")
    shown = "" if reply is None else reply.state
    return wrong if shown == "failed" else [*wrong, f"shown as {shown}"]


@pytest.mark.parametrize("killed", [False, True], ids=["one leader", "leaders killed"])
@pytest.mark.parametrize("gang", [False, True], ids=["tasks", "gang"])
@pytest.mark.parametrize("after", CRASHES)
def test_a_task_that_crashes_vms_is_given_up(after: float, gang: bool, killed: bool) -> None:
    assert run(_scenario(after, gang, killed, 11)) == []
