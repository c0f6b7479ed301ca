"""Committer: appends whose answers are lost are settled, and a fenced leader stops."""

import asyncio
import logging
import random

import pytest

from sablemount.control.commit import (
    SETTLED_BY_ANSWER,
    SETTLED_BY_NUMBER,
    Committer,
    LostLeadership,
)
from sablemount.control.store import Producer, Topic
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState


def _record(number: int) -> Record:
    return Record(f"k{number}", b"value")


def _committer(state: StoreState, epoch: int = 1) -> Committer:
    return Committer(EmulatedStore(state, "m"), epoch, random.Random(3))


async def _open_committer(state: StoreState) -> Committer:
    committer = _committer(state)
    await committer.open()
    return committer


def test_an_append_without_records_uses_up_no_sequence_number() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = await _open_committer(state)
        await committer.append([_record(1)])
        await committer.append([])
        await committer.confirm()
        await committer.append([_record(2)])
        assert sorted(state.topics[Topic.JOBS].newest) == ["k1", "k2"]

    run(scenario())


@pytest.mark.parametrize("late", [False, True])
def test_lost_answers_neither_lose_nor_double(late: bool) -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = await _open_committer(state)
        state.lost_reply_share = 0.4
        state.executes_lost_late = late
        for number in range(40):
            await committer.append([_record(number)])
        await asyncio.sleep(10.0)
        topic = state.topics[Topic.JOBS]
        assert len(topic.records) == 40
        assert len(topic.newest) == 40

    run(scenario())


def test_a_confirmation_on_its_way_makes_no_batch_durable() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = await _open_committer(state)
        state.latency_s = 0.1
        confirming = asyncio.create_task(committer.confirm())
        await asyncio.sleep(0.06)
        appending = asyncio.create_task(committer.append([_record(1)]))
        await confirming
        state.down = True
        await asyncio.sleep(0.3)
        assert not appending.done()
        assert not state.topics[Topic.JOBS].newest
        state.down = False
        await appending
        assert list(state.topics[Topic.JOBS].newest) == ["k1"]

    run(scenario())


@pytest.mark.parametrize("lost", [0.0, 0.4])
def test_batches_in_flight_together_keep_their_order(lost: float) -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = await _open_committer(state)
        state.latency_s = 0.1
        state.lost_reply_share = lost
        for start in range(0, 40, 4):
            batches = (committer.append([_record(start + offset)]) for offset in range(4))
            await asyncio.gather(*batches)
        topic = state.topics[Topic.JOBS]
        assert [record.key for record in topic.records] == [f"k{n}" for n in range(40)]

    run(scenario())


def test_a_later_leader_ends_the_former_one() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        previous = _committer(state, 1)
        await previous.open()
        await previous.append([_record(1)])
        await _committer(state, 2).open()
        with pytest.raises(LostLeadership):
            await previous.append([_record(2)])
        with pytest.raises(LostLeadership):
            await previous.confirm()
        assert list(state.topics[Topic.JOBS].newest) == ["k1"]

    run(scenario())


def test_appends_behind_a_late_one_catch_up() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = await _open_committer(state)
        state.latency_s = 0.2
        appends = [asyncio.create_task(committer.append([_record(0)]))]
        await asyncio.sleep(0.04)
        state.latency_s = 0.004
        loop = asyncio.get_running_loop()
        durations = []

        async def append_timed(number: int) -> None:
            sent_at = loop.time()
            await committer.append([_record(number)])
            durations.append(loop.time() - sent_at)

        for number in range(1, 40):
            appends.append(asyncio.create_task(append_timed(number)))
            await asyncio.sleep(0.055)
        await asyncio.gather(*appends)
        # Appends sent right behind the late one are refused as out of order, but those sent after
        # it has arrived need not wait.
        assert max(durations[10:]) < 0.02

    run(scenario())


def test_a_line_tells_by_what_an_append_is_known_to_be_done(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        committer = _committer(state, 4)
        await committer.open()
        state.lost_reply_share = 1.0
        first = asyncio.create_task(committer.append([_record(0)]))
        await asyncio.sleep(0.1)
        state.lost_reply_share = 0.0
        await first
        # Six later appends are made directly, so that the store no longer remembers the answer to
        # number 1.
        for number in range(1, 7):
            state.append(Topic.JOBS, [_record(number)], Producer("leader", 4, number), None)
        await committer.append([_record(1)])

    logging.getLogger("sablemount").propagate = True
    caplog.set_level(logging.INFO, "sablemount")
    run(scenario())
    lines = [line.__dict__ for line in caplog.records if line.msg == "append settled"]
    logged = [(line["epoch"], line["sequence"], line["by"]) for line in lines]
    assert logged == [(4, 0, SETTLED_BY_ANSWER), (4, 1, SETTLED_BY_NUMBER)]
    assert lines[0]["tries"] > 1
    assert lines[1]["tries"] == 1
