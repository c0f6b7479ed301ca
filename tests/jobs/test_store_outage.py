"""A healthy leader leads on through an outage of the store for all, and through its end."""

import asyncio

import pytest

from sablemount.control.messages import LeaderRecord
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import begun

OUTAGE = 4.2
PHASE = 0.05


def _record(system: System) -> LeaderRecord:
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
        before = _record(system)
        system.store.down = True
        # The members' trials of the store end at other moments each time.
        await asyncio.sleep(OUTAGE + PHASE * number)
        system.store.down = False
        await asyncio.sleep(2.0)
        assert _record(system) == before

    run(scenario())


def test_a_leader_that_alone_is_without_the_store_is_replaced_soon() -> None:
    async def scenario() -> None:
        system = System(60)
        leader = await begun(system)
        system.store.turned_away.add(leader)
        await asyncio.sleep(0.9)
        assert system.leader() not in (None, leader)

    run(scenario())


def test_a_store_that_is_slow_for_all_costs_no_leader() -> None:
    async def scenario() -> None:
        system = System(61)
        system.start_all()
        await asyncio.sleep(2.0)
        before = _record(system)
        system.store.latency = system.store.append_time = 0.3
        await asyncio.sleep(6.0)
        assert _record(system) == before

    run(scenario())
