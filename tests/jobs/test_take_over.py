"""A new leader in a slow store serves as soon as it has loaded."""

import asyncio

import pytest

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

SLOW_LATENCY_S = 0.45
"""Latency of the store with which a load takes more than one second."""
VERY_SLOW_LATENCY_S = 1.1
"""Latency with which a claim is repeated while its first answer is on the way."""
LEADER_TIMEOUT_S = 10.0


async def _wait_for_leader(system: System) -> str:
    deadline = asyncio.get_running_loop().time() + LEADER_TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline:
        leader = system.leader()
        if leader is not None:
            return leader
        await asyncio.sleep(0.01)
    raise AssertionError("no leader within the time-out")


def test_a_leader_that_took_long_to_load_serves_at_once() -> None:
    async def scenario() -> None:
        system = System(31, vms=4)
        first = await start_system(system)
        system.store.latency_s = SLOW_LATENCY_S
        system.kill(first, None)
        await asyncio.sleep(0.01)
        second = await _wait_for_leader(system)
        reply = await system.submit_once(second, "a1")
        assert reply.outcome is Outcome.DONE

    run(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_who_has_claimed_leads_before_the_answer_to_the_claim_comes(seed: int) -> None:
    """The other members read the claim in the meantime, and replaced its author, as it did not
    lead."""

    async def scenario() -> None:
        system = System(seed, members=12)
        first = await start_system(system)
        system.store.latency_s = VERY_SLOW_LATENCY_S
        system.kill(first, None)
        await asyncio.sleep(0.01)
        await _wait_for_leader(system)
        await asyncio.sleep(LEADER_TIMEOUT_S)
        assert system.store.claimed_epochs == [1, 2]

    run(scenario())
