"""Follows a keyed topic: its newest records first, then what follows, with a fresh start at times.

Records may go from the log at any time, so the newest of all keys are read again now and then, but
not with each change: a list of all VMs for each heartbeat of one would cost with their square. Nor
are they read again where nothing was missed: a record may be long beside the link it comes over.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence

from sablemount.control.clock import monotonic
from sablemount.control.pages import LONGEST_PAGE, read_newest, topic_end
from sablemount.control.progress import Progress
from sablemount.control.store import PageItem, ReadResult, Records, Store, Topic, Unavailable
from sablemount.jobs.records import Record

__all__ = ["Follower"]

PAGE_INTERVAL = 0.35
"""Seconds without a part of a page after which it is asked whether the store is there."""
PAGE_LIMIT = LONGEST_PAGE
"""Seconds without a part of a page after which a list is given up and begun anew: all members read
the same at once, and a store that is busy with that reads also what nobody awaits any more."""
UNPROBED = 1
"""Tries of a page for which it is not asked whether the store is there, for the same reason."""
GATHER_PAUSE = 0.1
"""Seconds between two reads, so that changes that come one by one are read together."""
RETRY_PAUSE = 0.15
"""Seconds after a failure until the next try; half as long again after each further one."""
MAX_PAUSE = 0.5
"""Seconds between two tries at most, so that the end of an outage is seen soon."""
LIST_SHARE = 4.0
"""How many times as long as a list took to arrive the next one is at least away: a link has other
uses."""
BUSY_READS = 4
"""Reads with records since the last fresh start from which on a topic goes on growing while it is
asked where it ends."""

_logger = logging.getLogger("sablemount.control.follow")


def _ignore(asked_at: float) -> None:
    """Take that a read was answered, and do nothing."""


class Follower:
    """Keeps a reader up to date with one topic.

    ``on_all`` takes the newest records and ``on_records`` what follows, each with the offset at
    which they end. Every ``fresh_start`` seconds all is read anew, unless nothing was missed.
    ``on_answer`` takes the local time at which a read was sent that has been answered; none waits
    for longer than ``longest_wait`` seconds.
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
        self._end: int | None = None
        """Where to read on; ``None`` before all was read."""
        self._changes = 0
        """Reads with records since the last fresh start."""
        self._reading: asyncio.Future[ReadResult] | None = None
        self._arriving = Progress()
        """What has come of the answer to the read that is under way."""

    def pace(self, fresh_start: float, longest_wait: float) -> None:
        """Ask at other intervals from now on, and at once unless an answer is arriving."""
        self._fresh_start = fresh_start
        self._longest_wait = longest_wait
        if self._reading is not None and not self._arriving.within(PAGE_INTERVAL):
            self._reading.cancel()

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
        """Read all, or make sure that nothing was missed, and what follows for a while."""
        asked_at = monotonic()
        progress = Progress()
        failed = None if await self._missed_nothing() else await self._list(progress)
        if failed is not None:
            self._failed(failed, asked_at)
            return False
        self._answers()
        self._on_answer(asked_at)
        return await self._read_on(max(self._fresh_start, LIST_SHARE * progress.seconds))

    async def _missed_nothing(self) -> bool:
        """Tell whether the topic ends where reading it has led; not asked while it is busy."""
        if self._end is None or self._changes >= BUSY_READS:
            return False
        end = await topic_end(self._store, self._topic, PAGE_INTERVAL, PAGE_LIMIT)
        return end == self._end

    async def _list(self, progress: Progress) -> Unavailable | None:
        """Read all; return why that failed, if it did."""
        newest = await read_newest(
            self._store, self._topic, PAGE_INTERVAL, PAGE_LIMIT, progress, UNPROBED
        )
        if isinstance(newest, Unavailable):
            return newest
        items, self._end = newest
        self._on_all(items, self._end)
        return None

    async def _read_on(self, seconds: float) -> bool:
        """Read what follows for some seconds; return whether the store answered."""
        last = monotonic() + seconds
        self._changes = 0
        while (left := last - monotonic()) > 0:
            asked_at = monotonic()
            result = await self._read(min(left, self._longest_wait))
            if result is None:
                return True
            if isinstance(result, Unavailable):
                self._failed(result, asked_at)
                return False
            self._answers()
            if not isinstance(result, Records):
                self._end = None
                return True
            if result.records:
                self._end = result.end
                self._changes += 1
                self._on_records(result.records, result.end)
            self._on_answer(asked_at)
            if result.records:
                await asyncio.sleep(GATHER_PAUSE)
        return True

    async def _read(self, wait: float) -> ReadResult | None:
        """Read what follows; ``None`` if the pace has changed meanwhile."""
        assert self._end is not None
        self._arriving = Progress()
        read = self._store.read(self._topic, self._end, wait, self._arriving)
        reading = asyncio.ensure_future(read)
        self._reading = reading
        try:
            await asyncio.wait([reading])
        finally:
            self._reading = None
            reading.cancel()
        return None if reading.cancelled() else reading.result()

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
