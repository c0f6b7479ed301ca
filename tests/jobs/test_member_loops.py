"""No loop of a member ends for good upon an unexpected error."""

import asyncio
from collections.abc import Callable
from operator import attrgetter
from typing import Any

import pytest

from tests.emulator.loop import run
from tests.emulator.system import System
from tests.jobs.running import start_system

RECOVERY_S = 20.0
"""Seconds after an error within which each loop has run again, and after the loss of the leader
until there is another: twice the time after which records are listed anew."""

LOOPS = {
    "claims": ("_election", "_claim_reason"),
    "leader records": ("_leader_follower", "_cycle"),
    "configuration": ("_configuration_follower", "_cycle"),
    "link to the leader": ("_link", "_connect"),
    "discovery": ("_discovery", "_leader_known"),
}
"""For each loop of a member, the part of the member and the method that fails once."""


def _fail_once(part: Any, method: str, error: BaseException) -> list[object]:
    """Let the next call of a method fail; return the list to which each call is added."""
    original: Callable[..., object] = getattr(part, method)
    calls: list[object] = []

    def call(*args: object) -> object:
        calls.append(args)
        if len(calls) == 1:
            raise error
        return original(*args)

    setattr(part, method, call)
    return calls


@pytest.mark.parametrize("error", [RuntimeError, asyncio.CancelledError])
@pytest.mark.parametrize("loop", LOOPS)
def test_a_loop_of_a_member_goes_on_after_an_error(loop: str, error: type[BaseException]) -> None:
    """Of a check whether to claim: the member then never claimed again."""

    async def scenario() -> None:
        system = System(1, members=2, vms=2)
        leader = await start_system(system)
        (other,) = (name for name in system.names if name != leader)
        part, method = LOOPS[loop]
        calls = _fail_once(attrgetter(part)(system.members[other]), method, error("wrong"))
        system.members[other]._link.close()
        await asyncio.sleep(RECOVERY_S)
        assert len(calls) > 1
        assert system.members[other].ready
        system.kill(leader, None)
        await asyncio.sleep(RECOVERY_S)
        assert system.leader() == other
        assert system.store.claimed_epochs == [1, 2]

    run(scenario())
