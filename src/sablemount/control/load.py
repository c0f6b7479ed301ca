"""The load of what lasts as a leadership begins, and how far it has come."""

import asyncio
import logging

from sablemount.control.clock import monotonic
from sablemount.control.commit import Committer
from sablemount.control.figures import Metrics
from sablemount.control.pages import MAX_KEY
from sablemount.control.preload import Reading, load_records
from sablemount.control.progress import Progress
from sablemount.control.store import (
    AppendResult,
    Page,
    Producer,
    ReadResult,
    Records,
    Store,
    Topic,
    Unavailable,
)
from sablemount.jobs.records import Record

__all__ = ["LoadStore", "Load", "LoadProgress"]

PAUSE = 0.1
"""Seconds after a failed try until the next one."""

_logger = logging.getLogger("sablemount.control.leader")


class LoadProgress:
    """How far the farthest try has come: bytes that it has read.

    What was read before and is read again is no progress, so that a load that fails at the same
    place each time does not get on.
    """

    def __init__(self) -> None:
        self.far = 0
        self._kept = 0
        self._arrived = 0
        """Bytes of the answers that are on their way: the most of any."""

    def begin(self) -> None:
        """Begin a leadership, with what has been read of late."""
        self.far = self._kept + self._arrived

    def again(self) -> None:
        """Begin a try: nothing is read yet."""
        self._kept = self._arrived = 0

    def arrived(self, size: int) -> None:
        """Take how many bytes of an answer have come that goes on."""
        self._arrived = max(self._arrived, size)
        self._reached()

    def kept(self, size: int) -> None:
        """Take a whole answer of some bytes."""
        self._kept += max(size, self._arrived)
        self._arrived = 0
        self._reached()

    def _reached(self) -> None:
        self.far = max(self.far, self._kept + self._arrived)


class _Arriving(Progress):
    """What has arrived of one answer, told to the load and to whoever waits for it."""

    __slots__ = ("_asked_by", "_load")

    def __init__(self, load: LoadProgress, asked_by: Progress | None) -> None:
        super().__init__()
        self._load = load
        self._asked_by = asked_by

    def arrived(self, size: int) -> None:
        """Take some bytes."""
        super().arrived(size)
        self._load.arrived(self.received)
        if self._asked_by is not None:
            self._asked_by.arrived(size)


class LoadStore:
    """The store, with a load's reads of it counted; ``why`` tells why one last failed."""

    def __init__(self, store: Store, progress: LoadProgress) -> None:
        self._store = store
        self._progress = progress
        self.why = ""

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        """Append as the store does."""
        return await self._store.append(topic, records, timeout, producer, at)

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: Progress | None = None
    ) -> Page | Unavailable:
        """Read a page, and count what comes of it."""
        if after == MAX_KEY:
            return await self._store.newest(topic, after, timeout, progress)
        if not after:
            self._progress.again()
        arriving = _Arriving(self._progress, progress)
        page = await self._store.newest(topic, after, timeout, arriving)
        if isinstance(page, Unavailable):
            self.why = page.reason
        else:
            self._progress.kept(_size([item.record for item in page.items]))
        return page

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: Progress | None = None
    ) -> ReadResult:
        """Read what follows an offset, and count what comes of it."""
        arriving = _Arriving(self._progress, progress)
        result = await self._store.read(topic, offset, wait, arriving)
        if isinstance(result, Records):
            self._progress.kept(_size(result.records))
        else:
            self.why = result.reason if isinstance(result, Unavailable) else "the records are gone"
        return result


def _size(records: list[Record]) -> int:
    return sum(len(record.key) + len(record.value) for record in records)


class Load:
    """Loads for one leadership, with as many tries as it takes."""

    def __init__(self, epoch: int, store: Store, progress: LoadProgress, figures: Metrics) -> None:
        self._epoch = epoch
        self._progress = progress
        self._store = LoadStore(store, progress)
        self._figures = figures
        self._began_at = monotonic()
        self._tries = 0

    async def run(
        self, committer: Committer, reading: "asyncio.Task[Reading | None] | None"
    ) -> list[Record]:
        """Set the epoch, and return the records that last then; ``reading`` may have begun."""
        read_before = reading is not None
        _logger.info("load begins", extra={"epoch": self._epoch, "read_before": read_before})
        await committer.open()
        _logger.info("epoch set", extra=self._state())
        self._progress.kept(1)
        while True:
            self._tries += 1
            records = await load_records(self._store, reading, committer.end_offset)
            if records is not None:
                break
            _logger.info("load failed", extra={**self._state(), "why": self._store.why})
            reading = None
            await asyncio.sleep(PAUSE)
        self._figures.observe("load", monotonic() - self._began_at)
        _logger.info("loaded", extra={**self._state(), "records": len(records)})
        return records

    def given_up(self) -> None:
        """Tell that the leadership has ended first."""
        _logger.info("load given up", extra={**self._state(), "why": self._store.why})

    def _state(self) -> dict[str, object]:
        seconds = round(monotonic() - self._began_at, 3)
        far = self._progress.far
        return {"epoch": self._epoch, "seconds": seconds, "tries": self._tries, "bytes": far}
