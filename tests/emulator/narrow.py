"""A member's link that carries so many bytes a second, and the store behind it."""

import asyncio
import math

import msgspec

from sablemount.control.progress import TransferProgress
from sablemount.control.store import (
    AppendResult,
    Page,
    Producer,
    ReadResult,
    Records,
    Topic,
    Unavailable,
)
from sablemount.jobs.records import Record
from sablemount.jobs.sizes import call_size
from tests.emulator.store import EmulatedStore, StoreState

__all__ = ["BusyStore", "NarrowLink", "NarrowStore", "Reads", "UplinkStore"]

PART = 16_384
"""Bytes that one answer gets of the link before another has its turn."""
BASE64 = 4 / 3


class NarrowLink:
    """Shares its bytes a second evenly among the answers that are on their way."""

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.carried = 0
        self.silent = False
        """Whether what is on its way comes no further."""
        self._turn = asyncio.Lock()

    async def carry(self, size: int, progress: TransferProgress | None, silence: float) -> bool:
        """Bring an answer; return whether it came without a pause longer than ``silence``."""
        for _ in range(max(1, math.ceil(size / PART))):
            try:
                async with asyncio.timeout(silence):
                    await self._part()
            except TimeoutError:
                return False
            if progress is not None:
                progress.add_received(PART)
        return True

    async def _part(self) -> None:
        if self.silent:
            await asyncio.Event().wait()
        async with self._turn:
            await asyncio.sleep(PART / self.bytes_per_second)
            self.carried += PART


class NarrowStore(EmulatedStore):
    """The store behind a narrow link: what it answers takes its time there.

    A reader that follows no progress waits for the whole answer up to its time-out.
    """

    def __init__(self, state: StoreState, member: str, link: NarrowLink) -> None:
        super().__init__(state, member)
        self._link = link

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        page = await super().newest(topic, after, timeout)
        if isinstance(page, Unavailable):
            return page
        size = sum(len(item.record.key) + len(item.record.value) for item in page.items)
        came = await self._bring(math.ceil(size * BASE64), progress, timeout)
        return page if came else Unavailable("no answer in time")

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        found = await super().read(topic, offset, wait)
        if not isinstance(found, Records):
            return found
        size = len(msgspec.msgpack.encode(found.records))
        came = await self._bring(size, progress, 0.8)
        return found if came else Unavailable("no answer in time")

    async def _bring(self, size: int, progress: TransferProgress | None, timeout: float) -> bool:
        if progress is not None:
            return await self._link.carry(size, progress, timeout)
        try:
            async with asyncio.timeout(timeout):
                return await self._link.carry(size, None, timeout)
        except TimeoutError:
            return False


class Reads:
    """What a store reads in a second, for all members together and in the order in which they ask.

    What it has begun or has to do is done also if nobody waits for it any more.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.read = 0
        self._free_at = 0.0

    async def take_turn(self, size: int, seconds: float) -> bool:
        """Wait until some bytes are read; return whether they are within some seconds."""
        now = asyncio.get_running_loop().time()
        self.read += size
        self._free_at = max(now, self._free_at) + size / self.bytes_per_second
        await asyncio.sleep(min(seconds, self._free_at - now))
        return self._free_at - now <= seconds


class BusyStore(NarrowStore):
    """The store behind a narrow link, which reads so many bytes a second for all."""

    def __init__(self, state: StoreState, member: str, link: NarrowLink, reads: Reads) -> None:
        super().__init__(state, member, link)
        self._reads = reads
        self._until = 0.0
        """When the read that is under way is given up if nothing of it has come."""

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        self._until = asyncio.get_running_loop().time() + wait + 0.8
        return await super().read(topic, offset, wait, progress)

    async def _bring(self, size: int, progress: TransferProgress | None, timeout: float) -> bool:
        now = asyncio.get_running_loop().time()
        if not await self._reads.take_turn(size, max(timeout, self._until - now)):
            return False
        return await super()._bring(size, progress, timeout)


class UplinkStore(EmulatedStore):
    """The store behind a link on which what is appended takes its time."""

    def __init__(self, state: StoreState, member: str, link: NarrowLink) -> None:
        super().__init__(state, member)
        self._link = link

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        last = asyncio.get_running_loop().time() + timeout
        try:
            async with asyncio.timeout(timeout):
                await self._link.carry(call_size(records), None, timeout)
        except TimeoutError:
            return Unavailable("no answer")
        left = last - asyncio.get_running_loop().time()
        return await super().append(topic, records, left, producer, at)
