"""Nothing is started on a VM by outdated information on its capacity, unless the VM guards it."""

import asyncio

import msgspec
import pytest

from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.systems.vms import CAPACITY_MARGIN_S, CAPACITY_VALID_S
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.emulator.vm_faults import resize
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

OUTAGE_S = 12.0
"""Seconds without the store, with VMs that have shrunk for longer than starts beyond their capacity
are tolerated during some of them."""


def _rig(guarded: bool = False) -> Rig:
    rig = Rig(vms=1)
    pools = frozenset({"pool"} if guarded else ())
    rig.scheduler.apply_configuration(
        msgspec.structs.replace(rig.configuration, version=2, guarded_pools=pools)
    )
    rig.scheduler.entries_read(rig.clock.time)
    return rig


def _wait(rig: Rig, seconds: float) -> None:
    for _ in range(round(seconds / 0.5)):
        rig.wait(0.5)


@pytest.mark.parametrize("guarded", [False, True], ids=["unguarded", "guarded"])
def test_nothing_is_started_on_outdated_capacity_unless_it_is_guarded(guarded: bool) -> None:
    rig = _rig(guarded)
    _wait(rig, CAPACITY_VALID_S + 0.5)
    rig.accept("a", spec(StepSpec(1, CORE)))
    rig.tick()
    assert len(rig.started()) == guarded
    rig.scheduler.entries_read(rig.clock.time)
    rig.wait(0.5)
    assert len(rig.started()) == guarded
    info = rig.scheduler.state.vms["w0"].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, revision=1))
    rig.wait(0.5)
    assert len(rig.started()) == 1


def test_an_entry_that_is_not_rewritten_is_valid_in_the_end() -> None:
    """The platform removes an entry whose VM does not reach the store."""
    rig = _rig()
    _wait(rig, CAPACITY_VALID_S + 0.5)
    rig.accept("a", spec(StepSpec(1, CORE)))
    for _ in range(6):
        rig.scheduler.entries_read(rig.clock.time)
        rig.wait(0.5)
    assert len(rig.started()) == 1


def test_a_start_request_does_not_outlive_the_known_capacity() -> None:
    rig = _rig()
    _wait(rig, CAPACITY_VALID_S - 0.5)
    rig.accept("a", spec(StepSpec(1, CORE)))
    rig.tick()
    (start,) = rig.started()
    assert start.not_after <= 100.0 + CAPACITY_VALID_S + CAPACITY_MARGIN_S


@pytest.mark.parametrize("seed", range(4))
def test_nothing_is_started_beyond_the_capacity_of_vms_that_shrink_in_an_outage(seed: int) -> None:
    """All VMs shrink as the store fails, and nobody can read their entries."""

    async def scenario() -> list[str]:
        system = System(seed, vms=6)
        system.cell.mean_task_seconds = 1.0
        system.start_all()
        await asyncio.sleep(1.0)
        traffic = asyncio.create_task(system.traffic("a", 120, 0.05))
        await asyncio.sleep(4.0)
        system.store.down = True
        for vm in list(system.cell.vms.values()):
            resize(system, vm, Shape(CAPACITY.cores // 4, CAPACITY.memory))
        await asyncio.sleep(OUTAGE_S)
        for vm in list(system.cell.vms.values()):
            resize(system, vm, CAPACITY)
        system.store.down = False
        await traffic
        await system.settle(60.0)
        return await system.find_violations()

    assert run(scenario()) == []
