"""A claim that is sent again while its answer is lost wins only where the first would have won."""

import asyncio
import random

import msgspec

from sablemount.control.election import LEADER_KEY, Election
from sablemount.control.figures import Figures
from sablemount.control.leader_link import LeaderLink
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
from sablemount.control.preload import Preload
from sablemount.control.store import AppendResult, Topic, Unavailable
from sablemount.jobs.records import Record
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run
from tests.emulator.network import Wires
from tests.emulator.store import EmulatedStore, StoreState
from tests.jobs.stores import ArrangedStore

VIEW_TAKES = 0.1
"""Seconds that another member needs to tell its view."""


class _LosesFirst(ArrangedStore):
    """Carries out nothing of the first append, and does not answer it."""

    appends = 0

    async def arranged(self, records: list[Record], timeout: float) -> AppendResult | None:
        self.appends += 1
        if self.appends == 1:
            await asyncio.sleep(timeout)
            return Unavailable("no answer")
        return None


async def _nothing(link: Link, message: Message) -> Reply:
    return TakeOverReply(False)


async def _misses_the_leader(link: Link, message: Message) -> Reply:
    await asyncio.sleep(VIEW_TAKES)
    return LeaderView(1, 9.0, False)


class _Candidate:
    def __init__(self) -> None:
        self.state = StoreState(random.Random(1))
        self.won: list[int] = []
        settings = MemberSettings("mine", "mine", JobSettings())
        self.wires = Wires()
        self.link = LeaderLink(settings, self.wires.port("mine"), _nothing)
        self.election = Election(
            settings,
            _LosesFirst(self.state, "mine"),
            self.link,
            random.Random(2),
            Figures(),
            self._seen,
            self.won.append,
            Preload(EmulatedStore(self.state, "mine")).begin,
            lambda: True,
        )

    def _seen(self, record: LeaderRecord) -> None:
        self.link.follow(record)

    async def claim(self) -> None:
        """Claim the first leadership, whose first answer does not come."""
        self.election.listed([], 0)
        await asyncio.sleep(0.5)
        await self.election.consider()

    def follow(self, leader: str) -> None:
        """Follow a leader, and know one other member, which does not hear that leader."""
        record = Record(LEADER_KEY, msgspec.msgpack.encode(LeaderRecord(1, leader, leader, "life")))
        self.state.topics[Topic.LEADER].add([record])
        self.election.listed([], 0)
        self.election.told([record], 1)
        self.link.addresses = {"third": "third"}
        self.wires.port("third").listen("third", _misses_the_leader, lambda link: None)

    def other_claims(self) -> None:
        """Let another member claim the same epoch, and this one hear of it."""
        claim = LeaderRecord(1, "other", "other", "another life")
        record = Record(LEADER_KEY, msgspec.msgpack.encode(claim))
        self.state.topics[Topic.LEADER].add([record])
        self.election.told([record], self.state.topics[Topic.LEADER].end)


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
        await candidate.election.consider()
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
            VIEW_TAKES / 2, lambda: candidate.link.suspicion.heard(pong, loop.time(), 0.5)
        )
        await candidate.election.consider()
        assert candidate.won == []
        assert candidate.state.topics[Topic.LEADER].end == 1

    run(scenario())
