"""The emulated way to the store: what is held back, lost, turned away or answered late."""

import asyncio
import random

from sablemount.control.store import Appended, Page, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import StoreState
from tests.emulator.transit import DelayedStore, Transit

FIRST, SECOND = Record("j/first", b"job"), Record("j/second", b"job")


class _Way:
    def __init__(self) -> None:
        self.state = StoreState(random.Random(1))
        self.transit = Transit(random.Random(2))
        self.store = DelayedStore(self.state, "m", self.transit)

    def keys(self) -> list[str]:
        return [record.key for record in self.state.topics[Topic.JOBS].records]


def test_a_held_append_is_overtaken_by_a_later_one() -> None:
    async def scenario() -> None:
        way = _Way()
        way.transit.held, way.transit.longest = 1.0, 0.5
        held = asyncio.create_task(way.store.append(Topic.JOBS, [FIRST], 2.0))
        await asyncio.sleep(0.006)
        way.transit.held = 0.0
        assert isinstance(await way.store.append(Topic.JOBS, [SECOND], 2.0), Appended)
        assert isinstance(await held, Appended)
        assert way.keys() == ["j/second", "j/first"]

    run(scenario())


def test_a_held_append_is_carried_out_though_its_caller_has_gone() -> None:
    async def scenario() -> None:
        way = _Way()
        way.transit.held = 1.0
        caller = asyncio.create_task(way.store.append(Topic.JOBS, [FIRST], 2.0))
        await asyncio.sleep(0.006)
        caller.cancel()
        await asyncio.sleep(6.1)
        assert way.keys() == ["j/first"]

    run(scenario())


def test_a_held_append_whose_caller_waits_too_briefly_is_carried_out() -> None:
    async def scenario() -> None:
        way = _Way()
        way.transit.held = 1.0
        assert isinstance(await way.store.append(Topic.JOBS, [FIRST], 0.005), Unavailable)
        await asyncio.sleep(6.1)
        assert way.keys() == ["j/first"]

    run(scenario())


def test_a_lost_append_is_never_carried_out() -> None:
    async def scenario() -> None:
        way = _Way()
        way.transit.lost = 1.0
        answer = await way.store.append(Topic.JOBS, [FIRST], 0.5)
        assert answer == Unavailable("the call was lost")
        await asyncio.sleep(10.0)
        assert way.keys() == []

    run(scenario())


def test_a_call_that_is_turned_away_is_certainly_not_carried_out() -> None:
    async def scenario() -> None:
        way = _Way()
        way.transit.refused = 1.0
        answers = [
            await way.store.append(Topic.JOBS, [FIRST], 0.5),
            await way.store.newest(Topic.JOBS, "", 0.5),
            await way.store.read(Topic.JOBS, 0, 0.5),
        ]
        assert answers == [Unavailable("turned away", certain=True)] * 3
        assert way.keys() == []

    run(scenario())


def test_a_late_answer_tells_of_what_was_when_the_store_gave_it() -> None:
    async def scenario() -> None:
        way = _Way()
        way.state.append(Topic.JOBS, [FIRST], None, None)
        way.transit.late, way.transit.longest = 1.0, 0.5
        reading = asyncio.create_task(way.store.newest(Topic.JOBS, "", 1.5))
        await asyncio.sleep(0.006)
        way.state.append(Topic.JOBS, [SECOND], None, None)
        page = await reading
        assert isinstance(page, Page)
        assert ([item.record for item in page.items], page.end) == ([FIRST], 1)

    run(scenario())


def test_an_answer_that_is_later_than_its_caller_waits_does_not_come() -> None:
    async def scenario() -> None:
        way = _Way()
        way.transit.late = 1.0
        assert isinstance(await way.store.newest(Topic.JOBS, "", 0.005), Unavailable)

    run(scenario())
