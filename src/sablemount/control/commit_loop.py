"""Writes the scheduler's journal to the store in batches."""

import asyncio
from collections.abc import Callable

from sablemount.control.clock import monotonic, wait_for_event
from sablemount.control.commit import Committer
from sablemount.control.figures import Metrics
from sablemount.jobs.journal import Batch
from sablemount.jobs.scheduler import JobScheduler

__all__ = ["CommitLoop"]

CONFIRM_INTERVAL_S = 0.5
"""Interval at which the store is asked to confirm the leadership if nothing is to be appended."""
COMMIT_PAUSE_S = 0.015
"""Pause between two batches, which limits the calls to the store; 15 ms are short for a task."""
PIPELINE_DELAY_S = 0.04
"""How long a batch waits for the answer to the preceding one."""
MAX_IN_FLIGHT = 2
"""Maximum number of appends in flight: the store processes them serially, so further ones would
only queue there. Records that arrive in the meantime are combined into the next batch."""
POLL_INTERVAL_S = 0.01
"""Interval of checking whether the next batch may be sent."""


class CommitLoop:
    """Appends pending journal records to the store.

    ``on_durable`` is called after each completed commit with the local time at which the oldest
    unanswered append was sent. ``keep`` holds a reference to a task that runs in the background.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        committer: Committer,
        metrics: Metrics,
        on_durable: Callable[[float], None],
        keep: Callable[["asyncio.Task[None]"], None],
    ) -> None:
        self._scheduler = scheduler
        self._committer = committer
        self._metrics = metrics
        self._on_durable = on_durable
        self._keep = keep
        self._requested = asyncio.Event()
        self._waiters: list[asyncio.Future[None]] = []

    def request_commit(self) -> None:
        """Request a commit: append pending records, or confirm the leadership if there are none."""
        self._requested.set()

    def when_recorded(self) -> "asyncio.Future[None]":
        """Return a future that is done once all records pending now are stored."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self.request_commit()
        return future

    def is_store_silent(self) -> bool:
        """Return whether the store is silent, so that no new work can be accepted."""
        return self._committer.is_silent()

    def is_busy(self) -> bool:
        """Return whether an append is in flight or awaited."""
        return bool(self._waiters) or self._committer.in_flight > 0

    async def run(self) -> None:
        """Commit whenever requested, until cancelled."""
        while True:
            await wait_for_event(self._requested, CONFIRM_INTERVAL_S)
            self._requested.clear()
            commit = asyncio.get_running_loop().create_task(self._commit())
            self._keep(commit)
            # If the answer is slow, the next batch is sent without waiting for it.
            await asyncio.wait([commit], timeout=PIPELINE_DELAY_S)
            while self._committer.in_flight >= MAX_IN_FLIGHT or self._committer.is_answer_late():
                await asyncio.sleep(POLL_INTERVAL_S)
            # Combine the records that arrive in the meantime, to limit the calls to the store.
            await asyncio.sleep(COMMIT_PAUSE_S)

    async def _commit(self) -> None:
        waiters = self._waiters
        self._waiters = []
        earliest_at = self._earliest_answer_at()
        try:
            batches = self._pending_batches()
            if batches:
                await self._append_all(batches)
            else:
                await self._committer.append([])
            self._on_durable(earliest_at)
            for future in waiters:
                if not future.done():
                    future.set_result(None)
        finally:
            # On failure, such as fencing by a later leader, the waiters are cancelled.
            _cancel(waiters)
        if self._scheduler.journal.has_pending():
            self.request_commit()

    def _earliest_answer_at(self) -> float:
        """Return the earliest time at which the next answer may have been produced."""
        sent_at = self._committer.oldest_sent_at
        return sent_at if sent_at > 0 else monotonic()

    def _pending_batches(self) -> list[Batch]:
        """Return all pending records as batches; once these are stored, the waiters can go on."""
        batches = []
        while self._scheduler.journal.has_pending():
            batches.append(self._scheduler.next_batch())
        return batches

    async def _append_all(self, batches: list[Batch]) -> None:
        """Append batches concurrently; the order of their tasks sets their sequence numbers."""
        loop = asyncio.get_running_loop()
        appends = [loop.create_task(self._append(batch)) for batch in batches]
        try:
            await asyncio.gather(*appends)
        finally:
            for append in appends:
                append.cancel()

    async def _append(self, batch: Batch) -> None:
        sent_at = monotonic()
        await self._committer.append(batch.records)
        self._metrics.observe("append", monotonic() - sent_at)
        self._metrics.count("records", by=len(batch.records))
        self._scheduler.update_time()
        self._scheduler.batch_stored(batch)

    def close(self) -> None:
        """Cancel all waiters."""
        _cancel(self._waiters)


def _cancel(waiters: list[asyncio.Future[None]]) -> None:
    for future in waiters:
        if not future.done():
            future.cancel()
