"""A member that the store refuses learns from others who leads, and continues to serve."""

import asyncio

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system


def test_members_without_the_store_follow_a_new_leader() -> None:
    async def scenario() -> None:
        system = System(70)
        previous = await start_system(system)
        unserved = next(name for name in system.names if name != previous)
        # The leader is replaced, as it is without the store; another member cannot read by whom.
        system.store.unreachable_members |= {previous, unserved}
        await asyncio.sleep(3.5)
        assert system.leader() not in (None, previous, unserved)
        for number, name in enumerate((previous, unserved)):
            reply = await system.submit_once(name, f"a{number}")
            assert reply.outcome is Outcome.DONE

    run(scenario())
