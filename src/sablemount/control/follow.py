"""Follows a keyed topic: lists its newest records, then reads new ones, and lists again at times.

The log may drop records at any time, so the newest records of all keys are listed again
periodically, but not on each change: listing all VMs for each heartbeat of one would have quadratic
cost. Nor are they listed again if nothing was missed, as a record may be large relative to the
link.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence

from sablemount.control.clock import monotonic
from sablemount.control.pages import MAX_PAGE_TIME_S, read_newest, read_topic_end
from sablemount.control.progress import TransferProgress
from sablemount.control.store import PageItem, ReadResult, Records, Store, Topic, Unavailable
from sablemount.jobs.records import Record

__all__ = ["Follower"]

PROBE_INTERVAL_S = 0.35
"""Time without progress on a page after which a probe checks whether the store responds."""
PAGE_TIMEOUT_S = MAX_PAGE_TIME_S
"""Time without progress on a page after which a list is abandoned and restarted. It is long since
all members read the same list at once, and a busy store also processes abandoned requests."""
UNPROBED_ATTEMPTS = 1
"""Attempts of a page that are made without a probe of the store; low for the same reason."""
BATCH_PAUSE_S = 0.1
"""Pause between two reads, so that single changes are read together."""
RETRY_PAUSE_S = 0.15
"""Pause after a failure; it grows by half with each further one."""
MAX_RETRY_PAUSE_S = 0.5
"""Longest pause between two attempts, so that the end of an outage is noticed soon."""
MIN_LIST_INTERVAL_FACTOR = 4.0
"""Shortest interval between lists, as a multiple of the time that the latest one took to arrive,
since the link has other uses."""
MIN_BUSY_READS = 4
"""Number of reads with records since the last list from which a topic counts as busy: it would grow
while its end offset is queried."""

_logger = logging.getLogger("sablemount.control.follow")


def _ignore_answer(asked_at: float) -> None:
    """Ignore that a read was answered."""


class Follower:
    """Keeps a reader up to date with one topic.

    ``on_list`` receives the newest record of each key, and ``on_records`` the records that follow,
    each with their end offset. Every ``list_interval`` seconds all keys are listed again, unless
    nothing was missed. ``on_answer`` receives the local time at which an answered read was sent. A
    read waits for at most ``max_wait`` seconds.
    """

    def __init__(
        self,
        store: Store,
        topic: Topic,
        on_list: Callable[[Sequence[PageItem], int], None],
        on_records: Callable[[Sequence[Record], int], None],
        list_interval: float,
        on_answer: Callable[[float], None] = _ignore_answer,
        max_wait: float = float("inf"),
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_list = on_list
        self._on_records = on_records
        self._list_interval = list_interval
        self._on_answer = on_answer
        self._max_wait = max_wait
        self._reachable: bool | None = None
        self._next_offset: int | None = None
        """Offset of the next read; ``None`` if the topic has to be listed first."""
        self._reads_with_records = 0
        """Number of reads with records since the last list."""
        self._reading: asyncio.Future[ReadResult] | None = None
        self._progress = TransferProgress()
        """Progress of the answer to the read in flight."""

    def set_intervals(self, list_interval: float, max_wait: float) -> None:
        """Change the intervals, and restart the read in flight unless its answer is arriving."""
        self._list_interval = list_interval
        self._max_wait = max_wait
        if self._reading is not None and not self._progress.received_within(PROBE_INTERVAL_S):
            self._reading.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        pause = RETRY_PAUSE_S
        while True:
            if await self._cycle():
                pause = RETRY_PAUSE_S
                continue
            await asyncio.sleep(pause)
            pause = min(MAX_RETRY_PAUSE_S, pause * 1.5)

    async def _cycle(self) -> bool:
        """List all keys unless nothing was missed, then read new records for a while."""
        asked_at = monotonic()
        progress = TransferProgress()
        failed = None if await self._missed_nothing() else await self._list(progress)
        if failed is not None:
            self._log_unavailable(failed, asked_at)
            return False
        self._log_available()
        self._on_answer(asked_at)
        return await self._read_on(
            max(self._list_interval, MIN_LIST_INTERVAL_FACTOR * progress.duration)
        )

    async def _missed_nothing(self) -> bool:
        """Return whether the topic ends at the offset read so far; not checked if it is busy."""
        if self._next_offset is None or self._reads_with_records >= MIN_BUSY_READS:
            return False
        end = await read_topic_end(self._store, self._topic, PROBE_INTERVAL_S, PAGE_TIMEOUT_S)
        return end == self._next_offset

    async def _list(self, progress: TransferProgress) -> Unavailable | None:
        """List all keys; return the failure, if any."""
        newest = await read_newest(
            self._store, self._topic, PROBE_INTERVAL_S, PAGE_TIMEOUT_S, progress, UNPROBED_ATTEMPTS
        )
        if isinstance(newest, Unavailable):
            return newest
        items, self._next_offset = newest
        self._on_list(items, self._next_offset)
        return None

    async def _read_on(self, seconds: float) -> bool:
        """Read new records for some seconds; return whether the store answered."""
        deadline = monotonic() + seconds
        self._reads_with_records = 0
        while (remaining := deadline - monotonic()) > 0:
            asked_at = monotonic()
            result = await self._read(min(remaining, self._max_wait))
            if result is None:
                return True
            if isinstance(result, Unavailable):
                self._log_unavailable(result, asked_at)
                return False
            self._log_available()
            if not isinstance(result, Records):
                self._next_offset = None
                return True
            if result.records:
                self._next_offset = result.end
                self._reads_with_records += 1
                self._on_records(result.records, result.end)
            self._on_answer(asked_at)
            if result.records:
                await asyncio.sleep(BATCH_PAUSE_S)
        return True

    async def _read(self, wait: float) -> ReadResult | None:
        """Read new records; return ``None`` if ``set_intervals`` has cancelled the read."""
        assert self._next_offset is not None
        self._progress = TransferProgress()
        read = self._store.read(self._topic, self._next_offset, wait, self._progress)
        reading = asyncio.ensure_future(read)
        self._reading = reading
        try:
            await asyncio.wait([reading])
        finally:
            self._reading = None
            reading.cancel()
        return None if reading.cancelled() else reading.result()

    def _log_available(self) -> None:
        if self._reachable is not True:
            self._reachable = True
            _logger.info("store answers", extra={"topic": self._topic.value})

    def _log_unavailable(self, failed: Unavailable, asked_at: float) -> None:
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
