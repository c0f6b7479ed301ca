"""What may become of a write on its way from a process to the stand-in's store."""

import asyncio
import random
from collections.abc import Callable

__all__ = ["NO_ANSWER", "SILENCE", "Crossing"]

NO_ANSWER = 0
"""Stands for a status: the connection ends without an answer."""
SILENCE = -1
"""Stands for a status: the connection stays open and says nothing further."""
DEFERRED = (0.5, 6.0)
"""Seconds after which a write whose caller has no answer is carried out."""

Answer = tuple[int, object]


class Crossing:
    """The faults in force between the processes and the store, for writes alone.

    The calls of one process use connections of their own, so that a write that is late is overtaken
    by those after it.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.late = 0.0
        """Seconds by which a write arrives late at most."""
        self.dropped = 0.0
        """Share of the writes that never arrive."""
        self.deferred = 0.0
        """Share of the writes that are carried out seconds later, and never answered."""

    def calm(self) -> None:
        """Let all writes arrive in time again."""
        self.late = self.dropped = self.deferred = 0.0

    async def write(self, carry_out: Callable[[], Answer]) -> Answer:
        """Carry a write out, or not, as the faults will have it."""
        if self._rng.random() < self.dropped:
            return self._unanswered()
        if self._rng.random() < self.deferred:
            asyncio.get_running_loop().call_later(self._rng.uniform(*DEFERRED), carry_out)
            return self._unanswered()
        if self.late:
            await asyncio.sleep(self._rng.uniform(0.0, self.late))
        return carry_out()

    def _unanswered(self) -> Answer:
        return self._rng.choice((NO_ANSWER, SILENCE)), {}
