"""Reads the newest records of a topic page by page, over slow links and from slow stores.

A page may be large relative to the link's rate or the store's read rate, so that duplicate requests
would delay one another. While data of a page arrive, it is not requested again. While none arrive,
it is requested once more, since its connection may be dead. After that a short probe, which is
repeated quickly, checks whether the store responds; the page is requested again only if it does,
and at growing intervals.
"""

import asyncio
from typing import Any

from sablemount.control.clock import monotonic
from sablemount.control.hedge import hedged
from sablemount.control.progress import TransferProgress
from sablemount.control.store import Page, PageItem, Store, Topic, Unavailable

__all__ = ["MAX_KEY", "Newest", "read_newest", "read_topic_end"]

MAX_KEY = "\U0010ffff"
"""A key that is greater than all others."""
PROBE_TIMEOUT_S = 1.5
"""Time-out of a probe."""
MAX_PAGE_TIME_S = 30.0
"""Maximum time for one page in total."""
UNPROBED_ATTEMPTS = 2
"""Default number of attempts of a page that are made without a probe of the store."""
INTERVAL_GROWTH = 2.0
"""Growth factor of the interval between attempts of a page."""
NO_PAGE = "no page in time"

Newest = tuple[list[PageItem], int]
"""The newest record of each key, and the offset from which to continue reading."""


async def read_newest(
    store: Store,
    topic: Topic,
    interval: float,
    limit: float,
    progress: TransferProgress | None = None,
    unprobed: int = UNPROBED_ATTEMPTS,
) -> Newest | Unavailable:
    """Return the newest record of each key, and the offset from which to continue reading.

    After ``interval`` seconds without progress on a page, a probe checks whether the store
    responds; after ``limit`` seconds without progress the page is abandoned, and with it those read
    before. The pages are not a snapshot: changes made after the first page was read follow the
    returned offset. ``progress`` records the arriving data. ``unprobed`` is the number of attempts
    of a page that are made without a probe: one if many processes read the same list at once, which
    keeps the store busy.
    """
    progress = progress or TransferProgress()
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


async def read_topic_end(store: Store, topic: Topic, interval: float, limit: float) -> int | None:
    """Return the end offset of a topic, or ``None`` without an answer; reads no records."""

    async def ask() -> int | None:
        page = await store.newest(topic, MAX_KEY, PROBE_TIMEOUT_S)
        return None if isinstance(page, Unavailable) else page.end

    return await hedged(ask, interval, limit)


class _PageReader:
    """Reads one page, with retries."""

    def __init__(
        self,
        store: Store,
        topic: Topic,
        after: str,
        interval: float,
        limit: float,
        progress: TransferProgress,
        unprobed: int,
    ) -> None:
        self._store = store
        self._topic = topic
        self._after = after
        self._interval = interval
        self._limit = limit
        self._progress = progress
        self._unprobed = unprobed
        self._started_at = self._requested_at = monotonic()
        self._retry_interval = interval
        """Seconds from an attempt, or from the latest arrival of data, to the next attempt."""
        self._responds = False
        """Whether the store has answered the latest probe."""
        self._attempt_count = 0
        self._attempts: set[asyncio.Future[Page | Unavailable]] = set()
        self._failure = Unavailable(NO_PAGE)

    async def read(self) -> Page | Unavailable:
        """Return the page, or the failure of the latest attempt."""
        try:
            self._request_page()
            while self._time_left() > 0:
                page = await self._wait(self._attempts, self._next_attempt_at() - monotonic())
                if page is not None or not self._attempts:
                    return page or self._failure
                if monotonic() < self._next_attempt_at():
                    continue
                page = await self._retry()
                if page is not None or not self._attempts:
                    return page or self._failure
            return self._failure
        finally:
            for attempt in self._attempts:
                attempt.cancel()

    def _time_left(self) -> float:
        now = monotonic()
        progress_at = max(self._started_at, self._progress.at)
        return min(progress_at + self._limit, self._started_at + MAX_PAGE_TIME_S) - now

    def _next_attempt_at(self) -> float:
        """Return when the page may be requested again."""
        return max(self._requested_at, self._progress.at) + self._retry_interval

    async def _retry(self) -> Page | None:
        """Request the page again if the store responds; return it if it arrives meanwhile."""
        if self._attempt_count < self._unprobed:
            self._request_page()
            return None
        page = await self._probe()
        if page is None and self._responds and monotonic() >= self._next_attempt_at():
            self._retry_interval *= INTERVAL_GROWTH
            self._request_page()
        return page

    def _request_page(self) -> None:
        self._requested_at = monotonic()
        page = self._store.newest(self._topic, self._after, self._limit, self._progress)
        self._attempts.add(asyncio.ensure_future(page))
        self._attempt_count += 1

    async def _probe(self) -> Page | None:
        """Check whether the store responds; return the page if it arrives first."""
        end = read_topic_end(self._store, self._topic, self._interval, self._time_left())
        probe = asyncio.ensure_future(end)
        try:
            page = await self._wait({*self._attempts, probe}, None)
            self._responds = probe.done() and probe.result() is not None
            if page is None and not self._responds and self._attempts:
                page = await self._wait(self._attempts, self._interval)
            return page
        finally:
            probe.cancel()

    async def _wait(self, awaited: set[Any], seconds: float | None) -> Page | None:
        """Wait until one of ``awaited`` is done; return the page if it has arrived."""
        await asyncio.wait(awaited, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        completed = [attempt for attempt in self._attempts if attempt.done()]
        self._attempts.difference_update(completed)
        for attempt in completed:
            result = attempt.result()
            if isinstance(result, Page):
                return result
            self._failure = result
        return None
