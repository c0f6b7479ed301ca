"""Faults in which VMs that run on, drain or serve on cannot be reached while their leases run.

They have a table of their own so that the mixes drawn from the other tables don't change.
"""

import asyncio
import random

from tests.emulator.faults import Fault, kill_member, running_vms, store_down
from tests.emulator.store_faults import draw_faults, leaders_killed
from tests.emulator.system import System
from tests.emulator.vm import Vm

__all__ = ["LEASE_FAULTS", "draw"]

OWN_SHARE = 0.8
"""Share of a mix's faults that are drawn from this table."""
CUT_S = (4.0, 9.0)
"""Range of the seconds of a cut: most outlast three heartbeats."""
STAYS_S = (0.5, 6.0)
"""Range of the seconds that a draining VM announces to stay."""
SERVES_ON_S = (0.0, 8.0)
"""Range of the seconds for which a VM serves on past the time that it has announced."""
BEFORE_CUT_S = (0.0, 2.0)
"""Range of the seconds from the event that a cut follows until the cut."""
RESTART_DELAY_S = (0.5, 3.0)


async def _pick_vm(system: System, rng: random.Random) -> Vm:
    """Return a running VM that is not cut off; one with runs, if there is any."""
    vms = [vm for vm in await running_vms(system) if not vm.unreachable]
    busy = [vm for vm in vms if vm.runs]
    return rng.choice(busy or vms or await running_vms(system))


async def _cut(system: System, rng: random.Random, vm: Vm) -> None:
    """Cut a VM off from everybody, or from the leader and perhaps others; silently or refusing."""
    vm.refuses_when_cut = rng.random() < 0.5
    if rng.random() < 0.7:
        vm.unreachable = True
        await asyncio.sleep(rng.uniform(*CUT_S))
        vm.unreachable = False
        return
    leader = system.leader() or rng.choice(system.names)
    names = {leader, *rng.sample(system.names, rng.randint(0, len(system.names) - 1))}
    partitions = {frozenset((name, vm.info.name)) for name in names}
    system.network.partitions |= partitions
    await asyncio.sleep(rng.uniform(*CUT_S))
    system.network.partitions -= partitions


async def _end_later(system: System, rng: random.Random, vm: Vm, seconds: float) -> None:
    await asyncio.sleep(seconds)
    if vm.up:
        system.crash_vm(vm, rng.uniform(*RESTART_DELAY_S))


async def vms_cut_off(system: System, rng: random.Random) -> None:
    """Cut some VMs off, one after another, while the store serves all others."""
    for _ in range(rng.randint(1, 3)):
        asyncio.create_task(_cut(system, rng, await _pick_vm(system, rng)))
        await asyncio.sleep(rng.uniform(0.0, 1.0))


async def vm_cut_off_in_an_outage(system: System, rng: random.Random) -> None:
    """Cut some VMs off during an outage of the store, in which entries lapse."""
    outage = asyncio.create_task(store_down(system, rng))
    await asyncio.sleep(rng.uniform(0.0, 4.0))
    await vms_cut_off(system, rng)
    await outage


async def vm_cut_off_beside_leaders_killed(system: System, rng: random.Random) -> None:
    """Cut some VMs off, and kill one leader or several in succession meanwhile."""
    await vms_cut_off(system, rng)
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    await rng.choice((kill_member, leaders_killed))(system, rng)


async def draining_vm_cut_off(system: System, rng: random.Random) -> None:
    """Let a VM drain, cut it off before or after its announced time, and let it serve on."""
    vm = await _pick_vm(system, rng)
    stays_s = rng.uniform(*STAYS_S)
    system.drain(vm, stays_s)
    asyncio.create_task(_end_later(system, rng, vm, stays_s + rng.uniform(*SERVES_ON_S)))
    await asyncio.sleep(rng.uniform(*BEFORE_CUT_S))
    await _cut(system, rng, vm)


async def draining_vm_cut_off_beside_leaders_killed(system: System, rng: random.Random) -> None:
    """The same, while one leader or several are killed."""
    drain = asyncio.create_task(draining_vm_cut_off(system, rng))
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    await rng.choice((kill_member, leaders_killed))(system, rng)
    await drain


async def leaving_vm_cut_off(system: System, rng: random.Random) -> None:
    """Let a VM withdraw its entry unannounced, serve on, and be cut off."""
    vm = await _pick_vm(system, rng)
    system.unlist_vm(vm)
    asyncio.create_task(_end_later(system, rng, vm, rng.uniform(*STAYS_S) + rng.uniform(*CUT_S)))
    await asyncio.sleep(rng.uniform(*BEFORE_CUT_S))
    await _cut(system, rng, vm)


LEASE_FAULTS: tuple[Fault, ...] = (
    vms_cut_off,
    vm_cut_off_in_an_outage,
    vm_cut_off_beside_leaders_killed,
    draining_vm_cut_off,
    draining_vm_cut_off_beside_leaders_killed,
    leaving_vm_cut_off,
)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from ``FAULTS``."""
    return draw_faults(seed, LEASE_FAULTS, OWN_SHARE)
