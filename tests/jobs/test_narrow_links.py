"""Records that are large relative to a member's link are read once and completely."""

import asyncio
import random
from collections.abc import Sequence

import pytest

from sablemount.control.commit import Committer
from sablemount.control.follow import Follower
from sablemount.control.pages import MAX_KEY, read_newest
from sablemount.control.preload import MAX_PRELOAD_AGE_S, Preload, load_records
from sablemount.control.progress import TransferProgress
from sablemount.control.store import Page, PageItem, Topic, Unavailable
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.narrow import (
    LimitedLink,
    LimitedLinkStore,
    LimitedReadStore,
    LimitedUplinkStore,
    ReadQueue,
)
from tests.emulator.store import StoreState

LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s."""
LARGE_RECORD_BYTES = 840_000
"""Size of a record that takes such a link more than a second."""
LIST_INTERVAL_S = 8.0


class _Reader:
    """The configuration version that a follower behind a slow link has delivered."""

    def __init__(self) -> None:
        self.state = StoreState(random.Random(1))
        self.link = LimitedLink(LINK_BYTES_PER_S)
        self.store = LimitedLinkStore(self.state, "m", self.link)
        self.version = b""

    def follow(self) -> None:
        self.follower = Follower(
            self.store, Topic.CONFIGURATION, self._on_list, self._on_records, LIST_INTERVAL_S
        )
        self.task = asyncio.create_task(self.follower.run())

    def _on_list(self, items: Sequence[PageItem], end: int) -> None:
        self._on_records([item.record for item in items], end)

    def _on_records(self, records: Sequence[Record], end: int) -> None:
        for record in records:
            self.version = record.value[:1]

    def write(self, version: bytes) -> None:
        record = Record("config", version * LARGE_RECORD_BYTES)
        self.state.topics[Topic.CONFIGURATION].add([record])


def test_a_long_record_is_listed_though_it_takes_longer_than_a_try() -> None:
    async def scenario() -> None:
        reader = _Reader()
        reader.write(b"1")
        reader.follow()
        await asyncio.sleep(2.5)
        assert reader.version == b"1"

    run(scenario())


def test_each_long_record_that_follows_is_known() -> None:
    async def scenario() -> None:
        reader = _Reader()
        reader.follow()
        for version in (b"1", b"2", b"3", b"4"):
            await asyncio.sleep(7.0)
            reader.write(version)
            await asyncio.sleep(2.5)
            assert reader.version == version

    run(scenario())


def test_what_has_not_changed_is_not_read_anew() -> None:
    async def scenario() -> None:
        reader = _Reader()
        reader.write(b"1")
        reader.follow()
        await asyncio.sleep(10 * LIST_INTERVAL_S)
        assert reader.version == b"1"
        assert reader.link.bytes_transferred < 2 * LARGE_RECORD_BYTES

    run(scenario())


def test_what_is_arriving_is_not_read_anew_as_the_lead_changes_hands() -> None:
    async def scenario() -> None:
        reader = _Reader()
        reader.follow()
        await asyncio.sleep(3.0)
        reader.write(b"1")
        await asyncio.sleep(0.7)
        reader.follower.set_intervals(1.0, 1.0)
        await asyncio.sleep(1.0)
        assert reader.version == b"1"
        assert reader.link.bytes_transferred < 1.1 * LARGE_RECORD_BYTES

    run(scenario())


def test_an_answer_that_stands_still_is_asked_for_again() -> None:
    async def scenario() -> None:
        reader = _Reader()
        reader.write(b"1")
        reader.follow()
        await asyncio.sleep(0.5)
        reader.link.stalled = True
        await asyncio.sleep(3.0)
        reader.link.stalled = False
        await asyncio.sleep(2.5)
        assert reader.version == b"1"

    run(scenario())


@pytest.mark.parametrize("pages", [3, 12])
def test_what_lasts_is_loaded_though_each_page_takes_long(pages: int) -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        records = [Record(f"k{number:05d}", b"x" * 2_000) for number in range(pages * 500)]
        state.topics[Topic.JOBS].add(records)
        link = LimitedLink(LINK_BYTES_PER_S)
        loaded = await load_records(LimitedLinkStore(state, "m", link), None, None)
        assert loaded is not None
        assert len(loaded) == len(records)
        assert link.bytes_transferred < 1.1 * 4 / 3 * sum(
            len(each.value) + len(each.key) for each in records
        )

    run(scenario())


class _OverloadedStore(LimitedLinkStore):
    """Leaves the first list unanswered, and refuses all calls made in parallel."""

    calls = 0

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        self.calls += 1
        await asyncio.sleep(timeout if self.calls == 1 else 0.005)
        return Unavailable("all connections to the upstream are in use", certain=True)


def test_a_list_beside_one_that_is_silent_is_not_asked_for_without_a_pause() -> None:
    async def scenario() -> None:
        store = _OverloadedStore(StoreState(random.Random(1)), "m", LimitedLink(LINK_BYTES_PER_S))
        await read_newest(store, Topic.JOBS, 0.35, 6.0)
        assert store.calls <= 40

    run(scenario())


def test_a_reading_that_takes_long_is_neither_begun_anew_nor_dropped() -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        records = [Record(f"k{number:05d}", b"x" * 2_000) for number in range(2_500)]
        state.topics[Topic.JOBS].add(records)
        preload = Preload(LimitedLinkStore(state, "m", LimitedLink(LINK_BYTES_PER_S)))
        reading = preload.start()
        await asyncio.sleep(2 * MAX_PRELOAD_AGE_S)
        assert not reading.done()
        assert preload.start() is reading
        assert preload.take() is reading
        assert await reading is not None

    run(scenario())


def test_a_reading_that_has_aged_is_made_anew() -> None:
    async def scenario() -> None:
        preload = Preload(
            LimitedLinkStore(StoreState(random.Random(1)), "m", LimitedLink(LINK_BYTES_PER_S))
        )
        reading = preload.start()
        await reading
        await asyncio.sleep(MAX_PRELOAD_AGE_S + 0.1)
        newer = preload.start()
        assert newer is not reading
        await newer
        await asyncio.sleep(MAX_PRELOAD_AGE_S + 0.1)
        assert preload.take() is None


class _ResettingStore(LimitedLinkStore):
    """Answers nothing, and resets the connections of all lists after a second."""

    def __init__(self, state: StoreState, member: str, link: LimitedLink) -> None:
        super().__init__(state, member, link)
        self._reset_at = asyncio.get_running_loop().time() + 1.0

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the reset; negative after it."""
        return self._reset_at - asyncio.get_running_loop().time()

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        await asyncio.sleep(timeout if after == MAX_KEY else max(0.0, self.remaining_s))
        return Unavailable("the connection was reset")


def test_a_list_of_which_all_tries_end_while_the_store_is_silent_has_failed() -> None:
    async def scenario() -> None:
        store = _ResettingStore(StoreState(random.Random(1)), "m", LimitedLink(LINK_BYTES_PER_S))
        result = await read_newest(store, Topic.JOBS, 0.35, 6.0)
        assert isinstance(result, Unavailable)
        assert result.reason == "the connection was reset"

    run(scenario())


def test_a_reader_whose_list_was_reset_reads_on_once_the_store_is_back() -> None:
    class RecoveringStore(_ResettingStore):
        """Recovers a second after the reset."""

        async def newest(
            self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
        ) -> Page | Unavailable:
            if self.remaining_s > -1.0:
                return await super().newest(topic, after, timeout, progress)
            return await LimitedLinkStore.newest(self, topic, after, timeout, progress)

    async def scenario() -> None:
        reader = _Reader()
        reader.store = RecoveringStore(reader.state, "m", reader.link)
        reader.write(b"1")
        reader.follow()
        await asyncio.sleep(8.0)
        assert reader.version == b"1"

    run(scenario())


@pytest.mark.parametrize("seconds", [1.5, 5.0, 10.0])
def test_each_long_record_is_known_though_the_store_needs_long_for_all_members(
    seconds: float,
) -> None:
    async def scenario() -> None:
        members = 60
        rng = random.Random(3)
        state = StoreState(random.Random(1))
        reads = ReadQueue(members * LARGE_RECORD_BYTES / seconds)
        topic = state.topics[Topic.CONFIGURATION]
        topic.add([Record("config", b"1")])
        readers = []
        for number in range(members):
            reader = _Reader()
            reader.state = state
            reader.store = LimitedReadStore(state, f"m{number}", reader.link, reads)
            readers.append(reader)
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            reader.follow()
        await asyncio.sleep(2 * LIST_INTERVAL_S)
        for version in (b"2", b"3"):
            reads.bytes_read = 0
            topic.add([Record("config", version * LARGE_RECORD_BYTES)])
            await asyncio.sleep(5 * seconds + 5.0)
            assert [reader.version for reader in readers] == [version] * members
            assert reads.bytes_read < 4 * members * LARGE_RECORD_BYTES

    run(scenario())


STORE_LOST_AFTER_S = 0.2
"""Silence of the store after which a leader is replaced."""


@pytest.mark.parametrize(("records", "batches"), [(50, 1), (100, 1), (250, 1), (25, 4), (250, 3)])
def test_what_takes_the_uplink_long_is_appended_once(records: int, batches: int) -> None:
    async def scenario() -> None:
        state = StoreState(random.Random(1))
        link = LimitedLink(LINK_BYTES_PER_S)
        committer = Committer(
            LimitedUplinkStore(state, "m", link), 1, random.Random(1), LINK_BYTES_PER_S
        )
        await committer.open()
        await committer.append([Record("first", b"x")])
        jobs = [
            [Record(f"{batch}-{number}", b"x" * 4_000) for number in range(records)]
            for batch in range(batches)
        ]
        size = 4_000 * records * batches
        appends = asyncio.gather(*(committer.append(batch) for batch in jobs))
        deadline = asyncio.get_running_loop().time() + 2 * size / LINK_BYTES_PER_S + 0.2
        while not appends.done() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
            assert committer.reported_silence() < STORE_LOST_AFTER_S
        assert appends.done()
        assert link.bytes_transferred < 1.2 * size + 20_000

    run(scenario())
