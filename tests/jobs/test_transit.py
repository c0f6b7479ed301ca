"""The emulated path to the store: calls delayed, lost or rejected, and replies delayed."""

import asyncio
import random

from sablemount.control.store import Appended, Page, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import StoreState
from tests.emulator.transit import DelayedStore, StorePathFaults

FIRST, SECOND = Record("j/first", b"job"), Record("j/second", b"job")


class _Rig:
    def __init__(self) -> None:
        self.state = StoreState(random.Random(1))
        self.transit = StorePathFaults(random.Random(2))
        self.store = DelayedStore(self.state, "m", self.transit)

    def stored_keys(self) -> list[str]:
        return [record.key for record in self.state.topics[Topic.JOBS].records]


def test_a_held_append_is_overtaken_by_a_later_one() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.transit.delayed_append_share, rig.transit.max_delay_s = 1.0, 0.5
        held = asyncio.create_task(rig.store.append(Topic.JOBS, [FIRST], 2.0))
        await asyncio.sleep(0.006)
        rig.transit.delayed_append_share = 0.0
        assert isinstance(await rig.store.append(Topic.JOBS, [SECOND], 2.0), Appended)
        assert isinstance(await held, Appended)
        assert rig.stored_keys() == ["j/second", "j/first"]

    run(scenario())


def test_a_held_append_is_carried_out_though_its_caller_has_gone() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.transit.delayed_append_share = 1.0
        caller = asyncio.create_task(rig.store.append(Topic.JOBS, [FIRST], 2.0))
        await asyncio.sleep(0.006)
        caller.cancel()
        await asyncio.sleep(6.1)
        assert rig.stored_keys() == ["j/first"]

    run(scenario())


def test_a_held_append_whose_caller_waits_too_briefly_is_carried_out() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.transit.delayed_append_share = 1.0
        assert isinstance(await rig.store.append(Topic.JOBS, [FIRST], 0.005), Unavailable)
        await asyncio.sleep(6.1)
        assert rig.stored_keys() == ["j/first"]

    run(scenario())


def test_a_lost_append_is_never_carried_out() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.transit.lost_append_share = 1.0
        answer = await rig.store.append(Topic.JOBS, [FIRST], 0.5)
        assert answer == Unavailable("the call was lost")
        await asyncio.sleep(10.0)
        assert rig.stored_keys() == []

    run(scenario())


def test_a_call_that_is_turned_away_is_certainly_not_carried_out() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.transit.refused_share = 1.0
        answers = [
            await rig.store.append(Topic.JOBS, [FIRST], 0.5),
            await rig.store.newest(Topic.JOBS, "", 0.5),
            await rig.store.read(Topic.JOBS, 0, 0.5),
        ]
        assert answers == [Unavailable("turned away", certain=True)] * 3
        assert rig.stored_keys() == []

    run(scenario())


def test_a_late_answer_tells_of_what_was_when_the_store_gave_it() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.state.append(Topic.JOBS, [FIRST], None, None)
        rig.transit.delayed_read_share, rig.transit.max_delay_s = 1.0, 0.5
        reading = asyncio.create_task(rig.store.newest(Topic.JOBS, "", 1.5))
        await asyncio.sleep(0.006)
        rig.state.append(Topic.JOBS, [SECOND], None, None)
        page = await reading
        assert isinstance(page, Page)
        assert ([item.record for item in page.items], page.end) == ([FIRST], 1)

    run(scenario())


def test_an_answer_that_is_later_than_its_caller_waits_does_not_come() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.transit.delayed_read_share = 1.0
        assert isinstance(await rig.store.newest(Topic.JOBS, "", 0.005), Unavailable)

    run(scenario())
