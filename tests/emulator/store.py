"""The emulated store: keyed topics, fenced producers, and the ways in which it fails."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

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

PAGE = 500
REMEMBERED = 5


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


class StoreState:
    """What the store keeps, and the faults in force."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.topics = {topic: _Topic() for topic in Topic}
        self.down = False
        self.turned_away: set[str] = set()
        self.blind: set[str] = set()
        """Members that hear of no new configuration, though the store answers them."""
        self.latency = 0.004
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

    def turn(self, topic: Topic, now: float) -> float:
        """Return when an append that arrives now is carried out."""
        self.turns += 1
        self._free_at[topic] = max(now, self._free_at.get(topic, now)) + self.append_time
        return self._free_at[topic]

    def forget_history(self) -> None:
        for topic in self.topics.values():
            topic.first = topic.end
            topic.records = []

    def append(
        self, topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        kept = self.topics[topic]
        if producer is not None:
            answer = self._check(kept, producer, bool(records))
            if answer is not None:
                return answer
        if at is not None and at != kept.end:
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
    """The store as one member sees it."""

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
        state = self._state
        if not await self._reach(timeout):
            return Unavailable("no answer")
        if state.lost and state.rng.random() < state.lost:
            if state.late:
                delay = state.rng.uniform(1.0, 6.0)
                asyncio.get_running_loop().call_later(
                    delay, state.append, topic, records, producer, at
                )
            else:
                state.append(topic, records, producer, at)
            await asyncio.sleep(timeout)
            return Unavailable("the answer was lost")
        if state.append_time:
            return await self._in_turn(topic, records, producer, at)
        return state.append(topic, records, producer, at)

    async def _in_turn(
        self, topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        """Carry an append out after those before it, also if its caller has left by then."""
        state = self._state
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[AppendResult] = loop.create_future()

        def carry_out() -> None:
            result = state.append(topic, records, producer, at)
            if not answer.done():
                answer.set_result(result)

        loop.call_at(state.turn(topic, loop.time()), carry_out)
        return await answer

    async def newest(self, topic: Topic, after: str, timeout: float) -> Page | Unavailable:
        if not await self._reach(timeout) or self._blind_to(topic):
            return Unavailable("no answer")
        kept = self._state.topics[topic]
        items = [kept.newest[key] for key in sorted(kept.newest) if key > after]
        page = self._state.page
        return Page(items[:page], len(items) > page, kept.end)

    async def read(self, topic: Topic, offset: int, wait: float) -> ReadResult:
        if not await self._reach(wait + 0.8):
            return Unavailable("no answer")
        kept = self._state.topics[topic]
        if offset < kept.first:
            return Trimmed()
        if offset >= kept.end:
            try:
                await asyncio.wait_for(kept.changed.wait(), wait)
            except TimeoutError:
                return Records([], kept.end)
        if self._away() or self._blind_to(topic):
            return Unavailable("the connection was lost")
        if offset < kept.first:
            return Trimmed()
        found = kept.records[offset - kept.first :]
        return Records(found, kept.end)

    def _blind_to(self, topic: Topic) -> bool:
        return topic is Topic.CONFIGURATION and self._member in self._state.blind

    def _away(self) -> bool:
        return self._state.down or self._member in self._state.turned_away

    async def _reach(self, timeout: float) -> bool:
        latency = self._state.latency
        if self._away() or latency > timeout:
            await asyncio.sleep(timeout)
            return False
        await asyncio.sleep(latency * self._state.rng.uniform(0.8, 1.2))
        return not self._away()
