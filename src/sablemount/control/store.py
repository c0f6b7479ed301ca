"""What the product needs of the platform's store: keyed topics with fenced appends.

Each topic is one ordered log in which the newest record of each key is kept for good.
"""

import enum
from typing import Protocol, TypeAlias

import msgspec

from sablemount.control.progress import Progress
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
    """The keyed topics: two of our own, and two that others write."""

    JOBS = "jobs"
    LEADER = "leader"
    VMS = "vms"
    CONFIGURATION = "configuration"


class Producer(msgspec.Struct, frozen=True):
    """A writer: a lower ``epoch`` is fenced by a higher one, ``sequence`` counts its appends."""

    name: str
    epoch: int
    sequence: int


class Appended(msgspec.Struct, frozen=True):
    """The append is done, now or by an earlier attempt; ``end`` is the offset after it."""

    end: int


class Fenced(msgspec.Struct, frozen=True):
    """Refused: a higher epoch has written."""

    epoch: int


class WrongSequence(msgspec.Struct, frozen=True):
    """Refused: another sequence number is wanted."""

    wanted: int


class Conflict(msgspec.Struct, frozen=True):
    """Refused: the topic does not end at the offset that was named."""

    end: int


class Unavailable(msgspec.Struct, frozen=True):
    """No usable answer; if ``certain``, nothing was done.

    ``received`` is how many bytes of an answer came.
    """

    reason: str
    certain: bool = False
    received: int = 0


AppendResult: TypeAlias = Appended | Fenced | WrongSequence | Conflict | Unavailable


class PageItem(msgspec.Struct, frozen=True):
    """The newest record of a key, and its offset."""

    record: Record
    offset: int


class Page(msgspec.Struct, frozen=True):
    """Newest records in the order of their keys; ``more`` tells that others follow."""

    items: list[PageItem]
    more: bool
    end: int


class Records(msgspec.Struct, frozen=True):
    """Records that follow an offset; ``end`` is the offset to go on from."""

    records: list[Record]
    end: int


class Trimmed(msgspec.Struct, frozen=True):
    """The records at the offset are gone; the newest of each key has to be read."""


ReadResult: TypeAlias = Records | Trimmed | Unavailable


class Store(Protocol):
    """The store, as its adapter gives it. Timeouts are in seconds."""

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        """Append records, all or none; with ``at``, only if the topic ends there."""
        ...

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: Progress | None = None
    ) -> Page | Unavailable:
        """Return the newest records of the keys that follow ``after``.

        ``progress`` takes what has arrived of the answer, and the time-out begins anew with it.
        """
        ...

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: Progress | None = None
    ) -> ReadResult:
        """Return what follows an offset, waiting up to some seconds for a record.

        With ``progress`` an answer that has begun to arrive is awaited while more of it comes.
        """
        ...
