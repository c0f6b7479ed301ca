"""Faults of VMs and of the tasks on them, along with changes of leader.

They have a table of their own so that the mixes drawn from the other tables don't change.
"""

import asyncio
import json
import random

from sablemount.jobs.model import Shape
from tests.emulator.directory import directory_entry
from tests.emulator.faults import Fault, running_vms
from tests.emulator.store_faults import draw_faults, leaders_killed
from tests.emulator.system import CAPACITY, System
from tests.emulator.vm import Vm
from tests.emulator.vms import loop_time

__all__ = ["VM_FAULTS", "draw", "resize"]

OWN_SHARE = 0.6
"""Share of a mix's faults that are drawn from this table."""


async def tasks_crash(system: System, rng: random.Random) -> None:
    """Give some of the jobs submitted meanwhile a task that crashes each VM that starts it."""
    system.cell.crash_share = rng.choice((0.05, 0.15))
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    system.cell.crash_share = 0.0


async def tasks_crash_beside_leaders_killed(system: System, rng: random.Random) -> None:
    """Give some jobs a task that crashes VMs, while several leaders are killed in succession."""
    system.cell.crash_share = 0.15
    await leaders_killed(system, rng)
    system.cell.crash_share = 0.0


async def capacity_shrinks(system: System, rng: random.Random) -> None:
    """Let some VMs shrink, once or repeatedly, and then grow to their original capacity."""
    vms = await running_vms(system)
    for vm in rng.sample(vms, max(1, len(vms) // 2)):
        asyncio.create_task(_shrink(system, rng, vm))


async def _shrink(system: System, rng: random.Random, vm: Vm) -> None:
    for _ in range(rng.randint(1, 3)):
        resize(system, vm, Shape(int(CAPACITY.cores * rng.uniform(0.1, 0.8)), CAPACITY.memory))
        await asyncio.sleep(rng.uniform(0.5, 7.0))
    resize(system, vm, CAPACITY)


def resize(system: System, vm: Vm, capacity: Shape) -> None:
    """Change the capacity of a running VM and publish it in the VM's entry."""
    if not vm.up:
        return
    previous_entry = directory_entry(vm)
    vm.resize(capacity, loop_time())
    system.list_vm(vm)
    if system.rng.random() < OUTDATED_ENTRY_SHARE:
        # The outdated entry is published once more, and then the current one.
        system.write_foreign_entry(vm.info.name, previous_entry)
        asyncio.get_running_loop().call_later(1.0, system.list_vm, vm)


async def capacity_shrinks_beside_leaders_killed(system: System, rng: random.Random) -> None:
    """Let some VMs shrink, while several leaders are killed in succession."""
    await capacity_shrinks(system, rng)
    await leaders_killed(system, rng)


async def leader_suspended(system: System, rng: random.Random) -> None:
    """Suspend the leader for some seconds, and sometimes its successors as well."""
    for _ in range(rng.randint(1, 3)):
        name = system.leader() or rng.choice(system.names)
        if name in system.members:
            system.suspend(name)
            asyncio.get_running_loop().call_later(rng.uniform(0.3, 9.0), system.resume, name)
        await asyncio.sleep(rng.uniform(0.1, 3.0))


async def members_suspended(system: System, rng: random.Random) -> None:
    """Suspend some members at once, sometimes all of them."""
    names = rng.sample(system.names, rng.randint(1, len(system.names)))
    for name in names:
        if name in system.members:
            system.suspend(name)
            asyncio.get_running_loop().call_later(rng.uniform(0.3, 6.0), system.resume, name)


async def foreign_entries(system: System, rng: random.Random) -> None:
    """Write foreign records into the topic of the VM entries, and remove them again.

    In half of the cases leaders are killed in between.

    The keys sort before, between and after those of the VMs.
    """
    keys = ["", "\udcff\udcfe", "a b&c=d", "w0-", "~", "x" * 250]
    for key in rng.sample(keys, 4):
        system.write_foreign_entry(key, rng.choice(FOREIGN_VALUES))
    if rng.random() < 0.5:
        await leaders_killed(system, rng)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    for key in keys:
        system.write_foreign_entry(key, b"")


FOREIGN_VALUES = (
    b"\xff\xfe\x00",
    b"{}",
    b"null",
    json.dumps({"service": 7}).encode(),
    json.dumps(
        {
            "service": "another pool",
            "addr": "10.9.9.9:1",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 16_000, "memMb": 64_000},
            "seq": 1,
            "born": 1,
        }
    ).encode(),
)
"""The last one is a complete entry, of a pool that no queue names."""
OUTDATED_ENTRY_SHARE = 0.3
"""Share of the capacity changes after which the outdated entry is published once more."""

VM_FAULTS: tuple[Fault, ...] = (
    tasks_crash,
    tasks_crash_beside_leaders_killed,
    capacity_shrinks,
    capacity_shrinks_beside_leaders_killed,
    leader_suspended,
    members_suspended,
    foreign_entries,
)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from ``FAULTS``."""
    return draw_faults(seed, VM_FAULTS, OWN_SHARE)
