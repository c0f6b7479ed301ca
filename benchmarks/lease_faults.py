"""Faults of VMs that run on, drain or serve on, and cannot be reached while their leases run."""

import asyncio

from benchmarks.node_faults import Fault, Target, kill_one, leaders_killed, store_down
from tests.emulator.vm import Vm

__all__ = ["LEASE_FAULTS", "cut_off", "pick_busy_vm"]

CUT_S = (4.0, 9.0)
"""Range of the seconds of a cut: most outlast three heartbeats."""
STAYS_S = (0.5, 6.0)
"""Range of the seconds that a draining VM announces to stay."""
SERVES_ON_S = (0.0, 8.0)
"""Range of the seconds for which a VM serves on past the time that it has announced."""
BEFORE_CUT_S = (0.0, 2.0)
RESTART_DELAY_S = (0.2, 3.0)


def pick_busy_vm(target: Target) -> Vm | None:
    """Return a running VM that is not cut off; one with runs, if there is any."""
    vms = [vm for vm in target.standin.cell.vms.values() if vm.up and not vm.unreachable]
    busy = [vm for vm in vms if vm.runs]
    return target.rng.choice(busy or vms) if vms else None


async def cut_off(target: Target, vm: Vm, seconds: tuple[float, float] = CUT_S) -> None:
    """Cut a VM off from everybody, or from the leaders until now; silently or refusing."""
    refuses = target.rng.random() < 0.5
    if target.rng.random() < 0.7:
        await target.standin.cut_worker(vm, refuses)
        await asyncio.sleep(target.rng.uniform(*seconds))
        target.standin.heal_worker(vm)
        return
    vm.refuses_when_cut = refuses
    vm.cut_off_epoch = target.epoch()
    await asyncio.sleep(target.rng.uniform(*seconds))
    vm.cut_off_epoch = -1


async def _end_later(target: Target, vm: Vm, seconds: float) -> None:
    """End a VM, and add a new one at another address later."""
    await asyncio.sleep(seconds)
    if not vm.up:
        return
    target.standin.crash_worker(vm)
    await asyncio.sleep(target.rng.uniform(*RESTART_DELAY_S))
    target.standin.add_worker_like(vm)


async def vms_cut_off(target: Target) -> None:
    """Cut some VMs off, one after another, while the store serves all others."""
    cuts = []
    for _ in range(target.rng.randint(1, 2)):
        vm = pick_busy_vm(target)
        if vm is not None:
            cuts.append(asyncio.ensure_future(cut_off(target, vm)))
        await asyncio.sleep(target.rng.uniform(0.1, 1.0))
    await asyncio.gather(*cuts)


async def vms_cut_off_in_an_outage(target: Target) -> None:
    """Cut some VMs off during an outage of the store, in which entries lapse."""
    outage = asyncio.ensure_future(store_down(target))
    await asyncio.sleep(target.rng.uniform(0.0, 4.0))
    await vms_cut_off(target)
    await outage


async def vms_cut_off_beside_leaders_killed(target: Target) -> None:
    """Cut some VMs off, and kill one process or several leaders in succession meanwhile."""
    cuts = asyncio.ensure_future(vms_cut_off(target))
    await asyncio.sleep(target.rng.uniform(0.0, 2.0))
    await target.rng.choice((kill_one, leaders_killed))(target)
    await cuts


async def draining_vm_cut_off(target: Target) -> None:
    """Let a VM drain, cut it off before or after its announced time, and let it serve on."""
    vm = pick_busy_vm(target)
    if vm is None:
        return
    stays_s = target.rng.uniform(*STAYS_S)
    target.standin.drain_worker(vm, stays_s)
    end = asyncio.ensure_future(_end_later(target, vm, stays_s + target.rng.uniform(*SERVES_ON_S)))
    await asyncio.sleep(target.rng.uniform(*BEFORE_CUT_S))
    await cut_off(target, vm)
    await end


async def leaving_vm_cut_off(target: Target) -> None:
    """Let a VM withdraw its entry unannounced, serve on, and be cut off."""
    vm = pick_busy_vm(target)
    if vm is None:
        return
    target.standin.entries.withdraw(vm)
    seconds = target.rng.uniform(*STAYS_S) + target.rng.uniform(*CUT_S)
    end = asyncio.ensure_future(_end_later(target, vm, seconds))
    await asyncio.sleep(target.rng.uniform(*BEFORE_CUT_S))
    await cut_off(target, vm)
    await end


LEASE_FAULTS: tuple[Fault, ...] = (
    vms_cut_off,
    vms_cut_off_in_an_outage,
    vms_cut_off_beside_leaders_killed,
    draining_vm_cut_off,
    draining_vm_cut_off,
    leaving_vm_cut_off,
)
"""They have a table of their own so that the faults which a seed draws from ``FAULTS`` don't
change."""
