"""A member that the store turns away learns from others who leads, and serves on."""

import asyncio

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import begun


def test_members_without_the_store_follow_a_new_leader() -> None:
    async def scenario() -> None:
        system = System(70)
        former = await begun(system)
        away = next(name for name in system.names if name != former)
        # The leader is replaced, as it alone is without the store; one more can't read by whom.
        system.store.turned_away |= {former, away}
        await asyncio.sleep(3.5)
        assert system.leader() not in (None, former, away)
        for number, name in enumerate((former, away)):
            reply = await system.hand_in(name, f"a{number}")
            assert reply.outcome is Outcome.DONE

    run(scenario())
