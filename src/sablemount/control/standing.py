"""Leader suitability of a member's machine compared with the others; pure functions.

The leader's core, link and descriptors serve all callers and VMs. A machine that is short of one of
them answers late and is mistaken for a failed one. So members on the best machines claim first and
are asked first to take over, and a weak one leads only where there is no better one.
"""

import math

import msgspec

__all__ = ["FULL_STANDING", "MachineLimits", "claim_delay", "is_clearly_better", "standing"]

SUFFICIENT_CORES = 0.9
"""Share of a processor core with which a leader of some 200 VMs keeps up."""
SUFFICIENT_LINK_MBPS = 50.0
"""Mbit/s with which a leader's link has no queue while a step of a hundred tasks is placed."""
SUFFICIENT_DESCRIPTORS = 2_000
"""Descriptors that a leader keeps open: to the VMs, the members, the store and its callers."""
SUFFICIENT_MEMORY_MB = 96.0
"""MB that a leader uses at most."""
FULL_STANDING = 1.0
"""Suitability of a machine that has enough of everything; more does not make a better leader."""
MIN_STANDING = 1e-3
DELAY_STEP_S = 0.2
"""Seconds for which a member leaves a claim to those with twice its suitability: they detect the
silence of the leader within 0.15 s of each other, and claim 0.05 s later."""
MAX_DELAY_S = 0.6
"""Maximum of this delay in seconds: the better machines may have failed with the leader."""
MIN_IMPROVEMENT = 2.0
"""Factor by which a machine has to be more suitable than a healthy leader's to be offered the
leadership, since a change of leader costs callers some 0.1 s."""


class MachineLimits(msgspec.Struct, frozen=True):
    """Resource limits of a member's machine; 0 is no limit."""

    cores: float = 1.0
    """Share of a processor core."""
    link_mbps: float = 0.0
    """Mbit/s in each direction."""
    descriptors: int = 0
    memory_mb: float = 0.0
    """MB."""


def standing(limits: MachineLimits) -> float:
    """Return the suitability of a machine as leader, up to ``FULL_STANDING``.

    The factors of all resources are multiplied, so that a machine short of two of them ranks lower.
    """
    product = (
        _sufficiency(limits.cores, SUFFICIENT_CORES)
        * _sufficiency(limits.link_mbps, SUFFICIENT_LINK_MBPS)
        * _sufficiency(limits.descriptors, SUFFICIENT_DESCRIPTORS)
        * _sufficiency(limits.memory_mb, SUFFICIENT_MEMORY_MB)
    )
    # A message omits a field only if the value is the very object that is its default.
    return FULL_STANDING if product >= FULL_STANDING else max(MIN_STANDING, product)


def _sufficiency(available: float, sufficient: float) -> float:
    return FULL_STANDING if available <= 0 else min(FULL_STANDING, available / sufficient)


def claim_delay(own: float, best: float) -> float:
    """Return the seconds for which a member leaves a claim to the best one known."""
    if own >= best:
        return 0.0
    return min(MAX_DELAY_S, DELAY_STEP_S * math.log2(best / own))


def is_clearly_better(other: float, own: float) -> bool:
    """Return whether another member is so much better that a handover is worth its cost."""
    return other >= MIN_IMPROVEMENT * own
