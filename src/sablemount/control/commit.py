"""Appends the leader's batches, one at a time, until each has a definite answer."""

import asyncio
import logging
import random

from sablemount.control.clock import monotonic
from sablemount.control.store import (
    Appended,
    AppendResult,
    Fenced,
    Producer,
    Store,
    Topic,
    WrongSequence,
)
from sablemount.jobs.records import Record

__all__ = ["Committer", "LostLeadership"]

PRODUCER = "leader"
FIRST_TIMEOUT = 0.15
MAX_TIMEOUT = 1.5
FIRST_PAUSE = 0.03
MAX_PAUSE = 0.2
TIMEOUT_FACTOR = 6.0
"""How many times the usual time of an answer is waited for before an append is sent again."""
SMOOTHING = 0.2

_logger = logging.getLogger("sablemount.control.commit")


class LostLeadership(Exception):
    """A later leader has written."""

    def __init__(self, epoch: int) -> None:
        super().__init__(f"fenced by epoch {epoch}")
        self.epoch = epoch


class Committer:
    """Writes under one epoch. ``good_at`` is when the store last took something (local time)."""

    def __init__(self, store: Store, epoch: int, rng: random.Random) -> None:
        self._store = store
        self._epoch = epoch
        self._rng = rng
        self._sequence = 0
        self._usual = 0.02
        self.good_at = -1e9
        self.waiting_since = -1e9
        """When the append that has no answer yet was first sent; before all times if none."""

    async def open(self) -> None:
        """Set the epoch, so that no former leader writes any more."""
        await self._settle([])

    async def confirm(self) -> None:
        """Make sure that no later leader has written."""
        await self._settle([])

    async def append(self, records: list[Record]) -> None:
        """Append one batch; returns once it is in the store."""
        await self._settle(records)
        if records:
            # An append without records uses up no sequence number.
            self._sequence += 1

    async def _settle(self, records: list[Record]) -> None:
        """Send the same append until it is known to be done; raises ``LostLeadership``."""
        timeout = max(FIRST_TIMEOUT, TIMEOUT_FACTOR * self._usual)
        pause = FIRST_PAUSE
        producer = Producer(PRODUCER, self._epoch, self._sequence)
        self.waiting_since = monotonic()
        tries = 0
        while True:
            tries += 1
            sent_at = monotonic()
            result = await self._store.append(Topic.JOBS, records, timeout, producer)
            if self._done(result):
                self._good(sent_at, tries)
                return
            timeout = min(MAX_TIMEOUT, timeout * 2)
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            pause = min(MAX_PAUSE, pause * 2)

    def _done(self, result: AppendResult) -> bool:
        if isinstance(result, Fenced):
            raise LostLeadership(result.epoch)
        if isinstance(result, WrongSequence):
            # An earlier attempt was carried out, and its answer is not remembered any more.
            if result.wanted < self._sequence:
                raise LostLeadership(self._epoch)
            return result.wanted > self._sequence
        return isinstance(result, Appended)

    def _good(self, sent_at: float, tries: int) -> None:
        now = monotonic()
        if tries > 1:
            seconds = round(now - self.waiting_since, 3)
            _logger.info("append settled", extra={"tries": tries, "seconds": seconds})
        self._usual += SMOOTHING * (now - sent_at - self._usual)
        self.good_at = now
        self.waiting_since = -1e9
