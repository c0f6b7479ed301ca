"""The emulated system as tests begin with it."""

import asyncio
import random

from tests.emulator import faults as kinds
from tests.emulator.system import System

MIXED = 5
"""Faults in a mix."""


async def begun(system: System, seconds: float = 2.0) -> str:
    """Start all members, let some seconds go by, and return who leads."""
    system.start_all()
    await asyncio.sleep(seconds)
    leader = system.leader()
    assert leader is not None
    return leader


def mix(seed: int) -> list[kinds.Fault]:
    """Return some faults in a row, by a seed."""
    rng = random.Random(seed)
    return [rng.choice(kinds.FAULTS) for _ in range(MIXED)]
