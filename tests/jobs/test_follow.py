"""A follower keeps a reader up to date with few calls, even if the log drops records."""

import asyncio
import random
from collections.abc import Sequence

from sablemount.control.follow import Follower
from sablemount.control.store import PageItem, Topic
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.store import EmulatedStore, StoreState

LIST_INTERVAL_S = 1.0


class _CountingStore(EmulatedStore):
    lists = 0
    reads = 0

    async def newest(self, *call: object) -> object:  # type: ignore[override]
        self.lists += 1
        return await super().newest(*call)  # type: ignore[arg-type]

    async def read(self, *call: object) -> object:  # type: ignore[override]
        self.reads += 1
        return await super().read(*call)  # type: ignore[arg-type]


class _Reader:
    """The records of the VMs' topic that a follower has delivered."""

    def __init__(self) -> None:
        self.state = StoreState(random.Random(1))
        self.store = _CountingStore(self.state, "m")
        self.known: dict[str, bytes] = {}
        follower = Follower(self.store, Topic.VMS, self._on_list, self._on_records, LIST_INTERVAL_S)
        self.task = asyncio.create_task(follower.run())

    def _on_list(self, items: Sequence[PageItem], end: int) -> None:
        self.known = {item.record.key: item.record.value for item in items}

    def _on_records(self, records: Sequence[Record], end: int) -> None:
        for record in records:
            self.known[record.key] = record.value

    def write(self, key: str, value: bytes) -> None:
        self.state.topics[Topic.VMS].add([Record(key, value)])


def test_a_list_is_not_read_anew_with_each_change() -> None:
    async def scenario() -> None:
        reader = _Reader()
        for heartbeat in range(400):
            reader.write(f"vm{heartbeat % 40}", b"%d" % heartbeat)
            await asyncio.sleep(0.0125)
        await asyncio.sleep(0.3)
        assert reader.known["vm39"] == b"399"
        assert len(reader.known) == 40
        # 5 seconds with 80 changes per second.
        assert reader.store.lists <= 7
        assert reader.store.reads <= 60

    run(scenario())


def test_a_change_is_known_soon() -> None:
    async def scenario() -> None:
        reader = _Reader()
        await asyncio.sleep(0.2)
        for number in range(20):
            reader.write("vm", b"%d" % number)
            await asyncio.sleep(0.15)
            assert reader.known["vm"] == b"%d" % number

    run(scenario())


def test_what_was_dropped_unread_is_found_by_the_next_list() -> None:
    async def scenario() -> None:
        reader = _Reader()
        await asyncio.sleep(0.2)
        reader.write("first", b"1")
        await asyncio.sleep(0.01)
        # While the follower pauses, a record is written and dropped.
        reader.write("second", b"2")
        reader.state.trim_history()
        await asyncio.sleep(LIST_INTERVAL_S + 0.5)
        assert reader.known == {"first": b"1", "second": b"2"}

    run(scenario())
