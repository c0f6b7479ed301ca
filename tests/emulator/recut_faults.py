"""Faults in which VMs restart under their ids, and are cut off soon after they are back.

They have a table of their own so that the mixes drawn from the other tables don't change.
"""

import asyncio
import random

from tests.emulator.faults import Fault
from tests.emulator.store_faults import draw_faults
from tests.emulator.system import System

__all__ = ["RECUT_FAULTS", "draw"]

FAULTS_PER_MIX = 3
OWN_SHARE = 0.9
"""Share of a mix's faults that are drawn from this table."""
VMS_AT_ONCE = 4
DOWN_S = (0.1, 0.3, 0.6, 1.0)
"""Seconds until a VM runs again, most of them before its crash is noticed."""
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


async def _recut(system: System, rng: random.Random, name: str) -> None:
    """Restart a VM under its id, and cut it off soon after it is back."""
    down_s = rng.choice(DOWN_S)
    system.restart_vm(system.cell.newest_incarnation(name), down_s)
    await asyncio.sleep(down_s + rng.uniform(*BEFORE_CUT_S))
    vm = system.cell.newest_incarnation(name)
    vm.refuses_when_cut = rng.random() < 0.7
    vm.unreachable = True
    await asyncio.sleep(rng.uniform(*CUT_S))
    vm.unreachable = False


async def vms_recut(system: System, rng: random.Random) -> None:
    """Restart some VMs at about the same time, and cut them off soon after."""
    cell = system.cell
    names = sorted(vm.info.name for vm in cell.vms.values() if vm.up and not vm.unreachable)
    count = min(len(names), VMS_AT_ONCE)
    await asyncio.gather(*(_recut(system, rng, name) for name in rng.sample(names, count)))


async def vms_recut_beside_a_leader_killed(system: System, rng: random.Random) -> None:
    """The same, while a leader is killed before or after the cut."""
    recut = asyncio.create_task(vms_recut(system, rng))
    await asyncio.sleep(rng.uniform(*BEFORE_KILL_S))
    leader = system.leader()
    if leader is not None:
        system.kill(leader, rng.uniform(*LEADER_RESTART_S))
    await recut


async def vms_recut_while_calls_come_late(system: System, rng: random.Random) -> None:
    """The same, while VMs carry out some calls seconds later."""
    system.cell.late_request_share = LATE_SHARE
    recut = asyncio.create_task(rng.choice(RECUT_FAULTS[:2])(system, rng))
    await asyncio.sleep(rng.uniform(*LATE_S))
    system.cell.late_request_share = 0.0
    await recut


RECUT_FAULTS: tuple[Fault, ...] = (
    vms_recut,
    vms_recut_beside_a_leader_killed,
    vms_recut_beside_a_leader_killed,
    vms_recut_while_calls_come_late,
)


def draw(seed: int) -> list[Fault]:
    """Return the faults of a seed's mix: most from this module, the others from ``FAULTS``."""
    return draw_faults(seed, RECUT_FAULTS, OWN_SHARE, count=FAULTS_PER_MIX)
