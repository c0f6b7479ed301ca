"""Follows a keyed topic: its newest records first, then each new one, with a fresh start at times.

Records may go from the log at any time, so the newest of all keys are read again now and then.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence

from sablemount.control.hedge import hedged
from sablemount.control.store import PageItem, Records, Store, Topic, Unavailable
from sablemount.jobs.records import Record

__all__ = ["Follower", "read_newest"]

PAGE_TIMEOUT = 1.5
PAGE_INTERVAL = 0.35
"""Seconds after which the pages are asked for again while there is no answer."""
PAGE_LIMIT = 6.0
RETRY_PAUSE = 0.15
MAX_PAUSE = 0.5

_logger = logging.getLogger("sablemount.control.follow")


async def read_newest(
    store: Store, topic: Topic, timeout: float
) -> tuple[list[PageItem], int] | None:
    """Return the newest record of each key and the end, or ``None`` without an answer."""
    items: list[PageItem] = []
    after = ""
    while True:
        page = await store.newest(topic, after, timeout)
        if isinstance(page, Unavailable):
            return None
        items.extend(page.items)
        if not page.more or not page.items:
            return items, page.end
        after = page.items[-1].record.key


class Follower:
    """Keeps a reader up to date with one topic."""

    def __init__(
        self,
        store: Store,
        topic: Topic,
        on_all: Callable[[Sequence[PageItem], int], None],
        on_records: Callable[[Sequence[Record], int], None],
        wait: float,
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_all = on_all
        self._on_records = on_records
        self._wait = wait
        self._reachable: bool | None = None

    async def run(self) -> None:
        """Follow without end."""
        pause = RETRY_PAUSE
        while True:
            if await self._round():
                pause = RETRY_PAUSE
                continue
            await asyncio.sleep(pause)
            pause = min(MAX_PAUSE, pause * 1.5)

    async def _round(self) -> bool:
        newest = await hedged(self._newest, PAGE_INTERVAL, PAGE_LIMIT)
        if newest is None:
            self._note(False)
            return False
        self._note(True)
        items, end = newest
        self._on_all(items, end)
        return await self._read(end)

    async def _newest(self) -> tuple[list[PageItem], int] | None:
        return await read_newest(self._store, self._topic, PAGE_TIMEOUT)

    async def _read(self, end: int) -> bool:
        """Wait once for what follows; then all is read anew."""
        result = await self._store.read(self._topic, end, self._wait)
        if isinstance(result, Unavailable):
            self._note(False)
            return False
        self._note(True)
        if isinstance(result, Records) and result.records:
            self._on_records(result.records, result.end)
        return True

    def _note(self, reachable: bool) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            text = "store answers" if reachable else "store does not answer"
            _logger.info(text, extra={"topic": self._topic.value})
