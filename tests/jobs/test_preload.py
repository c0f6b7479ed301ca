"""The loaded state is the same whether its pages were read before or after the epoch was set."""

import asyncio
import random

import pytest

from sablemount.control.preload import MAX_PRELOAD_AGE_S, Preload, load_records
from sablemount.control.progress import TransferProgress
from sablemount.control.store import Page, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState

KEYS = 1_200
"""They fill three pages."""


def _store_with_pages() -> StoreState:
    state = StoreState(random.Random(1))
    topic = state.topics[Topic.JOBS]
    topic.add([Record(f"k{number:04d}", b"first") for number in range(KEYS)])
    return state


def _values(records: list[Record] | None) -> dict[str, bytes]:
    assert records is not None
    return {record.key: record.value for record in records}


@pytest.mark.parametrize("forgotten", [False, True])
def test_what_changes_after_the_first_page_is_there(forgotten: bool) -> None:
    async def scenario() -> None:
        state = _store_with_pages()
        store = EmulatedStore(state, "m")
        state.latency_s = 0.1
        preload = Preload(store)
        preload.start()
        # The first page has been read by then; it contains the first two of these keys.
        await asyncio.sleep(0.15)
        topic = state.topics[Topic.JOBS]
        topic.add([Record("k0001", b"second"), Record("k0002"), Record("new", b"first")])
        await asyncio.sleep(0.5)
        if forgotten:
            state.trim_history()
        loaded = _values(await load_records(store, preload.take(), topic.end))
        assert loaded == {key: item.record.value for key, item in topic.newest.items()}
        assert loaded["k0001"] == b"second"
        assert "k0002" not in loaded

    run(scenario())


def test_without_a_known_end_all_is_read_anew() -> None:
    async def scenario() -> None:
        state = _store_with_pages()
        store = EmulatedStore(state, "m")
        preload = Preload(store)
        await preload.start()
        state.topics[Topic.JOBS].add([Record("k0001", b"second")])
        loaded = _values(await load_records(store, preload.take(), None))
        assert loaded["k0001"] == b"second"

    run(scenario())


def test_many_pages_of_a_slow_store_are_all_read() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        keys = [Record(f"k{number:05d}", b"first") for number in range(12 * KEYS)]
        state.topics[Topic.JOBS].add(keys)
        state.latency_s = 0.4
        loaded = await load_records(EmulatedStore(state, "m"), None, None)
        assert len(_values(loaded)) == len(keys)

    run(scenario())


class _AnswersEverySecondRead(EmulatedStore):
    """Leaves every other read without an answer."""

    reads = 0

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        self.reads += 1
        if self.reads % 2:
            await asyncio.sleep(timeout)
            return Unavailable("no answer")
        return await super().newest(topic, after, timeout)


def test_a_page_without_an_answer_costs_no_other_page() -> None:
    async def scenario() -> None:
        state = _store_with_pages()
        store = _AnswersEverySecondRead(state, "m")
        loaded = await load_records(store, None, None)
        assert len(_values(loaded)) == KEYS
        assert store.reads == 6

    run(scenario())


def test_what_took_long_to_read_is_not_read_anew_for_the_claim() -> None:
    async def scenario() -> None:
        state = _store_with_pages()
        state.latency_s = 1.2
        store = EmulatedStore(state, "m")
        preload = Preload(store)
        reading = preload.start()
        assert await reading is not None
        assert preload.start() is reading
        assert preload.take() is reading

    run(scenario())


def test_what_has_aged_is_read_anew() -> None:
    async def scenario() -> None:
        preload = Preload(EmulatedStore(_store_with_pages(), "m"))
        reading = preload.start()
        await reading
        await asyncio.sleep(MAX_PRELOAD_AGE_S)
        assert preload.start() is not reading
        await asyncio.sleep(MAX_PRELOAD_AGE_S + 1.0)
        assert preload.take() is None

    run(scenario())
