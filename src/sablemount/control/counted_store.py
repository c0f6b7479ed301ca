"""A store wrapper that counts calls by topic and outcome."""

from sablemount.control.clock import monotonic
from sablemount.control.figures import Metrics
from sablemount.control.progress import TransferProgress
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
    """Forwards calls to a store and counts them.

    Calls without an answer are counted by their reason. Only the duration of lists is observed:
    reads wait for records, and ``CommitLoop`` observes the leader's appends.
    """

    def __init__(self, store: Store, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        """Append all records or none; with ``at``, only if the topic ends at that offset."""
        result = await self._store.append(topic, records, timeout, producer, at)
        self._count("append", topic, result)
        return result

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        """Return the newest record of each key that follows ``after``."""
        began = monotonic()
        result = await self._store.newest(topic, after, timeout, progress)
        self._metrics.observe(f"store_page_{topic.value}", monotonic() - began)
        self._count("page", topic, result)
        return result

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        """Return the records that follow an offset, waiting up to ``wait`` seconds for one."""
        result = await self._store.read(topic, offset, wait, progress)
        self._count("read", topic, result)
        return result

    def _count(self, call: str, topic: Topic, result: object) -> None:
        outcome = ANSWERED
        if isinstance(result, Unavailable):
            # The text after the colon is specific to one answer; as a label it would be unbounded.
            outcome = result.reason.partition(":")[0]
        self._metrics.count(f"store_{call}_{topic.value}", outcome)
