"""Tasks under which VMs crash: counted, recorded in the store, and failed permanently.

A crash is the end of a VM's incarnation that the VM has not announced, while its entry was listed.
It counts for all tasks that ran there, with a weight for each (``evidence.py``); ``trials.py`` has
suspected tasks started where the next crash is informative. A run that is being stopped counts like
any other until it is over, although its job may have ended. The counts are part of the persistent
state, and so are the tasks that were started on a VM recently or run on one that has fallen silent:
a crash therefore counts even if the leader's term ends before it was certain of the crash.
"""

from collections.abc import Callable

from sablemount.jobs.model import job_name_of, task_key
from sablemount.jobs.records import Progress
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.systems.evidence import (
    MAX_TASKS_PER_LINE,
    MIN_ISOLATED_WEIGHT,
    Evidence,
)
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.systems.vm_crash import Crash
from sablemount.jobs.tables import JobRow, JobState, TaskRow, TaskState
from sablemount.jobs.times import NEVER
from sablemount.jobs.vm_row import VmRow

__all__ = ["Crashes"]

CHECK_INTERVAL_S = 0.1
"""Seconds between checks for VMs that have fallen silent."""
SILENT_AFTER_S = 1.3
"""Report age beyond which the runs on a VM are uncertain: a poll takes 1.05 s at most."""
MAX_SILENT_SHARE = 0.25
"""Share of the VMs above which their silence is not recorded: with more of them silent at once, the
leader itself was paused or cut off."""
MIN_SILENT_LIMIT = 2
"""Number of silent VMs up to which their silence is recorded whatever their share."""
WEIGH_INTERVAL_S = 0.3
"""Seconds between checks whether more is known about crashes."""
MAX_ISOLATED_CRASHES = 3
"""Crashes after which a task fails permanently, if their weights suffice and it was isolated at the
last one."""
MAX_CRASHES = 4
"""The same however the task was started: six starts, three of them after the third crash, are too
many, and a leader that ends may take the count of one or two crashes with it."""
MAX_VERDICT_WAIT_S = 3.6
"""Seconds for which a task waits until the weight of its last crash is final: other VMs are waited
for for 3 s."""
LONG_RUNNING_AFTER_S = 3.0
"""Seconds of work after which a run beside an isolated task is not a likely cause of a crash."""
CRASHES_CLEARED_AFTER_S = 20.0
"""Seconds of work after which a crash says nothing about a long-running task, which outlives many
VMs."""


class Crashes:
    """Records the unplanned ends of VMs, and fails the jobs whose tasks cause them."""

    def __init__(
        self, state: State, lifecycle: Lifecycle, update_vm_record: Callable[[VmRow], None]
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._update_vm_record = update_vm_record
        """Updates a VM's record of the tasks that its crash would be attributed to."""
        self._check_interval = IntervalTimer(CHECK_INTERVAL_S)
        self._weigh_timer = IntervalTimer(WEIGH_INTERVAL_S)
        self._evidence = Evidence(state)

    # -- Counting ----------------------------------------------------------------------------

    def vm_crashed(self, row: VmRow) -> None:
        """Record that a VM has ended unplanned; call it before its runs are removed."""
        self._evidence.record_crash(row, self._isolated_job(row))
        tasks = self._affected_tasks(row)
        if not tasks:
            return
        sent_at = _request_times(row)
        for task in tasks:
            self._count(task, row.name, sent_at.get(task.key))
        self._log_crash(row, tasks)

    def run_lost(self, run: RunRow) -> None:
        """Record that a run was lost with an incarnation, since the next one does not list it."""
        task = run.owner
        if task is None or task.state is TaskState.DONE:
            return
        self._count(task, run.previous_vm, run.sent_at)
        extra = {"vm": run.previous_vm, "trial": "", "under": [(task.key, len(task.crashes))]}
        self._state.logger.info("VM crashed", extra=extra)

    def _affected_tasks(self, row: VmRow) -> list[TaskRow]:
        """Return the tasks that a crash counts for: only those of an isolated job, if any."""
        state = self._state
        uncertain = (state.owner_of(name) for name in state.recorded_suspects.pop(row.name, ()))
        found = {task.key: task for task in uncertain if task is not None}
        for run in row.runs.values():
            task = run.owner
            if (
                task is None
                or _never_reached_vm(run, row)
                or self._clear_if_long_running(task, run, row)
            ):
                continue
            if run.previous_vm:
                # It counts for the incarnation that it was requested at, once it is known not to be
                # here.
                continue
            if task.key not in found or not task.step.job.state.is_final:
                # Of two jobs that were accepted under one id, the open one can still be failed.
                found[task.key] = task
        isolated_job = self._isolated_job(row)
        isolated = [task for task in found.values() if task.step.job.name == isolated_job]
        return [task for task in isolated or found.values() if task.state is not TaskState.DONE]

    @staticmethod
    def _clear_if_long_running(task: TaskRow, run: RunRow, row: VmRow) -> bool:
        """Clear the crashes of a long-running task that outlives VMs; return whether it is one."""
        if (
            not task.step.spec.lasting
            or run.seconds_at_work(row.last_report_at) < CRASHES_CLEARED_AFTER_S
        ):
            return False
        task.crashes.clear()
        task.crash_weights.clear()
        return True

    def _count(self, task: TaskRow, vm: str, sent_at: float | None) -> None:
        if vm not in task.crashes:
            task.crashes.append(vm)
        self._evidence.attribute(vm, task, sent_at)
        if len(task.crashes) >= MAX_ISOLATED_CRASHES:
            task.awaits_verdict_until = self._state.now + MAX_VERDICT_WAIT_S
        self._watch(task.step.job)
        self._state.crashes_changed(task)

    def _watch(self, job: JobRow) -> None:
        job.has_crashes = True
        if job.is_open:
            self._state.suspected_jobs[job.name] = job

    def _isolated_job(self, row: VmRow) -> str:
        """Return the job isolated on a VM, if all else there has been at work for long."""
        others = (run for run in row.runs.values() if job_name_of(run.task) != row.isolated_job)
        requested = (run for run in others if run.state is not RunState.RECORDING)
        is_isolated = all(
            run.seconds_at_work(row.last_report_at) > LONG_RUNNING_AFTER_S for run in requested
        )
        return row.isolated_job if is_isolated else ""

    # -- Attribution -------------------------------------------------------------------------

    def _fail_attributed(self) -> None:
        """Fail the tasks to which crashes are by now attributed."""
        for task in self._evidence.weigh():
            if task.state is TaskState.DONE or task.step.job.state.is_final:
                continue
            crash = self._evidence.crash(task.crashes[-1]) if task.crashes else None
            if crash is None or not self._is_attributed(task, crash):
                self._allow_start(task)
            elif crash.is_final:
                self._fail(task)

    def _allow_start(self, task: TaskRow) -> None:
        if task.awaits_verdict_until > self._state.now:
            task.awaits_verdict_until = NEVER
            self._state.mark_for_placement(task.step)

    def _is_attributed(self, task: TaskRow, crash: Crash) -> bool:
        """Return whether the weights known by now, of ``crash`` as the last one, fail a task."""
        # A VM of which an earlier incarnation has crashed may itself be the cause, and a crash that
        # coincides with many others says nothing about the isolated task.
        isolated = (
            crash.isolated_job == task.step.job.name
            and task.crash_weight(crash.vm) >= MIN_ISOLATED_WEIGHT
        )
        if isolated and not task.crashed_in(crash.entry, crash.vm):
            min_crashes = MAX_ISOLATED_CRASHES
            threshold = self._evidence.threshold(isolated=True)
        else:
            min_crashes = MAX_CRASHES
            threshold = self._evidence.threshold(isolated=False)
        return len(task.crashes) >= min_crashes and task.evidence() >= threshold

    def _fail(self, task: TaskRow) -> None:
        job = task.step.job
        if job.state.is_final:
            return
        self._state.logger.info(
            "job failed",
            extra={
                "job": job.name,
                "task": task.key,
                "why": "VMs crash",
                "vms": task.crashes,
                "weights": [task.crash_weight(vm) for vm in task.crashes],
            },
        )
        self._lifecycle.end(job, JobState.FAILED)

    def _log_crash(self, row: VmRow, tasks: list[TaskRow]) -> None:
        tasks_by_crashes = sorted(
            ((task.key, len(task.crashes)) for task in tasks), key=lambda row: -row[1]
        )
        extra = {
            "vm": row.name,
            "trial": row.isolated_job,
            "under": tasks_by_crashes[:MAX_TASKS_PER_LINE],
        }
        self._state.logger.info("VM crashed", extra=extra)

    # -- Uncertainty -------------------------------------------------------------------------

    def run(self) -> None:
        """Record what runs on VMs that have fallen silent, before their crash is certain."""
        if self._weigh_timer.due(self._state.now):
            self._fail_attributed()
        if not self._check_interval.due(self._state.now):
            return
        silent = [row for row in self._state.vms.values() if self._is_silent(row)]
        if len(silent) > max(MIN_SILENT_LIMIT, MAX_SILENT_SHARE * len(self._state.vms)):
            return
        for row in silent:
            if row.uncertainty_recorded_at < row.last_report_at:
                row.uncertainty_recorded_at = self._state.now
                self._update_vm_record(row)

    def _is_silent(self, row: VmRow) -> bool:
        if row.terminated or not row.runs or row.first_report_at < 0:
            return False
        refused = row.connections_refused_since >= row.last_report_at
        return refused or self._state.now - row.last_report_at > SILENT_AFTER_S

    # -- Recovery ----------------------------------------------------------------------------

    def restore(self, job: JobRow, progress: Progress) -> None:
        """Restore the crashes that a previous leader has recorded for a job."""
        for key, vms in progress.crashes.items():
            task = self._task(job, key)
            if task is not None:
                task.crashes = list(vms)
                weights = progress.weights.get(key, ())
                task.crash_weights = dict(zip(vms, weights, strict=False))
                for vm in vms:
                    self._evidence.restore(vm, task)
                self._watch(job)

    def _task(self, job: JobRow, key: str) -> TaskRow | None:
        repetition, step, index = map(int, key.split("."))
        return self._state.task(task_key(job.name, repetition, step, index))


def _request_times(row: VmRow) -> dict[str, float]:
    """Return when the run of each task on a VM was requested, as far as this leader knows."""
    return {run.task: run.sent_at for run in row.runs.values() if run.sent_at > 0}


def _never_reached_vm(run: RunRow, row: VmRow) -> bool:
    """Return whether a run was not requested, or only once its VM refused connections."""
    if run.state is RunState.RECORDING:
        return True
    return (
        run.state is RunState.SENT
        and row.last_report_at < row.connections_refused_since <= run.sent_at
    )
