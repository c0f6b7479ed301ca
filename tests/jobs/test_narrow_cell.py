"""A cell whose members reach the store over narrow links goes on while the configuration grows."""

import asyncio

from sablemount.control.messages import Outcome
from sablemount.control.store import Topic
from tests.emulator.loop import run
from tests.emulator.narrow import NarrowLink
from tests.emulator.system import System
from tests.jobs.running import begun

LINK = 625_000
"""Bytes a second."""
IDLE = 5_500
"""Queues that make a configuration take such a link more than a second."""
ALL_READ = 4.0
"""Seconds after which each member has read it."""


def _narrow(seed: int) -> System:
    system = System(seed, members=5)
    system.links = {name: NarrowLink(LINK) for name in system.names}
    return system


def _size(system: System) -> int:
    return len(system.store.topics[Topic.CONFIGURATION].newest["config"].record.value)


def test_each_version_that_grows_is_known_to_all_and_read_once() -> None:
    async def scenario() -> None:
        system = _narrow(1)
        await begun(system)
        for version in (2, 3, 4):
            before = {name: link.carried for name, link in system.links.items()}
            system.configure(version, idle=IDLE)
            assert _size(system) > LINK
            await asyncio.sleep(ALL_READ)
            for name, member in system.members.items():
                assert member.feed.version == version
                assert system.links[name].carried - before[name] < 1.5 * _size(system)

    run(scenario())


def test_a_member_takes_over_beside_a_configuration_that_is_long() -> None:
    async def scenario() -> None:
        system = _narrow(2)
        leader = await begun(system)
        system.configure(2, idle=IDLE)
        await asyncio.sleep(20.0)
        system.kill(leader, back_after=None)
        await asyncio.sleep(4.0)
        assert system.leader() is not None
        for number, name in enumerate(system.members):
            reply = await system.hand_in(name, f"a{number}")
            assert reply.outcome is Outcome.DONE

    run(scenario())


def test_a_member_that_starts_reads_the_long_configuration() -> None:
    async def scenario() -> None:
        system = _narrow(3)
        leader = await begun(system)
        system.configure(2, idle=IDLE)
        await asyncio.sleep(ALL_READ)
        other = next(name for name in system.names if name != leader)
        system.kill(other, back_after=0.5)
        await asyncio.sleep(ALL_READ)
        assert system.members[other].feed.version == 2

    run(scenario())
