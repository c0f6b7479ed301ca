"""Organisations with caps in the emulated system, while caps change and all else fails."""

import asyncio
import random

import pytest

from sablemount.control.gate import key_digest
from sablemount.jobs.model import Organisation, Shape
from tests.emulator import faults as kinds
from tests.emulator.loop import run
from tests.emulator.system import System

SETTLE = 120.0
CAPS = (40_000, 46_000, 60_000)
"""Cores of the smaller organisation's cap: each holds the widest gang that is handed in."""


def _organisations(cores: int) -> tuple[Organisation, ...]:
    names = ("rueda", "yard")
    caps = (Shape(cores=cores), Shape())
    return tuple(
        Organisation(name, (key_digest(name.encode()),), cap=cap)
        for name, cap in zip(names, caps, strict=True)
    )


async def _change_caps(system: System, rng: random.Random) -> None:
    for version in range(3, 9):
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        system.configure(version, organisations=_organisations(rng.choice(CAPS)))


async def play(seed: int, chosen: list[kinds.Fault], advice: bool = False) -> list[str]:
    """Play some faults over callers of two organisations; return what is wrong."""
    system = System(seed, advice=advice)
    system.configure(2, organisations=_organisations(CAPS[0]))
    system.start_all()
    await asyncio.sleep(1.0)
    rng = random.Random(seed + 7)
    callers = ("rueda", "rueda", "yard")
    traffic = asyncio.create_task(system.traffic("a", 90, 0.1, callers))
    changes = asyncio.create_task(_change_caps(system, rng))
    for fault in chosen:
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        asyncio.create_task(fault(system, rng))
    await traffic
    await changes
    await asyncio.sleep(9.0)
    await system.settle(SETTLE)
    return await system.faults()


def test_calm() -> None:
    assert run(play(1, [])) == []


@pytest.mark.parametrize("fault", kinds.FAULTS, ids=lambda fault: fault.__name__)
def test_each_fault_twice(fault: kinds.Fault) -> None:
    assert run(play(3, [fault, fault])) == []


@pytest.mark.parametrize("seed", range(10))
def test_mixes(seed: int) -> None:
    rng = random.Random(seed)
    chosen = [rng.choice(kinds.FAULTS) for _ in range(5)]
    assert run(play(100 + seed, chosen, advice=seed % 2 == 0)) == []
