"""A leader that the store refuses, with some members, is replaced soon for all of them."""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.control.messages import Announce, Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

MEMBERS = 12
REFUSED_MEMBERS = 5


async def _refuse_leader(seed: int) -> tuple[System, str]:
    """Have the store refuse the leader and some members; return the system and the leader's
    name."""
    system = System(seed, members=MEMBERS)
    leader = await start_system(system)
    others = [name for name in system.names if name != leader]
    system.store.unreachable_members.update([leader, *others[: REFUSED_MEMBERS - 1]])
    return system, leader


def _successor_leads(system: System, previous: str) -> bool:
    members = [member for name, member in system.members.items() if name != previous]
    return any(member.leader is not None and member.leader.leading for member in members)


async def _submit_continuously(system: System, leader: str) -> None:
    """Submit jobs continuously, so that the leader has records to append."""
    for number in range(40):
        asyncio.create_task(system.submit_once(leader, f"b{number:04x}"))
        await asyncio.sleep(0.04)


@pytest.mark.parametrize("seed", range(6))
def test_a_successor_leads_within_half_a_second(seed: int) -> None:
    async def scenario() -> None:
        system, previous = await _refuse_leader(seed)
        loop = asyncio.get_running_loop()
        began = loop.time()
        submit_task = asyncio.create_task(_submit_continuously(system, previous))
        while not _successor_leads(system, previous) and loop.time() - began < 3.0:
            await asyncio.sleep(0.005)
        assert loop.time() - began < 0.5
        await submit_task

    run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_members_that_do_not_reach_the_store_serve_again_as_soon_as_the_others(seed: int) -> None:
    async def scenario() -> None:
        system, previous = await _refuse_leader(seed)
        submit_task = asyncio.create_task(_submit_continuously(system, previous))
        while not _successor_leads(system, previous):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        calls = [
            asyncio.create_task(system.submit_once(name, f"a{number:04x}"))
            for number, name in enumerate(system.names)
        ]
        began = asyncio.get_running_loop().time()
        replies = await asyncio.gather(*calls)
        assert {reply.outcome for reply in replies} == {Outcome.DONE}
        assert asyncio.get_running_loop().time() - began < 0.1
        await submit_task

    run(scenario())


async def _time_to_replace(seed: int, fail_leader: Callable[[System, str], None]) -> float:
    """Fail the leader; return the seconds until another one leads, which is the only one."""
    system = System(seed, members=MEMBERS)
    previous = await start_system(system)
    loop = asyncio.get_running_loop()
    began = loop.time()
    fail_leader(system, previous)
    while not _successor_leads(system, previous) and loop.time() - began < 3.0:
        await asyncio.sleep(0.005)
    duration = loop.time() - began
    await asyncio.sleep(2.0)
    assert system.store.claimed_epochs == [1, 2]
    return duration


def _cut_off(system: System, leader: str) -> None:
    system.network.partitions |= {
        frozenset((leader, name)) for name in system.names if name != leader
    }
    system.store.unreachable_members.add(leader)


def _kill(system: System, leader: str) -> None:
    system.kill(leader, 0.6)


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_is_cut_off_is_replaced_soon(seed: int) -> None:
    assert run(_time_to_replace(seed, _cut_off)) < 0.6


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_is_killed_is_replaced_at_once(seed: int) -> None:
    assert run(_time_to_replace(seed, _kill)) < 0.2


def test_members_that_come_by_themselves_are_not_called() -> None:
    async def scenario() -> None:
        system = System(1, members=MEMBERS)
        previous = await start_system(system)
        announced_to: list[str] = []
        for name, listener in system.network.listeners.items():
            handler = listener.handler

            async def record_announcement(link, message, name=name, handler=handler):  # type: ignore[no-untyped-def]
                if isinstance(message, Announce):
                    announced_to.append(name)
                return await handler(link, message)

            listener.handler = record_announcement
        # A load takes longer than a member needs to connect.
        system.store.latency_s = 0.05
        system.kill(previous, None)
        await asyncio.sleep(2.0)
        assert announced_to == []

    run(scenario())
