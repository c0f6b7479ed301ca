"""A cell with narrow links to the store keeps working while the configuration grows."""

import asyncio

from sablemount.control.messages import Outcome
from sablemount.control.store import Topic
from tests.emulator.loop import run
from tests.emulator.narrow import LimitedLink
from tests.emulator.system import System
from tests.jobs.running import start_system

LINK_BYTES_PER_S = 625_000
"""Capacity of each member's link."""
IDLE_QUEUES = 5_500
"""Queues that make a configuration take such a link more than a second."""
READ_LIMIT_S = 4.0
"""Seconds within which each member has read it."""


def _system_with_narrow_links(seed: int) -> System:
    system = System(seed, members=5)
    system.store_links = {name: LimitedLink(LINK_BYTES_PER_S) for name in system.names}
    return system


def _configuration_bytes(system: System) -> int:
    return len(system.store.topics[Topic.CONFIGURATION].newest["config"].record.value)


def test_each_version_that_grows_is_known_to_all_and_read_once() -> None:
    async def scenario() -> None:
        system = _system_with_narrow_links(1)
        await start_system(system)
        for version in (2, 3, 4):
            before = {name: link.bytes_transferred for name, link in system.store_links.items()}
            system.configure(version, idle=IDLE_QUEUES)
            assert _configuration_bytes(system) > LINK_BYTES_PER_S
            await asyncio.sleep(READ_LIMIT_S)
            for name, member in system.members.items():
                assert member.feed.version == version
                assert system.store_links[name].bytes_transferred - before[
                    name
                ] < 1.5 * _configuration_bytes(system)

    run(scenario())


def test_a_member_takes_over_beside_a_configuration_that_is_long() -> None:
    async def scenario() -> None:
        system = _system_with_narrow_links(2)
        leader = await start_system(system)
        system.configure(2, idle=IDLE_QUEUES)
        await asyncio.sleep(20.0)
        system.kill(leader, restart_delay_s=None)
        await asyncio.sleep(4.0)
        assert system.leader() is not None
        for number, name in enumerate(system.members):
            reply = await system.submit_once(name, f"a{number}")
            assert reply.outcome is Outcome.DONE

    run(scenario())


def test_a_member_that_starts_reads_the_long_configuration() -> None:
    async def scenario() -> None:
        system = _system_with_narrow_links(3)
        leader = await start_system(system)
        system.configure(2, idle=IDLE_QUEUES)
        await asyncio.sleep(READ_LIMIT_S)
        other = next(name for name in system.names if name != leader)
        system.kill(other, restart_delay_s=0.5)
        await asyncio.sleep(READ_LIMIT_S)
        assert system.members[other].feed.version == 2

    run(scenario())
