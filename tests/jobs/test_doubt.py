"""A doubt about one leader costs no later one the lead, however many members doubt."""

import asyncio

import pytest

from sablemount.control.messages import ViewCall
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import begun

MEMBERS = 40
GONE = 4
"""Members that fall silent with the leader, so that what is asked of them takes its time-out."""


class _Counted(System):
    """Counts the calls in which members ask one another for their view."""

    views = 0

    def start(self, name: str) -> None:
        super().start(name)
        place = self.wires.listening[name]
        handler = place.handler

        async def counting(link, message):  # type: ignore[no-untyped-def]
            self.views += isinstance(message, ViewCall)
            return await handler(link, message)

        place.handler = counting


async def _lose_leader(seed: int) -> _Counted:
    system = _Counted(seed, members=MEMBERS, vms=2)
    leader = await begun(system)
    for name in [leader, *(name for name in system.names if name != leader)][:GONE]:
        system.power_off(name, 5.0)
    await asyncio.sleep(2.5)
    return system


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_falls_silent_is_replaced_by_one_claim(seed: int) -> None:
    async def scenario() -> None:
        system = await _lose_leader(seed)
        assert system.leader() is not None
        assert system.store.claims == [1, 2]

    run(scenario())


def test_members_that_doubt_ask_a_few_others_each() -> None:
    async def scenario() -> None:
        system = await _lose_leader(1)
        assert 0 < system.views <= 10 * MEMBERS

    run(scenario())
