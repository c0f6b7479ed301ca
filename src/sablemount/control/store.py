"""Interface of the platform's store: keyed topics with fenced appends.

Each topic is an ordered log that retains the newest record of each key indefinitely.
"""

import enum
from typing import Protocol, TypeAlias

import msgspec

from sablemount.control.progress import TransferProgress
from sablemount.jobs.records import Record

__all__ = [
    "AppendResult",
    "Appended",
    "Conflict",
    "Fenced",
    "Page",
    "PageItem",
    "Producer",
    "ReadResult",
    "Records",
    "Store",
    "Topic",
    "Trimmed",
    "Unavailable",
    "WrongSequence",
]


class Topic(enum.Enum):
    """The keyed topics: two that this system writes, and two that other systems write."""

    JOBS = "jobs"
    LEADER = "leader"
    VMS = "vms"
    CONFIGURATION = "configuration"


class Producer(msgspec.Struct, frozen=True):
    """A writer: a higher ``epoch`` fences lower ones; ``sequence`` numbers the appends."""

    name: str
    epoch: int
    sequence: int


class Appended(msgspec.Struct, frozen=True):
    """The append is complete, by this or an earlier attempt; ``end`` is the offset after it."""

    end: int


class Fenced(msgspec.Struct, frozen=True):
    """Refused: a producer with a higher epoch has written."""

    epoch: int


class WrongSequence(msgspec.Struct, frozen=True):
    """Refused: the store expects another sequence number."""

    expected: int


class Conflict(msgspec.Struct, frozen=True):
    """Refused: the topic does not end at the offset that the append requires."""

    end: int


class Unavailable(msgspec.Struct, frozen=True):
    """No usable answer; if ``certain``, the call had no effect.

    ``received`` is the number of bytes of an answer that arrived.
    """

    reason: str
    certain: bool = False
    received: int = 0


AppendResult: TypeAlias = Appended | Fenced | WrongSequence | Conflict | Unavailable


class PageItem(msgspec.Struct, frozen=True):
    """The newest record of a key and its offset."""

    record: Record
    offset: int


class Page(msgspec.Struct, frozen=True):
    """Newest records in the order of their keys; ``more`` is true if other keys follow."""

    items: list[PageItem]
    more: bool
    end: int


class Records(msgspec.Struct, frozen=True):
    """Records that follow an offset; ``end`` is the offset from which to continue."""

    records: list[Record]
    end: int


class Trimmed(msgspec.Struct, frozen=True):
    """The records at the offset have been dropped; the newest of each key has to be listed."""


ReadResult: TypeAlias = Records | Trimmed | Unavailable


class Store(Protocol):
    """The store, as its adapter implements it. Time-outs are in seconds."""

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        """Append all records or none; with ``at``, only if the topic ends at that offset."""
        ...

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        """Return the newest record of each key that follows ``after``.

        ``progress`` records the data of the answer as they arrive; each arrival restarts the
        time-out.
        """
        ...

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        """Return the records that follow an offset, waiting up to ``wait`` seconds for one.

        With ``progress``, an answer that has begun to arrive is awaited while more data arrive.
        """
        ...
