"""A claim repeated after a lost answer wins only where the first attempt would have won."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec
import pytest

from sablemount.control.election import LEADER_KEY, Election
from sablemount.control.figures import Metrics
from sablemount.control.leader_link import LeaderLink
from sablemount.control.member import CLAIM_CHECK_INTERVAL_S
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import (
    LeaderRecord,
    LeaderView,
    Message,
    Pong,
    Reply,
    TakeOverReply,
)
from sablemount.control.network import Link
from sablemount.control.preload import JobsSnapshot, Preload, load_records
from sablemount.control.progress import TransferProgress
from sablemount.control.store import AppendResult, Page, Topic, Unavailable
from sablemount.jobs.records import Record
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run
from tests.emulator.network import EmulatedNetwork
from tests.emulator.store import EmulatedStore, StoreState
from tests.jobs.stores import InterceptingStore

MAX_POLLS = 15
"""Polls of the leader topic in 20 s while the store refuses them: the pauses grow to some
seconds."""
INFORMED_CLAIM_LIMIT_S = 1.5
"""Seconds within which a member claims after it was informed of a leader that nobody hears."""
RECOVERED_CLAIM_LIMIT_S = 9.0
"""Seconds within which a member claims once the store returns the end offset again: 1.5 times the
longest pause, and the duration of a claim."""
VIEW_DELAY_S = 0.1
"""Seconds that another member takes to return its view."""
SLOW_READ_S = 0.12
"""Seconds that a read of the leader topic takes, within which a store counts as fast."""
OUTCOMES = ["read", "nothing", "cancelled", "error"]
"""How a read of the persistent state ends."""


class _FirstAppendLost(InterceptingStore):
    """Neither carries out nor answers the first append."""

    appends = 0

    async def arranged(self, records: list[Record], timeout: float) -> AppendResult | None:
        self.appends += 1
        if self.appends == 1:
            await asyncio.sleep(timeout)
            return Unavailable("no answer")
        return None


class _ReadsRefused(EmulatedStore):
    """Refuses reads of the leader topic at once, but accepts appends."""

    refusing = True
    polls = 0

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        if topic is not Topic.LEADER or not self.refusing:
            return await super().newest(topic, after, timeout, progress)
        self.polls += 1
        return Unavailable("status 503", certain=True)


class _ReadsSlowly(EmulatedStore):
    """Takes some seconds for a page of the leader topic; ``on_read`` is called meanwhile."""

    def __init__(self, state: StoreState, name: str) -> None:
        super().__init__(state, name)
        self.on_read: Callable[[], None] = lambda: None

    async def newest(
        self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
    ) -> Page | Unavailable:
        if topic is Topic.LEADER:
            await asyncio.sleep(SLOW_READ_S)
            self.on_read()
        return await super().newest(topic, after, timeout, progress)


class _Reads:
    """Starts reads of the persistent state, which end as a test says."""

    def __init__(self, outcome: str, seconds: float) -> None:
        self.outcome = outcome
        self.seconds = seconds
        self.tasks: list[asyncio.Task[JobsSnapshot | None]] = []

    def start(self) -> "asyncio.Task[JobsSnapshot | None]":
        self.tasks.append(asyncio.get_running_loop().create_task(self._read()))
        return self.tasks[-1]

    async def _read(self) -> JobsSnapshot | None:
        await asyncio.sleep(self.seconds)
        if self.outcome == "cancelled":
            raise asyncio.CancelledError
        if self.outcome == "error":
            raise ValueError("wrong")
        return JobsSnapshot([], 0) if self.outcome == "read" else None


async def _decline_takeover(link: Link, message: Message) -> Reply:
    return TakeOverReply(False)


async def _view_without_leader(link: Link, message: Message) -> Reply:
    await asyncio.sleep(VIEW_DELAY_S)
    return LeaderView(1, 9.0, False)


class _Candidate:
    def __init__(
        self,
        kind: type[EmulatedStore] = _FirstAppendLost,
        state: StoreState | None = None,
        name: str = "mine",
    ) -> None:
        self.name = name
        self.state = state or StoreState(random.Random(1))
        self.store = kind(self.state, name)
        self.won: list[int] = []
        settings = MemberSettings(name, name, JobSettings())
        self.wires = EmulatedNetwork()
        self.link = LeaderLink(settings, self.wires.member_network(name), _decline_takeover)
        self.election = Election(
            settings,
            self.store,
            self.link,
            random.Random(name),
            Metrics(),
            self._on_leader,
            self.won.append,
            Preload(EmulatedStore(self.state, name)).start,
            lambda: True,
        )

    def _on_leader(self, record: LeaderRecord) -> None:
        self.link.follow(record)

    async def claim(self) -> None:
        """Claim the first leadership; the first answer is lost."""
        self.election.on_listed([], 0)
        await asyncio.sleep(0.5)
        await self.election.claim_if_due()

    def follow(self, leader: str) -> None:
        """Follow a leader, and know one other member, which does not hear that leader."""
        record = Record(LEADER_KEY, msgspec.msgpack.encode(LeaderRecord(1, leader, leader, "life")))
        self.state.topics[Topic.LEADER].add([record])
        self.election.on_listed([], 0)
        self.election.on_records([record], 1)
        self.link.addresses = {"third": "third"}
        self.wires.member_network("third").listen("third", _view_without_leader, lambda link: None)

    def use_reads(self, outcome: str, seconds: float) -> _Reads:
        """Read the persistent state in this way; this member is not sure that it can."""
        reads = _Reads(outcome, seconds)
        self.election._start_preload = reads.start
        self.election._reads_succeed = lambda: False
        return reads

    def own_claim_is_read(self) -> None:
        """Read a claim of the next epoch by this member, which got no answer."""
        claim = LeaderRecord(
            self.link.epoch + 1, self.name, self.name, self.election._incarnation, 2
        )
        record = Record(LEADER_KEY, msgspec.msgpack.encode(claim))
        self.state.topics[Topic.LEADER].add([record])
        self.election.on_records([record], self.state.topics[Topic.LEADER].end)

    def hear_stalled_load(self) -> None:
        """Hear, for long enough, that the leader's load makes no progress."""
        now = asyncio.get_running_loop().time()
        pong = Pong(self.link.epoch, False, 0.0, True, loaded=0)
        for ago in (60.0, 0.0):
            self.link.suspicion.on_pong(pong, now - ago)

    async def claim_within(self, seconds: float) -> None:
        """Check whether a claim is due until this member has won one or the time is over."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline and not self.won:
            await self.election.claim_if_due()
            await asyncio.sleep(CLAIM_CHECK_INTERVAL_S)

    async def unseen_claim(self) -> LeaderRecord:
        """Let another member win the next leadership, and return its record.

        This member is not informed of it.
        """
        other_candidate = _Candidate(EmulatedStore, self.state, "rival")
        page = self.state.topics[Topic.LEADER].page("", 1)
        other_candidate.election.on_listed(page.items, page.end)
        await asyncio.sleep(1.0)
        await other_candidate.election.claim_if_due()
        assert other_candidate.won == [2] and other_candidate.link.record is not None
        return other_candidate.link.record

    def other_claims(self) -> None:
        """Let another member claim the same epoch, and this one learn of it."""
        claim = LeaderRecord(1, "other", "other", "another life")
        record = Record(LEADER_KEY, msgspec.msgpack.encode(claim))
        self.state.topics[Topic.LEADER].add([record])
        self.election.on_records([record], self.state.topics[Topic.LEADER].end)


def test_a_claim_whose_answer_was_lost_is_won_by_the_next_try() -> None:
    async def scenario() -> None:
        candidate = _Candidate()
        await candidate.claim()
        assert candidate.won == [1]

    run(scenario())


def test_another_claim_in_between_is_not_written_over() -> None:
    async def scenario() -> None:
        candidate = _Candidate()
        asyncio.get_running_loop().call_later(0.6, candidate.other_claims)
        await candidate.claim()
        assert candidate.won == []
        assert candidate.link.record is not None
        assert candidate.link.record.name == "other"
        assert candidate.state.topics[Topic.LEADER].end == 1

    run(scenario())


def test_a_leader_that_nobody_hears_is_doubted_until_it_is_replaced() -> None:
    async def scenario() -> None:
        candidate = _Candidate()
        candidate.follow("other")
        await asyncio.sleep(1.0)
        await candidate.election.claim_if_due()
        assert candidate.won == [2]

    run(scenario())


def test_a_leader_that_is_heard_while_others_are_asked_is_not_replaced() -> None:
    async def scenario() -> None:
        candidate = _Candidate()
        candidate.follow("other")
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        pong = Pong(1, True, 0.0)
        loop.call_later(
            VIEW_DELAY_S / 2, lambda: candidate.link.suspicion.on_pong(pong, loop.time(), 0.5)
        )
        await candidate.election.claim_if_due()
        assert candidate.won == []
        assert candidate.state.topics[Topic.LEADER].end == 1

    run(scenario())


@pytest.mark.parametrize("seconds", [5.0, 20.0])
def test_a_claim_that_cannot_succeed_is_not_repeated(seconds: float) -> None:
    """Another member has won a leadership whose record this one cannot read."""

    async def scenario() -> None:
        candidate = _Candidate(_ReadsRefused)
        candidate.follow("other")
        await candidate.unseen_claim()
        await candidate.claim_within(seconds)
        assert candidate.state.conflicts == 1
        assert isinstance(candidate.store, _ReadsRefused)
        assert 3 <= candidate.store.polls <= MAX_POLLS

    run(scenario())


def test_a_member_that_is_told_of_a_later_leader_claims_after_it_unread() -> None:
    async def scenario() -> None:
        candidate = _Candidate(_ReadsRefused)
        candidate.follow("other")
        later = await candidate.unseen_claim()
        await candidate.claim_within(20.0)
        candidate.link.follow(later)
        await candidate.claim_within(INFORMED_CLAIM_LIMIT_S)
        assert candidate.won == [3]
        assert candidate.state.conflicts == 1

    run(scenario())


def test_a_member_that_an_earlier_release_tells_claims_once_it_can_read() -> None:
    """An earlier release reports the later leader, but not the end offset after its record."""

    async def scenario() -> None:
        candidate = _Candidate(_ReadsRefused)
        candidate.follow("other")
        later = await candidate.unseen_claim()
        candidate.link.follow(msgspec.structs.replace(later, end=0))
        await candidate.claim_within(20.0)
        assert candidate.won == []
        assert candidate.state.conflicts == 1
        assert isinstance(candidate.store, _ReadsRefused)
        candidate.store.refusing = False
        await candidate.claim_within(RECOVERED_CLAIM_LIMIT_S)
        assert candidate.won == [3]

    run(scenario())


def test_a_claim_is_dropped_if_its_preload_is_taken_by_a_claim_won_meanwhile() -> None:
    """The check failed with an internal error, after which the member never claimed again."""

    async def scenario() -> None:
        candidate = _Candidate()
        preloading = asyncio.create_task(asyncio.sleep(0.2))
        candidate.election._start_preload = lambda: preloading  # type: ignore[assignment, return-value]
        check = asyncio.create_task(candidate.election._preloaded())
        await asyncio.sleep(0.1)
        # A record of this member's own claim, which got no answer, was read.
        candidate.election.take_preload()
        assert not await check

    run(scenario())


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_a_claim_won_while_its_preload_is_read_is_not_claimed_again(outcome: str) -> None:
    """The leadership takes the read, and may end before it does."""

    async def scenario() -> None:
        candidate = _Candidate(EmulatedStore)
        candidate.follow("other")
        reads = candidate.use_reads(outcome, 0.2)
        await asyncio.sleep(1.0)
        check = asyncio.create_task(candidate.election.claim_if_due())
        await asyncio.sleep(0.1)
        candidate.own_claim_is_read()
        assert candidate.election.take_preload() is reads.tasks[0]
        await check
        assert candidate.won == [2]
        assert candidate.state.topics[Topic.LEADER].end == 2
        assert candidate.election.take_preload() is None
        assert len(reads.tasks) == 1

    run(scenario())


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_a_read_that_a_later_check_has_begun_survives_the_former_one(outcome: str) -> None:
    async def scenario() -> None:
        candidate = _Candidate(EmulatedStore)
        reads = candidate.use_reads(outcome, 0.2)
        former = asyncio.create_task(candidate.election._preloaded())
        await asyncio.sleep(0.1)
        candidate.election.take_preload()
        later = asyncio.create_task(candidate.election._preloaded())
        await asyncio.sleep(0.05)
        assert not await former
        assert await later == (outcome == "read")
        assert len(reads.tasks) == 2

    run(scenario())


@pytest.mark.parametrize("outcome", ["nothing", "cancelled", "error"])
def test_a_member_whose_preload_fails_reads_again_and_claims(outcome: str) -> None:
    async def scenario() -> None:
        candidate = _Candidate(EmulatedStore)
        candidate.follow("other")
        reads = candidate.use_reads(outcome, 0.1)
        await asyncio.sleep(1.0)
        await candidate.election.claim_if_due()
        assert candidate.won == []
        reads.outcome = "read"
        await candidate.claim_within(5.0)
        assert candidate.won == [2]
        assert len(reads.tasks) == 2

    run(scenario())


def test_a_claim_won_while_the_store_is_checked_reads_nothing_beside_the_load() -> None:
    async def scenario() -> None:
        candidate = _Candidate(_ReadsSlowly)
        candidate.follow("other")
        reads = candidate.use_reads("read", 0.1)
        candidate.hear_stalled_load()
        assert isinstance(candidate.store, _ReadsSlowly)
        candidate.store.on_read = candidate.own_claim_is_read
        await candidate.election.claim_if_due()
        assert candidate.won == [2]
        assert reads.tasks == []
        assert candidate.state.topics[Topic.LEADER].end == 2

    run(scenario())


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_a_leadership_reads_anew_if_the_read_that_it_has_taken_fails(outcome: str) -> None:
    async def scenario() -> None:
        candidate = _Candidate(EmulatedStore)
        record = Record("any", b"value")
        candidate.state.topics[Topic.JOBS].add([record])
        reads = candidate.use_reads(outcome, 0.1)
        loaded = await load_records(candidate.store, reads.start(), 1)
        assert loaded == [record]

    run(scenario())


def test_a_load_that_is_cancelled_cancels_the_read_that_it_has_taken() -> None:
    async def scenario() -> None:
        candidate = _Candidate(EmulatedStore)
        reading = candidate.use_reads("read", 5.0).start()
        load = asyncio.create_task(load_records(candidate.store, reading, 0))
        await asyncio.sleep(0.1)
        load.cancel()
        await asyncio.wait([load, reading], timeout=0.5)
        assert load.cancelled()
        assert reading.cancelled()

    run(scenario())


def test_a_read_that_fails_with_an_error_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    class Failing(EmulatedStore):
        async def newest(
            self, topic: Topic, after: str, timeout: float, progress: TransferProgress | None = None
        ) -> Page | Unavailable:
            raise ValueError("wrong")

    async def scenario() -> None:
        preload = Preload(Failing(StoreState(random.Random(1)), "m"))
        await asyncio.wait([preload.start()])
        assert preload.take() is None

    with caplog.at_level(logging.ERROR):
        run(scenario())
    assert [record.message for record in caplog.records] == ["internal error"]
