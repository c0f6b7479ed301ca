"""Reads the persistent state before a leadership begins, and completes it once the epoch is set.

In a slow store the pages take longer than all other steps of a change of leader. What a previous
leader appends after they were read is little, and is read by offset.
"""

import asyncio
import logging
from functools import partial

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.hedge import hedged
from sablemount.control.pages import read_newest
from sablemount.control.progress import TransferProgress
from sablemount.control.store import Records, Store, Topic, Unavailable
from sablemount.jobs.records import Record

__all__ = ["Preload", "JobsSnapshot", "load_records", "read_result"]

RETRY_INTERVAL_S = 0.4
"""Seconds without data after which a page, or the tail after the snapshot, is requested again."""
STALL_TIMEOUT_S = 4.0
"""Seconds without any data after which the read of a page, or of the tail, is abandoned."""
TAIL_TIMEOUT_S = 30.0
"""Seconds that the read of the tail may take in total."""
MAX_PRELOAD_AGE_S = 3.0
"""Seconds after their read for which pages are worth completing: a change of leader in a slow
store. The time that the read itself took is not counted, as it grows with the persistent state."""


_logger = logging.getLogger("sablemount.control.preload")


class JobsSnapshot(msgspec.Struct, frozen=True):
    """The newest record of each key, and the offset at which the tail begins."""

    records: list[Record]
    end: int


class Preload:
    """Reads the newest records while a claim is prepared, and again once they are too old."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._read_at = -MAX_PRELOAD_AGE_S
        """When the read finished (local time)."""
        self._task: asyncio.Task[JobsSnapshot | None] | None = None

    def start(self) -> "asyncio.Task[JobsSnapshot | None]":
        """Start to read, unless a read is running or recent; return its task."""
        preload_task = self._usable_task()
        if preload_task is None:
            preload_task = asyncio.get_running_loop().create_task(_read_snapshot(self._store))
            preload_task.add_done_callback(self._on_done)
            self._task = preload_task
        return preload_task

    def take(self) -> "asyncio.Task[JobsSnapshot | None] | None":
        """Return the task of a running or recent read and clear it; ``None`` if there is none."""
        preload_task = self._usable_task()
        self._task = None
        return preload_task

    def _on_done(self, preload_task: "asyncio.Task[JobsSnapshot | None]") -> None:
        error = None if preload_task.cancelled() else preload_task.exception()
        if error is not None:
            _logger.error("internal error", exc_info=error)
        if preload_task is self._task:
            self._read_at = monotonic()

    def _usable_task(self) -> "asyncio.Task[JobsSnapshot | None] | None":
        preload_task = self._task
        if preload_task is None or not preload_task.done():
            return preload_task
        failed = read_result(preload_task) is None
        return None if failed or monotonic() - self._read_at >= MAX_PRELOAD_AGE_S else preload_task


def read_result(preload_task: "asyncio.Task[JobsSnapshot | None]") -> JobsSnapshot | None:
    """Return what a read that is done has returned; ``None`` if it failed or was cancelled.

    A leadership that takes a read cancels it if it ends before.
    """
    if preload_task.cancelled() or preload_task.exception() is not None:
        return None
    return preload_task.result()


async def load_records(
    store: Store,
    preload_task: "asyncio.Task[JobsSnapshot | None] | None",
    end: int | None,
) -> list[Record] | None:
    """Return the newest records, up to ``end`` if it is known; no other process writes after it.

    ``preload_task`` is a read that may have begun before. Return ``None`` if the store does not
    answer.
    """
    snapshot = await _finish(preload_task) if preload_task is not None else None
    if snapshot is not None and end is not None:
        newest = {record.key: record for record in snapshot.records}
        if await _catch_up(store, newest, snapshot.end, end):
            return list(newest.values())
    complete = await _read_snapshot(store)
    return None if complete is None else complete.records


async def _finish(preload_task: "asyncio.Task[JobsSnapshot | None]") -> JobsSnapshot | None:
    """Wait for a read, which is cancelled if the wait is; return ``None`` if it fails."""
    try:
        await asyncio.wait([preload_task])
    finally:
        preload_task.cancel()
    return read_result(preload_task)


async def _read_snapshot(store: Store) -> JobsSnapshot | None:
    loaded = await read_newest(store, Topic.JOBS, RETRY_INTERVAL_S, STALL_TIMEOUT_S)
    if isinstance(loaded, Unavailable):
        extra = {"why": loaded.reason, "received": loaded.received}
        _logger.info("reading job records failed", extra=extra)
        return None
    items, end = loaded
    return JobsSnapshot([item.record for item in items], end)


async def _catch_up(store: Store, newest: dict[str, Record], offset: int, end: int) -> bool:
    """Apply the records from an offset up to ``end``; return whether all of them could be read."""
    while offset < end:
        progress = TransferProgress()
        attempt = partial(_read_tail, store, offset, progress)
        tail = await hedged(attempt, RETRY_INTERVAL_S, STALL_TIMEOUT_S, progress, TAIL_TIMEOUT_S)
        if tail is None or not tail.records:
            return False
        for record in tail.records:
            if record.value:
                newest[record.key] = record
            else:
                newest.pop(record.key, None)
        offset = tail.end
    return True


async def _read_tail(store: Store, offset: int, progress: TransferProgress) -> Records | None:
    result = await store.read(Topic.JOBS, offset, 0.0, progress)
    return result if isinstance(result, Records) else None
