"""Members that stand still just before or after a call, for longer than the call may take."""

import asyncio
import random
from collections.abc import Callable

from sablemount.control.progress import TransferProgress
from sablemount.control.store import (
    AppendResult,
    Page,
    Producer,
    ReadResult,
    Store,
    Topic,
    Unavailable,
)
from sablemount.jobs.records import Record
from tests.emulator.loop import detached_context

__all__ = ["STALL_S", "Stalls", "StallingStore"]

STALL_S = (0.05, 3.0)
"""Range of the seconds for which a member stands still."""


class Stalls:
    """Decides at which steps members stand still; ``share`` is the share of the steps."""

    def __init__(
        self, rng: random.Random, suspend: Callable[[str], None], resume: Callable[[str], None]
    ) -> None:
        self._rng = rng
        self._suspend = suspend
        self._resume = resume
        self.share = 0.0
        self.count = 0
        """Number of times that a member has stood still."""

    async def step(self, member: str) -> None:
        """Let a member stand still here, perhaps: none of its code runs, and time goes on."""
        if not self.share or self._rng.random() >= self.share:
            return
        self.count += 1
        self._suspend(member)
        seconds = self._rng.uniform(*STALL_S)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._resume, member, context=detached_context())
        await asyncio.sleep(0)


class StallingStore:
    """The store as a member sees it that may stand still before and after each append."""

    def __init__(self, store: Store, member: str, stalls: Stalls) -> None:
        self._store = store
        self._member = member
        self._stalls = stalls

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        await self._stalls.step(self._member)
        result = await self._store.append(topic, records, timeout, producer, at)
        await self._stalls.step(self._member)
        return result

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        return await self._store.newest(topic, after, timeout, progress)

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        return await self._store.read(topic, offset, wait, progress)
