"""Tells a store that loses writes, or the answers to them, from one that is slow.

What is sent to a slow store again only makes it slower, and what a store has lost has to be sent
again soon: each later append waits for it. A store that answers something else in its usual time,
while an append has none, has lost that.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import NamedTuple

from sablemount.control.clock import monotonic
from sablemount.control.store import AppendResult, Store, Topic, Unavailable

__all__ = ["Answer", "LostWrites"]

LOSSY_TIME = 2.0
"""Seconds for which the store counts as one that loses writes, after the last proof of that."""
OVERDUE_FACTOR = 4.0
"""An answer is overdue after this many times the usual time."""
PROBE_AFTER = 0.05
"""Seconds without an answer after which something is read, to see whether the store is quick."""
SMOOTHING = 0.2
"""Share of the newest answer's time in the usual one."""
FIRST_USUAL = 0.02
"""Seconds that an answer is taken to need before one has come."""

_logger = logging.getLogger("sablemount.control.commit")


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
        self.usual = FIRST_USUAL
        """Seconds that an append usually takes."""

    def happen(self) -> bool:
        """Tell whether the store has lost a write of late, or the answer to one."""
        return monotonic() < self._until

    def overdue(self) -> float:
        """Return the seconds after which a missing answer is more than a little late."""
        return OVERDUE_FACTOR * self.usual

    def answered(self, seconds: float) -> None:
        """Take how long an append took that the store has carried out."""
        self.usual += SMOOTHING * (seconds - self.usual)

    # -- Proofs ------------------------------------------------------------------------------

    def done(self, answers: Iterable[Answer], others: Iterable[float]) -> None:
        """Take that an append is done; other tries of it, sent at some times, have no answer."""
        last = monotonic() - self.overdue()
        if self._quick(answers) and any(sent_at < last for sent_at in others):
            self._note()

    def too_early(self, answers: Iterable[Answer], before_sent_at: float) -> None:
        """Take that an append came too early, beside when the one before it was last sent."""
        if monotonic() - before_sent_at > self.overdue() and self._quick(answers):
            self._note()

    async def probe(self) -> None:
        """Read something, for an append that has no answer by the time that one is overdue."""
        await asyncio.sleep(max(PROBE_AFTER, self.overdue()))
        sent_at = monotonic()
        page = await self._store.newest(Topic.LEADER, "", self.overdue())
        if not isinstance(page, Unavailable) and monotonic() - sent_at < self.overdue():
            self._note()

    def _quick(self, answers: Iterable[Answer]) -> bool:
        return any(answer.seconds < self.overdue() for answer in answers)

    def _note(self) -> None:
        if not self.happen():
            _logger.info("the store loses writes", extra={"usual": round(self.usual, 4)})
        self._until = monotonic() + LOSSY_TIME
