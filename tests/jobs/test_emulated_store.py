"""The emulated store behaves as the platform's store was observed to behave."""

import asyncio
import random

import pytest

from sablemount.control.store import Appended, Page, Records, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import CALL_BYTES, RECORD_BYTES, EmulatedStore, StoreState


def _record(key: str, size: int = 1) -> Record:
    return Record(key, b"x" * size)


def _stored_keys(state: StoreState) -> list[str]:
    return [record.key for record in state.topics[Topic.JOBS].records]


def test_an_append_is_carried_out_though_its_caller_has_gone() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        call = EmulatedStore(state, "m").append(Topic.JOBS, [_record("a")], 1.0)
        sent = asyncio.create_task(call)
        await asyncio.sleep(0.001)
        sent.cancel()
        await asyncio.sleep(0.1)
        assert _stored_keys(state) == ["a"]

    run(scenario())


def test_a_slow_store_carries_out_what_its_caller_has_given_up() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        state.latency_s = 1.0
        answer = await EmulatedStore(state, "m").append(Topic.JOBS, [_record("a")], 0.3)
        assert answer == Unavailable("no answer")
        assert _stored_keys(state) == []
        await asyncio.sleep(1.0)
        assert _stored_keys(state) == ["a"]

    run(scenario())


def test_a_store_with_too_much_to_do_refuses() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        state.append_time_s = 0.7
        store = EmulatedStore(state, "m")
        calls = [store.append(Topic.JOBS, [_record(str(n))], 9.0) for n in range(6)]
        answers = await asyncio.gather(*calls)
        refused = [answer for answer in answers if answer == Unavailable("status 503", True)]
        assert len(refused) == 3
        assert len(_stored_keys(state)) == 3

    run(scenario())


@pytest.mark.parametrize(
    ("sizes", "taken"),
    [
        ([RECORD_BYTES - 2], True),
        ([RECORD_BYTES - 1], False),
        ([100_000] * 20, True),
        ([100_000] * (CALL_BYTES // 100_000 + 1), False),
    ],
)
def test_what_is_too_large_is_refused_whole(sizes: list[int], taken: bool) -> None:
    state = StoreState(random.Random(1))
    answer = state.append(Topic.JOBS, [_record("k", size) for size in sizes], None, None)
    assert isinstance(answer, Appended) is taken
    assert len(_stored_keys(state)) == (len(sizes) if taken else 0)


def test_large_records_come_in_several_reads_and_pages() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        for number in range(8):
            state.append(Topic.JOBS, [_record(f"k{number}", 200_000)], None, None)
        store = EmulatedStore(state, "m")
        read = await store.read(Topic.JOBS, 0, 0.0)
        assert isinstance(read, Records)
        assert (len(read.records), read.end) == (5, 5)
        page = await store.newest(Topic.JOBS, "", 1.0)
        assert isinstance(page, Page)
        assert (len(page.items), page.more, page.end) == (6, True, 8)

    run(scenario())
