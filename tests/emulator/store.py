"""The emulated store: keyed topics, fenced producers, and the ways in which it fails."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from sablemount.control.progress import TransferProgress
from sablemount.control.store import (
    Appended,
    AppendResult,
    Conflict,
    Fenced,
    Page,
    PageItem,
    Producer,
    ReadResult,
    Records,
    Topic,
    Trimmed,
    Unavailable,
    WrongSequence,
)
from sablemount.jobs.records import Record
from tests.emulator.loop import outside

PAGE = 500
PAGE_BYTES = READ_BYTES = 1_048_576
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
LENGTH_BYTES = 4
REMEMBERED = 5
LAST_KEY = "\U0010ffff"
"""Follows all keys."""
LONGEST_WAIT = 2.0
"""Seconds; with more to do first, an append is refused."""


def _size(record: Record) -> int:
    return 1 + len(record.key.encode(errors="surrogateescape")) + len(record.value)


@dataclass
class _Topic:
    records: list[Record] = field(default_factory=list)
    first: int = 0
    newest: dict[str, PageItem] = field(default_factory=dict)
    epoch: int = -1
    sequence: int | None = 0
    """The number that must come next; ``None`` while an epoch has no records: they begin at any."""
    answers: dict[int, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, records: list[Record]) -> None:
        for record in records:
            if record.value:
                self.newest[record.key] = PageItem(record, self.end)
            else:
                self.newest.pop(record.key, None)
            self.records.append(record)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()

    def page(self, after: str, most: int) -> Page:
        """Return the newest records of the keys that follow one, so many at most."""
        keys = sorted(key for key in self.newest if key > after)
        items: list[PageItem] = []
        size = 0
        for key in keys[:most]:
            if size >= PAGE_BYTES:
                break
            items.append(self.newest[key])
            size += len(self.newest[key].record.value)
        return Page(items, len(items) < len(keys), self.end)

    def after(self, offset: int) -> Records | Trimmed:
        """Return the records from an offset on, as many as fit into an answer; one at least."""
        if offset < self.first:
            return Trimmed()
        found: list[Record] = []
        size = 0
        for record in self.records[offset - self.first :]:
            size += LENGTH_BYTES + _size(record)
            if found and size > READ_BYTES:
                break
            found.append(record)
        return Records(found, offset + len(found))


class StoreState:
    """What the store keeps, and the faults in force."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.topics = {topic: _Topic() for topic in Topic}
        self.down = False
        self.turned_away: set[str] = set()
        self.refusing = 0.0
        """Share of calls that it refuses at once."""
        self.resets = False
        """Whether a refusal ends the connection, so that its caller can't tell what was done."""
        self.blind: set[str] = set()
        """Members that hear of no new configuration, though the store answers them."""
        self.unread: dict[str, str] = {}
        """Key of the jobs' topic from which on members get no answer to their reads of it."""
        self.unlisted: set[str] = set()
        """Members that get no answer to their reads of the leaders' topic."""
        self.conflicts = 0
        """Appends that were refused because their topic had moved on."""
        self.latency = 0.004
        self.share_there = (0.8, 1.0)
        """Least and most share of that time after which a call is carried out."""
        self.page = PAGE
        """Records of one page of the newest."""
        self.append_time = 0.0
        """Seconds that one append takes; appends of one topic are carried out in turn."""
        self._free_at: dict[Topic, float] = {}
        self.turns = 0
        """Appends that arrived while they take time, with those that are sent again."""
        self.lost = 0.0
        self.late = False
        self.appends = 0
        self.claims: list[int] = []
        """Epochs in the order in which they were claimed."""

    def refuses(self) -> bool:
        """Draw whether a call is refused at once."""
        return self.refusing > 0.0 and self.rng.random() < self.refusing

    def turn(self, topic: Topic, now: float) -> float:
        """Return when an append that arrives now is carried out."""
        self.turns += 1
        self._free_at[topic] = max(now, self._free_at.get(topic, now)) + self.append_time
        return self._free_at[topic]

    def backlog(self, topic: Topic, now: float) -> float:
        """Return the seconds for which an append that arrives now has to wait."""
        return max(0.0, self._free_at.get(topic, now) - now)

    def forget_history(self) -> None:
        for topic in self.topics.values():
            topic.first = topic.end
            topic.records = []

    def append(
        self, topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        sizes = [_size(record) for record in records]
        if (
            sum(sizes) + LENGTH_BYTES * len(sizes) > CALL_BYTES
            or max(sizes, default=0) > RECORD_BYTES
        ):
            return Unavailable("status 400", certain=True)
        kept = self.topics[topic]
        if producer is not None:
            answer = self._check(kept, producer, bool(records))
            if answer is not None:
                return answer
        if at is not None and at != kept.end:
            self.conflicts += 1
            return Conflict(kept.end)
        if producer is not None:
            if producer.epoch > kept.epoch:
                kept.epoch = producer.epoch
                kept.sequence = None
                kept.answers = {}
            if records:
                kept.sequence = producer.sequence + 1
                kept.answers[producer.sequence] = kept.end + len(records)
                kept.answers.pop(producer.sequence - REMEMBERED, None)
        kept.add(records)
        if topic is Topic.LEADER:
            self.claims += [msgspec.msgpack.decode(record.value)["epoch"] for record in records]
        self.appends += 1
        return Appended(kept.end)

    @staticmethod
    def _check(kept: _Topic, producer: Producer, some: bool) -> AppendResult | None:
        if producer.epoch < kept.epoch:
            return Fenced(kept.epoch)
        if producer.epoch > kept.epoch or not some:
            # One without records is held against the epoch only.
            return None
        if kept.sequence is None or producer.sequence == kept.sequence:
            return None
        if producer.sequence in kept.answers:
            return Appended(kept.answers[producer.sequence])
        return WrongSequence(kept.sequence)


class EmulatedStore:
    """The store as one member sees it.

    An append that has been sent is carried out whatever becomes of its caller: only its answer is
    awaited for some seconds. Those on different connections may overtake one another.
    """

    def __init__(self, state: StoreState, member: str) -> None:
        self._state = state
        self._member = member

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[AppendResult] = loop.create_future()
        there, back = self._travel()
        carry_out = partial(self._state.append, topic, records, producer, at)
        loop.call_later(there, self._arrived, topic, carry_out, back, answer, context=outside())
        try:
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError:
            return Unavailable("no answer")

    def _arrived(
        self,
        topic: Topic,
        carry_out: Callable[[], AppendResult],
        back: float,
        answer: "asyncio.Future[AppendResult]",
    ) -> None:
        """Carry an append out, after those before it and with or without an answer."""
        state = self._state
        loop = asyncio.get_running_loop()
        if self._away():
            return
        if state.refuses():
            loop.call_later(back, self._answer, answer, self._refusal())
            return
        if state.lost and state.rng.random() < state.lost:
            delay = state.rng.uniform(1.0, 6.0) if state.late else 0.0
            loop.call_later(delay, carry_out)
            return

        def take_turn() -> None:
            loop.call_later(back, self._answer, answer, carry_out())

        if not state.append_time:
            take_turn()
        elif state.backlog(topic, loop.time()) > LONGEST_WAIT:
            refusal = Unavailable("status 503", certain=True)
            loop.call_later(back, self._answer, answer, refusal)
        else:
            loop.call_at(state.turn(topic, loop.time()), take_turn)

    def _refusal(self) -> Unavailable:
        if self._state.resets:
            return Unavailable("the connection was reset")
        return Unavailable("status 503", certain=True)

    def _answer(self, answer: "asyncio.Future[AppendResult]", result: AppendResult) -> None:
        if not answer.done() and not self._away():
            answer.set_result(result)

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        if self._unread(topic, after):
            await asyncio.sleep(timeout)
            return Unavailable("no answer")
        back = await self._reach(timeout)
        if back is None or self._blind_to(topic):
            return Unavailable("no answer")
        if self._state.refuses():
            return self._refusal()
        page = self._state.topics[topic].page(after, self._state.page)
        await asyncio.sleep(back)
        return page

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        if self._unread(topic, LAST_KEY):
            await asyncio.sleep(wait + 0.8)
            return Unavailable("no answer")
        back = await self._reach(wait + 0.8)
        if back is None:
            return Unavailable("no answer")
        if self._state.refuses():
            return self._refusal()
        kept = self._state.topics[topic]
        if offset >= kept.end:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(kept.changed.wait(), wait)
        if self._away() or self._blind_to(topic) or self._unlisted(topic):
            return Unavailable("the connection was lost")
        found = kept.after(offset)
        await asyncio.sleep(back)
        return found

    def _blind_to(self, topic: Topic) -> bool:
        return topic is Topic.CONFIGURATION and self._member in self._state.blind

    def _unlisted(self, topic: Topic) -> bool:
        return topic is Topic.LEADER and self._member in self._state.unlisted

    def _unread(self, topic: Topic, after: str) -> bool:
        if self._unlisted(topic):
            return True
        first = self._state.unread.get(self._member)
        return topic is Topic.JOBS and first is not None and after >= first

    def _away(self) -> bool:
        return self._state.down or self._member in self._state.turned_away

    def _travel(self) -> tuple[float, float]:
        """Return the seconds that a call needs to the store, and that its answer needs back."""
        rng = self._state.rng
        both = self._state.latency * rng.uniform(0.8, 1.2)
        there = both * rng.uniform(*self._state.share_there)
        return there, both - there

    async def _reach(self, timeout: float) -> float | None:
        """Travel to the store; return the seconds back, or ``None`` if no answer comes in time."""
        there, back = self._travel()
        if self._away() or there + back > timeout:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(there)
        return None if self._away() else back
