"""Why a step that waits has nothing started: for each VM, the first thing that speaks against it.

It is looked at for the log alone, for a few steps at a time, since it goes over all VMs.
"""

import enum
from collections import Counter

from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.reservation import Reservation
from sablemount.jobs.systems.trials import Trials
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow, TaskRow, TaskState, VmRow

__all__ = ["Hold", "HeldBack"]


class Hold(enum.Enum):
    """What keeps a step from a VM."""

    SILENT = "silent"
    AVOIDED = "avoided"
    ROOM_UNKNOWN = "room not known"
    UNPROVEN = "to show that it lists ends"
    UNUSABLE = "unusable"
    TRIAL = "on trial"
    KEPT = "kept"
    UNKNOWN = "no advice yet"
    BAD = "not allowed"
    FULL = "full"
    RESERVED = "reserved"
    FAILED = "failed there"
    SUSPECTS = "suspects"
    CRASHED = "crashed before"
    OPEN = "open"
    """Nothing speaks against it."""


class HeldBack:
    """Tells what holds a step back."""

    def __init__(
        self, state: State, vms: Vms, advice: Advice, reservation: Reservation, trials: Trials
    ) -> None:
        self._state = state
        self._vms = vms
        self._advice = advice
        self._reservation = reservation
        self._trials = trials

    def by(self, step: StepRow) -> dict[str, int]:
        """Return how many VMs of a step's pool each reason keeps it from."""
        pool = self._state.terms_of(step.job).pool
        rows = [row for row in self._state.vms.values() if row.info.pool == pool]
        left = {row.name for row in self._reservation.left_to(step, rows)}
        task = next((task for task in step.tasks if task.state is TaskState.WAITING), None)
        found = Counter(self._hold(step, task, row, row.name in left) for row in rows)
        return {hold.value: found[hold] for hold in Hold if found[hold]}

    def _hold(self, step: StepRow, task: TaskRow | None, row: VmRow, left: bool) -> Hold:
        now = self._state.now
        if row.avoid_until > now:
            return Hold.AVOIDED
        if not self._vms.fresh(row) or row.refused_since >= row.heard_at:
            return Hold.SILENT
        if not self._vms.room_known(row):
            return Hold.ROOM_UNKNOWN
        if not self._vms.usable(row):
            return Hold.UNPROVEN if row.unproven else Hold.UNUSABLE
        if row.trial not in ("", step.job.name):
            return Hold.TRIAL
        if row.kept_from(step, self._state.terms_of(step.job).priority, now):
            return Hold.KEPT
        if not step.spec.charge.fits(row.room):
            return Hold.FULL
        if self._advice.unknown(step, row):
            return Hold.UNKNOWN
        if step.advice is not None and row.name not in step.advice.good:
            return Hold.BAD
        if not left:
            return Hold.RESERVED
        return Hold.OPEN if task is None else self._hold_of(task, row)

    def _hold_of(self, task: TaskRow, row: VmRow) -> Hold:
        if row.name in task.failed_on:
            return Hold.FAILED
        if not self._trials.may_start(task, row):
            return Hold.SUSPECTS
        return Hold.CRASHED if task.crashed_before(row) else Hold.OPEN
