"""VMs that less urgent work leaves free for the most urgent: pure over the tables.

Answers the load of short urgent jobs in a full cell. What they free is taken at once by whatever
waits, so that each further one has to have room made for it, which takes longer than it may wait.
So as much room as they have used at once of late is left to them, in use or free.
"""

from sablemount.jobs.state import State
from sablemount.jobs.systems.every import Every
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.tables import RunState, StepRow, VmRow

__all__ = ["Headroom"]

INTERVAL = 0.1
"""Seconds between two looks at all that runs: rounds are up to fifty a second."""
FADES = 0.05
"""Share of the room used at once that is forgotten in a second while less is used: half of a burst
after 14 s."""
MOST_HELD = 0.05
"""Share of all cores that is left free at most: urgent work beyond it has room made for it, and
room that others wait for in vain is a loss too."""
LEAST_HELD = 1_000.0
"""Cores (thousandths) below which no VM is held."""
LEAST_LEFT = 0.5
"""Share of the VMs that a step may use which is left to it in any case."""


class Headroom:
    """Tells which VMs a step leaves to more urgent work."""

    def __init__(self, state: State, speeds: Speeds) -> None:
        self._state = state
        self._speeds = speeds
        self._peak = 0.0
        """Cores (thousandths) that the most urgent work has used, or waited for, at once."""
        self._at = state.now
        self._every = Every(INTERVAL)
        self._held: set[str] = set()
        self.wanted = 0.0
        """Cores (thousandths) that are to be left free now."""
        self.top = 0
        """Priority of the most urgent queue."""

    def begin(self, usable: list[VmRow]) -> None:
        """Begin a round of placement: find what is to be left free, and on which VMs."""
        state = self._state
        if not self._every.due(state.now):
            return
        priorities = {terms.priority for terms in state.terms.values()}
        self.top = min(priorities, default=0)
        if not state.contended or priorities == {self.top}:
            self._held = set()
            self.wanted = 0.0
            return
        used = self._used()
        self._peak = max(used, self._peak * (1.0 - FADES) ** (state.now - self._at))
        self._at = state.now
        cores = sum(row.info.capacity.cores for row in usable)
        self.wanted = min(self._peak - used, MOST_HELD * cores)
        self._hold(usable, self.wanted)

    def _used(self) -> float:
        """Return the cores that the most urgent work uses or waits for."""
        state = self._state
        used = 0.0
        for row in state.vms.values():
            for run in row.runs.values():
                if run.state is not RunState.STOPPING and self._urgent(run.task):
                    used += run.charge.cores
        for step in state.open_steps.values():
            if state.terms_of(step.job).priority == self.top:
                used += step.waiting * step.spec.charge.cores
        return used

    def _urgent(self, task: str) -> bool:
        job = self._state.live.get(task.partition(".")[0])
        return job is not None and self._state.terms_of(job).priority == self.top

    def _hold(self, usable: list[VmRow], wanted: float) -> None:
        """Hold VMs whose free room is as much as wanted: those held before, the fast, the free."""
        self._held, before = set(), self._held
        if wanted < LEAST_HELD:
            return
        order = sorted(usable, key=lambda row: self._rank(row, before))
        for row in order:
            if wanted <= 0:
                return
            self._held.add(row.name)
            wanted -= row.room.cores

    def _rank(self, row: VmRow, before: set[str]) -> tuple[bool, float, int]:
        speed = self._speeds.of(row) if self._state.uneven else 0.0
        return (row.name not in before, -round(speed, 1), -row.room.cores)

    def left_to(self, step: StepRow, rows: list[VmRow]) -> list[VmRow]:
        """Return those of the VMs that a step may use which it does not leave to urgent work."""
        if not self._held or self._state.terms_of(step.job).priority == self.top:
            return rows
        left = [row for row in rows if row.name not in self._held]
        return left if len(left) >= LEAST_LEFT * len(rows) else rows
