"""How well a member's machine carries the lead, beside those of the others: pure.

The leader's core, link and descriptors serve all callers and VMs; a machine that is short of one of
them answers late, and is taken for one that has gone. So the best machines claim first, are asked
first to take over, and a small one leads where there is no better.
"""

import math

import msgspec

__all__ = ["FULL", "MachineLimits", "claim_delay", "clearly_better", "standing"]

ENOUGH_CORES = 0.9
"""Share of a processor core with which a leader of some 200 VMs keeps up."""
ENOUGH_LINK = 50.0
"""Mbit/s with which its link has no queue while a step of a hundred tasks is placed."""
ENOUGH_DESCRIPTORS = 2_000
"""Descriptors that it keeps open: those to the VMs, the members, the store and its callers."""
ENOUGH_MEMORY = 96.0
"""MB that it takes at most."""
FULL = 1.0
"""Standing of a machine that has enough of everything; more makes no better leader."""
LEAST = 1e-3
DELAY_STEP = 0.2
"""Seconds for which a machine leaves a claim to those that stand twice as high: they see that the
leader is silent within 0.15 s of each other, and claim 0.05 s later."""
MOST_DELAY = 0.6
"""Seconds for which it does so at most: the better ones may have gone with the leader."""
CLEARLY_BETTER = 2.0
"""By how much a machine has to stand higher for the lead to be handed to it in calm times, for a
change of leader costs callers some 0.1 s."""


class MachineLimits(msgspec.Struct, frozen=True):
    """What a member's machine gives it; 0 is no limit."""

    cores: float = 1.0
    """Share of a processor core."""
    link: float = 0.0
    """Mbit/s in each direction."""
    descriptors: int = 0
    memory: float = 0.0
    """MB."""


def standing(limits: MachineLimits) -> float:
    """Return how well a machine carries the lead, up to ``FULL``.

    Whatever it is short of takes its share, so that one short of two things stands lower.
    """
    found = (
        _share(limits.cores, ENOUGH_CORES)
        * _share(limits.link, ENOUGH_LINK)
        * _share(limits.descriptors, ENOUGH_DESCRIPTORS)
        * _share(limits.memory, ENOUGH_MEMORY)
    )
    # A message leaves a field out only if it is the very object that is its default.
    return FULL if found >= FULL else max(LEAST, found)


def _share(have: float, enough: float) -> float:
    return FULL if have <= 0 else min(FULL, have / enough)


def claim_delay(own: float, best: float) -> float:
    """Return for how many seconds a member leaves a claim to the best that is known."""
    if own >= best:
        return 0.0
    return min(MOST_DELAY, DELAY_STEP * math.log2(best / own))


def clearly_better(other: float, own: float) -> bool:
    """Tell whether the lead is worth handing over to another member."""
    return other >= CLEARLY_BETTER * own
