"""VMs that less urgent work leaves to a gang that waits for room.

In a busy cell what ends makes room all the time, and less urgent work that waits takes each bit of
it at once, so that a gang never finds all of its places together. So the VMs on which it is most
likely to find them are held for it.
"""

from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow, VmRow

__all__ = ["Reservation"]

MOST_HELD = 0.34
"""Share of all VMs that is held for gangs at most."""
LEAST_LEFT = 0.5
"""Share of the VMs that a step may use which is left to it in any case: otherwise one that may use
few VMs could be kept from all of them."""


class Reservation:
    """Tells which VMs a step leaves to more urgent gangs."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._held: dict[str, tuple[int, set[str]]] = {}
        """Priority and VMs of the gangs that wait, by step."""

    def begin(self) -> None:
        """Begin a round of placement: gangs that wait no more hold nothing."""
        open_steps = self._state.open_steps
        for key in [key for key in self._held if key not in open_steps]:
            del self._held[key]

    def release(self, step: StepRow) -> None:
        """Hold nothing for a step any more: it is about to be placed anew."""
        self._held.pop(step.key, None)

    def hold(self, step: StepRow, rows: list[VmRow]) -> None:
        """Hold VMs for a gang that found no room on those that it may use: the emptiest of them."""
        charge = step.spec.charge
        if sum(charge.times_in(row.info.capacity) for row in rows) < step.waiting:
            return
        most = int(MOST_HELD * len(self._state.vms))
        most -= sum(len(names) for _, names in self._held.values())
        names: set[str] = set()
        places = 0
        for row in sorted(rows, key=lambda row: -row.room.cores):
            if places >= step.waiting or len(names) >= most:
                break
            names.add(row.name)
            places += max(1, charge.times_in(row.room))
        if names:
            self._held[step.key] = (self._state.terms_of(step.job).priority, names)

    def left_to(self, step: StepRow, rows: list[VmRow]) -> list[VmRow]:
        """Return those of the VMs that a step may use which it does not leave to others."""
        priority = self._state.terms_of(step.job).priority
        kept: set[str] = set()
        for holder, names in self._held.values():
            if holder < priority:
                kept |= names
        if not kept:
            return rows
        left = [row for row in rows if row.name not in kept]
        return left if len(left) >= LEAST_LEFT * len(rows) else rows
