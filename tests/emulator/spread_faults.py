"""Faults that bring runs of one step together: VMs that are silent and return, later leaders.

They have a table of their own so that the mixes drawn from the other tables don't change.
"""

import asyncio
import random

from tests.emulator.faults import (
    Fault,
    kill_member,
    late_orders,
    member_cut,
    running_vms,
    store_down,
    vm_crash,
)
from tests.emulator.store_faults import draw_faults, leaders_killed
from tests.emulator.system import System
from tests.emulator.vm import Vm

__all__ = [
    "BEYOND_LEASE_S",
    "CHANGES",
    "SPREAD_FAULTS",
    "draw",
    "leaders_change_beside_silent_vms",
    "silence",
    "vms_silent_beyond_their_lease",
    "vms_silent_within_their_lease",
]

FAULTS_PER_MIX = 5
OWN_SHARE = 0.85
"""Share of a mix's faults that are drawn from this table."""
BEYOND_LEASE_S = (8.5, 13.0)
"""Range of the seconds of a silence that mostly outlasts the leases of a VM."""
WITHIN_LEASE_S = (0.5, 5.5)
CUT_OFF_FROM_ALL_SHARE = 0.8
"""Share of the silent VMs that are cut off from everybody, the store included."""
MAX_SILENT_VMS = 3
FROZEN_S = (1.0, 6.0)


def _pick_vm(system: System, rng: random.Random, vms: list[Vm]) -> Vm:
    """Return a VM that can be reached and has runs, if there is one."""
    reached = [vm for vm in vms if not vm.unreachable]
    return rng.choice([vm for vm in reached if vm.runs] or reached or vms)


async def silence(system: System, rng: random.Random, vm: Vm, seconds: float) -> None:
    """Cut a VM off from everybody, or from the leader and perhaps others, for some seconds."""
    vm.refuses_when_cut = rng.random() < 0.3
    if rng.random() < CUT_OFF_FROM_ALL_SHARE:
        vm.unreachable = True
        await asyncio.sleep(seconds)
        vm.unreachable = False
        return
    leader = system.leader() or rng.choice(system.names)
    names = {leader, *rng.sample(system.names, rng.randint(0, len(system.names) - 1))}
    partitions = {frozenset((name, vm.info.name)) for name in names}
    system.network.partitions |= partitions
    await asyncio.sleep(seconds)
    system.network.partitions -= partitions


async def _silence_some(
    system: System, rng: random.Random, seconds: tuple[float, float]
) -> asyncio.Future[list[None]]:
    """Let some VMs fall silent one after another; return what waits for their return."""
    silences = []
    for _ in range(rng.randint(1, MAX_SILENT_VMS)):
        vm = _pick_vm(system, rng, await running_vms(system))
        silences.append(silence(system, rng, vm, rng.uniform(*seconds)))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
    return asyncio.gather(*silences)


async def vms_silent_beyond_their_lease(system: System, rng: random.Random) -> None:
    """Let VMs be silent until their tasks run elsewhere, and return."""
    await (await _silence_some(system, rng, BEYOND_LEASE_S))


async def vms_silent_within_their_lease(system: System, rng: random.Random) -> None:
    """Let VMs fall silent and return again and again while their leases run."""
    for _ in range(rng.randint(1, 3)):
        await (await _silence_some(system, rng, WITHIN_LEASE_S))


async def leaders_change_beside_silent_vms(system: System, rng: random.Random) -> None:
    """Let leaders be replaced, by any means, while VMs are silent and after they return."""
    seconds = rng.choice((BEYOND_LEASE_S, BEYOND_LEASE_S, WITHIN_LEASE_S))
    silent = await _silence_some(system, rng, seconds)
    for _ in range(rng.randint(1, 2)):
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        await rng.choice(CHANGES)(system, rng)
    await silent
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await rng.choice(CHANGES)(system, rng)


async def requests_late_beside_silent_vms(system: System, rng: random.Random) -> None:
    """Let many requests be carried out late, or their answers be lost, while VMs are silent."""
    silent = await _silence_some(system, rng, rng.choice((BEYOND_LEASE_S, WITHIN_LEASE_S)))
    await late_orders(system, rng)
    await silent


async def _leader_frozen(system: System, rng: random.Random) -> None:
    """Suspend the leader, mostly until another one leads, and let it go on."""
    name = system.leader()
    if name is not None:
        system.suspend(name)
        await asyncio.sleep(rng.uniform(*FROZEN_S))
        system.resume(name)


async def _leader_parted(system: System, rng: random.Random) -> None:
    """Part the leader from all members, and from the store."""
    name = system.leader()
    if name is None:
        return
    partitions = {frozenset((name, other)) for other in system.names if other != name}
    system.network.partitions |= partitions
    system.store.unreachable_members.add(name)
    await asyncio.sleep(rng.uniform(*FROZEN_S))
    system.network.partitions -= partitions
    system.store.unreachable_members.discard(name)


CHANGES: tuple[Fault, ...] = (kill_member, leaders_killed, _leader_frozen, _leader_parted)
"""Faults by which another leader may be elected."""
SPREAD_FAULTS: tuple[Fault, ...] = (
    vms_silent_beyond_their_lease,
    vms_silent_beyond_their_lease,
    vms_silent_within_their_lease,
    leaders_change_beside_silent_vms,
    leaders_change_beside_silent_vms,
    requests_late_beside_silent_vms,
)
OTHERS: tuple[Fault, ...] = (kill_member, store_down, vm_crash, late_orders, member_cut)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from ``OTHERS``."""
    return draw_faults(seed, SPREAD_FAULTS, OWN_SHARE, OTHERS, FAULTS_PER_MIX)
