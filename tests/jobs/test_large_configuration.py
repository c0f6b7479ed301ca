"""Transfer of a configuration that takes more than a second on a small member's link.

The store does not deliver it to the members with small links, so they request it from the leader,
whose answers to pings use the same links.
"""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec
import pytest

from sablemount.control.messages import CallerCall, Operation, Outcome
from sablemount.control.standing import MachineLimits
from sablemount.control.store import Topic
from sablemount.jobs.model import Configuration, Queue, QueueTerms
from sablemount.jobs.records import Record
from tests.emulator.loop import run
from tests.emulator.system import CALL_TIMEOUT_S, HOST, PREFIX, System

SMALL_LINK_BYTES_PER_S = 600_000.0
"""Approximate rate of a small link of 5 Mbit/s."""
LARGE_LINK_BYTES_PER_S = 12_000_000.0
"""Approximate rate of a large link of 100 Mbit/s."""
SMALL_MACHINE = MachineLimits(link_mbps=5.0)
LARGE_MACHINE = MachineLimits(link_mbps=100.0)
QUEUES = 4_245
SUSPECTED_AFTER_S = 0.6
"""Time without an answer after which a leader is suspected."""


def _configuration(version: int, seed: int = 1, queues: int = QUEUES) -> Configuration:
    """Return a configuration of about 0.8 MB whose names hardly compress."""
    rng = random.Random(seed)
    terms = QueueTerms("work", "pool", 0, 1, 2.0, 1000.0)
    all_queues = [Queue(HOST, PREFIX, terms)]
    for _ in range(queues - 1):
        name = f"{rng.getrandbits(160):040x}"
        named = msgspec.structs.replace(terms, name=name, pool=f"{rng.getrandbits(80):020x}")
        all_queues.append(Queue("other.example", f"/queue/{name}/", named))
    return Configuration(version, tuple(all_queues), pools=frozenset({"pool"}))


def _publish(system: System, configuration: Configuration) -> None:
    value = msgspec.msgpack.encode(configuration)
    system.store.topics[Topic.CONFIGURATION].add([Record("config", value)])


async def _started_system(small: int, large: int, seed: int = 5) -> tuple[System, str]:
    """Return a system, and its leader, whose small members get no configuration from the store."""
    system = System(seed, members=small + large, vms=3)
    for number, name in enumerate(system.names):
        is_small = number < small
        system.machine_limits[name] = SMALL_MACHINE if is_small else LARGE_MACHINE
        system.network.limit_bandwidth(
            name, SMALL_LINK_BYTES_PER_S if is_small else LARGE_LINK_BYTES_PER_S
        )
    system.start_all()
    await asyncio.sleep(4.0)
    leader = system.leader()
    assert leader is not None
    assert not large or leader in system.names[small:]
    system.store.without_configuration |= set(system.names[:small]) - {leader}
    return system, leader


def _behind(system: System, version: int) -> list[str]:
    return [name for name, member in system.members.items() if member.feed.version < version]


def _longest_silence(system: System, leader: str) -> float:
    """Return the longest time for which any member has had no heartbeat of the leader."""
    now = asyncio.get_running_loop().time()
    others = (member for name, member in system.members.items() if name != leader)
    return max(member._link.suspicion.silent_for(now) for member in others)


async def _wait_until(
    done: Callable[[], bool], seconds: float, observe: Callable[[], None]
) -> float:
    """Call ``observe`` regularly until ``done``, for some seconds at most; return the seconds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not done() and loop.time() - started_at < seconds:
        observe()
        await asyncio.sleep(0.02)
    return loop.time() - started_at


def _sent_bytes(system: System, name: str) -> int:
    return system.members[name].metrics.counters[("configuration_bytes", "sent")]


def _parts_served(system: System, name: str) -> int:
    return system.members[name].metrics.counters[("configuration_part", "served")]


# -- From the leader -------------------------------------------------------------------------


def test_members_with_small_links_get_it_and_the_leader_stays_quick() -> None:
    async def scenario() -> None:
        system, leader = await _started_system(33, 8)
        claims = list(system.store.claimed_epochs)
        silences = [0.0]
        _publish(system, _configuration(18))
        duration = await _wait_until(
            lambda: not _behind(system, 18),
            10.0,
            lambda: silences.append(_longest_silence(system, leader)),
        )
        assert not _behind(system, 18)
        assert duration < 4.0
        assert max(silences) < SUSPECTED_AFTER_S / 2
        assert system.store.claimed_epochs == claims
        assert system.leader() == leader

    run(scenario())


def test_a_leader_with_a_small_link_sends_no_more_than_it_can() -> None:
    async def scenario() -> None:
        system, leader = await _started_system(34, 0)
        claims = list(system.store.claimed_epochs)
        silences, backlogs = [0.0], [0.0]

        def observe() -> None:
            silences.append(_longest_silence(system, leader))
            backlogs.append(system.network.uplinks[leader].backlog)

        _publish(system, _configuration(18))
        await _wait_until(lambda: not _behind(system, 18), 60.0, observe)
        assert not _behind(system, 18)
        assert max(silences) < SUSPECTED_AFTER_S / 2
        assert max(backlogs) < 0.2
        assert system.store.claimed_epochs == claims

    run(scenario())


def test_members_are_served_one_after_the_other_so_that_some_have_it_early() -> None:
    async def scenario() -> None:
        system, _ = await _started_system(34, 0)
        _publish(system, _configuration(18))
        half_duration = await _wait_until(
            lambda: len(_behind(system, 18)) <= 17, 60.0, lambda: None
        )
        rest_duration = await _wait_until(lambda: not _behind(system, 18), 60.0, lambda: None)
        assert not _behind(system, 18)
        assert half_duration < 1.5 * rest_duration

    run(scenario())


def test_what_was_got_is_kept_while_the_way_to_the_leader_is_cut(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "sablemount.control.configuration")

    async def scenario() -> None:
        system, leader = await _started_system(1, 3)
        behind = system.names[0]
        _publish(system, _configuration(18))
        await _wait_until(lambda: _parts_served(system, leader) >= 8, 5.0, lambda: None)
        cut = frozenset((behind, leader))
        system.network.partitions.add(cut)
        await asyncio.sleep(1.0)
        system.network.partitions.discard(cut)
        await _wait_until(lambda: not _behind(system, 18), 10.0, lambda: None)
        assert not _behind(system, 18)
        received = system.members[behind].metrics.counters[("configuration_bytes", "got")]
        assert _sent_bytes(system, leader) < 1.2 * received
        assert system.leader() == leader
        counters = system.members[behind].metrics.counters
        assert counters[("configuration_transfer", "begun")] == 1
        assert counters[("configuration_transfer", "ended")] == 1

    run(scenario())
    lines = [record.message for record in caplog.records]
    assert lines.count("configuration transfer started") == 1
    assert lines.count("configuration transfer stalled") == 1
    assert lines.count("configuration transfer complete") == 1


def test_a_later_version_is_begun_anew() -> None:
    async def scenario() -> None:
        system, leader = await _started_system(1, 3)
        _publish(system, _configuration(18))
        await _wait_until(lambda: _parts_served(system, leader) >= 4, 5.0, lambda: None)
        _publish(system, _configuration(21, seed=2))
        await _wait_until(lambda: not _behind(system, 21), 10.0, lambda: None)
        assert system.members[system.names[0]].feed.gate.configuration == _configuration(21, 2)

    run(scenario())


def test_another_leader_goes_on_where_the_former_one_was() -> None:
    async def scenario() -> None:
        system, leader = await _started_system(1, 3)
        behind = system.names[0]
        _publish(system, _configuration(18))
        await _wait_until(lambda: _parts_served(system, leader) >= 8, 5.0, lambda: None)
        sent_before = _sent_bytes(system, leader)
        system.kill(leader, None)
        await _wait_until(lambda: not _behind(system, 18), 10.0, lambda: None)
        assert not _behind(system, 18)
        next_leader = system.leader()
        assert next_leader is not None
        received = system.members[behind].metrics.counters[("configuration_bytes", "got")]
        assert sent_before + _sent_bytes(system, next_leader) < 1.2 * received

    run(scenario())


def test_what_the_store_brings_ends_a_transfer() -> None:
    async def scenario() -> None:
        system, leader = await _started_system(1, 3)
        behind = system.names[0]
        configuration = _configuration(18)
        _publish(system, configuration)
        await _wait_until(lambda: _parts_served(system, leader) >= 4, 5.0, lambda: None)
        system.members[behind].feed.offer(configuration, "store")
        parts = _parts_served(system, leader)
        await asyncio.sleep(1.0)
        assert _parts_served(system, leader) <= parts + 1

    run(scenario())


# -- To the leader ---------------------------------------------------------------------------


@pytest.mark.parametrize("seed", [5, 6])
def test_a_leader_that_is_behind_gets_it_over_small_links(seed: int) -> None:
    async def scenario() -> None:
        system, leader = await _started_system(8, 0, seed)
        claims = list(system.store.claimed_epochs)
        system.store.without_configuration = {leader}
        silences = [0.0]
        _publish(system, _configuration(18))
        duration = await _wait_until(
            lambda: not _behind(system, 18),
            20.0,
            lambda: silences.append(_longest_silence(system, leader)),
        )
        assert not _behind(system, 18)
        assert duration < 4.0
        assert max(silences) < SUSPECTED_AFTER_S / 2
        assert system.store.claimed_epochs == claims

    run(scenario())


# -- Callers meanwhile -----------------------------------------------------------------------


def test_callers_of_a_member_that_is_behind_are_asked_in_time_to_come_back() -> None:
    async def scenario() -> None:
        system, leader = await _started_system(4, 3)
        behind = system.names[0]
        _publish(system, _configuration(18))
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        durations, refused = [], 0
        deadline = loop.time() + 10.0
        while _behind(system, 18) and loop.time() < deadline:
            started_at = loop.time()
            call = CallerCall(Operation.STATE, HOST, PREFIX)
            replies = await asyncio.gather(
                *(system.members[behind].serve(call, CALL_TIMEOUT_S) for _ in range(20))
            )
            durations.append(loop.time() - started_at)
            for reply in replies:
                assert reply.outcome in (Outcome.DONE, Outcome.NOT_TAKEN)
                refused += reply.outcome is Outcome.NOT_TAKEN
                assert reply.outcome is Outcome.DONE or reply.retry_after > 0
            await asyncio.sleep(0.05)
        assert refused
        assert not _behind(system, 18)
        assert max(durations) < 0.45
        assert min(durations) < 0.1
        received = system.members[behind].metrics.counters[("configuration_bytes", "got")]
        assert _sent_bytes(system, leader) < 4.4 * received

    run(scenario())


NEW_PREFIX = "/new/"


def _with_new_queue(configuration: Configuration) -> Configuration:
    queue = Queue(HOST, NEW_PREFIX, QueueTerms("new", "pool"))
    return msgspec.structs.replace(configuration, queues=(*configuration.queues, queue))


def test_a_member_that_knows_that_it_is_behind_refuses_nobody_by_what_it_has() -> None:
    async def scenario() -> None:
        system, _ = await _started_system(4, 3)
        behind = system.names[0]
        _publish(system, _with_new_queue(_configuration(18)))
        await asyncio.sleep(0.2)
        assert behind in _behind(system, 18)
        outcomes = []
        for _ in range(50):
            call = CallerCall(Operation.STATE, HOST, NEW_PREFIX)
            outcomes.append((await system.members[behind].serve(call, CALL_TIMEOUT_S)).outcome)
            await asyncio.sleep(0.05)
        assert set(outcomes) == {Outcome.DONE, Outcome.NOT_TAKEN}
        assert outcomes[-1] is Outcome.DONE

    run(scenario())


def test_queues_that_stay_are_served_while_a_member_is_behind() -> None:
    async def scenario() -> None:
        system, _ = await _started_system(4, 3)
        behind = system.names[0]
        kept_queues = system.members[behind].feed.gate.configuration.queues
        configuration = _configuration(18)
        queues = (*kept_queues, *configuration.queues[1:])
        _publish(system, msgspec.structs.replace(configuration, queues=queues))
        await asyncio.sleep(0.1)
        outcomes = []
        while behind in _behind(system, 18) and len(outcomes) < 50:
            reply = await system.submit_once(behind, f"c{len(outcomes):04x}")
            outcomes.append(reply.outcome)
            await asyncio.sleep(0.05)
        assert len(outcomes) > 5
        assert set(outcomes) == {Outcome.DONE}

    run(scenario())
