"""What may happen to calls of the store on their way: held back, lost, turned away, answered late.

Calls go over different connections, so that what is held back is overtaken by later calls; and
what is under way is carried out also if its caller waits no longer, or has been killed.
"""

import asyncio
import math
import random
from typing import TypeVar

from sablemount.control.progress import TransferProgress
from sablemount.control.store import (
    AppendResult,
    Page,
    Producer,
    ReadResult,
    Topic,
    Unavailable,
)
from sablemount.jobs.records import Record
from tests.emulator.loop import outside
from tests.emulator.store import EmulatedStore, StoreState

__all__ = ["DelayedStore", "Transit"]

T = TypeVar("T")
SHORTEST = 0.01
"""Seconds that a call is held back at least."""


class Transit:
    """The faults in force between members and the store; each share is of the calls."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.calm()

    def calm(self) -> None:
        """Undo the faults; what is under way arrives as it would."""
        self.held = 0.0
        """Share of the appends that are held back."""
        self.longest = 6.0
        """Seconds that a call is held back at most."""
        self.lost = 0.0
        """Share of the appends that never arrive."""
        self.late = 0.0
        """Share of the reads whose answers are held back."""
        self.refused = 0.0
        """Share of all calls that are turned away at once."""

    def loses(self) -> bool:
        return bool(self.lost) and self._rng.random() < self.lost

    def refuses(self) -> bool:
        return bool(self.refused) and self._rng.random() < self.refused

    def holds(self) -> float | None:
        """Return for how many seconds an append is held back; ``None`` if it is not."""
        return self._time() if self.held and self._rng.random() < self.held else None

    def delays(self) -> float | None:
        """Return for how many seconds the answer to a read is held back; ``None`` if not."""
        return self._time() if self.late and self._rng.random() < self.late else None

    def _time(self) -> float:
        """Draw a time of which each order of magnitude is as likely."""
        return math.exp(self._rng.uniform(math.log(SHORTEST), math.log(self.longest)))


class DelayedStore(EmulatedStore):
    """The store as one member sees it, over connections that may hold calls back."""

    def __init__(self, state: StoreState, member: str, transit: Transit) -> None:
        super().__init__(state, member)
        self._transit = transit

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        if self._transit.refuses():
            return await self._turn_away()
        if self._transit.loses():
            await asyncio.sleep(timeout)
            return Unavailable("the call was lost")
        delay = self._transit.holds()
        if delay is None:
            return await super().append(topic, records, timeout, producer, at)
        if await self._reach(timeout) is None:
            return Unavailable("no answer")
        answer = self._carry_out_after(delay, topic, records, producer, at)
        await asyncio.wait([answer], timeout=timeout)
        if not answer.done() or self._away():
            return Unavailable("no answer in time")
        return answer.result()

    async def _turn_away(self) -> Unavailable:
        await asyncio.sleep(self._state.latency)
        return Unavailable("turned away", certain=True)

    def _carry_out_after(
        self,
        delay: float,
        topic: Topic,
        records: list[Record],
        producer: Producer | None,
        at: int | None,
    ) -> "asyncio.Future[AppendResult]":
        """Let an append arrive after some seconds, whatever becomes of its caller."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[AppendResult] = loop.create_future()

        def arrive() -> None:
            if not self._state.down:
                result = self._state.append(topic, records, producer, at)
                if not answer.done():
                    answer.set_result(result)

        loop.call_later(delay, arrive, context=outside())
        return answer

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        if self._transit.refuses():
            return await self._turn_away()
        page = await super().newest(topic, after, timeout, progress)
        return await self._answered(page, timeout)

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        if self._transit.refuses():
            return await self._turn_away()
        result = await super().read(topic, offset, wait, progress)
        return await self._answered(result, wait + 0.8)

    async def _answered(self, answer: T, timeout: float) -> T | Unavailable:
        """Give an answer late, as it was true when the store gave it."""
        delay = self._transit.delays()
        if delay is None:
            return answer
        await asyncio.sleep(min(delay, timeout))
        return answer if delay < timeout and not self._away() else Unavailable("no answer in time")
