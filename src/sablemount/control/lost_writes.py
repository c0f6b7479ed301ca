"""Tells a store that loses writes, or the answers to them, from one that is slow.

What is sent to a slow store again only makes it slower, and what a store has lost has to be sent
again soon: each later append waits for it. A store that answers something else in its usual time,
while an append has none, has lost that.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from sablemount.control.clock import monotonic
from sablemount.control.store import AppendResult, Store, Topic, Unavailable

__all__ = ["Answer", "LostWrites"]

LOSSY_TIME = 2.0
"""Seconds for which the store counts as one that loses writes, after the last proof of that."""
OVERDUE_FACTOR = 4.0
"""An answer is overdue after this many times the usual time."""
NEWEST_FACTOR = 2.0
"""The same beside the newest answer's time: a store that has just become slow is not yet usual."""
GUESS_TIME = 0.3
"""Seconds for which only reads tell that, until it is taken as shown all the same: a store that is
slow at appends alone reads soon too. With 8 tries at once from the first such read on, four appends
that took 0.24 s each were there after 4.4 s in place of 2.0 s (the worst of 20 emulated seeds)."""
PROBE_AFTER = 0.05
"""Seconds without an answer after which something is read, to see whether the store is quick."""
SMOOTHING = 0.2
"""Share of the newest answer's time in the usual one."""
FIRST_USUAL = 0.02
"""Seconds that an answer is taken to need before one has come."""

_logger = logging.getLogger("sablemount.control.commit")


def _no_time() -> float:
    """Return that nothing is on its way for long."""
    return 0.0


class Answer(NamedTuple):
    """What became of one try, when it was sent (local seconds) and how long it took."""

    result: AppendResult
    sent_at: float
    seconds: float


class LostWrites:
    """Watches the appends of one leadership."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._until = -1e9
        self._since = -1e9
        """Since when the store has counted as one that loses writes."""
        self._shown_until = -1e9
        """Until when that was shown by appends themselves, and not by a read."""
        self._answered_at = -1e9
        """When an append was last answered after its turn (local time)."""
        self._newest = 0.0
        """Seconds that the newest such answer took."""
        self.usual = FIRST_USUAL
        """Seconds that an append usually takes."""

    def happen(self) -> bool:
        """Tell whether the store has lost a write of late, or the answer to one."""
        return monotonic() < self._until

    def shown(self) -> bool:
        """Tell whether more than a quick read has shown it.

        That is an append that was answered soon beside one that was not, or no answer for a while.
        """
        if not self.happen():
            return False
        now = monotonic()
        return now < self._shown_until or now - max(self._since, self._answered_at) > GUESS_TIME

    def overdue(self) -> float:
        """Return the seconds after which a missing answer is more than a little late."""
        return max(OVERDUE_FACTOR * self.usual, NEWEST_FACTOR * self._newest)

    def answered(self, seconds: float) -> None:
        """Take how long an append took that the store has carried out."""
        self._in_turn(seconds)
        self.usual += SMOOTHING * (seconds - self.usual)

    def out_of_order(self, seconds: float) -> None:
        """Take how long an append took that the store has refused for its number.

        It is refused at once by a store that has lost the one before it, and in its turn by a slow
        one.
        """
        if seconds > self.overdue():
            self._in_turn(seconds)

    def _in_turn(self, seconds: float) -> None:
        if seconds > self.overdue() and self.happen():
            # What was taken as lost has an answer after all.
            self._until = -1e9
            _logger.info(
                "the store is slow and loses nothing", extra={"seconds": round(seconds, 4)}
            )
        self._answered_at = monotonic()
        self._newest = seconds

    # -- Proofs ------------------------------------------------------------------------------

    def done(self, answers: Iterable[Answer], others: Iterable[float]) -> None:
        """Take that an append is done; other tries of it, sent at some times, have no answer."""
        last = monotonic() - self.overdue()
        if self._quick(answers) and any(sent_at < last for sent_at in others):
            self._note()
            self._shown_until = self._until

    def too_early(self, answers: Iterable[Answer], before_sent_at: float) -> None:
        """Take that an append came too early, beside when the one before it was last sent."""
        if monotonic() - before_sent_at > self.overdue() and self._quick(answers):
            self._note()
            self._shown_until = self._until

    async def probe(self, on_the_way: Callable[[], float] = _no_time) -> None:
        """Read something, for an append that has no answer by the time that one is overdue.

        ``on_the_way`` tells for how many seconds what has no answer may be on its way to the store.

        A store that takes appends in turn answers one after the other, each later than the one
        before: while any is answered it is slow, and a quicker read proves nothing.
        """
        while True:
            await self._none_answered(on_the_way)
            sent_at = monotonic()
            page = await self._store.newest(Topic.LEADER, "", self.overdue())
            if isinstance(page, Unavailable) or monotonic() - sent_at >= self.overdue():
                return
            if self._answered_at < sent_at:
                self._note()
                return

    async def _none_answered(self, on_the_way: Callable[[], float]) -> None:
        """Wait until no append has been answered for as long as makes one overdue."""
        since = monotonic()
        while True:
            due_at = max(since, self._answered_at) + self._patience() + on_the_way()
            if (left := due_at - monotonic()) <= 0:
                return
            await asyncio.sleep(left)

    def _patience(self) -> float:
        return max(PROBE_AFTER, self.overdue())

    def _quick(self, answers: Iterable[Answer]) -> bool:
        return any(answer.seconds < self.overdue() for answer in answers)

    def _note(self) -> None:
        if not self.happen():
            self._since = monotonic()
            _logger.info("the store loses writes", extra={"usual": round(self.usual, 4)})
        self._until = monotonic() + LOSSY_TIME
