"""Faults of what the processes talk over, but for what they say to one another."""

import asyncio

from benchmarks.node_faults import Fault, Target
from tests.platform.links import Direction

__all__ = ["LINK_FAULTS"]

RESET_SHARE = 0.5
"""Share of the silent links whose connections are reset in the end."""


async def link_slow(target: Target) -> None:
    """Hold each piece back that goes over a link, for a time of its own."""
    link = target.link()
    link.delay = target.rng.choice((0.05, 0.3, 1.0))
    await asyncio.sleep(target.rng.uniform(1.0, 6.0))
    link.clear_faults()


async def link_silent(target: Target) -> None:
    """Hold back what goes over a link, one way or both; its connections may not outlive it."""
    link = target.link()
    ways = target.rng.choice(([Direction.THERE], [Direction.BACK], list(Direction)))
    for way in ways:
        link.block(way)
    await asyncio.sleep(target.rng.uniform(0.5, 8.0))
    if target.rng.random() < RESET_SHARE:
        link.reset()
    link.clear_faults()


async def links_reset(target: Target) -> None:
    """Reset all connections of some links, again and again."""
    for _ in range(target.rng.randint(1, 8)):
        target.link().reset()
        await asyncio.sleep(target.rng.uniform(0.0, 0.5))


async def link_reset_at_a_byte(target: Target) -> None:
    """Reset each connection of a link at a byte of its own: in a head, a body or between two."""
    link = target.link()
    end = asyncio.get_running_loop().time() + target.rng.uniform(1.0, 5.0)
    while asyncio.get_running_loop().time() < end:
        link.reset_after = target.rng.choice((0, 1, target.rng.randint(2, 400), 4_000))
        await asyncio.sleep(target.rng.uniform(0.05, 0.5))
    link.clear_faults()


LINK_FAULTS: tuple[Fault, ...] = (link_slow, link_silent, links_reset, link_reset_at_a_byte)
