"""Plays traffic and faults over an emulated system, and tells what is wrong afterwards."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from sablemount.control.gate import key_digest
from sablemount.jobs.model import Organisation, Shape
from tests.emulator.faults import Fault
from tests.emulator.system import System

__all__ = ["organisations", "play", "play_organisations", "play_store"]

Beside = Callable[[System, random.Random], Coroutine[object, object, None]]
"""What goes on beside the traffic."""
SETTLE = 60.0
"""Seconds in which every accepted job has to end once all faults are undone."""
OPERATOR_PAUSE = 0.05
"""Seconds after which the operator tries again to write to a store that is down."""
CAPS = (40_000, 46_000, 60_000)
"""Cores of the smaller organisation's cap: each holds the widest gang that is handed in."""

SMALL_PAGE = 7
"""Records of a page so small that what lasts needs many."""


async def play(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Play some faults while jobs are handed in and some of them cancelled."""
    system = System(seed, advice=advice)
    return await _play(system, seed, chosen, system.traffic("a", 60, 0.2), _cancel_some)


async def play_organisations(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Play some faults over callers of two organisations, one of them with a cap that changes."""
    system = System(seed, advice=advice)
    system.configure(2, organisations=organisations(CAPS[0]))
    callers = ("rueda", "rueda", "yard")
    traffic = system.traffic("a", 90, 0.1, callers)
    return await _play(system, seed, chosen, traffic, _change_caps)


async def play_store(seed: int, chosen: Sequence[Fault], advice: bool = False) -> list[str]:
    """Play faults of the store and of changes of leader, with pages that hold little."""
    system = System(seed, advice=advice)
    system.store.page = SMALL_PAGE if seed % 2 else system.store.page
    return await _play(system, seed, chosen, system.traffic("a", 100, 0.12), _cancel_some)


def organisations(cores: int) -> tuple[Organisation, ...]:
    """Return an organisation with a cap and one without; each name's digest is its key."""
    names = ("rueda", "yard")
    caps = (Shape(cores=cores), Shape())
    return tuple(
        Organisation(name, (key_digest(name.encode()),), cap=cap)
        for name, cap in zip(names, caps, strict=True)
    )


async def _play(
    system: System,
    seed: int,
    chosen: Sequence[Fault],
    traffic: Coroutine[object, object, None],
    beside: Beside,
) -> list[str]:
    system.store.share_there = (0.0, 1.0)
    system.cell.held_up = 0.02
    system.start_all()
    await asyncio.sleep(1.0)
    rng = random.Random(seed + 7)
    running = asyncio.create_task(traffic)
    also = asyncio.create_task(beside(system, rng))
    for fault in chosen:
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        asyncio.create_task(fault(system, rng))
    await running
    await also
    await asyncio.sleep(9.0)
    await system.settle(SETTLE)
    return await system.faults()


async def _cancel_some(system: System, rng: random.Random) -> None:
    for _ in range(6):
        await asyncio.sleep(2.0)
        if system.accepted:
            await system.cancel(rng.choice(sorted(system.accepted)))


async def _change_caps(system: System, rng: random.Random) -> None:
    for version in range(3, 9):
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        while system.store.down or system.store.refusing:
            # What the operator writes is in force from the store's answer on.
            await asyncio.sleep(OPERATOR_PAUSE)
        system.configure(version, organisations=organisations(rng.choice(CAPS)))
