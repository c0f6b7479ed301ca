"""Faults of VMs that restart under their ids, and are cut off soon after they are back."""

import asyncio

from benchmarks.node_faults import Fault, Target

__all__ = ["RECUT_FAULTS"]

VMS_AT_ONCE = 4
DOWN_S = (0.1, 0.3, 0.6)
"""Seconds until a VM runs again, before its crash is noticed."""
BEFORE_CUT_S = (1.0, 3.0)
"""Range of the seconds from the start of a VM until it is cut off."""
CUT_S = (8.0, 10.0)
"""Range of the seconds of a cut, which outlasts the leases that the product requests."""
BEFORE_KILL_S = (0.0, 4.0)
"""Range of the seconds from the crash of the VMs until a leader is killed."""
LEADER_RESTART_S = (0.3, 2.0)
LATE_SHARE = 0.2
"""Share of the calls that are carried out late."""
LATE_S = (3.0, 6.0)
"""Range of the seconds for which calls come late."""


async def _recut(target: Target, name: str) -> None:
    """Restart a VM under its id, and cut it off soon after it is back."""
    cell, rng = target.standin.cell, target.rng
    target.recut.add(name)
    down_s = rng.choice(DOWN_S)
    target.spawn(target.standin.restart_worker(cell.newest_incarnation(name), down_s))
    await asyncio.sleep(down_s + rng.uniform(*BEFORE_CUT_S))
    vm = cell.newest_incarnation(name)
    await target.standin.cut_worker(vm, refuses=rng.random() < 0.7)
    await asyncio.sleep(rng.uniform(*CUT_S))
    target.standin.heal_worker(vm)
    target.recut.discard(name)


async def vms_recut(target: Target) -> None:
    """Restart some VMs at about the same time, and cut them off soon after."""
    vms = target.standin.cell.vms.values()
    names = sorted({vm.info.name for vm in vms if vm.up and not vm.unreachable} - target.recut)
    chosen = target.rng.sample(names, min(len(names), VMS_AT_ONCE))
    await asyncio.gather(*(_recut(target, name) for name in chosen))


async def vms_recut_beside_a_leader_killed(target: Target) -> None:
    """The same, while a leader is killed before or after the cut."""
    recut = asyncio.ensure_future(vms_recut(target))
    await asyncio.sleep(target.rng.uniform(*BEFORE_KILL_S))
    leader = target.leader()
    if leader is not None:
        await leader.kill()
        await target.start_later([leader], target.rng.uniform(*LEADER_RESTART_S))
    await recut


async def vms_recut_while_calls_come_late(target: Target) -> None:
    """The same, while VMs carry out some calls seconds later."""
    target.standin.cell.late_request_share = LATE_SHARE
    recut = asyncio.ensure_future(target.rng.choice(RECUT_FAULTS[:2])(target))
    await asyncio.sleep(target.rng.uniform(*LATE_S))
    target.standin.cell.late_request_share = 0.0
    await recut


RECUT_FAULTS: tuple[Fault, ...] = (
    vms_recut,
    vms_recut_beside_a_leader_killed,
    vms_recut_beside_a_leader_killed,
    vms_recut_while_calls_come_late,
)
"""They have a table of their own so that the faults which a seed draws from ``FAULTS`` don't
change."""
