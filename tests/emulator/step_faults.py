"""Faults between two steps: members stand still there, the store goes, calls come late.

Each happens beside VMs that run on behind a cut, so that a lease that is counted as shorter than
the VM's own shows as a second run. They have a table of their own so that the mixes drawn from the
other tables don't change.
"""

import asyncio
import random

from tests.emulator.faults import Fault, kill_member
from tests.emulator.lease_faults import LEASE_FAULTS, vms_cut_off
from tests.emulator.store_faults import draw_faults
from tests.emulator.system import System

__all__ = ["STEP_FAULTS", "draw"]

FAULTS_PER_MIX = 5
OWN_SHARE = 0.7
"""Share of a mix's faults that are drawn from this table."""
USUAL_DELAYED_SHARE = 0.02
TRIGGER_TIMEOUT_S = 3.0
"""Longest wait for the write that a fault follows, in seconds."""


async def members_stand_still_at_steps(system: System, rng: random.Random) -> None:
    """Let members stand still before and after some of their calls, while VMs are cut off."""
    system.stalls.share = rng.choice((0.002, 0.01, 0.03))
    await vms_cut_off(system, rng)
    await asyncio.sleep(rng.uniform(3.0, 9.0))
    system.stalls.share = 0.0


async def store_gone_as_a_record_is_written(system: System, rng: random.Random) -> None:
    """Take the store down as records are written, and cut VMs off during the outage."""
    written = asyncio.Event()
    system.store.on_records_written = written.set
    try:
        async with asyncio.timeout(TRIGGER_TIMEOUT_S):
            await written.wait()
    except TimeoutError:
        pass
    await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.005), rng.uniform(0.0, 0.05))))
    system.store.down = True
    began_at = asyncio.get_running_loop().time()
    await asyncio.sleep(rng.uniform(0.0, 4.0))
    await vms_cut_off(system, rng)
    if rng.random() < 0.3:
        await kill_member(system, rng)
    left = began_at + rng.uniform(2.5, 10.0) - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, left))
    system.store.down = False


async def leaders_return(system: System, rng: random.Random) -> None:
    """Suspend leaders until another one leads, or nearly so, and let them go on, during cuts."""
    await vms_cut_off(system, rng)
    for _ in range(rng.randint(1, 4)):
        name = system.leader()
        if name is not None:
            system.suspend(name)
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            system.resume(name)
        await asyncio.sleep(rng.uniform(0.0, 2.0))


async def calls_late(system: System, rng: random.Random) -> None:
    """Delay or lose many calls to VMs and their answers, while VMs are cut off."""
    system.cell.late_request_share = rng.choice((0.05, 0.2))
    system.cell.delayed_share = 0.5
    await vms_cut_off(system, rng)
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    system.cell.late_request_share = 0.0
    system.cell.delayed_share = USUAL_DELAYED_SHARE


async def cuts_flap(system: System, rng: random.Random) -> None:
    """Cut VMs off again and again for short times, refusing or silently, as polls are in flight."""
    for _ in range(rng.randint(4, 9)):
        vms = [vm for vm in system.cell.vms.values() if vm.up and not vm.unreachable]
        busy = [vm for vm in vms if vm.runs] or vms
        if busy:
            vm = rng.choice(busy)
            vm.refuses_when_cut = rng.random() < 0.7
            vm.unreachable = True
            await asyncio.sleep(rng.uniform(0.01, 1.5))
            vm.unreachable = False
        await asyncio.sleep(rng.uniform(0.0, 0.5))
    await vms_cut_off(system, rng)


STEP_FAULTS: tuple[Fault, ...] = (
    members_stand_still_at_steps,
    store_gone_as_a_record_is_written,
    leaders_return,
    calls_late,
    cuts_flap,
)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from those of leases."""
    return draw_faults(seed, STEP_FAULTS, OWN_SHARE, LEASE_FAULTS, FAULTS_PER_MIX)
