"""The whole system in virtual time: a run without faults, each fault twice, and seeded mixes."""

import asyncio

import pytest

from sablemount.control.messages import CallerCall, Operation, Outcome
from tests.emulator import faults as kinds
from tests.emulator.loop import run
from tests.emulator.mixes import run_mix
from tests.emulator.system import HOST, PREFIX, System
from tests.jobs.running import fault_mix


def test_calm() -> None:
    assert run(run_mix(1, [])) == []


def test_calm_with_advice() -> None:
    assert run(run_mix(2, [], advice=True)) == []


@pytest.mark.parametrize("fault", kinds.FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_twice(fault: kinds.Fault) -> None:
    assert run(run_mix(3, [fault, fault])) == []


@pytest.mark.parametrize("seed", range(20))
def test_mixes(seed: int) -> None:
    assert run(run_mix(100 + seed, fault_mix(seed), advice=seed % 2 == 0)) == []


def test_a_member_that_has_just_started_waits_a_moment_for_the_leader() -> None:
    async def scenario() -> None:
        system = System(5)
        system.start_all()
        await asyncio.sleep(1.5)
        for name in system.names:
            system.kill(name, 0.4)
        await asyncio.sleep(0.41)
        spec = system.random_job()
        system.cell.jobs["a1"] = spec
        reply = await system.call(CallerCall(Operation.SUBMIT, HOST, PREFIX + "a1", spec))
        assert reply is not None
        assert reply.outcome is Outcome.DONE

    run(scenario())
