"""A new leader in a slow store serves as soon as it has loaded."""

import asyncio

import pytest

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import begun

SLOW = 0.45
"""Seconds that the store takes for an answer: a load takes more than one second."""
VERY_SLOW = 1.1
"""Seconds after which a claim is made again while its first answer is on the way."""
LIMIT = 10.0


async def _next_leader(system: System) -> str:
    last = asyncio.get_running_loop().time() + LIMIT
    while asyncio.get_running_loop().time() < last:
        leader = system.leader()
        if leader is not None:
            return leader
        await asyncio.sleep(0.01)
    raise AssertionError("nobody leads")


def test_a_leader_that_took_long_to_load_serves_at_once() -> None:
    async def scenario() -> None:
        system = System(31, vms=4)
        first = await begun(system)
        system.store.latency = SLOW
        system.kill(first, None)
        await asyncio.sleep(0.01)
        second = await _next_leader(system)
        reply = await system.hand_in(second, "a1")
        assert reply.outcome is Outcome.DONE

    run(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_who_has_claimed_leads_before_the_answer_to_the_claim_comes(seed: int) -> None:
    """All others read of the claim meanwhile, and replaced it: it did not lead."""

    async def scenario() -> None:
        system = System(seed, members=12)
        first = await begun(system)
        system.store.latency = VERY_SLOW
        system.kill(first, None)
        await asyncio.sleep(0.01)
        await _next_leader(system)
        await asyncio.sleep(LIMIT)
        assert system.store.claims == [1, 2]

    run(scenario())
