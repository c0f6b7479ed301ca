"""A member's link to the store with limited bandwidth, and the store behind it."""

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

__all__ = ["LimitedReadStore", "LimitedLink", "LimitedLinkStore", "ReadQueue", "LimitedUplinkStore"]

PART_BYTES = 16_384
"""Bytes of one reply that the link transmits before it switches to another reply."""
BASE64_EXPANSION = 4 / 3


class LimitedLink:
    """A link that divides its bandwidth evenly among the replies in transit."""

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.bytes_transferred = 0
        self.stalled = False
        """Whether transfers make no progress any more."""
        self._lock = asyncio.Lock()

    async def transfer(self, size: int, progress: TransferProgress | None, silence: float) -> bool:
        """Transfer a reply; return whether it arrived without a pause longer than ``silence``."""
        for _ in range(max(1, math.ceil(size / PART_BYTES))):
            try:
                async with asyncio.timeout(silence):
                    await self._transfer_part()
            except TimeoutError:
                return False
            if progress is not None:
                progress.add_received(PART_BYTES)
        return True

    async def _transfer_part(self) -> None:
        if self.stalled:
            await asyncio.Event().wait()
        async with self._lock:
            await asyncio.sleep(PART_BYTES / self.bytes_per_second)
            self.bytes_transferred += PART_BYTES


class LimitedLinkStore(EmulatedStore):
    """The store behind a link of limited bandwidth, which delays its replies.

    A reader that passes no ``progress`` waits for the complete reply up to its time-out.
    """

    def __init__(self, state: StoreState, member: str, link: LimitedLink) -> None:
        super().__init__(state, member)
        self._link = link

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        page = await super().newest(topic, after, timeout)
        if isinstance(page, Unavailable):
            return page
        size = sum(len(item.record.key) + len(item.record.value) for item in page.items)
        delivered = await self._deliver(math.ceil(size * BASE64_EXPANSION), progress, timeout)
        return page if delivered else Unavailable("no answer in time")

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        result = await super().read(topic, offset, wait)
        if not isinstance(result, Records):
            return result
        size = len(msgspec.msgpack.encode(result.records))
        delivered = await self._deliver(size, progress, 0.8)
        return result if delivered else Unavailable("no answer in time")

    async def _deliver(self, size: int, progress: TransferProgress | None, timeout: float) -> bool:
        if progress is not None:
            return await self._link.transfer(size, progress, timeout)
        try:
            async with asyncio.timeout(timeout):
                return await self._link.transfer(size, None, timeout)
        except TimeoutError:
            return False


class ReadQueue:
    """The read throughput of a store, shared by all members: reads are served in order of arrival.

    A read that is queued is performed even if its caller has timed out.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.bytes_read = 0
        self._free_at = 0.0

    async def perform(self, size: int, seconds: float) -> bool:
        """Queue a read of ``size`` bytes; return whether it completes within ``seconds``."""
        now = asyncio.get_running_loop().time()
        self.bytes_read += size
        self._free_at = max(now, self._free_at) + size / self.bytes_per_second
        await asyncio.sleep(min(seconds, self._free_at - now))
        return self._free_at - now <= seconds


class LimitedReadStore(LimitedLinkStore):
    """The store behind a link of limited bandwidth, with a read throughput shared by all."""

    def __init__(self, state: StoreState, member: str, link: LimitedLink, reads: ReadQueue) -> None:
        super().__init__(state, member, link)
        self._reads = reads
        self._read_deadline = 0.0
        """When the current read times out if none of its reply has arrived."""

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        self._read_deadline = asyncio.get_running_loop().time() + wait + 0.8
        return await super().read(topic, offset, wait, progress)

    async def _deliver(self, size: int, progress: TransferProgress | None, timeout: float) -> bool:
        now = asyncio.get_running_loop().time()
        if not await self._reads.perform(size, max(timeout, self._read_deadline - now)):
            return False
        return await super()._deliver(size, progress, timeout)


class LimitedUplinkStore(EmulatedStore):
    """The store behind a link of limited bandwidth, which delays appends."""

    def __init__(self, state: StoreState, member: str, link: LimitedLink) -> None:
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
        deadline = asyncio.get_running_loop().time() + timeout
        try:
            async with asyncio.timeout(timeout):
                await self._link.transfer(call_size(records), None, timeout)
        except TimeoutError:
            return Unavailable("no answer")
        left = deadline - asyncio.get_running_loop().time()
        return await super().append(topic, records, left, producer, at)
