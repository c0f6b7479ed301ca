"""Starting points of tests with the emulated system."""

import asyncio
import random

from tests.emulator import faults as kinds
from tests.emulator.system import System

FAULTS_IN_MIX = 5
"""Number of faults in a mix."""


async def start_system(system: System, seconds: float = 2.0) -> str:
    """Start all members, wait for some seconds, and return the leader's name."""
    system.start_all()
    await asyncio.sleep(seconds)
    leader = system.leader()
    assert leader is not None
    return leader


def fault_mix(seed: int) -> list[kinds.Fault]:
    """Return a sequence of faults determined by a seed."""
    rng = random.Random(seed)
    return [rng.choice(kinds.FAULTS) for _ in range(FAULTS_IN_MIX)]
