"""Follows a keyed topic: its newest records first, then what follows, with a fresh start at times.

Records may go from the log at any time, so the newest of all keys are read again now and then, but
not with each change: a list of all VMs for each heartbeat of one would cost with their square.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence

from sablemount.control.clock import monotonic
from sablemount.control.hedge import hedged
from sablemount.control.store import Page, PageItem, Records, Store, Topic, Unavailable
from sablemount.jobs.records import Record

__all__ = ["Follower", "read_newest"]

PAGE_TIMEOUT = 1.5
"""Seconds that one page may take."""
PAGE_INTERVAL = 0.35
"""Seconds after which a page is asked for again while there is no answer."""
PAGE_LIMIT = 6.0
"""Seconds after which a list is given up and begun anew if one page has no answer."""
GATHER_PAUSE = 0.1
"""Seconds between two reads, so that changes that come one by one are read together."""
RETRY_PAUSE = 0.15
"""Seconds after a failure until the next try; half as long again after each further one."""
NO_PAGE = "no page in time"
MAX_PAUSE = 0.5
"""Seconds between two tries at most, so that the end of an outage is seen soon."""

_logger = logging.getLogger("sablemount.control.follow")


def _ignore(asked_at: float) -> None:
    """Take that a read was answered, and do nothing."""


async def read_newest(
    store: Store, topic: Topic, timeout: float, interval: float, limit: float
) -> tuple[list[PageItem], int] | Unavailable:
    """Return the newest record of each key, and from where to read on.

    Each page is asked for again every ``interval`` seconds up to ``limit``: what was read of the
    others is kept, and many pages may take longer. They are no snapshot: what changed after the
    first one follows its end.
    """
    items: list[PageItem] = []
    after = ""
    end = -1
    while True:
        tries = _Tries(store, topic, after, timeout)
        page = await hedged(tries.page, interval, limit)
        if page is None:
            return tries.failed
        items.extend(page.items)
        end = page.end if end < 0 else end
        last = page.items[-1].record.key if page.items else after
        if not page.more or last == after:
            return items, end
        after = last


class _Tries:
    """Tries of one page; ``failed`` is what became of the one that ended last without it."""

    def __init__(self, store: Store, topic: Topic, after: str, timeout: float) -> None:
        self._store = store
        self._topic = topic
        self._after = after
        self._timeout = timeout
        self.failed = Unavailable(NO_PAGE)

    async def page(self) -> Page | None:
        """Read the page once."""
        page = await self._store.newest(self._topic, self._after, self._timeout)
        if isinstance(page, Unavailable):
            self.failed = page
            return None
        return page


class Follower:
    """Keeps a reader up to date with one topic.

    ``on_all`` takes the newest records and ``on_records`` what follows, each with the offset at
    which they end; all is read anew every ``fresh_start`` seconds. ``on_answer`` takes the local
    time at which a read was sent that has been answered; none waits for longer than
    ``longest_wait`` seconds.
    """

    def __init__(
        self,
        store: Store,
        topic: Topic,
        on_all: Callable[[Sequence[PageItem], int], None],
        on_records: Callable[[Sequence[Record], int], None],
        fresh_start: float,
        on_answer: Callable[[float], None] = _ignore,
        longest_wait: float = float("inf"),
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_all = on_all
        self._on_records = on_records
        self._fresh_start = fresh_start
        self._on_answer = on_answer
        self._longest_wait = longest_wait
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
        asked_at = monotonic()
        newest = await read_newest(
            self._store, self._topic, PAGE_TIMEOUT, PAGE_INTERVAL, PAGE_LIMIT
        )
        if isinstance(newest, Unavailable):
            self._failed(newest, asked_at)
            return False
        self._answers()
        items, end = newest
        self._on_all(items, end)
        self._on_answer(asked_at)
        return await self._read_on(end, monotonic() + self._fresh_start)

    async def _read_on(self, end: int, last: float) -> bool:
        """Read what follows until all is to be read anew; return whether the store answered."""
        while (left := last - monotonic()) > 0:
            asked_at = monotonic()
            result = await self._store.read(self._topic, end, min(left, self._longest_wait))
            if isinstance(result, Unavailable):
                self._failed(result, asked_at)
                return False
            self._answers()
            if not isinstance(result, Records):
                return True
            if result.records:
                end = result.end
                self._on_records(result.records, end)
            self._on_answer(asked_at)
            if result.records:
                await asyncio.sleep(GATHER_PAUSE)
        return True

    def _answers(self) -> None:
        if self._reachable is not True:
            self._reachable = True
            _logger.info("store answers", extra={"topic": self._topic.value})

    def _failed(self, failed: Unavailable, asked_at: float) -> None:
        if self._reachable is False:
            return
        self._reachable = False
        extra = {
            "topic": self._topic.value,
            "why": failed.reason,
            "received": failed.received,
            "seconds": round(monotonic() - asked_at, 3),
        }
        _logger.info("store does not answer", extra=extra)
