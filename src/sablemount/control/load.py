"""Loads the persistent state at the start of a leadership, and tracks the load's progress."""

import asyncio
import logging

from sablemount.control.clock import monotonic
from sablemount.control.commit import Committer
from sablemount.control.figures import Metrics
from sablemount.control.pages import MAX_KEY
from sablemount.control.preload import JobsSnapshot, load_records
from sablemount.control.progress import TransferProgress
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

RETRY_PAUSE_S = 0.1
"""Seconds from a failed attempt until the next one."""

_logger = logging.getLogger("sablemount.control.leader")


class LoadProgress:
    """High-water mark of a load: the bytes read by the attempt that came furthest.

    Bytes that are read again are no progress, so that a load that fails at the same place each time
    counts as stalled.
    """

    def __init__(self) -> None:
        self.high_water_bytes = 0
        self._complete_bytes = 0
        self._partial_bytes = 0
        """Bytes received of unfinished answers: the largest count of any one answer."""

    def start_leadership(self) -> None:
        """Start a leadership at what the preload has read."""
        self.high_water_bytes = self._complete_bytes + self._partial_bytes

    def start_attempt(self) -> None:
        """Start an attempt, which has read nothing yet."""
        self._complete_bytes = self._partial_bytes = 0

    def on_partial_answer(self, size: int) -> None:
        """Record that ``size`` bytes of an unfinished answer have been received."""
        self._partial_bytes = max(self._partial_bytes, size)
        self._update_high_water()

    def on_complete_answer(self, size: int) -> None:
        """Record a complete answer of ``size`` bytes."""
        self._complete_bytes += max(size, self._partial_bytes)
        self._partial_bytes = 0
        self._update_high_water()

    def _update_high_water(self) -> None:
        self.high_water_bytes = max(
            self.high_water_bytes, self._complete_bytes + self._partial_bytes
        )


class _AnswerProgress(TransferProgress):
    """Progress of one answer, which updates the load's progress and that of the caller."""

    __slots__ = ("_asked_by", "_load")

    def __init__(self, load: LoadProgress, asked_by: TransferProgress | None) -> None:
        super().__init__()
        self._load = load
        self._asked_by = asked_by

    def add_received(self, size: int) -> None:
        """Record that ``size`` further bytes were received."""
        super().add_received(size)
        self._load.on_partial_answer(self.received)
        if self._asked_by is not None:
            self._asked_by.add_received(size)


class LoadStore:
    """The store, with the progress of a load's reads recorded.

    ``last_error`` is the reason why a read last failed.
    """

    def __init__(self, store: Store, progress: LoadProgress) -> None:
        self._store = store
        self._progress = progress
        self.last_error = ""

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
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        """Read a page and record its progress."""
        if after == MAX_KEY:
            return await self._store.newest(topic, after, timeout, progress)
        if not after:
            self._progress.start_attempt()
        answer_progress = _AnswerProgress(self._progress, progress)
        page = await self._store.newest(topic, after, timeout, answer_progress)
        if isinstance(page, Unavailable):
            self.last_error = page.reason
        else:
            self._progress.on_complete_answer(_size([item.record for item in page.items]))
        return page

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        """Read the records after an offset and record their progress."""
        answer_progress = _AnswerProgress(self._progress, progress)
        result = await self._store.read(topic, offset, wait, answer_progress)
        if isinstance(result, Records):
            self._progress.on_complete_answer(_size(result.records))
        else:
            self.last_error = (
                result.reason if isinstance(result, Unavailable) else "the records are gone"
            )
        return result


def _size(records: list[Record]) -> int:
    return sum(len(record.key) + len(record.value) for record in records)


class Load:
    """Loads the state for one leadership, in as many attempts as necessary."""

    def __init__(self, epoch: int, store: Store, progress: LoadProgress, metrics: Metrics) -> None:
        self._epoch = epoch
        self._progress = progress
        self._store = LoadStore(store, progress)
        self._metrics = metrics
        self._began_at = monotonic()
        self._attempts = 0

    async def run(
        self, committer: Committer, preload_task: "asyncio.Task[JobsSnapshot | None] | None"
    ) -> list[Record]:
        """Set the epoch and return the records stored at that point.

        ``preload_task`` is a read that may have begun before the leadership.
        """
        read_before = preload_task is not None
        _logger.info("load started", extra={"epoch": self._epoch, "read_before": read_before})
        await committer.open()
        _logger.info("epoch set", extra=self._state())
        self._progress.on_complete_answer(1)
        while True:
            self._attempts += 1
            records = await load_records(self._store, preload_task, committer.end_offset)
            if records is not None:
                break
            _logger.info("load failed", extra={**self._state(), "why": self._store.last_error})
            preload_task = None
            await asyncio.sleep(RETRY_PAUSE_S)
        self._metrics.observe("load", monotonic() - self._began_at)
        _logger.info("loaded", extra={**self._state(), "records": len(records)})
        return records

    def log_abandoned(self) -> None:
        """Log that the leadership has ended before the load was complete."""
        _logger.info("load abandoned", extra={**self._state(), "why": self._store.last_error})

    def _state(self) -> dict[str, object]:
        seconds = round(monotonic() - self._began_at, 3)
        size = self._progress.high_water_bytes
        return {"epoch": self._epoch, "seconds": seconds, "tries": self._attempts, "bytes": size}
