"""Placement of tasks under which VMs have crashed, so that the next crash shows their part in it.

After one crash, tasks of different jobs that it counts for are kept apart until they have been at
work for a while. After two, a task is isolated: its VM takes nothing of other jobs until the task
has ended, and the task starts there once all else has been at work for a while, so that a crash has
no other likely cause. A run that is being stopped is a suspect's neighbour until it is over.
"""

from sablemount.jobs.model import job_name_of
from sablemount.jobs.run_row import RunRow
from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow, TaskRow, TaskState
from sablemount.jobs.vm_row import VmRow

__all__ = ["Isolation"]

CLEARED_AFTER_S = 0.5
"""Seconds of work after which a run is not a likely cause of a crash: known cases took 0.01 s."""
MAX_ISOLATED_SHARE = 0.25
"""Largest share of the usable VMs that are isolated at once."""
RECENT_RESTART_S = 15.0
"""Seconds for which a VM that has restarted is not the first choice for isolating a task."""
START_TIMEOUT_S = 1.5
"""Seconds for which a VM stays isolated for a task that does not start."""
ISOLATION_TIME_S = 10.0
"""Seconds of work after which an isolation ends: a long-running task would keep its VM forever."""
ISOLATION_WAIT_S = 2.2
"""Seconds of waiting after which a task starts without isolation: below the 3 s for which nothing
of a job may run while there is capacity for it."""


class Isolation:
    """Isolates VMs for suspected tasks, and decides which tasks may start where."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._isolated_since: dict[str, float] = {}
        """When the isolation of each VM began."""
        self._max_isolated = 1

    def begin_round(self, usable: list[VmRow]) -> None:
        """Begin a placement round: isolate VMs of running tasks, and release those not needed."""
        state = self._state
        if not (state.suspected_jobs or state.orphans or self._isolated_since):
            return
        self._max_isolated = max(1, int(MAX_ISOLATED_SHARE * len(usable)))
        for name in [name for name in state.suspected_jobs if name not in state.open_jobs]:
            del state.suspected_jobs[name]
        for job in state.suspected_jobs.values():
            for step in job.steps.values():
                self._isolate_running(step)
        for run in state.orphans.values():
            if run.owner is not None and run.owner.state is not TaskState.DONE:
                self._isolate_run(run)
        for name in [name for name in self._isolated_since if not self._is_needed(name)]:
            self._release(name)

    def _isolate_running(self, step: StepRow) -> None:
        for task in step.tasks.rows():
            for run in task.runs if task.needs_isolation else ():
                self._isolate_run(run)

    def _isolate_run(self, run: RunRow) -> None:
        row = self._state.vms.get(run.vm)
        if row is not None and not row.isolated_job and _must_be_isolated(run, row):
            self._isolate(row, job_name_of(run.task))

    def _is_needed(self, name: str) -> bool:
        row = self._state.vms.get(name)
        if row is None:
            return False
        for run in row.runs.values():
            if job_name_of(run.task) == row.isolated_job and _must_be_isolated(run, row):
                return True
        is_open = row.isolated_job in self._state.open_jobs
        return is_open and self._state.now - self._isolated_since[name] < START_TIMEOUT_S

    def _isolate(self, row: VmRow, job: str) -> None:
        row.isolated_job = job
        self._isolated_since[row.name] = self._state.now
        self._state.logger.info("VM isolated", extra={"vm": row.name, "job": job})

    def _release(self, name: str) -> None:
        del self._isolated_since[name]
        row = self._state.vms.get(name)
        if row is not None:
            row.isolated_job = ""
            self._state.capacity_version += 1

    # -- Selection ---------------------------------------------------------------------------

    def isolate_for(self, step: StepRow, rows: list[VmRow]) -> None:
        """Isolate VMs, among those a step may use, for its tasks that wait for isolation."""
        if step.job.name not in self._state.suspected_jobs:
            return
        waiting = sum(1 for task in step.tasks.rows() if self._waits_for_isolation(task))
        if not waiting:
            return
        wanted = waiting if step.spec.gang else 1
        job = step.job.name
        places = sum(row.places_for(step) for row in rows if row.isolated_job == job)
        candidates = [row for row in rows if not row.isolated_job and self._can_isolate(step, row)]
        candidates.sort(key=lambda row: self._preference(step, row))
        for row in candidates:
            if places >= wanted or len(self._isolated_since) >= self._max_isolated:
                return
            self._isolate(row, job)
            places += max(1, row.places_for(step))

    def _preference(self, step: StepRow, row: VmRow) -> tuple[bool, bool, int, int]:
        """Return a sort key: VMs with a free place come first, then those with the fewest runs.

        A VM that has just restarted comes later although it is empty, since it may crash again.
        """
        restarted = self._state.now - row.follows_crash_at < RECENT_RESTART_S
        may_crash_again = restarted or any(task.crashed_before(row) for task in step.tasks.rows())
        return (
            not row.has_place_for(step),
            may_crash_again,
            len(row.runs),
            -row.free_capacity.cores,
        )

    def _waits_for_isolation(self, task: TaskRow) -> bool:
        return task.needs_isolation and self._may_wait(task)

    def _may_wait(self, task: TaskRow) -> bool:
        since = max(task.step.requeued_at, self._state.released_at)
        return task.state is TaskState.WAITING and self._state.now - since < ISOLATION_WAIT_S

    def _can_isolate(self, step: StepRow, row: VmRow) -> bool:
        fits = step.spec.charge.fits(row.info.capacity) and row.spread_left(step) > 0
        return fits and not any(self._is_suspected(run, step.job.name) for run in row.runs.values())

    # -- Decisions ---------------------------------------------------------------------------

    def may_start(self, task: TaskRow, row: VmRow) -> bool:
        """Return whether a task may start on a VM, given the crashes under it."""
        if not task.crashes:
            return True
        job = task.step.job.name
        recent = [run for run in row.runs.values() if not _is_cleared(run, row)]
        if self._waits_for_isolation(task):
            return row.isolated_job == job and not any(
                job_name_of(run.task) != job for run in recent
            )
        return not any(self._is_suspected(run, job) for run in recent)

    def prefer_unaffected(
        self, task: TaskRow, rows: list[VmRow], found: list[VmRow]
    ) -> list[VmRow]:
        """Return those of the VMs found of which no incarnation has crashed under a task.

        A VM that crashes repeatedly would look like a task that crashes VMs. If all VMs of the task
        have crashed under it, or after a while, any will do.
        """
        unaffected = [row for row in found if not task.crashed_before(row)]
        if unaffected:
            return unaffected
        must_wait = self._may_wait(task) and any(not task.crashed_before(row) for row in rows)
        return [] if must_wait else found

    def _is_suspected(self, run: RunRow, job: str) -> bool:
        """Return whether a run belongs to a task of another job under which a VM has crashed."""
        if job_name_of(run.task) == job:
            return False
        return run.owner is not None and bool(run.owner.crashes)


def _must_be_isolated(run: RunRow, row: VmRow) -> bool:
    """Return whether a run needs a VM without other jobs, until it has been at work for long."""
    task = run.owner
    if task is None or not task.needs_isolation:
        return False
    return run.seconds_at_work(row.last_report_at) < ISOLATION_TIME_S


def _is_cleared(run: RunRow, row: VmRow) -> bool:
    """Return whether a run had been at work for a while at the VM's last report."""
    return run.seconds_at_work(row.last_report_at) > CLEARED_AFTER_S
