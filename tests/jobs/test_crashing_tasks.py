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
from tests.emulator.vm import Vm

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


UNNOTED = 3
"""Leaders that end before the store has what they started."""
SLOW = 0.1
"""Seconds that the store needs meanwhile."""


async def _crashes_unnoted(seed: int) -> list[str]:
    """Lose what is written as a task crashes its VM, and then the leader, again and again."""
    system = System(seed, vms=8)
    system.cell.fail_share = 0.0
    system.start_all()
    await asyncio.sleep(1.0)
    system.store.latency = SLOW
    crash = system.cell.on_crash
    ended: list[asyncio.Task[None]] = []

    async def end_leader() -> None:
        leader = system.leader()
        await asyncio.sleep(0.5)
        if leader is not None:
            system.kill(leader, 0.3)
        await asyncio.sleep(0.3)
        system.store.down = False

    def crashed(vm: Vm) -> None:
        crash(vm)
        if len(ended) < UNNOTED:
            system.store.down = True
            ended.append(asyncio.create_task(end_leader()))

    system.cell.on_crash = crashed
    system.cell.crashing["bad.0.0.0"] = 0.01
    step = StepSpec(1, Shape(1_000, 1_000), expected_ms=3000.0)
    await system.submit("bad", JobSpec("payload", (step,)))
    # Settling heals the store.
    await asyncio.sleep(UNNOTED * 8.0)
    await system.settle(60.0)
    return await system.faults()


@pytest.mark.parametrize("seed", range(4))
def test_a_crash_counts_though_its_leader_ends_before_the_start_is_noted(seed: int) -> None:
    """A soak of the real processes had a task started six times under five leaders.

    Writes were lost or late from its first two starts on until the leader was killed, so that the
    leaders after them knew of no crash under it; two more were on VMs that others used too, and
    the task was given up at the fourth that was known. Here three leaders know of none.
    """
    assert run(_crashes_unnoted(seed)) == []
