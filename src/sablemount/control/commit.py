"""Appends the leader's batches, one at a time, until each has a definite answer."""

import asyncio
import logging
import random
from typing import Any

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
TRY_TIMEOUT = 2.0
"""Seconds that one try waits for its answer: the store refuses what would wait longer."""
FIRST_INTERVAL = 0.15
"""Seconds after which an append is sent again at the earliest: 40 times a usual answer's time."""
MAX_INTERVAL = 1.0
"""Seconds between two tries at most."""
FIRST_MAX_INTERVAL = 0.35
"""The same for the append that all others wait for: the end of an outage is seen by it."""
SILENT_AFTER = 0.6
"""Seconds without any answer after which the store counts as silent, and not as slow. A store that
is 100 times slower than usual (4 ms) still answers one append after the other in less."""
UNUSUAL_FACTOR = 3.0
UNUSUAL_LEAST = 0.1
"""An answer is unusually late after this many times the usual time, and these seconds at least: a
second one in flight then tells no more, and what is in it could not be taken back."""
INTERVAL_FACTOR = 4.0
"""How many times the usual time of an answer is waited for before an append is sent once more.

The former call goes on: a slow store answers it, and what is sent twice is done once."""
MAX_TRIES_AT_ONCE = 2
"""Tries of one append in flight: the store takes them in turn, so that more make it slower."""
SILENT_TRIES_AT_ONCE = 6
"""The same for the append that all others wait for, while the store is silent."""
LEAST_JITTER = 0.8
"""Least share of an interval that is waited for, drawn anew each time."""
MAX_PAUSE = 0.2
"""Seconds after a refusal until the next try at most."""
SMOOTHING = 0.2
"""Share of the newest answer's time in the usual one."""

_logger = logging.getLogger("sablemount.control.commit")


class LostLeadership(Exception):
    """A later leader has written."""

    def __init__(self, epoch: int) -> None:
        super().__init__(f"fenced by epoch {epoch}")
        self.epoch = epoch


class Committer:
    """Writes under one epoch; a few appends may be on their way at once.

    The store takes them in the order of their sequence numbers, so that one that is done tells that
    all earlier ones are. ``good_at`` is when the store last took something (local time).
    """

    def __init__(self, store: Store, epoch: int, rng: random.Random) -> None:
        self._store = store
        self._epoch = epoch
        self._rng = rng
        self._sequence = 0
        self._usual = 0.02
        self._open: list[_Open] = []
        self.good_at = -1e9
        self.end: int | None = None
        """Where the topic ended after the newest append that was answered."""

    @property
    def waiting_since(self) -> float:
        """Return when the oldest append without an answer was sent; before all times if none."""
        return min((entry.since for entry in self._open), default=-1e9)

    def silent(self) -> bool:
        """Tell whether the store has answered nothing for some time though it was asked."""
        return self.unanswered_for() > SILENT_AFTER

    def unusual(self) -> bool:
        """Tell whether the next answer is late beside those before."""
        return self.unanswered_for() > max(UNUSUAL_LEAST, UNUSUAL_FACTOR * self._usual)

    def unanswered_for(self) -> float:
        """Return for how many seconds an answer has been due and none has come."""
        since = self.waiting_since
        return monotonic() - max(since, self.good_at) if since > 0 else 0.0

    @property
    def in_flight(self) -> int:
        """Return how many appends have no answer yet."""
        return len(self._open)

    async def open(self) -> None:
        """Set the epoch, so that no former leader writes any more."""
        await self.confirm()

    async def confirm(self) -> None:
        """Make sure that no later leader has written; nothing else may be in flight."""
        await self._settle([], self._sequence)

    async def append(self, records: list[Record]) -> None:
        """Append one batch; returns once it is in the store."""
        if not records:
            # An append without records uses up no sequence number.
            await self._settled()
            return
        sequence = self._sequence
        self._sequence += 1
        await self._settle(records, sequence)

    async def _settled(self) -> None:
        """Wait until what is in flight is in the store, or ask the store if nothing is."""
        waiting = [entry.done for entry in self._open]
        if waiting:
            await asyncio.gather(*waiting)
        else:
            await self.confirm()

    async def _settle(self, records: list[Record], sequence: int) -> None:
        """Send the same append until it is known to be done; raises ``LostLeadership``."""
        entry = _Open(sequence, monotonic(), asyncio.get_running_loop().create_future())
        self._open.append(entry)
        try:
            tries = await self._send(records, sequence, entry.done)
            self._good(sequence, entry, tries)
        finally:
            self._open.remove(entry)
            if not entry.done.done():
                entry.done.cancel()

    async def _send(
        self, records: list[Record], sequence: int, done: "asyncio.Future[None]"
    ) -> int:
        """Return after how many tries the append is done."""
        interval = self._patience()
        producer = Producer(PRODUCER, self._epoch, sequence)
        pending: set[asyncio.Future[Any]] = {done}
        tries = 0
        try:
            while not done.done():
                if self._may_send(sequence, len(pending) - 1, interval):
                    tries += 1
                    pending.add(asyncio.ensure_future(self._try(records, producer)))
                pause = interval * self._rng.uniform(LEAST_JITTER, 1.0)
                ended, pending = await asyncio.wait(
                    pending, timeout=pause, return_when=asyncio.FIRST_COMPLETED
                )
                if done in ended or any(self._done(call.result(), sequence) for call in ended):
                    break
                if any(isinstance(call.result(), WrongSequence) for call in ended):
                    await self._predecessor(sequence, MAX_INTERVAL)
                    continue
                if ended:
                    # Refused at once: as if its time had gone by.
                    await asyncio.sleep(min(pause, MAX_PAUSE))
                longer = min(self._max_interval(sequence), interval * 2)
                interval = max(interval, longer, self._patience())
        finally:
            for call in pending - {done}:
                call.cancel()
        return tries

    def _patience(self) -> float:
        """Return the seconds after which an answer is overdue, by those before."""
        return max(FIRST_INTERVAL, INTERVAL_FACTOR * self._usual)

    def _is_first(self, sequence: int) -> bool:
        return all(entry.sequence >= sequence for entry in self._open)

    def _may_send(self, sequence: int, in_flight: int, interval: float) -> bool:
        """Tell whether an append may be sent, or sent again while tries of it are in flight.

        Only the oldest append is sent again: the store takes them in turn, so that its answer
        settles what the others wait for. While the store answers others it is only slow.
        """
        if not in_flight:
            return True
        if not self._is_first(sequence):
            return False
        if self.silent():
            return in_flight < SILENT_TRIES_AT_ONCE
        overdue = self.unanswered_for() > interval * LEAST_JITTER
        return overdue and in_flight < MAX_TRIES_AT_ONCE

    def _max_interval(self, sequence: int) -> float:
        return FIRST_MAX_INTERVAL if self._is_first(sequence) else MAX_INTERVAL

    async def _predecessor(self, sequence: int, timeout: float) -> None:
        """Wait until the append before is done, for what came too early can then be sent at once.

        With a fixed pause, one late append would keep all later ones late: each is sent while the
        one before it pauses, and comes too early again.
        """
        before = [entry.done for entry in self._open if entry.sequence < sequence]
        if before:
            await asyncio.wait(before[-1:], timeout=timeout)

    async def _try(self, records: list[Record], producer: Producer) -> AppendResult:
        sent_at = monotonic()
        result = await self._store.append(Topic.JOBS, records, TRY_TIMEOUT, producer)
        if isinstance(result, Appended):
            self.end = result.end if self.end is None else max(self.end, result.end)
            self._usual += SMOOTHING * (monotonic() - sent_at - self._usual)
        return result

    def _done(self, result: AppendResult, sequence: int) -> bool:
        if isinstance(result, Fenced):
            raise LostLeadership(result.epoch)
        if isinstance(result, WrongSequence):
            # Later: an earlier attempt was carried out, and its answer is not remembered any more.
            # Sooner: an earlier append has not arrived yet; without one, the count is broken.
            first = min(entry.sequence for entry in self._open)
            if result.wanted < sequence and first == sequence:
                raise LostLeadership(self._epoch)
            return result.wanted > sequence
        return isinstance(result, Appended)

    def _good(self, sequence: int, entry: "_Open", tries: int) -> None:
        now = monotonic()
        if tries > 1:
            seconds = round(now - entry.since, 3)
            _logger.info("append settled", extra={"tries": tries, "seconds": seconds})
        self.good_at = now
        for other in self._open:
            # One without records has the number that the next one with records takes too.
            if other.sequence < sequence and not other.done.done():
                other.done.set_result(None)
        if not entry.done.done():
            entry.done.set_result(None)


class _Open:
    """An append without an answer: when it was first sent, and what is set once it is done."""

    __slots__ = ("done", "sequence", "since")

    def __init__(self, sequence: int, since: float, done: "asyncio.Future[None]") -> None:
        self.sequence = sequence
        self.since = since
        self.done = done
