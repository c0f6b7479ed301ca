"""Leaders that are lost one after another leave their connections at the VMs.

A VM that takes no connection of a later leader gets no work from it, and nothing was started any
more although all VMs were idle.
"""

import asyncio

import pytest

from tests.emulator.connection_faults import lose_leaders
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

TERM_S = 4.0


async def _lose(accepted: int, losses: int) -> System:
    """Lose leaders under load, and let all jobs end."""
    system = System(7, members=5)
    system.limit_connections(accepted)
    await start_system(system)
    traffic = asyncio.create_task(system.traffic("a", 15 * losses, TERM_S / 15))
    lost = await lose_leaders(system, losses, TERM_S)
    assert lost >= losses - 1
    await traffic
    await system.settle(60.0)
    assert await system.find_violations() == []
    return system


@pytest.mark.parametrize(("accepted", "losses"), [(16, 16), (64, 40)])
def test_jobs_go_on_however_many_leaders_are_lost(accepted: int, losses: int) -> None:
    """Each left some connections at each VM, until there were none for the next one."""

    async def scenario() -> None:
        system = await _lose(accepted, losses)
        counts = [vm.open_connections for vm in system.cell.vms.values() if vm.up]
        assert max(counts) < accepted

    run(scenario())


@pytest.mark.parametrize(("accepted", "losses"), [(64, 5), (16, 5)])
def test_jobs_go_on_after_leaders_are_lost_in_series(accepted: int, losses: int) -> None:
    async def scenario() -> None:
        system = await _lose(accepted, losses)
        running = [vm for vm in system.cell.vms.values() if vm.up]
        assert sum(vm.reset_connections for vm in running) == 0
        assert max(vm.open_connections for vm in running) <= 3 * (losses + 1)

    run(scenario())


def test_a_former_leader_that_lives_keeps_no_connections() -> None:
    """Leaders that froze and came back kept all their connections to the VMs."""

    async def scenario() -> None:
        system = System(8, members=4)
        first = await start_system(system)
        await asyncio.create_task(system.traffic("a", 20, 0.05))
        system.network.unreachable.add(first)
        system.store.unreachable_members.add(first)
        await asyncio.sleep(20.0)
        assert system.leader() not in (None, first)
        held = system.vm_networks[first].connections.open_count
        assert held == 0

    run(scenario())
