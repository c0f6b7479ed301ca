"""What lasts, read before a leadership begins and brought up to date once its epoch is set.

In a slow store the pages take longer than all else of a change of leader; what a former leader
appends after they were read is little, and is read by its offsets.
"""

import asyncio
import logging
from functools import partial

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.hedge import hedged
from sablemount.control.pages import read_newest
from sablemount.control.progress import Progress
from sablemount.control.store import Records, Store, Topic, Unavailable
from sablemount.jobs.records import Record

__all__ = ["Preload", "Reading", "load_records"]

INTERVAL = 0.4
"""Seconds without a part of a page, or of what follows, after which it is asked for again."""
LIMIT = 4.0
"""Seconds after which a page, or what follows, is given up if nothing of it comes."""
LONGEST = 30.0
"""Seconds that what follows may take in all."""
FRESH = 3.0
"""Seconds after they were read for which pages are worth bringing up to date: a change of leader in
a slow store. How long they took to read counts not: it grows with what lasts."""


_logger = logging.getLogger("sablemount.control.preload")


class Reading(msgspec.Struct, frozen=True):
    """The newest record of each key, and the offset from where to read on."""

    records: list[Record]
    end: int


class Preload:
    """Reads the newest records while a claim is under way; made anew when they have aged."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._read_at = -FRESH
        """When the reading was done (local time)."""
        self._reading: asyncio.Task[Reading | None] | None = None

    def begin(self) -> "asyncio.Task[Reading | None]":
        """Begin to read, unless that is under way or was done of late; return the reading."""
        reading = self._fresh()
        if reading is None:
            reading = asyncio.get_running_loop().create_task(_newest(self._store))
            reading.add_done_callback(self._done)
            self._reading = reading
        return reading

    def take(self) -> "asyncio.Task[Reading | None] | None":
        """Return the reading that is under way or fresh, and forget it; ``None`` without one."""
        reading = self._fresh()
        self._reading = None
        return reading

    def _done(self, reading: "asyncio.Task[Reading | None]") -> None:
        if reading is self._reading:
            self._read_at = monotonic()

    def _fresh(self) -> "asyncio.Task[Reading | None] | None":
        reading = self._reading
        if reading is None or not reading.done():
            return reading
        failed = reading.cancelled() or reading.exception() is not None or reading.result() is None
        return None if failed or monotonic() - self._read_at >= FRESH else reading


async def load_records(
    store: Store,
    reading: "asyncio.Task[Reading | None] | None",
    end: int | None,
) -> list[Record] | None:
    """Return the newest records up to an end after which nobody else writes, if it is known.

    ``reading`` may have begun before. ``None`` if the store does not answer.
    """
    read = await reading if reading is not None else None
    if read is not None and end is not None:
        newest = {record.key: record for record in read.records}
        if await _catch_up(store, newest, read.end, end):
            return list(newest.values())
    whole = await _newest(store)
    return None if whole is None else whole.records


async def _newest(store: Store) -> Reading | None:
    loaded = await read_newest(store, Topic.JOBS, INTERVAL, LIMIT)
    if isinstance(loaded, Unavailable):
        extra = {"why": loaded.reason, "received": loaded.received}
        _logger.info("records not read", extra=extra)
        return None
    items, end = loaded
    return Reading([item.record for item in items], end)


async def _catch_up(store: Store, newest: dict[str, Record], offset: int, end: int) -> bool:
    """Apply what follows an offset up to an end; return whether all of it could be read."""
    while offset < end:
        progress = Progress()
        reading = partial(_read, store, offset, progress)
        tail = await hedged(reading, INTERVAL, LIMIT, progress, LONGEST)
        if tail is None or not tail.records:
            return False
        for record in tail.records:
            if record.value:
                newest[record.key] = record
            else:
                newest.pop(record.key, None)
        offset = tail.end
    return True


async def _read(store: Store, offset: int, progress: Progress) -> Records | None:
    result = await store.read(Topic.JOBS, offset, 0.0, progress)
    return result if isinstance(result, Records) else None
