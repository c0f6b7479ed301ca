"""A store whose calls are counted: by topic and by what became of them."""

from sablemount.control.clock import monotonic
from sablemount.control.figures import Figures
from sablemount.control.progress import Progress
from sablemount.control.store import (
    AppendResult,
    Page,
    Producer,
    ReadResult,
    Store,
    Topic,
    Unavailable,
)
from sablemount.jobs.records import Record

__all__ = ["CountedStore"]

ANSWERED = "answered"


class CountedStore:
    """Passes calls on to a store, and enters each into the figures.

    Calls without an answer are counted by their reason. Reads wait for records, so that only
    the lists and the appends have their times entered.
    """

    def __init__(self, store: Store, figures: Figures) -> None:
        self._store = store
        self._figures = figures

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        """Append records, all or none; with ``at``, only if the topic ends there."""
        result = await self._store.append(topic, records, timeout, producer, at)
        self._count("append", topic, result)
        return result

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: Progress | None = None
    ) -> Page | Unavailable:
        """Return the newest records of the keys that follow ``after``."""
        began = monotonic()
        result = await self._store.newest(topic, after, timeout, progress)
        self._figures.observe(f"store_page_{topic.value}", monotonic() - began)
        self._count("page", topic, result)
        return result

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: Progress | None = None
    ) -> ReadResult:
        """Return what follows an offset, waiting up to some seconds for a record."""
        result = await self._store.read(topic, offset, wait, progress)
        self._count("read", topic, result)
        return result

    def _count(self, call: str, topic: Topic, result: object) -> None:
        outcome = ANSWERED
        if isinstance(result, Unavailable):
            # What follows the colon differs from answer to answer.
            outcome = result.reason.partition(":")[0]
        self._figures.count(f"store_{call}_{topic.value}", outcome)
