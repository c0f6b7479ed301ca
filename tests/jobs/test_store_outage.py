"""A healthy leader keeps leading through an outage of the store for all, and through its end."""

import asyncio

import pytest

from sablemount.control.messages import LeaderRecord
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

OUTAGE_S = 4.2
PHASE_STEP_S = 0.05


def _common_leader_record(system: System) -> LeaderRecord:
    records = {member._link.record for member in system.members.values()}
    (record,) = records
    assert record is not None
    return record


@pytest.mark.parametrize("number", range(8))
def test_nobody_else_claims_as_the_store_comes_back(number: int) -> None:
    async def scenario() -> None:
        system = System(40 + number)
        system.start_all()
        await asyncio.sleep(2.0)
        leader_before = _common_leader_record(system)
        system.store.down = True
        # The members' probes of the store end at different moments in each run.
        await asyncio.sleep(OUTAGE_S + PHASE_STEP_S * number)
        system.store.down = False
        await asyncio.sleep(2.0)
        assert _common_leader_record(system) == leader_before

    run(scenario())


def test_a_leader_that_alone_is_without_the_store_is_replaced_soon() -> None:
    async def scenario() -> None:
        system = System(60)
        leader = await start_system(system)
        system.store.unreachable_members.add(leader)
        await asyncio.sleep(0.9)
        assert system.leader() not in (None, leader)

    run(scenario())


def test_a_store_that_is_slow_for_all_costs_no_leader() -> None:
    async def scenario() -> None:
        system = System(61)
        system.start_all()
        await asyncio.sleep(2.0)
        leader_before = _common_leader_record(system)
        system.store.latency_s = system.store.append_time_s = 0.3
        await asyncio.sleep(6.0)
        assert _common_leader_record(system) == leader_before

    run(scenario())
