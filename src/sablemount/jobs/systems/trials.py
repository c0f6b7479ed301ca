"""Where tasks may start under which VMs have crashed, so that the next crash tells their part.

After one crash, tasks of different jobs that it counts for are kept apart while they are young.
After two, a task is on trial: its VM takes nothing of other jobs until it has ended, and it starts
there once all else has run for a while, so that a crash has no other likely cause.
"""

from sablemount.jobs.model import job_of
from sablemount.jobs.state import State
from sablemount.jobs.tables import RunRow, StepRow, TaskRow, TaskState, VmRow

__all__ = ["Trials"]

PROVEN_AFTER = 0.5
"""Seconds of work after which a run is not a crash's likely cause: those seen took 0.01 s."""
MOST_TRIALS = 0.25
"""Share of the usable VMs that are on trial at once at most."""
RESTARTED_LATELY = 15.0
"""Seconds for which a VM that has started again is not the first choice for a trial."""
TRIAL_WAIT = 1.5
"""Seconds for which a VM is kept for a trial that does not begin."""
TRIAL_TIME = 10.0
"""Seconds of work after which a trial is over: what lasts would keep its VM for good."""
PATIENCE = 2.2
"""Seconds of waiting after which a task starts without a trial: below the 3 s for which nothing
of a job may run while there is room for it."""


class Trials:
    """Chooses VMs for trials, and judges who may start where."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._since: dict[str, float] = {}
        """When each VM on trial was taken."""
        self._most = 1

    def begin(self, usable: list[VmRow]) -> None:
        """Begin a round of placement: take up trials that run, and end those that are over."""
        state = self._state
        if not state.suspected and not self._since:
            return
        self._most = max(1, int(MOST_TRIALS * len(usable)))
        for name in [name for name in state.suspected if name not in state.live]:
            del state.suspected[name]
        for job in state.suspected.values():
            for step in job.steps.values():
                self._take_running(step)
        for name in [name for name in self._since if not self._goes_on(name)]:
            self._release(name)

    def _take_running(self, step: StepRow) -> None:
        for task in step.tasks:
            for run in task.runs if task.on_trial else ():
                row = self._state.vms.get(run.vm)
                if row is not None and not row.trial and _on_trial(run, row):
                    self._take(row, step.job.name)

    def _goes_on(self, name: str) -> bool:
        row = self._state.vms.get(name)
        job = None if row is None else self._state.live.get(row.trial)
        if row is None or job is None:
            return False
        for run in row.runs.values():
            task = self._state.task(run.task)
            if task is None or task.step.job is not job:
                continue
            if task.on_trial and _on_trial(run, row):
                return True
        return self._state.now - self._since[name] < TRIAL_WAIT

    def _take(self, row: VmRow, job: str) -> None:
        row.trial = job
        self._since[row.name] = self._state.now
        self._state.logger.info("VM on trial", extra={"vm": row.name, "job": job})

    def _release(self, name: str) -> None:
        del self._since[name]
        row = self._state.vms.get(name)
        if row is not None:
            row.trial = ""
            self._state.freed += 1

    # -- Choosing ----------------------------------------------------------------------------

    def prepare(self, step: StepRow, rows: list[VmRow]) -> None:
        """Take VMs for the tasks of a step that wait for a trial, out of those that it may use."""
        if step.job.name not in self._state.suspected:
            return
        tried = sum(1 for task in step.tasks if self._waits_for_trial(task))
        if not tried:
            return
        wanted = tried if step.spec.gang else 1
        job = step.job.name
        places = sum(self._places(step, row) for row in rows if row.trial == job)
        free = [row for row in rows if not row.trial and self._fit_for(step, row)]
        free.sort(key=lambda row: self._trial_order(step, row))
        for row in free:
            if places >= wanted or len(self._since) >= self._most:
                return
            self._take(row, job)
            places += max(1, self._places(step, row))

    def _trial_order(self, step: StepRow, row: VmRow) -> tuple[bool, bool, int, int]:
        """Order VMs for a trial: one that has just started again, and is empty, may do so again."""
        restarted = self._state.now - row.follows_at < RESTARTED_LATELY
        again = restarted or any(task.crashed_before(row) for task in step.tasks)
        return (not self._places(step, row), again, len(row.runs), -row.room.cores)

    def _waits_for_trial(self, task: TaskRow) -> bool:
        return task.on_trial and self._waits(task)

    def _waits(self, task: TaskRow) -> bool:
        since = max(task.step.requeued_at, self._state.settled_at)
        return task.state is TaskState.WAITING and self._state.now - since < PATIENCE

    def _fit_for(self, step: StepRow, row: VmRow) -> bool:
        fits = step.spec.charge.fits(row.info.capacity)
        return fits and not any(self._suspected(run, step.job.name) for run in row.runs.values())

    @staticmethod
    def _places(step: StepRow, row: VmRow) -> int:
        found = step.spec.charge.times_in(row.room)
        return min(found, step.spec.spread) if step.spec.spread else found

    # -- Judging -----------------------------------------------------------------------------

    def may_start(self, task: TaskRow, row: VmRow) -> bool:
        """Tell whether a task may start on a VM, as far as crashes under it tell."""
        if not task.crashes:
            return True
        job = task.step.job.name
        young = [run for run in row.runs.values() if not _proven(run, row)]
        if self._waits_for_trial(task):
            return row.trial == job and not any(job_of(run.task) != job for run in young)
        return not any(self._suspected(run, job) for run in young)

    def elsewhere(self, task: TaskRow, rows: list[VmRow], found: list[VmRow]) -> list[VmRow]:
        """Return those of the VMs found that have not crashed under a task before, in any life.

        One that crashes again and again would look like a task that does so. Without one such among
        all its VMs, or after a while, any will do.
        """
        other = [row for row in found if not task.crashed_before(row)]
        if other:
            return other
        waits = self._waits(task) and any(not task.crashed_before(row) for row in rows)
        return [] if waits else found

    def _suspected(self, run: RunRow, job: str) -> bool:
        """Tell whether a run is one of another job's task under which a VM has crashed."""
        if job_of(run.task) == job:
            return False
        task = self._state.task(run.task)
        return task is not None and bool(task.crashes)


def _on_trial(run: RunRow, row: VmRow) -> bool:
    return run.worked(row.heard_at) < TRIAL_TIME


def _proven(run: RunRow, row: VmRow) -> bool:
    """Tell whether a VM's last word has a run at work for a while."""
    return run.worked(row.heard_at) > PROVEN_AFTER
