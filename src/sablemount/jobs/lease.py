"""Leases of what runs on a VM."""

import enum
from dataclasses import dataclass

__all__ = ["MAX_CALL_DELAY_S", "Lease", "LeaseSource"]

MAX_CALL_DELAY_S = 15.0
"""Time after a call without an answer during which a later incarnation may still carry it out: the
platform states seconds."""


class LeaseSource(enum.Enum):
    """What may have extended a lease last; the value is logged."""

    NONE = "nothing"
    POLL = "poll"
    START = "start"
    PREVIOUS_LEADER = "previous leader"
    """Up to the first report to this leader, a previous one may have extended it."""
    PREVIOUS_INCARNATION = "previous incarnation"
    """A call for the previous incarnation may have reached this one."""


@dataclass(slots=True, frozen=True, eq=False)
class Lease:
    """A lease of everything that runs on a VM, told from others by identity."""

    end: float
    """Local time after which nothing that was leased there can run."""
    source: LeaseSource = LeaseSource.NONE
    until_ms: int = 0
    """The end on the VM's clock as it was requested; 0 if this leader did not request it."""
