"""A leader that the store turns away, with some members, is replaced soon for all of them."""

import asyncio
from collections.abc import Callable

import pytest

from sablemount.control.messages import Announce, Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import begun

MEMBERS = 12
TURNED_AWAY = 5


async def _turn_away(seed: int) -> tuple[System, str]:
    """Turn away the leader and some members; return the system and the leader's name."""
    system = System(seed, members=MEMBERS)
    leader = await begun(system)
    others = [name for name in system.names if name != leader]
    system.store.turned_away.update([leader, *others[: TURNED_AWAY - 1]])
    return system, leader


def _successor_leads(system: System, former: str) -> bool:
    members = [member for name, member in system.members.items() if name != former]
    return any(member.leader is not None and member.leader.leading for member in members)


async def _pressed(system: System, leader: str) -> None:
    """Keep jobs coming, so that the leader has something to append."""
    for number in range(40):
        asyncio.create_task(system.hand_in(leader, f"b{number:04x}"))
        await asyncio.sleep(0.04)


@pytest.mark.parametrize("seed", range(6))
def test_a_successor_leads_within_half_a_second(seed: int) -> None:
    async def scenario() -> None:
        system, former = await _turn_away(seed)
        loop = asyncio.get_running_loop()
        began = loop.time()
        pressing = asyncio.create_task(_pressed(system, former))
        while not _successor_leads(system, former) and loop.time() - began < 3.0:
            await asyncio.sleep(0.005)
        assert loop.time() - began < 0.5
        await pressing

    run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_members_that_do_not_reach_the_store_serve_again_as_soon_as_the_others(seed: int) -> None:
    async def scenario() -> None:
        system, former = await _turn_away(seed)
        pressing = asyncio.create_task(_pressed(system, former))
        while not _successor_leads(system, former):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        calls = [
            asyncio.create_task(system.hand_in(name, f"a{number:04x}"))
            for number, name in enumerate(system.names)
        ]
        began = asyncio.get_running_loop().time()
        replies = await asyncio.gather(*calls)
        assert {reply.outcome for reply in replies} == {Outcome.DONE}
        assert asyncio.get_running_loop().time() - began < 0.1
        await pressing

    run(scenario())


async def _replaced_within(seed: int, lose: Callable[[System, str], None]) -> float:
    """Lose the leader; return after how many seconds another one leads, which is the only one."""
    system = System(seed, members=MEMBERS)
    former = await begun(system)
    loop = asyncio.get_running_loop()
    began = loop.time()
    lose(system, former)
    while not _successor_leads(system, former) and loop.time() - began < 3.0:
        await asyncio.sleep(0.005)
    took = loop.time() - began
    await asyncio.sleep(2.0)
    assert system.store.claims == [1, 2]
    return took


def _cut_off(system: System, leader: str) -> None:
    system.wires.cuts |= {frozenset((leader, name)) for name in system.names if name != leader}
    system.store.turned_away.add(leader)


def _kill(system: System, leader: str) -> None:
    system.kill(leader, 0.6)


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_is_cut_off_is_replaced_soon(seed: int) -> None:
    assert run(_replaced_within(seed, _cut_off)) < 0.6


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_is_killed_is_replaced_at_once(seed: int) -> None:
    assert run(_replaced_within(seed, _kill)) < 0.2


def test_members_that_come_by_themselves_are_not_called() -> None:
    async def scenario() -> None:
        system = System(1, members=MEMBERS)
        former = await begun(system)
        told: list[str] = []
        for name, place in system.wires.listening.items():
            handler = place.handler

            async def noting(link, message, name=name, handler=handler):  # type: ignore[no-untyped-def]
                if isinstance(message, Announce):
                    told.append(name)
                return await handler(link, message)

            place.handler = noting
        # A load takes longer than a member needs to come.
        system.store.latency = 0.05
        system.kill(former, None)
        await asyncio.sleep(2.0)
        assert told == []

    run(scenario())
