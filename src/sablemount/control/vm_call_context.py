"""What all calls of one leadership to its VMs share."""

from collections.abc import Callable
from dataclasses import dataclass

from sablemount.control.ports import CallError, VmPort
from sablemount.jobs.scheduler import JobScheduler
from sablemount.jobs.vm_row import VmRow

__all__ = [
    "EPOCH_SHIFT",
    "NOTHING_SENT",
    "NOT_CARRIED_OUT",
    "RESETS",
    "RETRY_PAUSE_S",
    "VmCallContext",
]

NOTHING_SENT = (CallError.NOT_SENT, CallError.REFUSED, CallError.RESET_UNSENT)
NOT_CARRIED_OUT = (*NOTHING_SENT, CallError.FENCED, CallError.OTHER_INCARNATION)
RESETS = (CallError.RESET_ON_OPEN, CallError.RESET_UNSENT)
RETRY_PAUSE_S = 0.1
"""Pause after a failed call; that of polls grows by half with each further failure."""
EPOCH_SHIFT = 32
"""Number of low bits of a fence. They increase under one leader, by one for each incarnation of a
VM and for each request that may arrive late, so that they last for years."""


@dataclass(frozen=True, slots=True)
class VmCallContext:
    """The scheduler and the port of a leadership, and what its calls report.

    ``has_authority`` returns whether requests may be sent now. ``on_fenced`` is called with the
    name of a VM that has refused the fence, and ``wake`` after any event that may allow new
    decisions of the scheduler.
    """

    scheduler: JobScheduler
    port: VmPort
    epoch: int
    has_authority: Callable[[], bool]
    on_fenced: Callable[[str], None]
    wake: Callable[[], None]

    def fence(self, row: VmRow) -> int:
        """Return the fence of a call to a VM that is sent now."""
        return (self.epoch << EPOCH_SHIFT) + row.fence

    def fence_refused(self, row: VmRow, fence: int) -> None:
        """Handle a refused fence: a later leader has sent a higher one, unless ours has risen."""
        if not row.terminated and fence == self.fence(row):
            self.on_fenced(row.name)

    def incarnation_ended(self, vm: str) -> None:
        """Handle that another incarnation has answered a call to a VM."""
        self.scheduler.vms.incarnation_ended(vm)
        self.wake()
