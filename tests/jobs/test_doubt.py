"""A suspicion of one leader must not replace a later one, however many members suspect it."""

import asyncio

import pytest

from sablemount.control.messages import ViewCall
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

MEMBERS = 40
SILENT_MEMBERS = 4
"""Members that fall silent, including the leader, so that calls to them time out."""


class _ViewCountingSystem(System):
    """Counts the calls in which members ask one another for their view of the leader."""

    views = 0

    def start(self, name: str) -> None:
        super().start(name)
        listener = self.network.listeners[name]
        handler = listener.handler

        async def count_views(link, message):  # type: ignore[no-untyped-def]
            self.views += isinstance(message, ViewCall)
            return await handler(link, message)

        listener.handler = count_views


async def _silence_leader(seed: int) -> _ViewCountingSystem:
    system = _ViewCountingSystem(seed, members=MEMBERS, vms=2)
    leader = await start_system(system)
    for name in [leader, *(name for name in system.names if name != leader)][:SILENT_MEMBERS]:
        system.power_off(name, 5.0)
    await asyncio.sleep(2.5)
    return system


@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_falls_silent_is_replaced_by_one_claim(seed: int) -> None:
    async def scenario() -> None:
        system = await _silence_leader(seed)
        assert system.leader() is not None
        assert system.store.claimed_epochs == [1, 2]

    run(scenario())


def test_members_that_doubt_ask_a_few_others_each() -> None:
    async def scenario() -> None:
        system = await _silence_leader(1)
        assert 0 < system.views <= 10 * MEMBERS

    run(scenario())
