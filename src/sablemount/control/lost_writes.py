"""Distinguishes a store that loses writes, or the answers to them, from one that is slow.

Retries make a slow store slower, but a lost write has to be retried soon, since each later append
waits for it. A store that answers another request in its usual time while an append stays
unanswered has lost that append.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from sablemount.control.clock import monotonic
from sablemount.control.store import AppendResult, Store, Topic, Unavailable

__all__ = ["Answer", "LostWriteDetector"]

LOSSY_TIME_S = 2.0
"""How long the store counts as losing writes after the latest evidence of it."""
OVERDUE_FACTOR = 4.0
"""An answer is overdue after this many times the usual response time."""
LATEST_FACTOR = 2.0
"""Same for the latest response time: the average lags behind in a store that has just slowed."""
UNCONFIRMED_TIME_S = 0.3
"""How long quick reads alone leave the loss unconfirmed, since a store that is slow only at appends
reads quickly too. With 8 concurrent attempts from the first such read on, four appends of 0.24 s
each took 4.4 s instead of 2.0 s in total (the worst of 20 simulated seeds)."""
MIN_PROBE_DELAY_S = 0.05
"""Shortest time without an answer after which a read probes whether the store responds quickly."""
SMOOTHING = 0.2
"""Weight of the latest response time in the moving average."""
INITIAL_RESPONSE_TIME_S = 0.02
"""Initial value of the average response time."""

_logger = logging.getLogger("sablemount.control.commit")


def _no_delay() -> float:
    """Return 0: without a limited uplink, transmission takes no time."""
    return 0.0


class Answer(NamedTuple):
    """The result of one attempt, the local time at which it was sent, and its duration."""

    result: AppendResult
    sent_at: float
    seconds: float


class LostWriteDetector:
    """Detects lost writes from the response times of one leadership's appends."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lossy_until = -1e9
        self._lossy_since = -1e9
        """Local time since which the store has counted as losing writes."""
        self._confirmed_until = -1e9
        """Local time until which appends themselves, not only reads, are evidence of that."""
        self._answered_at = -1e9
        """Local time at which an append was last answered after being processed in order."""
        self._latest_s = 0.0
        """Response time of that append in seconds."""
        self.usual_s = INITIAL_RESPONSE_TIME_S
        """Moving average of the response time of appends, in seconds."""

    def is_lossy(self) -> bool:
        """Return whether the store has recently lost a write or the answer to one."""
        return monotonic() < self._lossy_until

    def is_confirmed(self) -> bool:
        """Return whether there is more evidence of lost writes than a quick read.

        This is an append that was answered quickly while another was not, or the absence of any
        answer for ``UNCONFIRMED_TIME_S``.
        """
        if not self.is_lossy():
            return False
        now = monotonic()
        return (
            now < self._confirmed_until
            or now - max(self._lossy_since, self._answered_at) > UNCONFIRMED_TIME_S
        )

    def overdue_after(self) -> float:
        """Return the seconds after which a missing answer counts as overdue."""
        return max(OVERDUE_FACTOR * self.usual_s, LATEST_FACTOR * self._latest_s)

    def record_answered(self, seconds: float) -> None:
        """Record the response time of an append that the store has carried out."""
        self._record_in_order(seconds)
        self.usual_s += SMOOTHING * (seconds - self.usual_s)

    def record_out_of_order(self, seconds: float) -> None:
        """Record the response time of an append refused for its sequence number.

        A store that has lost the preceding append refuses at once; a slow one refuses when it gets
        to the append.
        """
        if seconds > self.overdue_after():
            self._record_in_order(seconds)

    def _record_in_order(self, seconds: float) -> None:
        if seconds > self.overdue_after() and self.is_lossy():
            # An append that was considered lost has been answered after all.
            self._lossy_until = -1e9
            _logger.info("store is slow but loses no writes", extra={"seconds": round(seconds, 4)})
        self._answered_at = monotonic()
        self._latest_s = seconds

    # -- Evidence ----------------------------------------------------------------------------

    def record_done(self, answers: Iterable[Answer], unanswered: Iterable[float]) -> None:
        """Record that an append is complete while its attempts sent at ``unanswered`` are open."""
        overdue_since = monotonic() - self.overdue_after()
        if self._any_quick(answers) and any(sent_at < overdue_since for sent_at in unanswered):
            self._mark_lossy()
            self._confirmed_until = self._lossy_until

    def record_predecessor_missing(
        self, answers: Iterable[Answer], predecessor_sent_at: float
    ) -> None:
        """Record that an append was out of order, and when its predecessor was last sent."""
        if monotonic() - predecessor_sent_at > self.overdue_after() and self._any_quick(answers):
            self._mark_lossy()
            self._confirmed_until = self._lossy_until

    async def probe(self, uplink_delay: Callable[[], float] = _no_delay) -> None:
        """Probe the store with a read once an append's answer is overdue.

        ``uplink_delay`` returns for how many seconds unanswered appends may be in transmission.

        A store that processes appends serially answers each later than the one before. While it
        answers any append it is merely slow, and a quicker read is no evidence of a loss.
        """
        while True:
            await self._wait_until_overdue(uplink_delay)
            sent_at = monotonic()
            page = await self._store.newest(Topic.LEADER, "", self.overdue_after())
            if isinstance(page, Unavailable) or monotonic() - sent_at >= self.overdue_after():
                return
            if self._answered_at < sent_at:
                self._mark_lossy()
                return

    async def _wait_until_overdue(self, uplink_delay: Callable[[], float]) -> None:
        """Wait until no append has been answered for long enough to be overdue."""
        since = monotonic()
        while True:
            due_at = max(since, self._answered_at) + self._probe_delay() + uplink_delay()
            if (remaining := due_at - monotonic()) <= 0:
                return
            await asyncio.sleep(remaining)

    def _probe_delay(self) -> float:
        return max(MIN_PROBE_DELAY_S, self.overdue_after())

    def _any_quick(self, answers: Iterable[Answer]) -> bool:
        return any(answer.seconds < self.overdue_after() for answer in answers)

    def _mark_lossy(self) -> None:
        if not self.is_lossy():
            self._lossy_since = monotonic()
            _logger.info("store loses writes", extra={"usual": round(self.usual_s, 4)})
        self._lossy_until = monotonic() + LOSSY_TIME_S
