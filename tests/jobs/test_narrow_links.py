"""What is long beside a member's link is read once, to its end, and not again without need."""

import asyncio
import random
from collections.abc import Sequence

from sablemount.control.follow import Follower
from sablemount.control.store import PageItem, Topic
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.narrow import NarrowLink, NarrowStore
from tests.emulator.store import StoreState

LINK = 625_000
"""Bytes a second."""
LONG = 840_000
"""Bytes of a record that takes a link of that kind more than a second."""
FRESH_START = 8.0


class _Reader:
    """What a follower behind a narrow link has told of the configuration's topic."""

    def __init__(self) -> None:
        self.state = StoreState(random.Random(1))
        self.link = NarrowLink(LINK)
        self.store = NarrowStore(self.state, "m", self.link)
        self.version = b""

    def follow(self) -> None:
        follower = Follower(self.store, Topic.CONFIGURATION, self._listed, self._told, FRESH_START)
        self.task = asyncio.create_task(follower.run())

    def _listed(self, items: Sequence[PageItem], end: int) -> None:
        self._told([item.record for item in items], end)

    def _told(self, records: Sequence[Record], end: int) -> None:
        for record in records:
            self.version = record.value[:1]

    def write(self, version: bytes) -> None:
        record = Record("config", version * LONG)
        self.state.topics[Topic.CONFIGURATION].add([record])


def test_a_long_record_is_listed_though_it_takes_longer_than_a_try() -> None:
    async def scenario() -> None:
        reader = _Reader()
        reader.write(b"1")
        reader.follow()
        await asyncio.sleep(2.5)
        assert reader.version == b"1"

    run(scenario())
