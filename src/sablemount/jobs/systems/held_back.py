"""Why a waiting step is not started: for each VM, the first reason that blocks it.

This is computed only for the log, for a few steps at a time, since it takes a pass over all VMs.
"""

import enum
from collections import Counter

from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.reservation import GangReservations
from sablemount.jobs.systems.trials import Isolation
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow, TaskRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["BlockingAnalysis", "BlockingReason"]


class BlockingReason(enum.Enum):
    """What blocks a step from starting on a VM."""

    SILENT = "silent"
    AVOIDED = "avoided"
    CAPACITY_UNKNOWN = "room not known"
    UNVERIFIED = "to show that it lists ends"
    UNUSABLE = "unusable"
    ISOLATED = "on trial"
    """The VM is isolated for another job."""
    RESERVED_FOR_STEP = "kept"
    """Preemption has reserved the VM for another step or for more urgent work."""
    NO_ADVICE = "no advice yet"
    NOT_ALLOWED = "not allowed"
    FULL = "full"
    AT_SPREAD = "at its spread"
    """As many tasks of the step may run there as its spread allows."""
    RESERVED_FOR_GANG = "reserved"
    """The VM is reserved for a more urgent gang that waits for capacity."""
    BEING_STOPPED = "being stopped"
    """A run of the task that is not wanted works until it has been stopped."""
    FAILED_BEFORE = "failed there"
    SUSPECTS = "suspects"
    """VMs have crashed under the task, and it may not run beside what runs there."""
    CRASHED_BEFORE = "crashed before"
    NOT_BLOCKED = "open"
    """Nothing blocks the step."""


class BlockingAnalysis:
    """Determines what blocks a waiting step."""

    def __init__(
        self,
        state: State,
        vms: Vms,
        advice: Advice,
        gang_reservations: GangReservations,
        isolation: Isolation,
    ) -> None:
        self._state = state
        self._vms = vms
        self._advice = advice
        self._gang_reservations = gang_reservations
        self._isolation = isolation

    def count_reasons(self, step: StepRow) -> dict[str, int]:
        """Return the number of VMs in a step's pool by blocking reason."""
        pool = self._state.terms_of(step.job).pool
        rows = [row for row in self._state.vms.values() if row.info.pool == pool]
        unreserved = {row.name for row in self._gang_reservations.available_to(step, rows)}
        task = self._next_task(step)
        found = Counter(self._reason(step, task, row, row.name in unreserved) for row in rows)
        return {reason.value: found[reason] for reason in BlockingReason if found[reason]}

    def _next_task(self, step: StepRow) -> TaskRow | None:
        """Return a waiting task, if possible one of which no run is being stopped.

        ``None`` stands for a task of which nothing is known but that it waits.
        """
        unwanted = self._state.unwanted_runs
        waiting = step.tasks.waiting_rows()
        return min(waiting, key=lambda task: task.key in unwanted, default=None)

    def _reason(
        self, step: StepRow, task: TaskRow | None, row: VmRow, unreserved: bool
    ) -> BlockingReason:
        now = self._state.now
        if row.avoid_until > now:
            return BlockingReason.AVOIDED
        if (
            not self._vms.has_reported_recently(row)
            or row.connections_refused_since >= row.last_report_at
        ):
            return BlockingReason.SILENT
        if not self._vms.is_capacity_known(row):
            return BlockingReason.CAPACITY_UNKNOWN
        if not self._vms.is_usable(row):
            return BlockingReason.UNVERIFIED if row.unverified else BlockingReason.UNUSABLE
        if row.isolated_job not in ("", step.job.name):
            return BlockingReason.ISOLATED
        if row.is_reserved_against(step, self._state.terms_of(step.job).priority, now):
            return BlockingReason.RESERVED_FOR_STEP
        if not step.spec.charge.fits(row.free_capacity):
            return BlockingReason.FULL
        if row.spread_left(step) <= 0:
            return BlockingReason.AT_SPREAD
        if self._advice.lacks_advice(step, row):
            return BlockingReason.NO_ADVICE
        if step.advice is not None and row.name not in step.advice.tickets:
            return BlockingReason.NOT_ALLOWED
        if not unreserved:
            return BlockingReason.RESERVED_FOR_GANG
        return BlockingReason.NOT_BLOCKED if task is None else self._task_reason(task, row)

    def _task_reason(self, task: TaskRow, row: VmRow) -> BlockingReason:
        if task.key in self._state.unwanted_runs:
            return BlockingReason.BEING_STOPPED
        if row.name in task.failed_on:
            return BlockingReason.FAILED_BEFORE
        if not self._isolation.may_start(task, row):
            return BlockingReason.SUSPECTS
        return (
            BlockingReason.CRASHED_BEFORE
            if task.crashed_before(row)
            else BlockingReason.NOT_BLOCKED
        )
