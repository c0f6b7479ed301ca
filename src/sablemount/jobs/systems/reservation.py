"""VMs that are reserved for gangs waiting for capacity.

In a busy cell, completions free capacity all the time, and less urgent steps that wait take each
bit of it at once, so that a gang never finds all of its places together. So the VMs on which it is
most likely to find them are reserved for it.
"""

from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["GangReservations"]

MAX_RESERVED_SHARE = 0.34
"""Maximum share of all VMs that is reserved for gangs."""
MIN_AVAILABLE_SHARE = 0.5
"""Share of the VMs that a step may use which always remains available to it: otherwise a step that
may use few VMs could be excluded from all of them."""


class GangReservations:
    """Keeps track of the VMs that are reserved for waiting gangs."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._reserved: dict[str, tuple[int, set[str]]] = {}
        """Priority and reserved VMs of the gangs that wait, by step."""

    def begin_round(self) -> None:
        """Begin a placement round: drop the reservations of gangs that no longer wait."""
        open_steps = self._state.open_steps
        for key in [key for key in self._reserved if key not in open_steps]:
            del self._reserved[key]

    def release(self, step: StepRow) -> None:
        """Drop a step's reservation, since it is about to be placed anew."""
        self._reserved.pop(step.key, None)

    def reserve_vms(self, step: StepRow, rows: list[VmRow]) -> None:
        """Reserve those VMs for a gang, of all that it may use, that have the most free cores.

        The gang has found no capacity on them.
        """
        if sum(_largest_share(step, row) for row in rows) < step.waiting:
            return
        limit = int(MAX_RESERVED_SHARE * len(self._state.vms))
        limit -= sum(len(names) for _, names in self._reserved.values())
        names: set[str] = set()
        places = 0
        for row in sorted(rows, key=lambda row: -row.free_capacity.cores):
            if places >= step.waiting or len(names) >= limit:
                break
            names.add(row.name)
            places += max(1, row.places_for(step))
        if names:
            self._reserved[step.key] = (self._state.terms_of(step.job).priority, names)

    def available_to(self, step: StepRow, rows: list[VmRow]) -> list[VmRow]:
        """Return those of some allowed VMs that are not reserved for more urgent gangs."""
        priority = self._state.terms_of(step.job).priority
        reserved: set[str] = set()
        for gang_priority, names in self._reserved.values():
            if gang_priority < priority:
                reserved |= names
        if not reserved:
            return rows
        available = [row for row in rows if row.name not in reserved]
        return available if len(available) >= MIN_AVAILABLE_SHARE * len(rows) else rows


def _largest_share(step: StepRow, row: VmRow) -> int:
    """Return how many tasks of a step a VM that is free can run at most."""
    found = step.spec.charge.copies_in(row.info.capacity)
    return min(found, step.spec.spread) if step.spec.spread else found
