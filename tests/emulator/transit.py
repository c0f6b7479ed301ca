"""Faults on the path to the store: calls delayed, lost or rejected, and replies delayed.

Calls use different connections, so that a delayed call is overtaken by later ones. A call that
is under way is executed even if its caller has timed out or has been killed.
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
from tests.emulator.loop import detached_context
from tests.emulator.store import EmulatedStore, StoreState

__all__ = ["DelayedStore", "StorePathFaults"]

T = TypeVar("T")
MIN_DELAY_S = 0.01
"""Shortest delay of a call, in seconds."""


class StorePathFaults:
    """The active faults between the members and the store; each share is a share of the calls."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.clear()

    def clear(self) -> None:
        """Clear the faults; calls that are under way keep their delays."""
        self.delayed_append_share = 0.0
        """Share of the appends that are delayed."""
        self.max_delay_s = 6.0
        """Longest delay of a call, in seconds."""
        self.lost_append_share = 0.0
        """Share of the appends that are lost before they arrive."""
        self.delayed_read_share = 0.0
        """Share of the reads whose replies are delayed."""
        self.refused_share = 0.0
        """Share of all calls that are rejected at once."""

    def draw_loss(self) -> bool:
        return bool(self.lost_append_share) and self._rng.random() < self.lost_append_share

    def draw_refusal(self) -> bool:
        return bool(self.refused_share) and self._rng.random() < self.refused_share

    def draw_append_delay(self) -> float | None:
        """Draw the delay of an append in seconds; ``None`` if it is not delayed."""
        return (
            self._draw_delay()
            if self.delayed_append_share and self._rng.random() < self.delayed_append_share
            else None
        )

    def draw_read_delay(self) -> float | None:
        """Draw the delay of a read's reply in seconds; ``None`` if it is not delayed."""
        return (
            self._draw_delay()
            if self.delayed_read_share and self._rng.random() < self.delayed_read_share
            else None
        )

    def _draw_delay(self) -> float:
        """Draw a log-uniform delay: each order of magnitude is equally likely."""
        return math.exp(self._rng.uniform(math.log(MIN_DELAY_S), math.log(self.max_delay_s)))


class DelayedStore(EmulatedStore):
    """The store as one member sees it, over connections that may delay calls."""

    def __init__(self, state: StoreState, member: str, transit: StorePathFaults) -> None:
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
        if self._transit.draw_refusal():
            return await self._reject()
        if self._transit.draw_loss():
            await asyncio.sleep(timeout)
            return Unavailable("the call was lost")
        delay = self._transit.draw_append_delay()
        if delay is None:
            return await super().append(topic, records, timeout, producer, at)
        if await self._travel_to_store(timeout) is None:
            return Unavailable("no answer")
        answer = self._execute_after(delay, topic, records, producer, at)
        await asyncio.wait([answer], timeout=timeout)
        if not answer.done() or self._is_unreachable():
            return Unavailable("no answer in time")
        return answer.result()

    async def _reject(self) -> Unavailable:
        await asyncio.sleep(self._state.latency_s)
        return Unavailable("turned away", certain=True)

    def _execute_after(
        self,
        delay: float,
        topic: Topic,
        records: list[Record],
        producer: Producer | None,
        at: int | None,
    ) -> "asyncio.Future[AppendResult]":
        """Execute an append after ``delay`` seconds, even if its caller has ended."""
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[AppendResult] = loop.create_future()

        def arrive() -> None:
            if not self._state.down:
                result = self._state.append(topic, records, producer, at)
                if not answer.done():
                    answer.set_result(result)

        loop.call_later(delay, arrive, context=detached_context())
        return answer

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        if self._transit.draw_refusal():
            return await self._reject()
        page = await super().newest(topic, after, timeout, progress)
        return await self._delayed_reply(page, timeout)

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        if self._transit.draw_refusal():
            return await self._reject()
        result = await super().read(topic, offset, wait, progress)
        return await self._delayed_reply(result, wait + 0.8)

    async def _delayed_reply(self, answer: T, timeout: float) -> T | Unavailable:
        """Return a reply after a drawn delay, with its contents as the store sent them."""
        delay = self._transit.draw_read_delay()
        if delay is None:
            return answer
        await asyncio.sleep(min(delay, timeout))
        return (
            answer
            if delay < timeout and not self._is_unreachable()
            else Unavailable("no answer in time")
        )
