"""Faults of the connections between processes and their callers, store, advice and VMs."""

import asyncio

from benchmarks.node_faults import Fault, Target
from tests.platform.links import Direction

__all__ = ["LINK_FAULTS"]

RESET_SHARE = 0.5
"""Share of the silenced links whose connections are reset at the end."""


async def link_slow(target: Target) -> None:
    """Delay each chunk of data on a link separately."""
    link = target.pick_link()
    link.delay = target.rng.choice((0.05, 0.3, 1.0))
    await asyncio.sleep(target.rng.uniform(1.0, 6.0))
    link.clear_faults()


async def link_silent(target: Target) -> None:
    """Silence a link in one direction or both; its connections may be reset at the end."""
    link = target.pick_link()
    directions = target.rng.choice(([Direction.THERE], [Direction.BACK], list(Direction)))
    for direction in directions:
        link.block(direction)
    await asyncio.sleep(target.rng.uniform(0.5, 8.0))
    if target.rng.random() < RESET_SHARE:
        link.reset()
    link.clear_faults()


async def links_reset(target: Target) -> None:
    """Reset all connections of several links, one link after another."""
    for _ in range(target.rng.randint(1, 8)):
        target.pick_link().reset()
        await asyncio.sleep(target.rng.uniform(0.0, 0.5))


async def link_reset_at_a_byte(target: Target) -> None:
    """Reset each connection of a link after a random byte: within a header, a body or between."""
    link = target.pick_link()
    deadline = asyncio.get_running_loop().time() + target.rng.uniform(1.0, 5.0)
    while asyncio.get_running_loop().time() < deadline:
        link.reset_after = target.rng.choice((0, 1, target.rng.randint(2, 400), 4_000))
        await asyncio.sleep(target.rng.uniform(0.05, 0.5))
    link.clear_faults()


LINK_FAULTS: tuple[Fault, ...] = (link_slow, link_silent, links_reset, link_reset_at_a_byte)
