"""Faults that leave connections open at VMs, which take a limited number of them."""

import asyncio
import signal

from benchmarks.node_faults import Fault, Target

__all__ = ["CONNECTION_FAULTS"]

LOSSES = (2, 5)
"""Range of the number of leaders that a fault takes in succession."""
TERM_S = (1.0, 4.0)
"""Range of the seconds from one of them to the next."""
NEW_AFTER_S = (0.2, 2.0)
"""Range of the seconds until a new machine takes the place of a lost one."""
FROZEN_S = (3.0, 6.0)
"""Range of the seconds of a freeze, in which another process takes over."""
MAX_LOST = 24
"""Number of machines that a soak loses at most: their processes stay until its end."""


async def leaders_lost(target: Target) -> None:
    """Lose several leaders' machines for good, one after another."""
    for _ in range(target.rng.randint(*LOSSES)):
        await asyncio.sleep(target.rng.uniform(*TERM_S))
        leader = target.leader()
        if target.is_ending or len(target.nodes.lost) >= MAX_LOST:
            return
        if leader is not None and leader.start_count not in leader.stopped:
            new = target.nodes.lose(leader)
            await target.start_later([new], target.rng.uniform(*NEW_AFTER_S))


async def leaders_frozen(target: Target) -> None:
    """Freeze several leaders, one after another, each until another one leads."""
    for _ in range(target.rng.randint(*LOSSES)):
        await asyncio.sleep(target.rng.uniform(*TERM_S))
        leader = target.leader()
        if leader is not None:
            leader.signal(signal.SIGSTOP)
            await asyncio.sleep(target.rng.uniform(*FROZEN_S))
            leader.signal(signal.SIGCONT)


CONNECTION_FAULTS: tuple[Fault, ...] = (leaders_lost, leaders_lost, leaders_frozen)
"""They have a table of their own so that the faults which a seed draws from ``FAULTS`` don't
change."""
