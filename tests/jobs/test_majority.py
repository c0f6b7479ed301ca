"""Which members are counted, and whether a majority of them hears a leader."""

import asyncio
from typing import cast

from sablemount.control.members import COUNTED_PERIOD_S, Members
from sablemount.control.messages import Ping
from sablemount.control.network import Link
from tests.emulator.loop import run


class _NoLink:
    """Substitute for a member's link."""

    peer = ""


def _ping(members: Members, *names: str, cell: int = 0) -> None:
    for name in names:
        members.on_ping(cast(Link, _NoLink()), Ping(name, name, 1, cell=cell))


def test_half_of_the_members_do_not_stand_in_and_more_do() -> None:
    async def scenario() -> None:
        members = Members()
        _ping(members, "a", "b", "c")
        members.update_count()
        assert members.size == 4
        await asyncio.sleep(2.0)
        _ping(members, "a")
        assert not members.has_counted_majority()
        _ping(members, "b")
        assert members.has_counted_majority()

    run(scenario())


def test_a_member_that_nobody_counted_does_not_stand_in() -> None:
    async def scenario() -> None:
        members = Members()
        _ping(members, "a", "b", "c")
        members.update_count()
        await asyncio.sleep(2.0)
        _ping(members, "a", "new")
        assert not members.has_counted_majority()

    run(scenario())


def test_one_that_is_alone_has_nobody_to_stand_in() -> None:
    async def scenario() -> None:
        members = Members()
        members.update_count()
        assert members.has_majority()
        assert not members.has_counted_majority()

    run(scenario())


def test_those_that_are_gone_for_long_are_counted_no_more() -> None:
    async def scenario() -> None:
        members = Members()
        _ping(members, "a", "b", "c")
        members.update_count()
        await asyncio.sleep(COUNTED_PERIOD_S + 0.1)
        _ping(members, "a", "b")
        members.update_count()
        assert members.size == 3

    run(scenario())


def test_a_new_leader_keeps_the_count_of_the_former_one_until_most_have_come() -> None:
    async def scenario() -> None:
        members = Members(2)
        _ping(members, "a", cell=7)
        members.update_count()
        assert members.size == 7
        assert not members.has_majority()
        _ping(members, "b", "c")
        assert members.has_majority()
        members.update_count()
        assert members.size == 4

    run(scenario())
