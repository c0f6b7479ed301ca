"""Pipelined appends of the leader's batches, each retried until its outcome is known."""

import asyncio
import logging
import random
from collections.abc import Coroutine
from typing import Any

from sablemount.control.clock import monotonic
from sablemount.control.lost_writes import Answer, LostWriteDetector
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

__all__ = ["Committer", "AppendAbandoned", "LostLeadership"]

PRODUCER = "leader"
ATTEMPT_TIMEOUT_S = 2.0
"""How long one attempt waits for its answer: the store refuses what would wait longer."""
MIN_RETRY_INTERVAL_S = 0.15
"""Shortest interval before an append is retried: 40 times the usual response time."""
MAX_RETRY_INTERVAL_S = 1.0
"""Longest interval between two attempts."""
MAX_OLDEST_RETRY_INTERVAL_S = 0.35
"""Same for the oldest append, which all others wait for: its answer shows the end of an outage."""
SILENT_AFTER_S = 0.6
"""How long the store may answer nothing before it counts as silent rather than slow. A store that
is 100 times slower than usual (4 ms) still answers consecutive appends in less time."""
LATE_FACTOR = 3.0
MIN_REPORTED_FACTOR = 2.0
"""Silence shorter than this many usual response times is not reported to members. While a slow
store recovers, requests sent to it stay overdue for a moment: without this allowance, 4 of 33
simulated leaders were replaced at that point."""
MIN_LATE_S = 0.1
"""An answer is late after ``LATE_FACTOR`` times the usual time, and after this time at least. No
further append is sent then: it would give no new information, and its records could no longer be
withdrawn."""
MAX_ATTEMPTS = 2
"""Attempts of one append in flight: the store processes them serially, so more slow it down."""
LOSSY_RETRY_INTERVAL_S = 0.03
"""Retry interval while the store loses writes. With every other write lost, the median time to
accept a job is 0.1 s with this interval and 0.7 s with ``MIN_RETRY_INTERVAL_S``."""
LOSSY_ATTEMPT_TIMEOUT_S = 0.3
"""Attempt time-out while the store loses writes: 70 times the usual response time."""
LOSSY_MAX_ATTEMPTS = 8
"""Attempts of one append in flight while the store is known to lose writes."""
SUSPECTED_LOSSY_MAX_ATTEMPTS = 2
"""Same for the oldest append while the only evidence of lost writes is a quick read."""
SILENT_MAX_ATTEMPTS = 6
"""Same for the oldest append while the store is silent."""
MIN_JITTER = 0.8
"""Smallest random share of a retry interval that is waited."""
MAX_CONFIRMATION_DELAY_S = 1.0
"""An answer confirms the leadership as of its arrival, but at most this long after its request was
sent: the store may have given a late answer much earlier. Start requests stay valid for 1.5 s, and
a new leader waits 2.5 s for them to expire."""
UPLINK_SHARE = 0.5
"""Share of this machine's uplink that appends are assumed to get at least; replies and requests to
VMs use the rest."""
MAX_REFUSAL_PAUSE_S = 0.2
"""Longest pause between a refusal and the next attempt."""
FIRST_SEQUENCE = 0
SETTLED_BY_ANSWER = "its answer"
SETTLED_BY_NUMBER = "the number that the store wants next"
SETTLED_BY_LATER_APPEND = "a later append that is done"

_logger = logging.getLogger("sablemount.control.commit")


class LostLeadership(Exception):
    """The store has accepted a write of a later leader."""

    def __init__(self, epoch: int) -> None:
        super().__init__(f"fenced by epoch {epoch}")
        self.epoch = epoch


class AppendAbandoned(Exception):
    """An append that was awaited has been abandoned because the leadership ends."""

    def __init__(self) -> None:
        super().__init__("append abandoned: the leadership has ended")


class Committer:
    """Appends batches under one epoch, with a few appends in flight at once.

    The store accepts them in the order of their sequence numbers, so a completed append implies
    that all earlier ones are complete. But the store lets an epoch begin at any sequence number, so
    this holds only once the first batch is stored. ``last_settled_at`` is the local time at which
    an append last completed. ``uplink`` is the rate of this machine's uplink in bytes per second, 0
    if unlimited: no append is considered late or lost, or sent again, while it may still be in
    transmission.
    """

    def __init__(self, store: Store, epoch: int, rng: random.Random, uplink: float = 0.0) -> None:
        self._store = store
        self._uplink = uplink
        self._epoch = epoch
        self._rng = rng
        self._sequence = FIRST_SEQUENCE
        self._first_batch: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        """Done once the first batch is stored, cancelled once it is known to fail."""
        self._loss_detector = LostWriteDetector(store)
        self._pending: list[_PendingAppend] = []
        self._settled_at = -1e9
        """Local time at which an append was last known to be complete."""
        self.last_settled_at = -1e9
        self.confirmed_at = -1e9
        """Local time at which the store last confirmed that no later epoch has written."""
        self.end_offset: int | None = None
        """End offset of the topic after the latest answered append."""

    @property
    def oldest_sent_at(self) -> float:
        """Return when the oldest unanswered append was first sent, or a negative time if none."""
        return min((entry.first_sent_at for entry in self._pending), default=-1e9)

    def is_silent(self) -> bool:
        """Return whether requests to the store have gone unanswered for ``SILENT_AFTER_S``."""
        return self.unanswered_seconds() > SILENT_AFTER_S

    def is_answer_late(self) -> bool:
        """Return whether the next answer is late compared with previous ones."""
        return self.unanswered_seconds() > max(
            MIN_LATE_S, LATE_FACTOR * self._loss_detector.usual_s
        )

    def unanswered_seconds(self) -> float:
        """Return for how many seconds the store has answered nothing while an append is pending."""
        first_sent_at = self.oldest_sent_at
        if first_sent_at <= 0:
            return 0.0
        return max(
            0.0, monotonic() - max(first_sent_at, self.last_settled_at) - self._uplink_delay()
        )

    def _uplink_delay(self) -> float:
        """Return the seconds that the uplink needs to transmit all unanswered appends."""
        if not self._uplink:
            return 0.0
        return sum(entry.size for entry in self._pending) / (UPLINK_SHARE * self._uplink)

    def reported_silence(self) -> float:
        """Return for how many seconds the store has been silent, as reported to members.

        A store that loses writes or is slow counts as available, since it would serve another
        leader no better.
        """
        silence = self.unanswered_seconds()
        is_slow = silence < MIN_REPORTED_FACTOR * self._loss_detector.usual_s
        return 0.0 if is_slow or self._loss_detector.is_lossy() else silence

    @property
    def in_flight(self) -> int:
        """Return the number of unanswered appends."""
        return len(self._pending)

    async def open(self) -> None:
        """Fence all previous leaders by writing under the new epoch."""
        await self.confirm()

    async def confirm(self) -> None:
        """Check that no later leader has written; no other append may be in flight."""
        await self._append_until_settled([], self._sequence)

    async def append(self, records: list[Record]) -> None:
        """Append one batch and return once it is stored."""
        if not records:
            # An append without records consumes no sequence number.
            await self._wait_for_pending()
            return
        sequence = self._sequence
        self._sequence += 1
        await self._append_until_settled(records, sequence)

    async def _wait_for_pending(self) -> None:
        """Wait until all appends in flight are stored, or query the store if there are none."""
        waiting = [entry.done for entry in self._pending]
        if not waiting:
            await self.confirm()
            return
        # Unlike gather(), wait() does not cancel the futures if the caller is cancelled, which
        # would make their batches look complete.
        await asyncio.wait(waiting)
        if any(done.cancelled() for done in waiting):
            raise AppendAbandoned

    async def _append_until_settled(self, records: list[Record], sequence: int) -> None:
        """Send an append until it is known to be complete, or raise ``LostLeadership``."""
        done = asyncio.get_running_loop().create_future()
        entry = _PendingAppend(sequence, monotonic(), done, call_size(records))
        self._pending.append(entry)
        try:
            if sequence > FIRST_SEQUENCE:
                await self._wait_for_first_batch()
            attempts, settled_by = await self._send_until_settled(records, entry)
            self._log_settled(entry, attempts, settled_by)
            self._mark_settled(sequence, entry)
            if records and not self._first_batch.done():
                self._first_batch.set_result(None)
        finally:
            self._pending.remove(entry)
            if not entry.done.done():
                entry.done.cancel()
                if records and sequence == FIRST_SEQUENCE:
                    self._first_batch.cancel()

    async def _wait_for_first_batch(self) -> None:
        """Wait until the first batch is stored.

        If a later batch arrived first, the store would take it as the beginning of the epoch and
        refuse the first batch permanently.
        """
        await asyncio.wait([self._first_batch])
        if self._first_batch.cancelled():
            raise AppendAbandoned

    async def _send_until_settled(
        self, records: list[Record], entry: "_PendingAppend"
    ) -> tuple[int, str]:
        """Send an append until it is complete; return the attempts made and what showed it."""
        settled_by = SETTLED_BY_LATER_APPEND
        interval = self._retry_interval()
        producer = Producer(PRODUCER, self._epoch, entry.sequence)
        attempts = _Attempts(
            entry.done, asyncio.ensure_future(self._loss_detector.probe(self._uplink_delay))
        )
        try:
            while not entry.done.done():
                if self._may_send(entry.sequence, attempts.in_flight, interval):
                    entry.last_sent_at = monotonic()
                    attempts.add(self._attempt(records, producer), entry.last_sent_at)
                if self._loss_detector.is_lossy():
                    interval = self._retry_interval()
                pause = interval * self._rng.uniform(MIN_JITTER, 1.0)
                answers = await attempts.answers(pause)
                if any(self._is_settled(answer, entry.sequence) for answer in answers):
                    self._loss_detector.record_done(answers, attempts.sent_at())
                    has_appended = any(isinstance(answer.result, Appended) for answer in answers)
                    settled_by = SETTLED_BY_ANSWER if has_appended else SETTLED_BY_NUMBER
                    break
                if any(isinstance(answer.result, WrongSequence) for answer in answers):
                    await self._wait_out_of_order(entry.sequence, answers, interval)
                    continue
                if answers:
                    # Refused immediately: pause as if the attempt had timed out.
                    await asyncio.sleep(min(pause, MAX_REFUSAL_PAUSE_S))
                longest = self._max_retry_interval(entry.sequence) + self._uplink_delay()
                longer = min(longest, interval * 2)
                interval = max(interval, longer, self._retry_interval())
        finally:
            attempts.cancel()
        return attempts.count, settled_by

    def _retry_interval(self) -> float:
        """Return the seconds until an append is retried, derived from earlier response times.

        The earlier attempt stays in flight, since a slow store may still answer it; the store
        carries out duplicates only once.
        """
        shortest = (
            LOSSY_RETRY_INTERVAL_S if self._loss_detector.is_lossy() else MIN_RETRY_INTERVAL_S
        )
        return max(shortest, self._loss_detector.overdue_after()) + self._uplink_delay()

    async def _wait_out_of_order(
        self, sequence: int, answers: list[Answer], interval: float
    ) -> None:
        """Wait for the preceding append after the store has refused this one as out of order.

        The wait is short if the store loses writes, as the preceding append may be lost.
        """
        predecessor = min(self._pending, key=lambda entry: entry.sequence)
        if predecessor.sequence < sequence:
            self._loss_detector.record_predecessor_missing(answers, predecessor.last_sent_at)
        lossy = self._loss_detector.is_lossy()
        await self._wait_for_predecessor(sequence, interval if lossy else MAX_RETRY_INTERVAL_S)

    def _is_oldest(self, sequence: int) -> bool:
        return all(entry.sequence >= sequence for entry in self._pending)

    def _may_send(self, sequence: int, in_flight: int, interval: float) -> bool:
        """Return whether an append may be sent, given how many attempts of it are in flight.

        Unless the store is known to lose writes, only the oldest append is retried: the store
        accepts appends in order, so the others wait for its answer. As long as the store answers
        others, it is merely slow.
        """
        if not in_flight:
            return True
        if self._loss_detector.is_confirmed():
            return in_flight < LOSSY_MAX_ATTEMPTS
        if not self._is_oldest(sequence):
            return False
        if self._loss_detector.is_lossy():
            return in_flight < SUSPECTED_LOSSY_MAX_ATTEMPTS
        if self.is_silent():
            return in_flight < SILENT_MAX_ATTEMPTS
        overdue = self.unanswered_seconds() > interval * MIN_JITTER
        return overdue and in_flight < MAX_ATTEMPTS

    def _max_retry_interval(self, sequence: int) -> float:
        return MAX_OLDEST_RETRY_INTERVAL_S if self._is_oldest(sequence) else MAX_RETRY_INTERVAL_S

    async def _wait_for_predecessor(self, sequence: int, timeout: float) -> None:
        """Wait until the preceding append is complete, so that this one can be sent at once.

        With a fixed pause, one late append would delay all later ones: each would be sent during
        the pause of its predecessor and be refused as out of order again.
        """
        predecessors = [entry.done for entry in self._pending if entry.sequence < sequence]
        if predecessors:
            await asyncio.wait(predecessors[-1:], timeout=timeout)

    async def _attempt(self, records: list[Record], producer: Producer) -> Answer:
        sent_at = monotonic()
        timeout = ATTEMPT_TIMEOUT_S
        if self._loss_detector.is_lossy():
            timeout = max(LOSSY_ATTEMPT_TIMEOUT_S, self._loss_detector.overdue_after())
        uplink_delay = self._uplink_delay()
        result = await self._store.append(Topic.JOBS, records, timeout + uplink_delay, producer)
        seconds = max(0.0, monotonic() - sent_at - uplink_delay)
        if isinstance(result, Appended | WrongSequence):
            self._record_confirmation(sent_at)
        if isinstance(result, Appended):
            self.end_offset = (
                result.end if self.end_offset is None else max(self.end_offset, result.end)
            )
            self._loss_detector.record_answered(seconds)
        elif isinstance(result, WrongSequence):
            self._loss_detector.record_out_of_order(seconds)
        return Answer(result, sent_at, seconds)

    def _record_confirmation(self, sent_at: float) -> None:
        """Record that an answer to a request sent at ``sent_at`` shows no later epoch.

        The store may have produced the answer as early as ``sent_at``.
        """
        confirmed_at = min(monotonic(), sent_at + MAX_CONFIRMATION_DELAY_S)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def _is_settled(self, answer: Answer, sequence: int) -> bool:
        result = answer.result
        if isinstance(result, Fenced):
            raise LostLeadership(result.epoch)
        if isinstance(result, WrongSequence):
            # A higher number is expected: an earlier attempt was carried out, and the store no
            # longer remembers its answer. A lower one: a preceding append has not arrived yet; if
            # there is none, the sequence numbers of this epoch are inconsistent.
            first = min(entry.sequence for entry in self._pending)
            settled = first == sequence and answer.sent_at >= self._settled_at
            if result.expected < sequence and settled:
                raise LostLeadership(self._epoch)
            return result.expected > sequence
        return isinstance(result, Appended)

    def _log_settled(self, entry: "_PendingAppend", attempts: int, settled_by: str) -> None:
        """Log an append that took several attempts or was not settled by its own answer."""
        if attempts == 1 and settled_by == SETTLED_BY_ANSWER:
            return
        extra = {
            "epoch": self._epoch,
            "sequence": entry.sequence,
            "tries": attempts,
            "seconds": round(monotonic() - entry.first_sent_at, 3),
            "by": settled_by,
        }
        _logger.info("append settled", extra=extra)

    def _mark_settled(self, sequence: int, entry: "_PendingAppend") -> None:
        self.last_settled_at = self._settled_at = monotonic()
        for other in self._pending:
            # An append without records shares its number with the next one that has records.
            if other.sequence < sequence and not other.done.done():
                other.done.set_result(None)
        if not entry.done.done():
            entry.done.set_result(None)


class _PendingAppend:
    """An unanswered append: when it was first and last sent, and the future of its completion."""

    __slots__ = ("done", "first_sent_at", "last_sent_at", "sequence", "size")

    def __init__(
        self, sequence: int, first_sent_at: float, done: "asyncio.Future[None]", size: int
    ) -> None:
        self.sequence = sequence
        self.size = size
        self.first_sent_at = self.last_sent_at = first_sent_at
        self.done = done


class _Attempts:
    """The attempts of one append in flight, and the futures that end the wait for them early."""

    def __init__(self, done: "asyncio.Future[None]", probe: "asyncio.Future[None]") -> None:
        self._done = done
        self._probe = probe
        self._sent: dict[asyncio.Future[Answer], float] = {}
        self.count = 0

    @property
    def in_flight(self) -> int:
        """Return the number of unanswered attempts."""
        return len(self._sent)

    def sent_at(self) -> list[float]:
        """Return when the unanswered attempts were sent."""
        return list(self._sent.values())

    def add(self, attempt: Coroutine[Any, Any, Answer], sent_at: float) -> None:
        """Start an attempt."""
        self.count += 1
        self._sent[asyncio.ensure_future(attempt)] = sent_at

    async def answers(self, timeout: float) -> list[Answer]:
        """Return the next answers, or none if the time-out or another future ends the wait."""
        waited_for: set[asyncio.Future[Any]] = {self._done, *self._sent}
        if not self._probe.done():
            waited_for.add(self._probe)
        await asyncio.wait(waited_for, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        ended = [call for call in self._sent if call.done()]
        for call in ended:
            del self._sent[call]
        return [call.result() for call in ended]

    def cancel(self) -> None:
        """Cancel the attempts in flight and the probe."""
        self._probe.cancel()
        for call in self._sent:
            call.cancel()
