"""Brings the scheduler's journal into the store, batch after batch."""

import asyncio
from collections.abc import Callable

from sablemount.control.clock import monotonic, set_within
from sablemount.control.commit import Committer
from sablemount.control.figures import Figures
from sablemount.jobs.journal import Batch
from sablemount.jobs.scheduler import JobScheduler

__all__ = ["CommitLoop"]

CONFIRM_INTERVAL = 0.5
"""Seconds after which the store is asked to confirm the leadership when there is nothing to add."""
COMMIT_PAUSE = 0.015
"""Seconds between two batches: a call of the store costs, and 15 ms are little beside a task."""
PIPELINE_AFTER = 0.04
"""Seconds that a batch waits for the answer to the one before."""
PIPELINE_DEPTH = 2
"""Appends in flight at most: the store takes them in turn, so that more only wait there, and what
comes meanwhile goes together with the next one."""
PIPELINE_POLL = 0.01
"""Seconds between looks at whether the next batch may be sent."""


class CommitLoop:
    """Appends what is pending.

    ``on_durable`` is called each time the store has taken something, with the local time at which
    the oldest of it was sent.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        committer: Committer,
        figures: Figures,
        on_durable: Callable[[float], None],
        keep: Callable[["asyncio.Task[None]"], None],
    ) -> None:
        self._scheduler = scheduler
        self._committer = committer
        self._figures = figures
        self._on_durable = on_durable
        self._keep = keep
        self._wanted = asyncio.Event()
        self._waiting: list[asyncio.Future[None]] = []

    def want(self) -> None:
        """Have the next batch appended, or the leadership confirmed if nothing is pending."""
        self._wanted.set()

    def noted(self) -> "asyncio.Future[None]":
        """Return a future that is done once all that is to last by now is in the store."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        self.want()
        return future

    def stuck(self) -> bool:
        """Tell whether the store has not answered for some time, so that no new work is taken."""
        return self._committer.silent()

    def busy(self) -> bool:
        """Tell whether something is being appended or somebody waits for that."""
        return bool(self._waiting) or self._committer.in_flight > 0

    async def run(self) -> None:
        """Append without end."""
        while True:
            await set_within(self._wanted, CONFIRM_INTERVAL)
            self._wanted.clear()
            commit = asyncio.get_running_loop().create_task(self._commit())
            self._keep(commit)
            # Behind a slow answer the next batch is sent without waiting for it.
            await asyncio.wait([commit], timeout=PIPELINE_AFTER)
            while self._committer.in_flight >= PIPELINE_DEPTH or self._committer.is_answer_late():
                await asyncio.sleep(PIPELINE_POLL)
            # What comes meanwhile goes together: each call of the store costs.
            await asyncio.sleep(COMMIT_PAUSE)

    async def _commit(self) -> None:
        waiting = self._waiting
        self._waiting = []
        asked_at = self._asked_at()
        try:
            batches = self._pending_batches()
            if batches:
                await self._append_all(batches)
            else:
                await self._committer.append([])
            self._on_durable(asked_at)
            for future in waiting:
                if not future.done():
                    future.set_result(None)
        finally:
            # Without an answer, as when a later leader has written, nobody need wait any longer.
            _cancel(waiting)
        if self._scheduler.journal.pending():
            self.want()

    def _asked_at(self) -> float:
        """Return since when the answer that is awaited next may be under way."""
        since = self._committer.oldest_sent_at
        return since if since > 0 else monotonic()

    def _pending_batches(self) -> list[Batch]:
        """Return all that is pending: what was waited for is in the store after these."""
        batches = []
        while self._scheduler.journal.pending():
            batches.append(self._scheduler.next_batch())
        return batches

    async def _append_all(self, batches: list[Batch]) -> None:
        """Append batches in their order, which is that in which their appends begin."""
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
        self._figures.observe("append", monotonic() - sent_at)
        self._figures.count("records", by=len(batch.records))
        self._scheduler.now()
        self._scheduler.durable(batch)

    def close(self) -> None:
        """Let nobody wait any more."""
        _cancel(self._waiting)


def _cancel(waiting: list[asyncio.Future[None]]) -> None:
    for future in waiting:
        if not future.done():
            future.cancel()
