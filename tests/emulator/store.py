"""The emulated store: keyed topics, fenced producers, and its possible faults."""

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
from tests.emulator.loop import detached_context

PAGE = 500
PAGE_BYTES = READ_BYTES = 1_048_576
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
LENGTH_BYTES = 4
REMEMBERED_BATCHES = 5
LAST_KEY = "\U0010ffff"
"""Sorts after all keys."""
MAX_QUEUE_S = 2.0
"""Seconds of queued work beyond which an append is refused."""


def _record_size(record: Record) -> int:
    return 1 + len(record.key.encode(errors="surrogateescape")) + len(record.value)


@dataclass
class _Topic:
    records: list[Record] = field(default_factory=list)
    first: int = 0
    newest: dict[str, PageItem] = field(default_factory=dict)
    epoch: int = -1
    sequence: int | None = 0
    """Sequence number required next; ``None`` if the epoch has no records: it begins at any."""
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

    def page(self, after: str, limit: int) -> Page:
        """Return the newest records of the keys after the given one, up to a number of records."""
        keys = sorted(key for key in self.newest if key > after)
        items: list[PageItem] = []
        size = 0
        for key in keys[:limit]:
            if size >= PAGE_BYTES:
                break
            items.append(self.newest[key])
            size += len(self.newest[key].record.value)
        return Page(items, len(items) < len(keys), self.end)

    def after(self, offset: int) -> Records | Trimmed:
        """Return the records from an offset on that fit into a reply; at least one."""
        if offset < self.first:
            return Trimmed()
        found: list[Record] = []
        size = 0
        for record in self.records[offset - self.first :]:
            size += LENGTH_BYTES + _record_size(record)
            if found and size > READ_BYTES:
                break
            found.append(record)
        return Records(found, offset + len(found))


class StoreState:
    """The contents of the store, and its active faults."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.topics = {topic: _Topic() for topic in Topic}
        self.down = False
        self.unreachable_members: set[str] = set()
        self.refusal_share = 0.0
        """Share of the calls that are refused at once."""
        self.resets_connections = False
        """Whether a refusal resets the connection, so that the caller doesn't know the outcome."""
        self.without_configuration: set[str] = set()
        """Members that get no new configuration, though the store answers their other calls."""
        self.jobs_unread_after: dict[str, str] = {}
        """Key of the jobs topic after which reads get no reply, by member."""
        self.without_leader_topic: set[str] = set()
        """Members that get no reply to their reads of the leader topic."""
        self.conflicts = 0
        """Number of appends refused because the topic's end offset was another."""
        self.latency_s = 0.004
        self.outbound_share = (0.8, 1.0)
        """Range of the share of the latency that passes before a call is executed."""
        self.page_records = PAGE
        """Number of records on one page of ``newest``."""
        self.append_time_s = 0.0
        """Seconds that one append takes; the appends to a topic are executed one at a time."""
        self._free_at: dict[Topic, float] = {}
        self.queued_appends = 0
        """Number of appends queued while ``append_time_s`` is set, including repeated ones."""
        self.lost_reply_share = 0.0
        self.executes_lost_late = False
        self.appends = 0
        self.claimed_epochs: list[int] = []
        """Claimed epochs, in the order of their claims."""

    def draw_refusal(self) -> bool:
        """Draw whether a call is refused at once."""
        return self.refusal_share > 0.0 and self.rng.random() < self.refusal_share

    def queue_append(self, topic: Topic, now: float) -> float:
        """Queue an append that arrives now, and return the time of its execution."""
        self.queued_appends += 1
        self._free_at[topic] = max(now, self._free_at.get(topic, now)) + self.append_time_s
        return self._free_at[topic]

    def backlog(self, topic: Topic, now: float) -> float:
        """Return the seconds that an append arriving now would wait in the queue."""
        return max(0.0, self._free_at.get(topic, now) - now)

    def trim_history(self) -> None:
        for topic in self.topics.values():
            topic.first = topic.end
            topic.records = []

    def append(
        self, topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        sizes = [_record_size(record) for record in records]
        if (
            sum(sizes) + LENGTH_BYTES * len(sizes) > CALL_BYTES
            or max(sizes, default=0) > RECORD_BYTES
        ):
            return Unavailable("status 400", certain=True)
        stored = self.topics[topic]
        if producer is not None:
            answer = self._check_sequence(stored, producer, bool(records))
            if answer is not None:
                return answer
        if at is not None and at != stored.end:
            self.conflicts += 1
            return Conflict(stored.end)
        if producer is not None:
            if producer.epoch > stored.epoch:
                stored.epoch = producer.epoch
                stored.sequence = None
                stored.answers = {}
            if records:
                stored.sequence = producer.sequence + 1
                stored.answers[producer.sequence] = stored.end + len(records)
                stored.answers.pop(producer.sequence - REMEMBERED_BATCHES, None)
        stored.add(records)
        if topic is Topic.LEADER:
            self.claimed_epochs += [
                msgspec.msgpack.decode(record.value)["epoch"] for record in records
            ]
        self.appends += 1
        return Appended(stored.end)

    @staticmethod
    def _check_sequence(
        stored: _Topic, producer: Producer, has_records: bool
    ) -> AppendResult | None:
        if producer.epoch < stored.epoch:
            return Fenced(stored.epoch)
        if producer.epoch > stored.epoch or not has_records:
            # An append without records is only checked against the epoch.
            return None
        if stored.sequence is None or producer.sequence == stored.sequence:
            return None
        if producer.sequence in stored.answers:
            return Appended(stored.answers[producer.sequence])
        return WrongSequence(stored.sequence)


class EmulatedStore:
    """The store as one member sees it.

    An append that has been sent is executed even if its caller is cancelled or times out: the
    time-out limits the wait for the reply only. Appends of one member may overtake one another, as
    they use different connections.
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
        outbound, inbound = self._draw_travel_times()
        execute = partial(self._state.append, topic, records, producer, at)
        loop.call_later(
            outbound,
            self._execute_arrived,
            topic,
            execute,
            inbound,
            answer,
            context=detached_context(),
        )
        try:
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError:
            return Unavailable("no answer")

    def _execute_arrived(
        self,
        topic: Topic,
        execute: Callable[[], AppendResult],
        inbound: float,
        answer: "asyncio.Future[AppendResult]",
    ) -> None:
        """Execute an append that has arrived, after those queued before it; replies may be lost."""
        state = self._state
        loop = asyncio.get_running_loop()
        if self._is_unreachable():
            return
        if state.draw_refusal():
            loop.call_later(inbound, self._reply, answer, self._refusal_error())
            return
        if state.lost_reply_share and state.rng.random() < state.lost_reply_share:
            delay = state.rng.uniform(1.0, 6.0) if state.executes_lost_late else 0.0
            loop.call_later(delay, execute)
            return

        def execute_and_reply() -> None:
            loop.call_later(inbound, self._reply, answer, execute())

        if not state.append_time_s:
            execute_and_reply()
        elif state.backlog(topic, loop.time()) > MAX_QUEUE_S:
            refusal = Unavailable("status 503", certain=True)
            loop.call_later(inbound, self._reply, answer, refusal)
        else:
            loop.call_at(state.queue_append(topic, loop.time()), execute_and_reply)

    def _refusal_error(self) -> Unavailable:
        if self._state.resets_connections:
            return Unavailable("the connection was reset")
        return Unavailable("status 503", certain=True)

    def _reply(self, answer: "asyncio.Future[AppendResult]", result: AppendResult) -> None:
        if not answer.done() and not self._is_unreachable():
            answer.set_result(result)

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        if self._hides_read(topic, after):
            await asyncio.sleep(timeout)
            return Unavailable("no answer")
        inbound = await self._travel_to_store(timeout)
        if inbound is None or self._hides_configuration(topic):
            return Unavailable("no answer")
        if self._state.draw_refusal():
            return self._refusal_error()
        page = self._state.topics[topic].page(after, self._state.page_records)
        await asyncio.sleep(inbound)
        return page

    async def read(
        self, topic: Topic, offset: int, wait: float, progress: TransferProgress | None = None
    ) -> ReadResult:
        if self._hides_read(topic, LAST_KEY):
            await asyncio.sleep(wait + 0.8)
            return Unavailable("no answer")
        inbound = await self._travel_to_store(wait + 0.8)
        if inbound is None:
            return Unavailable("no answer")
        if self._state.draw_refusal():
            return self._refusal_error()
        stored = self._state.topics[topic]
        if offset >= stored.end:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stored.changed.wait(), wait)
        if (
            self._is_unreachable()
            or self._hides_configuration(topic)
            or self._hides_leader_topic(topic)
        ):
            return Unavailable("the connection was lost")
        found = stored.after(offset)
        await asyncio.sleep(inbound)
        return found

    def _hides_configuration(self, topic: Topic) -> bool:
        return topic is Topic.CONFIGURATION and self._member in self._state.without_configuration

    def _hides_leader_topic(self, topic: Topic) -> bool:
        return topic is Topic.LEADER and self._member in self._state.without_leader_topic

    def _hides_read(self, topic: Topic, after: str) -> bool:
        if self._hides_leader_topic(topic):
            return True
        first = self._state.jobs_unread_after.get(self._member)
        return topic is Topic.JOBS and first is not None and after >= first

    def _is_unreachable(self) -> bool:
        return self._state.down or self._member in self._state.unreachable_members

    def _draw_travel_times(self) -> tuple[float, float]:
        """Draw the seconds that a call takes to the store, and its reply takes back."""
        rng = self._state.rng
        both = self._state.latency_s * rng.uniform(0.8, 1.2)
        outbound = both * rng.uniform(*self._state.outbound_share)
        return outbound, both - outbound

    async def _travel_to_store(self, timeout: float) -> float | None:
        """Wait for the way to the store.

        Return the seconds that the reply takes, or ``None`` if there is no reply in time.
        """
        outbound, inbound = self._draw_travel_times()
        if self._is_unreachable() or outbound + inbound > timeout:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(outbound)
        return None if self._is_unreachable() else inbound
