"""The addresses of all members are sent only to members that lack a change, and all get them."""

import asyncio

import msgspec

from sablemount.control.messages import Ping, Pong
from sablemount.control.roster import MembershipList
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

MEMBERS = 40


async def _collect_pongs(system: System, seconds: float) -> list[Pong]:
    """Return the answers to all members' pings within some seconds."""
    pongs: list[Pong] = []
    for name, listener in system.network.listeners.items():
        handler = listener.handler

        async def record_pong(link, message, handler=handler):  # type: ignore[no-untyped-def]
            reply = await handler(link, message)
            if isinstance(message, Ping):
                pongs.append(reply)
            return reply

        for link in listener.links:
            link._handler = record_pong
        assert name
    await asyncio.sleep(seconds)
    return pongs


def test_answers_to_pings_do_not_grow_with_the_members() -> None:
    async def scenario() -> None:
        system = System(1, members=MEMBERS, vms=2)
        system.start_all()
        await asyncio.sleep(3.0)
        pongs = await _collect_pongs(system, 1.0)
        assert len(pongs) > 3 * MEMBERS
        assert max(len(msgspec.msgpack.encode(pong)) for pong in pongs) < 100

    run(scenario())


def test_all_members_know_all_others_also_those_that_came_later() -> None:
    async def scenario() -> None:
        system = System(2, members=MEMBERS, vms=2)
        system.start_all()
        await asyncio.sleep(3.0)
        system.names.append("late")
        system.start("late")
        await asyncio.sleep(2.0)
        for name, member in system.members.items():
            is_leader = member.leader is not None
            others = set(system.names) - {name, system.leader()}
            known = set(member._link.addresses)
            assert others <= known, (name, is_leader, others - known)

    run(scenario())


def test_members_of_a_new_leader_know_one_another() -> None:
    async def scenario() -> None:
        system = System(3, members=MEMBERS, vms=2)
        previous = await start_system(system, 3.0)
        system.kill(previous, None)
        system.names.remove(previous)
        await asyncio.sleep(2.0)
        system.names.append("late")
        system.start("late")
        await asyncio.sleep(2.0)
        for name, member in system.members.items():
            others = set(system.names) - {name, system.leader()}
            assert others <= set(member._link.addresses)

    run(scenario())


def test_lists_leave_a_small_link_free() -> None:
    async def scenario() -> None:
        members = 300
        link = 625_000
        addresses = {f"machine-of-zone-{number}": "10.0.0.1:8240" for number in range(members)}
        size = len(msgspec.msgpack.encode(addresses))
        roster = MembershipList(addresses, link)
        missing = set(range(members))
        sent = 0
        began = asyncio.get_running_loop().time()
        while missing and asyncio.get_running_loop().time() < began + 60.0:
            for number in sorted(missing):
                if roster.addresses_since(0) is not None:
                    missing.discard(number)
                    sent += size
            elapsed = asyncio.get_running_loop().time() - began
            assert sent <= size + 0.25 * link * elapsed
            await asyncio.sleep(0.05)
        assert not missing

    run(scenario())


def test_a_link_without_a_limit_takes_all_lists_at_once() -> None:
    async def scenario() -> None:
        roster = MembershipList({"m1": "a"})
        assert all(roster.addresses_since(0) is not None for _ in range(50))

    run(scenario())


def test_the_members_of_a_new_leader_leave_most_of_a_narrow_link_to_all_else() -> None:
    async def scenario() -> None:
        names = {f"edge-north-{number}": f"10.1.{number}.13:7720" for number in range(300)}
        link = 625_000
        roster = MembershipList(names, link)
        versions = dict.fromkeys(names, 0)
        for second in range(40):
            sent = 0
            for _ in range(20):
                for name, address in names.items():
                    roster.record_address(name, address)
                    addresses = roster.addresses_since(versions[name])
                    if addresses is not None:
                        versions[name] = roster.version
                        sent += len(msgspec.msgpack.encode(addresses))
                await asyncio.sleep(0.05)
            assert sent < link * (0.7 if second == 0 else 0.4)
        assert set(versions.values()) == {roster.version}

    run(scenario())
