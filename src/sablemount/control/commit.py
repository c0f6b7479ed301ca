"""Appends the leader's batches, a few at once, until each has a definite answer."""

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import Any

from sablemount.control.clock import monotonic
from sablemount.control.lost_writes import Answer, LostWrites
from sablemount.control.store import (
    Appended,
    Fenced,
    Producer,
    Store,
    Topic,
    WrongSequence,
)
from sablemount.jobs.records import Record
from sablemount.jobs.sizes import call_size

__all__ = ["Committer", "GivenUp", "LostLeadership"]

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
SLOW_FACTOR = 2.0
"""An answer that is due for less than this many times the usual time is not owed yet. What was sent
to a slow store is due for a while as it gets well: without this, 4 of 33 emulated leaders were
replaced then."""
UNUSUAL_LEAST = 0.1
"""An answer is unusually late after this many times the usual time, and these seconds at least: a
second one in flight then tells no more, and what is in it could not be taken back."""
MAX_TRIES_AT_ONCE = 2
"""Tries of one append in flight: the store takes them in turn, so that more make it slower."""
LOSSY_INTERVAL = 0.03
"""Seconds after which an append is sent again while writes are lost. With every other write lost a
job was accepted in 0.7 s at the median with the longer interval, in 0.1 s with this one."""
LOSSY_TIMEOUT = 0.3
"""Seconds that a try waits for its answer then: 70 times a usual one."""
LOSSY_TRIES_AT_ONCE = 8
"""Tries of one append in flight then."""
GUESSED_TRIES_AT_ONCE = 2
"""The same for the append that all others wait for, as long as only quick reads tell that."""
SILENT_TRIES_AT_ONCE = 6
"""The same for the append that all others wait for, while the store is silent."""
LEAST_JITTER = 0.8
"""Least share of an interval that is waited for, drawn anew each time."""
WORD_DELAY = 1.0
"""Seconds after it was sent up to which an answer counts from when it came. A later one is older
than it looks: orders go on for 1.5 s, and a new leader waits 2.5 s for them to end."""
UPLINK_SHARE = 0.5
"""Share of the own link that appends have at least: answers and orders need the rest."""
MAX_PAUSE = 0.2
"""Seconds after a refusal until the next try at most."""
FIRST_SEQUENCE = 0
BY_ANSWER = "its answer"
BY_NUMBER = "the number that the store wants next"
BY_LATER = "a later append that is done"

_logger = logging.getLogger("sablemount.control.commit")


class LostLeadership(Exception):
    """A later leader has written."""

    def __init__(self, epoch: int) -> None:
        super().__init__(f"fenced by epoch {epoch}")
        self.epoch = epoch


class GivenUp(Exception):
    """An append that was waited for will not be done: the leadership ends."""

    def __init__(self) -> None:
        super().__init__("an append was given up")


class Committer:
    """Writes under one epoch; a few appends may be on their way at once.

    The store takes them in the order of their sequence numbers, so that one that is done tells that
    all earlier ones are. It lets an epoch's records begin at any number, though, so that this holds
    only once the first batch is there. ``good_at`` is when the store last took something (local
    time). ``uplink`` is how many bytes the own link carries a second, 0 without a limit: nothing is
    late, lost or sent again while it may still be on its way there.
    """

    def __init__(self, store: Store, epoch: int, rng: random.Random, uplink: float = 0.0) -> None:
        self._store = store
        self._uplink = uplink
        self._epoch = epoch
        self._rng = rng
        self._sequence = FIRST_SEQUENCE
        self._begun: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        """Done once the first batch is in the store, cancelled once it will not be."""
        self._losses = LostWrites(store)
        self._open: list[_Open] = []
        self._settled_at = -1e9
        """When an append was last known to be done."""
        self.good_at = -1e9
        self.confirmed_at = -1e9
        """When the store last said under this epoch that nobody else led (local time)."""
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
        return self.unanswered_for() > max(UNUSUAL_LEAST, UNUSUAL_FACTOR * self._losses.usual)

    def unanswered_for(self) -> float:
        """Return for how many seconds an answer has been due and none has come."""
        since = self.waiting_since
        if since <= 0:
            return 0.0
        return max(0.0, monotonic() - max(since, self.good_at) - self._on_the_way())

    def _on_the_way(self) -> float:
        """Return the seconds that the link needs for what has no answer."""
        if not self._uplink:
            return 0.0
        return sum(entry.size for entry in self._open) / (UPLINK_SHARE * self._uplink)

    def owed_for(self) -> float:
        """Return for how many seconds the store has owed an answer, as members are told.

        A store that loses writes, or is slow, is there: another leader would have it no better.
        """
        owed = self.unanswered_for()
        slow = owed < SLOW_FACTOR * self._losses.usual
        return 0.0 if slow or self._losses.happen() else owed

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
        if not waiting:
            await self.confirm()
            return
        # Waited for without a hold on them: who gives up must not end them, which would look like
        # batches that are done.
        await asyncio.wait(waiting)
        if any(done.cancelled() for done in waiting):
            raise GivenUp

    async def _settle(self, records: list[Record], sequence: int) -> None:
        """Send the same append until it is known to be done; raises ``LostLeadership``."""
        done = asyncio.get_running_loop().create_future()
        entry = _Open(sequence, monotonic(), done, call_size(records))
        self._open.append(entry)
        try:
            if sequence > FIRST_SEQUENCE:
                await self._begins()
            tries, settled_by = await self._send(records, entry)
            self._tell(entry, tries, settled_by)
            self._good(sequence, entry)
            if records and not self._begun.done():
                self._begun.set_result(None)
        finally:
            self._open.remove(entry)
            if not entry.done.done():
                entry.done.cancel()
                if records and sequence == FIRST_SEQUENCE:
                    self._begun.cancel()

    async def _begins(self) -> None:
        """Wait until the first batch is in the store.

        If a later one came there first, it would be taken as the epoch's beginning, and the first
        one refused for good.
        """
        await asyncio.wait([self._begun])
        if self._begun.cancelled():
            raise GivenUp

    async def _send(self, records: list[Record], entry: "_Open") -> tuple[int, str]:
        """Return after how many tries the append is done, and by what that is known."""
        settled_by = BY_LATER
        interval = self._patience()
        producer = Producer(PRODUCER, self._epoch, entry.sequence)
        tries = _Tries(entry.done, asyncio.ensure_future(self._losses.probe(self._on_the_way)))
        try:
            while not entry.done.done():
                if self._may_send(entry.sequence, tries.in_flight, interval):
                    entry.tried_at = monotonic()
                    tries.add(self._try(records, producer), entry.tried_at)
                if self._losses.happen():
                    interval = self._patience()
                pause = interval * self._rng.uniform(LEAST_JITTER, 1.0)
                answers = await tries.answers(pause)
                if any(self._done(answer, entry.sequence) for answer in answers):
                    self._losses.done(answers, tries.sent_at())
                    taken = any(isinstance(answer.result, Appended) for answer in answers)
                    settled_by = BY_ANSWER if taken else BY_NUMBER
                    break
                if any(isinstance(answer.result, WrongSequence) for answer in answers):
                    await self._too_early(entry.sequence, answers, interval)
                    continue
                if answers:
                    # Refused at once: as if its time had gone by.
                    await asyncio.sleep(min(pause, MAX_PAUSE))
                longest = self._max_interval(entry.sequence) + self._on_the_way()
                longer = min(longest, interval * 2)
                interval = max(interval, longer, self._patience())
        finally:
            tries.cancel()
        return tries.count, settled_by

    def _patience(self) -> float:
        """Return the seconds after which an append is sent again, by the answers before.

        The former call goes on: a slow store answers it, and what is sent twice is done once.
        """
        least = LOSSY_INTERVAL if self._losses.happen() else FIRST_INTERVAL
        return max(least, self._losses.overdue()) + self._on_the_way()

    async def _too_early(self, sequence: int, answers: list[Answer], interval: float) -> None:
        """Wait for the append before, which may be lost: then this one is tried again soon."""
        before = min(self._open, key=lambda entry: entry.sequence)
        if before.sequence < sequence:
            self._losses.too_early(answers, before.tried_at)
        lossy = self._losses.happen()
        await self._predecessor(sequence, interval if lossy else MAX_INTERVAL)

    def _is_first(self, sequence: int) -> bool:
        return all(entry.sequence >= sequence for entry in self._open)

    def _may_send(self, sequence: int, in_flight: int, interval: float) -> bool:
        """Tell whether an append may be sent, or sent again while tries of it are in flight.

        Only the oldest append is sent again: the store takes them in turn, so that its answer
        settles what the others wait for. While the store answers others it is only slow.
        """
        if not in_flight:
            return True
        if self._losses.shown():
            return in_flight < LOSSY_TRIES_AT_ONCE
        if not self._is_first(sequence):
            return False
        if self._losses.happen():
            return in_flight < GUESSED_TRIES_AT_ONCE
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

    async def _try(self, records: list[Record], producer: Producer) -> Answer:
        sent_at = monotonic()
        timeout = TRY_TIMEOUT
        if self._losses.happen():
            timeout = max(LOSSY_TIMEOUT, self._losses.overdue())
        way = self._on_the_way()
        result = await self._store.append(Topic.JOBS, records, timeout + way, producer)
        seconds = max(0.0, monotonic() - sent_at - way)
        if isinstance(result, Appended | WrongSequence):
            self._confirmed(sent_at)
        if isinstance(result, Appended):
            self.end = result.end if self.end is None else max(self.end, result.end)
            self._losses.answered(seconds)
        elif isinstance(result, WrongSequence):
            self._losses.out_of_order(seconds)
        return Answer(result, sent_at, seconds)

    def _confirmed(self, sent_at: float) -> None:
        """Take an answer that is not a fence to what was sent at some time.

        The store may have given it as soon as that was sent.
        """
        word_at = min(monotonic(), sent_at + WORD_DELAY)
        self.confirmed_at = max(self.confirmed_at, word_at)

    def _done(self, answer: Answer, sequence: int) -> bool:
        result = answer.result
        if isinstance(result, Fenced):
            raise LostLeadership(result.epoch)
        if isinstance(result, WrongSequence):
            # Later: an earlier attempt was carried out, and its answer is not remembered any more.
            # Sooner: an earlier append had not arrived yet; if there was none, the count is broken.
            first = min(entry.sequence for entry in self._open)
            settled = first == sequence and answer.sent_at >= self._settled_at
            if result.wanted < sequence and settled:
                raise LostLeadership(self._epoch)
            return result.wanted > sequence
        return isinstance(result, Appended)

    def _tell(self, entry: "_Open", tries: int, settled_by: str) -> None:
        """Log an append that took more than one try, or of which no answer says that it is done."""
        if tries == 1 and settled_by == BY_ANSWER:
            return
        extra = {
            "epoch": self._epoch,
            "sequence": entry.sequence,
            "tries": tries,
            "seconds": round(monotonic() - entry.since, 3),
            "by": settled_by,
        }
        _logger.info("append settled", extra=extra)

    def _good(self, sequence: int, entry: "_Open") -> None:
        self.good_at = self._settled_at = monotonic()
        for other in self._open:
            # One without records has the number that the next one with records takes too.
            if other.sequence < sequence and not other.done.done():
                other.done.set_result(None)
        if not entry.done.done():
            entry.done.set_result(None)


class _Open:
    """An append without an answer: when it was first and last sent, and what its end sets."""

    __slots__ = ("done", "sequence", "since", "size", "tried_at")

    def __init__(
        self, sequence: int, since: float, done: "asyncio.Future[None]", size: int
    ) -> None:
        self.sequence = sequence
        self.size = size
        self.since = self.tried_at = since
        self.done = done


class _Tries:
    """The tries of one append that are on their way, beside what else may end the wait for them."""

    def __init__(self, done: "asyncio.Future[None]", probe: "asyncio.Future[None]") -> None:
        self._done = done
        self._probe = probe
        self._sent: dict[asyncio.Future[Answer], float] = {}
        self.count = 0

    @property
    def in_flight(self) -> int:
        """Return how many have no answer."""
        return len(self._sent)

    def sent_at(self) -> list[float]:
        """Return when those without an answer were sent."""
        return list(self._sent.values())

    def add(self, attempt: Coroutine[Any, Any, Answer], sent_at: float) -> None:
        """Begin a try."""
        self.count += 1
        self._sent[asyncio.ensure_future(attempt)] = sent_at

    async def answers(self, timeout: float) -> list[Answer]:
        """Return the answers that come first, or none if something else ends the wait."""
        waited_for: set[asyncio.Future[Any]] = {self._done, *self._sent}
        if not self._probe.done():
            waited_for.add(self._probe)
        await asyncio.wait(waited_for, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        ended = [call for call in self._sent if call.done()]
        for call in ended:
            del self._sent[call]
        return [call.result() for call in ended]

    def cancel(self) -> None:
        """Give up what is on its way."""
        self._probe.cancel()
        for call in self._sent:
            call.cancel()
