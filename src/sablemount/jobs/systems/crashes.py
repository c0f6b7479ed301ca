"""Tasks under which VMs crash: counted, noted in the store, and given up.

A crash is the end of a VM's life that it has not told of, while its entry stood. It counts for all
that ran there, as far as it tells of each (``evidence.py``); ``trials.py`` has what is suspected
started where the next crash tells. Counts last in the store, and so does what was
started on a VM of late, or runs on one that has fallen silent: so a crash counts also if its leader
ends before it was sure of it.
"""

from collections.abc import Callable

from sablemount.jobs.model import job_of, task_key
from sablemount.jobs.records import Progress
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import Every
from sablemount.jobs.systems.evidence import CONVICTING, CONVICTING_ALONE, TELLING, Evidence
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.tables import JobRow, JobState, RunRow, RunState, TaskRow, TaskState, VmRow

__all__ = ["Crashes"]

INTERVAL = 0.1
"""Seconds between looks for VMs that have fallen silent."""
SILENT_AFTER = 1.3
"""Seconds without a word after which what runs on a VM is in doubt: a look takes 1.05 s at most."""
MOST_SILENT = 0.25
"""Share of the VMs that may be silent at once for that to be noted: with more of them the leader
itself was away, or cut off."""
LEAST_SILENT = 2
JUDGE_INTERVAL = 0.3
"""Seconds between looks at what more is known of crashes."""
GIVEN_UP_AFTER = 3
"""Crashes after which a task is given up, if they tell enough and it was on trial at the last."""
GIVEN_UP_IN_ANY_CASE = 4
"""The same, however it was started: six starts of which three follow the third crash are too many,
and the count of one or two may be lost with a leader."""
LONG_AT_WORK = 3.0
"""Seconds of work after which a run beside one on trial is no likely cause of a crash."""
FORGIVEN_AFTER = 20.0
"""Seconds of work after which a crash tells nothing of a task that lasts: it outlives many VMs."""
ROWS_A_LINE = 60


class Crashes:
    """Takes the ends of VMs' lives, and ends the jobs whose tasks cause them."""

    def __init__(self, state: State, lifecycle: Lifecycle, note: Callable[[VmRow], None]) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._note = note
        """Has what may be lost with a VM recorded."""
        self._every = Every(INTERVAL)
        self._judging = Every(JUDGE_INTERVAL)
        self._evidence = Evidence(state)

    # -- Counting ----------------------------------------------------------------------------

    def crashed(self, row: VmRow) -> None:
        """Take that a VM's life has ended unplanned; call it before its runs are taken out."""
        self._evidence.note(row, self._trial(row))
        tasks = self._under(row)
        if not tasks:
            return
        for task in tasks:
            self._count(task, row.name)
        self._tell(row, tasks)

    def left(self, run: RunRow) -> None:
        """Take that a run ended with the life that it was ordered at, as it is not at the next."""
        task = self._state.task(run.task)
        if task is None or task.state is TaskState.DONE:
            return
        self._count(task, run.left)
        extra = {"vm": run.left, "trial": "", "under": [(task.key, len(task.crashes))]}
        self._state.logger.info("VM crashed", extra=extra)

    def _under(self, row: VmRow) -> list[TaskRow]:
        """Return the open tasks that a crash counts for: the tried job's alone, if it was alone."""
        state = self._state
        doubted = (state.task(name) for name in state.doubts.pop(row.name, ()))
        found = {task.key: task for task in doubted if task is not None}
        for run in row.runs.values():
            task = state.task(run.task)
            if task is None or _never_began(run, row) or self._forgiven(task, run, row):
                continue
            if run.left:
                # It counts for the life that it has left, once it is known not to be here.
                continue
            found[task.key] = task
        trial = self._trial(row)
        tried = [task for task in found.values() if task.step.job.name == trial]
        return [task for task in tried or found.values() if task.state is not TaskState.DONE]

    @staticmethod
    def _forgiven(task: TaskRow, run: RunRow, row: VmRow) -> bool:
        if not task.step.spec.lasting or run.worked(row.heard_at) < FORGIVEN_AFTER:
            return False
        task.crashes.clear()
        task.weights.clear()
        return True

    def _count(self, task: TaskRow, vm: str) -> None:
        if vm not in task.crashes:
            task.crashes.append(vm)
        self._evidence.blame(vm, task)
        self._watch(task.step.job)
        self._state.mark(task.step.job)

    def _watch(self, job: JobRow) -> None:
        job.watched = True
        self._state.suspected[job.name] = job

    def _trial(self, row: VmRow) -> str:
        """Return the job on trial at a VM, if nothing is beside it but what has run for long."""
        others = (run for run in row.runs.values() if job_of(run.task) != row.trial)
        ordered = (run for run in others if run.state is not RunState.NOTING)
        alone = all(run.worked(row.heard_at) > LONG_AT_WORK for run in ordered)
        return row.trial if alone else ""

    # -- Judging -----------------------------------------------------------------------------

    def _judge(self) -> None:
        """Give up the tasks that crashes are known by now to be caused by."""
        for task in self._evidence.weigh():
            if self._guilty(task):
                self._give_up(task)

    def _guilty(self, task: TaskRow) -> bool:
        crash = self._evidence.crash(task.crashes[-1]) if task.crashes else None
        if crash is None or not crash.sure:
            return False
        # A VM of which an earlier life has crashed may be the cause itself, and a crash beside many
        # others is no trial.
        tried = crash.trial == task.step.job.name and task.weight(crash.vm) >= TELLING
        if tried and not task.crashed_in(crash.entry, crash.vm):
            return len(task.crashes) >= GIVEN_UP_AFTER and task.evidence() >= CONVICTING_ALONE
        return len(task.crashes) >= GIVEN_UP_IN_ANY_CASE and task.evidence() >= CONVICTING

    def _give_up(self, task: TaskRow) -> None:
        job = task.step.job
        if job.state.final:
            return
        self._state.logger.info(
            "job failed",
            extra={
                "job": job.name,
                "task": task.key,
                "why": "VMs crash",
                "vms": task.crashes,
                "weights": [task.weight(vm) for vm in task.crashes],
            },
        )
        self._lifecycle.end(job, JobState.FAILED)

    def _tell(self, row: VmRow, tasks: list[TaskRow]) -> None:
        under = sorted(((task.key, len(task.crashes)) for task in tasks), key=lambda row: -row[1])
        extra = {"vm": row.name, "trial": row.trial, "under": under[:ROWS_A_LINE]}
        self._state.logger.info("VM crashed", extra=extra)

    # -- Doubt -------------------------------------------------------------------------------

    def run(self) -> None:
        """Note what runs on VMs that have fallen silent, before it is sure that they crashed."""
        if self._judging.due(self._state.now):
            self._judge()
        if not self._every.due(self._state.now):
            return
        silent = [row for row in self._state.vms.values() if self._silent(row)]
        if len(silent) > max(LEAST_SILENT, MOST_SILENT * len(self._state.vms)):
            return
        for row in silent:
            if row.doubted_at < row.heard_at:
                row.doubted_at = self._state.now
                self._note(row)

    def _silent(self, row: VmRow) -> bool:
        if row.gone or not row.runs or row.first_heard_at < 0:
            return False
        refused = row.refused_since >= row.heard_at
        return refused or self._state.now - row.heard_at > SILENT_AFTER

    # -- Recovery ----------------------------------------------------------------------------

    def restore(self, job: JobRow, progress: Progress) -> None:
        """Take what a former leader has noted of a job."""
        for key, vms in progress.crashes.items():
            task = self._task(job, key)
            if task is not None:
                task.crashes = list(vms)
                weights = progress.weights.get(key, ())
                task.weights = dict(zip(vms, weights, strict=False))
                self._watch(job)

    def _task(self, job: JobRow, key: str) -> TaskRow | None:
        repetition, step, index = map(int, key.split("."))
        return self._state.task(task_key(job.name, repetition, step, index))


def _never_began(run: RunRow, row: VmRow) -> bool:
    """Tell whether a run was not ordered, or when nothing listened at its VM's address any more."""
    if run.state is RunState.NOTING:
        return True
    return run.state is RunState.SENT and row.heard_at < row.refused_since <= run.sent_at
