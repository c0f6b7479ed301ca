"""Transfer of a configuration in parts: reassembly, slots, compatibility with older versions."""

import asyncio
import os
import random
import subprocess
import sys
from collections.abc import Coroutine

import msgspec
import pytest

from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.configuration_parts import (
    PART_BYTES,
    IncomingTransfer,
    InvalidParts,
    PackedConfiguration,
    TransferSlots,
    pack,
)
from sablemount.control.configuration_source import RETRY_DELAY_S, ConfigurationSource
from sablemount.control.figures import Metrics
from sablemount.control.leader_link import LeaderLink
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import (
    ConfigurationCall,
    ConfigurationNews,
    ConfigurationReply,
    LeaderRecord,
    Message,
    Pong,
    Reply,
)
from sablemount.control.network import CallFailed
from sablemount.jobs.model import Configuration, Organisation, Queue, QueueTerms
from sablemount.jobs.settings import JobSettings
from tests.emulator.directory import Codec
from tests.emulator.loop import run
from tests.emulator.network import EmulatedNetwork


def _configuration(version: int, key_bytes: int = 32, organisations: int = 4_000) -> Configuration:
    """Return a configuration with random keys, which do not compress."""
    rng = random.Random(version)
    random_organisations = tuple(
        Organisation(f"o{number}", (rng.randbytes(key_bytes),)) for number in range(organisations)
    )
    queue = Queue("host", "/queue/", QueueTerms("work", "pool"))
    return Configuration(version, (queue,), keyed=True, organisations=random_organisations)


def _pack(configuration: Configuration) -> PackedConfiguration:
    return run(pack(configuration))


def _transfer(packed: PackedConfiguration) -> IncomingTransfer:
    transfer = IncomingTransfer(packed.part(ConfigurationCall(-1, True)), 0.0)
    while not transfer.is_complete:
        reply = packed.part(transfer.next_call(-1))
        assert 0 < len(reply.part) <= PART_BYTES
        assert transfer.add(reply)
    return transfer


# -- Parts -----------------------------------------------------------------------------------


@pytest.mark.parametrize("organisations", [0, 1, 4_000])
def test_the_parts_together_are_the_configuration(organisations: int) -> None:
    configuration = _configuration(3, organisations=organisations)
    assert _transfer(_pack(configuration)).configuration() == configuration


def test_parts_of_another_version_are_not_taken_for_the_next() -> None:
    packed, other = _pack(_configuration(3)), _pack(_configuration(4))
    transfer = IncomingTransfer(packed.part(ConfigurationCall(-1, True)), 0.0)
    reply = other.part(transfer.next_call(-1))
    assert reply.offset == 0
    assert not transfer.add(reply)
    assert transfer.received == PART_BYTES


def test_a_part_that_comes_twice_counts_once() -> None:
    packed = _pack(_configuration(3))
    transfer = IncomingTransfer(packed.part(ConfigurationCall(-1, True)), 0.0)
    second = packed.part(transfer.next_call(-1))
    assert transfer.add(second)
    assert not transfer.add(second)
    assert transfer.received == 2 * PART_BYTES


def test_what_was_damaged_is_no_configuration() -> None:
    packed = _pack(_configuration(3))
    corrupted = msgspec.structs.replace(packed, data=packed.data[:-1] + b"\0")
    with pytest.raises(InvalidParts):
        _transfer(corrupted).configuration()


def test_each_process_packs_the_same_bytes() -> None:
    program = (
        "import asyncio\n"
        "from sablemount.control.configuration_parts import pack\n"
        "from sablemount.jobs.model import Configuration\n"
        "pools = frozenset(f'pool-{number}' for number in range(50))\n"
        "print(asyncio.run(pack(Configuration(1, pools=pools))).check)\n"
    )
    outputs = set()
    for seed in ("1", "2", "3"):
        environment = {
            **os.environ,
            "PYTHONHASHSEED": seed,
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        command = [sys.executable, "-c", program]
        outputs.add(
            subprocess.run(command, env=environment, capture_output=True, check=True).stdout
        )
    assert len(outputs) == 1


# -- Slots -----------------------------------------------------------------------------------


def test_only_so_many_are_served_at_a_time() -> None:
    slots = TransferSlots()
    assert [slots.acquire(name, 2, 0.0) for name in "abcd"] == [True, True, False, False]
    assert [slots.acquire(name, 2, 0.1) for name in "dcba"] == [False, False, True, True]


def test_whoever_came_first_is_next() -> None:
    slots = TransferSlots()
    assert [slots.acquire(name, 1, 0.0) for name in "abc"] == [True, False, False]
    slots.release_soon("a", 0.1)
    assert [slots.acquire(name, 1, 0.3) for name in "cb"] == [False, True]


def test_the_last_part_is_on_its_way_before_the_next_member_is_served() -> None:
    slots = TransferSlots()
    assert slots.acquire("a", 1, 0.0)
    slots.release_soon("a", 0.0)
    assert not slots.acquire("b", 1, 0.05)
    assert slots.acquire("b", 1, 0.15)


def test_whoever_asks_no_more_keeps_nobody_out() -> None:
    slots = TransferSlots()
    assert [slots.acquire(name, 1, 0.0) for name in "abc"] == [True, False, False]
    assert not slots.acquire("c", 1, 0.9)
    assert slots.acquire("c", 1, 1.1)


# -- Replies of a source ---------------------------------------------------------------------


def _source(mbits: float, configuration: Configuration) -> ConfigurationSource:
    return ConfigurationSource(mbits, Metrics(), lambda: configuration)


def test_a_small_link_serves_few_at_a_time() -> None:
    async def scenario() -> None:
        source = _source(5.0, _configuration(3))
        call = ConfigurationCall(1, True)
        replies = [await source.answer(f"m{number}", call) for number in range(33)]
        assert sum(len(reply.part) for reply in replies) <= 0.1 * 5.0 * 125_000
        assert [reply.later for reply in replies].count(RETRY_DELAY_S) == 31

    run(scenario())


def test_a_small_configuration_is_given_to_many_at_once() -> None:
    async def scenario() -> None:
        source = _source(5.0, _configuration(3, organisations=4))
        call = ConfigurationCall(1, True)
        replies = [await source.answer(f"m{number}", call) for number in range(33)]
        assert all(reply.part for reply in replies)

    run(scenario())


def test_whoever_has_the_version_gets_nothing() -> None:
    async def scenario() -> None:
        source = _source(5.0, _configuration(3))
        assert await source.answer("m", ConfigurationCall(3, True)) == ConfigurationReply()

    run(scenario())


# -- Compatibility with older versions -------------------------------------------------------


class _OlderCall(msgspec.Struct, frozen=True, tag="ConfigurationCall"):
    version: int


class _OlderReply(msgspec.Struct, frozen=True, tag="ConfigurationReply"):
    configuration: Configuration | None = None


def test_an_older_member_gets_it_whole() -> None:
    async def scenario() -> None:
        configuration = _configuration(3)
        sent = msgspec.msgpack.encode(_OlderCall(1))
        call = msgspec.msgpack.decode(sent, type=Message)
        assert isinstance(call, ConfigurationCall)
        reply = await _source(100.0, configuration).answer("m", call)
        answer = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=_OlderReply)
        assert answer.configuration == configuration

    run(scenario())


def test_older_members_do_not_fill_the_link() -> None:
    async def scenario() -> None:
        configuration = _configuration(3, organisations=16_000)
        source = _source(100.0, configuration)
        size = len(msgspec.msgpack.encode(configuration))
        replies = []
        for _ in range(50):
            for number in range(33):
                replies.append(await source.answer(f"m{number}", ConfigurationCall(1)))
            await asyncio.sleep(0.1)
        complete_replies = sum(reply.configuration is not None for reply in replies)
        assert complete_replies >= 2
        assert size * (complete_replies - 1) <= 0.5 * 5.0 * 100.0 * 125_000

    run(scenario())


def test_an_older_process_understands_a_call_for_parts() -> None:
    sent = msgspec.msgpack.encode(ConfigurationCall(1, True, 2, 3, 4))
    assert msgspec.msgpack.decode(sent, type=_OlderCall) == _OlderCall(1)


class _OlderLeaderLink:
    """A link to a leader of an older version, which does not support parts."""

    closed = False
    peer = "leader"

    def __init__(self, configuration: Configuration, delay_s: float = 0.0) -> None:
        self.messages: list[Message] = []
        self._configuration = configuration
        self._delay_s = delay_s

    async def call(self, message: Message, timeout: float) -> Reply:
        self.messages.append(message)
        await asyncio.sleep(min(timeout, self._delay_s))
        if timeout < self._delay_s:
            raise CallFailed("no answer in time", True)
        encoded = msgspec.msgpack.encode(_OlderReply(self._configuration))
        return msgspec.msgpack.decode(encoded, type=ConfigurationReply)


def _feed(leader: _OlderLeaderLink) -> ConfigurationFeed:
    async def refuse(link: object, message: Message) -> Reply:
        raise AssertionError

    link = LeaderLink(
        MemberSettings("m", "m", JobSettings()), EmulatedNetwork().member_network("m"), refuse
    )
    link.follow(LeaderRecord(1, "leader", "leader", "life"))
    link._link, link.leader_active = leader, True  # type: ignore[assignment]

    def spawn(work: Coroutine[object, object, None]) -> "asyncio.Task[None]":
        return asyncio.get_running_loop().create_task(work)

    feed = ConfigurationFeed(Codec(), link, Metrics(), spawn)
    feed.offer(Configuration(1), "store")
    return feed


def test_an_older_leader_gives_it_whole_also_if_that_takes_a_second() -> None:
    async def scenario() -> None:
        configuration = _configuration(3)
        feed = _feed(_OlderLeaderLink(configuration, 1.4))
        for _ in range(40):
            feed.on_pong(Pong(1, True, 0.0, configuration=3), 0.0)
            await asyncio.sleep(0.15)
        assert feed.gate.configuration == configuration

    run(scenario())


def test_an_older_leader_that_wants_it_gets_it_whole_and_once_at_a_time() -> None:
    async def scenario() -> None:
        leader = _OlderLeaderLink(Configuration(), 1.0)
        feed = _feed(leader)
        feed.offer(_configuration(3), "store")
        for _ in range(3):
            feed.on_pong(Pong(1, True, 0.0, configuration=1, wants_configuration=True), 0.0)
            await asyncio.sleep(0.3)
        assert leader.messages == [ConfigurationNews(_configuration(3))]

    run(scenario())


# -- Waiting callers -------------------------------------------------------------------------


def test_callers_that_wait_share_one_call() -> None:
    async def scenario() -> None:
        configuration = _configuration(3)
        leader = _OlderLeaderLink(configuration, 0.1)
        feed = _feed(leader)
        reached = await asyncio.gather(*(feed.wait_for_version(3, 0.4) for _ in range(50)))
        assert all(reached)
        assert len(leader.messages) == 1

    run(scenario())


def test_a_caller_does_not_wait_for_longer_than_it_may() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        feed = _feed(_OlderLeaderLink(_configuration(3), 30.0))
        started_at = loop.time()
        assert not await feed.wait_for_version(3, 0.4)
        assert loop.time() - started_at < 0.41

    run(scenario())


def test_a_caller_sees_at_once_that_there_is_no_leader() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        feed = _feed(_OlderLeaderLink(_configuration(3)))
        feed._link.leader_active = False
        started_at = loop.time()
        assert not await feed.wait_for_version(3, 0.4)
        assert loop.time() - started_at < 0.06

    run(scenario())
