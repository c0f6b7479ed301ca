"""Reads the newest records of a topic, page by page, over links and of stores that may be narrow.

A page may be long beside the link it comes over and beside what the store reads in a second, so
that copies of the question would keep one another from being answered. While something of a page
comes it is not asked for again. While nothing comes it is asked for once more, since its
connection may have fallen silent; after that a short question tells whether the store is there, and
is repeated quickly; the long one is, only if the store is, and ever more seldom.
"""

import asyncio
from typing import Any

from sablemount.control.clock import monotonic
from sablemount.control.hedge import hedged
from sablemount.control.progress import Progress
from sablemount.control.store import Page, PageItem, Store, Topic, Unavailable

__all__ = ["LAST_KEY", "Newest", "read_newest", "topic_end"]

LAST_KEY = "\U0010ffff"
"""What no key follows."""
PROBE_TIMEOUT = 1.5
"""Seconds that a short question may take."""
LONGEST_PAGE = 30.0
"""Seconds that one page may take in all."""
UNPROBED = 2
"""Tries of a page for which it is not asked whether the store is there."""
GAP_GROWTH = 2.0
"""How much longer the gap before each further try of a page is."""
NO_PAGE = "no page in time"

Newest = tuple[list[PageItem], int]
"""The newest record of each key, and the offset from where to read on."""


async def read_newest(
    store: Store,
    topic: Topic,
    interval: float,
    limit: float,
    progress: Progress | None = None,
    unprobed: int = UNPROBED,
) -> Newest | Unavailable:
    """Return the newest record of each key, and from where to read on.

    ``interval`` is after how many seconds without a part of a page it is asked whether the store
    is there, and ``limit`` after how many the page is given up. What was read of the others is
    kept until then. They are no snapshot: what changed after the first one follows its end.
    ``progress`` takes what arrives. ``unprobed`` is how many tries of a page may be made without
    asking that: one where many read the same at once, for a store that is busy with all of them.
    """
    progress = progress or Progress()
    items: list[PageItem] = []
    after = ""
    end = -1
    while True:
        page = await _PageReader(store, topic, after, interval, limit, progress, unprobed).read()
        if isinstance(page, Unavailable):
            return page
        items.extend(page.items)
        end = page.end if end < 0 else end
        last = page.items[-1].record.key if page.items else after
        if not page.more or last == after:
            return items, end
        after = last


async def topic_end(store: Store, topic: Topic, interval: float, limit: float) -> int | None:
    """Return where a topic ends, or ``None`` without an answer; none of its records is read."""

    async def ask() -> int | None:
        page = await store.newest(topic, LAST_KEY, PROBE_TIMEOUT)
        return None if isinstance(page, Unavailable) else page.end

    return await hedged(ask, interval, limit)


class _PageReader:
    """Reads one page."""

    def __init__(
        self,
        store: Store,
        topic: Topic,
        after: str,
        interval: float,
        limit: float,
        progress: Progress,
        unprobed: int,
    ) -> None:
        self._store = store
        self._topic = topic
        self._after = after
        self._interval = interval
        self._limit = limit
        self._progress = progress
        self._unprobed = unprobed
        self._began_at = self._tried_at = monotonic()
        self._gap = interval
        """Seconds from a try, or the last part, to the next try."""
        self._there = False
        """Whether the store has answered a short question."""
        self._sent = 0
        self._tries: set[asyncio.Future[Page | Unavailable]] = set()
        self._failed = Unavailable(NO_PAGE)

    async def read(self) -> Page | Unavailable:
        """Return the page, or what became of the last try."""
        try:
            self._try()
            while self._time_left() > 0:
                page = await self._wait(self._tries, self._next_at() - monotonic())
                if page is not None or not self._tries:
                    return page or self._failed
                if monotonic() < self._next_at():
                    continue
                page = await self._again()
                if page is not None or not self._tries:
                    return page or self._failed
            return self._failed
        finally:
            for attempt in self._tries:
                attempt.cancel()

    def _time_left(self) -> float:
        now = monotonic()
        heard_at = max(self._began_at, self._progress.at)
        return min(heard_at + self._limit, self._began_at + LONGEST_PAGE) - now

    def _next_at(self) -> float:
        """Return when the page may be asked for again."""
        return max(self._tried_at, self._progress.at) + self._gap

    async def _again(self) -> Page | None:
        """Ask for the page once more, if the store is there; return it if it comes meanwhile."""
        if self._sent < self._unprobed:
            self._try()
            return None
        page = await self._probe()
        if page is None and self._there and monotonic() >= self._next_at():
            self._gap *= GAP_GROWTH
            self._try()
        return page

    def _try(self) -> None:
        self._tried_at = monotonic()
        page = self._store.newest(self._topic, self._after, self._limit, self._progress)
        self._tries.add(asyncio.ensure_future(page))
        self._sent += 1

    async def _probe(self) -> Page | None:
        """Ask whether the store is there; return the page if it comes first."""
        end = topic_end(self._store, self._topic, self._interval, self._time_left())
        probe = asyncio.ensure_future(end)
        try:
            page = await self._wait({*self._tries, probe}, None)
            self._there = probe.done() and probe.result() is not None
            if page is None and not self._there and self._tries:
                page = await self._wait(self._tries, self._interval)
            return page
        finally:
            probe.cancel()

    async def _wait(self, awaited: set[Any], seconds: float | None) -> Page | None:
        """Wait until something ends; return the page if it is there."""
        await asyncio.wait(awaited, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        ended = [attempt for attempt in self._tries if attempt.done()]
        self._tries.difference_update(ended)
        for attempt in ended:
            result = attempt.result()
            if isinstance(result, Page):
                return result
            self._failed = result
        return None
