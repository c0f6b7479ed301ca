"""Faults of the VMs that steps are placed on: other kinds and pools, drains, less capacity.

They have a table of their own so that the mixes drawn from the other tables don't change.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from sablemount.jobs.model import Shape, VmInfo
from tests.emulator.faults import Fault, kill_member, late_orders, running_vms, store_down
from tests.emulator.spread_faults import (
    BEYOND_LEASE_S,
    CHANGES,
    leaders_change_beside_silent_vms,
    silence,
    vms_silent_beyond_their_lease,
    vms_silent_within_their_lease,
)
from tests.emulator.store_faults import draw_faults, leaders_killed
from tests.emulator.system import CAPACITY, System
from tests.emulator.vm import Vm
from tests.emulator.vm_faults import capacity_shrinks, resize

__all__ = ["PLACEMENT_FAULTS", "draw"]

FAULTS_PER_MIX = 6
OWN_SHARE = 0.85
"""Share of a mix's faults that are drawn from this table."""
MAX_VMS = 2
MAX_SILENT_VMS = 3
MIN_WAITING = 2
"""Tasks of a step that have to wait at least for its VMs to be silent."""
BETWEEN_VMS_S = (0.0, 1.5)
AWAY_S = (3.0, 9.0)
"""Range of the seconds for which a machine is of another kind, or in another pool."""
RESTART_DELAYS_S = (0.1, 0.1, 0.3, 1.0, 3.0)
STAYS_S = (0.5, 6.0)
"""Range of the seconds that a draining VM announces to stay."""
SERVES_ON_S = (0.0, 5.0)
"""Range of the seconds for which it serves on past that time."""
DRAINS_FIRST_SHARE = 0.5
OTHER_POOL_SHARE = 0.4
LESS_CAPACITY_SHARE = 0.4
CAPACITY_SHARES = (0.4, 0.9)
POLL_INTERVAL_S = 0.2
BEFORE_CHANGE_S = (0.3, 4.0)

Change = Callable[[System, random.Random, Vm], None]


def _home(system: System, machine: str) -> VmInfo:
    """Return what the first VM of a machine said of itself."""
    return next(vm.info for vm in system.cell.vms.values() if vm.info.machine == machine)


def _kind_and_pool(info: VmInfo) -> tuple[str, str]:
    return info.labels[0], info.pool


async def _pick_vm(system: System, rng: random.Random) -> Vm:
    """Return a running VM that doesn't drain; one with runs, if there is any."""
    vms = await running_vms(system)
    found = [vm for vm in vms if not vm.info.draining]
    return rng.choice([vm for vm in found if vm.runs] or found or vms)


def _draw_capacity(rng: random.Random) -> Shape:
    if rng.random() >= LESS_CAPACITY_SHARE:
        return CAPACITY
    return Shape(int(CAPACITY.cores * rng.uniform(*CAPACITY_SHARES)), CAPACITY.memory)


def _draw_other(rng: random.Random, values: set[str], present: str) -> str:
    return rng.choice(sorted(values - {present}) or [present])


def _draw_kind(system: System, rng: random.Random, vm: Vm) -> str:
    kinds = {other.info.labels[0] for other in system.cell.vms.values()}
    return _draw_other(rng, kinds, vm.info.labels[0])


def _restart_as_another_kind(system: System, rng: random.Random, vm: Vm) -> None:
    """Restart a VM under its id, as one of another kind."""
    kind = _draw_kind(system, rng, vm)
    system.restart_vm(vm, rng.choice(RESTART_DELAYS_S), _draw_capacity(rng), kind)


def _replace_by_another_kind(system: System, rng: random.Random, vm: Vm) -> None:
    """Replace a VM by one of another kind, in its pool or in another one."""
    pool = vm.info.pool
    if rng.random() < OTHER_POOL_SHARE:
        pool = _draw_other(rng, {other.info.pool for other in system.cell.vms.values()}, pool)
    delay = rng.choice(RESTART_DELAYS_S)
    system.replace_vm(vm, delay, _draw_capacity(rng), pool, _draw_kind(system, rng, vm))


def _has_waiting_step(system: System, vm: Vm) -> bool:
    """Return whether a VM runs a task of a step that has a spread and tasks that never started."""
    return any(_has_waiting_tasks(system, task) for task, _ in vm.runs)


def _has_waiting_tasks(system: System, task: str) -> bool:
    cell, key = system.cell, task.rpartition(".")[0]
    job, _, number = key.split(".")
    step = cell.jobs[job].steps[int(number)]
    waiting = sum(f"{key}.{index}" not in cell.starts for index in range(step.count))
    return bool(step.spread) and waiting >= MIN_WAITING


async def vms_of_waiting_steps_silent(system: System, rng: random.Random) -> None:
    """Let VMs be silent beyond their leases whose steps have tasks that wait for their spread."""
    silences: list[Awaitable[None]] = []
    for _ in range(MAX_SILENT_VMS):
        vms = [vm for vm in await running_vms(system) if not vm.unreachable]
        found = [vm for vm in vms if _has_waiting_step(system, vm)] or vms
        if found:
            seconds = rng.uniform(*BEYOND_LEASE_S)
            silences.append(asyncio.ensure_future(silence(system, rng, rng.choice(found), seconds)))
        await asyncio.sleep(rng.uniform(*BETWEEN_VMS_S))
    await asyncio.gather(*silences)


async def _change_for_a_while(system: System, rng: random.Random, vm: Vm, change: Change) -> None:
    """Change a VM's machine, perhaps after a drain, and change it back later."""
    if rng.random() < DRAINS_FIRST_SHARE:
        stays_s = rng.uniform(*STAYS_S)
        system.drain(vm, stays_s)
        await asyncio.sleep(stays_s)
    change(system, rng, vm)
    await asyncio.sleep(rng.uniform(*AWAY_S))
    await _restore(system, vm.info.machine)


async def _restore(system: System, machine: str) -> None:
    """Give a machine back its first kind, pool and capacity, once a VM of it is up."""
    home = _home(system, machine)
    while True:
        found = [vm for vm in await running_vms(system) if vm.info.machine == machine]
        if found:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    vm = found[0]
    if _kind_and_pool(vm.info) != _kind_and_pool(home):
        kind, pool = _kind_and_pool(home)
        system.replace_vm(vm, RESTART_DELAYS_S[0], CAPACITY, pool, kind)
    elif vm.info.capacity != CAPACITY:
        resize(system, vm, CAPACITY)


async def _change_some(
    system: System, rng: random.Random, change: Change
) -> asyncio.Future[list[None]]:
    """Change some machines one after another; return what waits for their return."""
    changes: list[Awaitable[None]] = []
    for _ in range(rng.randint(1, MAX_VMS)):
        vm = await _pick_vm(system, rng)
        changes.append(asyncio.ensure_future(_change_for_a_while(system, rng, vm, change)))
        await asyncio.sleep(rng.uniform(*BETWEEN_VMS_S))
    return asyncio.gather(*changes)


async def vms_restart_as_another_kind(system: System, rng: random.Random) -> None:
    """Let VMs restart under their ids as another kind, perhaps with less capacity."""
    await (await _change_some(system, rng, _restart_as_another_kind))


async def vms_replaced_by_another_kind(system: System, rng: random.Random) -> None:
    """Let VMs be replaced by ones of another kind or pool at the same address."""
    await (await _change_some(system, rng, _replace_by_another_kind))


async def machines_change_beside_silent_vms(system: System, rng: random.Random) -> None:
    """Let machines change while some VMs are silent and after they return."""
    silent = asyncio.ensure_future(vms_silent_beyond_their_lease(system, rng))
    changes = []
    for _ in range(2):
        await asyncio.sleep(rng.uniform(*BEFORE_CHANGE_S))
        change = rng.choice((_restart_as_another_kind, _replace_by_another_kind))
        changes.append(await _change_some(system, rng, change))
    await silent
    await asyncio.gather(*changes)


async def vms_drain(system: System, rng: random.Random) -> None:
    """Let VMs drain, serve on past the announced time, and be replaced."""
    for _ in range(rng.randint(1, MAX_VMS)):
        vm = await _pick_vm(system, rng)
        stays_s = rng.uniform(*STAYS_S)
        system.drain(vm, stays_s)
        asyncio.create_task(_end_later(system, rng, vm, stays_s + rng.uniform(*SERVES_ON_S)))
        await asyncio.sleep(rng.uniform(*BETWEEN_VMS_S))


async def _end_later(system: System, rng: random.Random, vm: Vm, seconds: float) -> None:
    await asyncio.sleep(seconds)
    if vm.up:
        system.crash_vm(vm, rng.choice(RESTART_DELAYS_S))


async def vms_drain_beside_silent_vms(system: System, rng: random.Random) -> None:
    """Let VMs drain while others, or the same ones, are silent."""
    silent = asyncio.ensure_future(vms_silent_beyond_their_lease(system, rng))
    await asyncio.sleep(rng.uniform(*BEFORE_CHANGE_S))
    await vms_drain(system, rng)
    await silent


async def capacity_shrinks_beside_silent_vms(system: System, rng: random.Random) -> None:
    """Let VMs shrink while some are silent, and leaders change afterwards."""
    silent = asyncio.ensure_future(vms_silent_beyond_their_lease(system, rng))
    await asyncio.sleep(rng.uniform(*BEFORE_CHANGE_S))
    await capacity_shrinks(system, rng)
    await asyncio.sleep(rng.uniform(*BEFORE_CHANGE_S))
    await rng.choice(CHANGES)(system, rng)
    await silent


PLACEMENT_FAULTS: tuple[Fault, ...] = (
    vms_restart_as_another_kind,
    vms_replaced_by_another_kind,
    machines_change_beside_silent_vms,
    vms_drain,
    vms_drain_beside_silent_vms,
    capacity_shrinks,
    capacity_shrinks_beside_silent_vms,
    vms_of_waiting_steps_silent,
    vms_of_waiting_steps_silent,
    vms_of_waiting_steps_silent,
    vms_silent_within_their_lease,
    leaders_change_beside_silent_vms,
    leaders_change_beside_silent_vms,
)
OTHERS: tuple[Fault, ...] = (kill_member, leaders_killed, store_down, late_orders)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from ``OTHERS``."""
    return draw_faults(seed, PLACEMENT_FAULTS, OWN_SHARE, OTHERS, FAULTS_PER_MIX)
