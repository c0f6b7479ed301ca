"""Faults of VMs that are silent for longer or shorter than their leases, and come back."""

import asyncio
import signal

from benchmarks.lease_faults import cut_off, pick_busy_vm
from benchmarks.node_faults import Fault, Target, leaders_killed
from tests.emulator.vm import Vm

__all__ = ["SPREAD_FAULTS"]

WITHIN_LEASE_S = (0.5, 5.0)
"""Range of the seconds of a silence in which the tasks of a VM stay leased."""
BEYOND_LEASE_S = (6.5, 9.5)
"""Range of the seconds of a silence after which they may run elsewhere."""
SILENT_VMS = (1, 3)
"""Range of the number of VMs that are silent in one fault."""
SILENCES = (2, 3)
"""Range of the number of silences in succession."""
MIN_WAITING = 3
BETWEEN_VMS_S = (0.0, 1.0)
BEFORE_LEADER_S = (0.0, 7.0)
LEADERS_STRUCK = (1, 2)
FROZEN_S = (1.0, 6.0)
NEW_AFTER_S = (0.2, 2.0)
"""Range of the seconds until a new machine takes the place of a lost one."""
MAX_LOST = 12
"""Number of machines that a soak loses at most: their processes stay until its end."""


def _pick_vm(target: Target) -> Vm | None:
    """Return a VM that is not cut off; if any, one with a step whose spread lets tasks wait."""
    vms = [vm for vm in target.standin.cell.vms.values() if vm.up and not vm.unreachable]
    found = [vm for vm in vms if any(_has_waiting_tasks(target, task) for task, _ in vm.runs)]
    return target.rng.choice(found) if found else pick_busy_vm(target)


def _has_waiting_tasks(target: Target, task: str) -> bool:
    """Return whether some tasks of a task's step have not started, for which its spread binds."""
    cell = target.standin.cell
    job, repetition, number, _ = task.split(".")
    step = cell.jobs[job].steps[int(number)]
    names = (f"{job}.{repetition}.{number}.{index}" for index in range(step.count))
    return bool(step.spread) and sum(name not in cell.starts for name in names) >= MIN_WAITING


async def _silence(target: Target, seconds: tuple[float, float]) -> None:
    silences = []
    for _ in range(target.rng.randint(*SILENT_VMS)):
        vm = _pick_vm(target)
        if vm is not None:
            silences.append(asyncio.ensure_future(cut_off(target, vm, seconds)))
        await asyncio.sleep(target.rng.uniform(*BETWEEN_VMS_S))
    await asyncio.gather(*silences)


async def vms_silent_beyond_their_lease(target: Target) -> None:
    """Cut VMs off until their leases are over; they list the ends of their runs afterwards."""
    await _silence(target, BEYOND_LEASE_S)


async def vms_silent_within_their_lease(target: Target) -> None:
    """Cut VMs off for a shorter time than their leases."""
    await _silence(target, WITHIN_LEASE_S)


async def vms_silent_in_series(target: Target) -> None:
    """Cut VMs off several times in succession, for shorter and longer than their leases."""
    for _ in range(target.rng.randint(*SILENCES)):
        await _silence(target, target.rng.choice((WITHIN_LEASE_S, BEYOND_LEASE_S)))


async def vms_silent_beside_leaders_struck(target: Target) -> None:
    """Cut VMs off beyond their leases, and kill, freeze or lose leaders meanwhile."""
    silence = asyncio.ensure_future(vms_silent_beyond_their_lease(target))
    for _ in range(target.rng.randint(*LEADERS_STRUCK)):
        await asyncio.sleep(target.rng.uniform(*BEFORE_LEADER_S))
        await target.rng.choice((_leader_killed, _leader_frozen, _leader_lost))(target)
    await silence


async def vms_silent_beside_leaders_killed(target: Target) -> None:
    """Cut VMs off beyond their leases, and kill several leaders in succession meanwhile."""
    await asyncio.gather(vms_silent_beyond_their_lease(target), leaders_killed(target))


async def _leader_killed(target: Target) -> None:
    leader = target.leader()
    if leader is not None:
        await leader.kill()
        await target.start_later([leader], target.rng.uniform(*NEW_AFTER_S))


async def _leader_frozen(target: Target) -> None:
    leader = target.leader()
    if leader is not None:
        leader.signal(signal.SIGSTOP)
        await asyncio.sleep(target.rng.uniform(*FROZEN_S))
        leader.signal(signal.SIGCONT)


async def _leader_lost(target: Target) -> None:
    leader = target.leader()
    if target.is_ending or leader is None or len(target.nodes.lost) >= MAX_LOST:
        return
    if leader.start_count not in leader.stopped:
        new = target.nodes.lose(leader)
        await target.start_later([new], target.rng.uniform(*NEW_AFTER_S))


SPREAD_FAULTS: tuple[Fault, ...] = (
    vms_silent_beyond_their_lease,
    vms_silent_beyond_their_lease,
    vms_silent_beyond_their_lease,
    vms_silent_within_their_lease,
    vms_silent_in_series,
    vms_silent_beside_leaders_struck,
    vms_silent_beside_leaders_killed,
)
"""They have a table of their own so that the faults which a seed draws from ``FAULTS`` don't
change."""
