"""Faults of writes on their way from a process to the stand-in's store."""

import asyncio
import random
from collections.abc import Callable

__all__ = ["CONNECTION_CLOSED", "NO_RESPONSE", "WriteFaults"]

CONNECTION_CLOSED = 0
"""In place of a status: the connection is closed without a response."""
NO_RESPONSE = -1
"""In place of a status: the connection stays open, but no response is sent."""
DEFERRAL_RANGE_S = (0.5, 6.0)
"""Range of seconds after which a deferred write is executed; its caller gets no response."""

Response = tuple[int, object]


class WriteFaults:
    """The active faults of writes to the store; reads are not affected.

    Concurrent calls of one process use separate connections, so that later writes can overtake a
    delayed one.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.max_delay = 0.0
        """Maximum delay of a write in seconds."""
        self.dropped_share = 0.0
        """Fraction of the writes that never arrive."""
        self.deferred_share = 0.0
        """Fraction of the writes that are executed seconds later and never answered."""

    def clear(self) -> None:
        """Clear all faults."""
        self.max_delay = self.dropped_share = self.deferred_share = 0.0

    async def write(self, carry_out: Callable[[], Response]) -> Response:
        """Execute a write, or drop or delay it, according to the active faults."""
        if self._rng.random() < self.dropped_share:
            return self._unanswered()
        if self._rng.random() < self.deferred_share:
            asyncio.get_running_loop().call_later(self._rng.uniform(*DEFERRAL_RANGE_S), carry_out)
            return self._unanswered()
        if self.max_delay:
            await asyncio.sleep(self._rng.uniform(0.0, self.max_delay))
        return carry_out()

    def _unanswered(self) -> Response:
        return self._rng.choice((CONNECTION_CLOSED, NO_RESPONSE)), {}
