"""Evacuation: runs that a VM's shutdown would interrupt are stopped in time and start elsewhere.

A VM that drains reports how long it stays. When it shuts down, all its runs are lost, and that is
noticed late. So a run that cannot end in time is stopped before: at the last moment where a stop
saves its work, and at once where the work is lost in any case. Tasks of a step that bounds how many
of them may be away are moved a few at a time.
"""

from sablemount.jobs.run_row import RunRow
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.tables import TaskRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["Evacuation"]

INTERVAL_S = 0.1
"""Interval between two checks, small beside the 2 s of the shortest notice."""
STOP_MARGIN_S = 0.3
"""Time before a VM shuts down, in addition to that of a stop, by which a stopped run has to be
over."""
END_MARGIN_S = 0.1
"""Time before a VM shuts down by which a run has to end by itself, for its completion to be
reported."""
MIN_PROGRESS_PERCENT = 5.0
"""Progress from which a run's own rate is a better estimate than the expected duration."""
EXPECTED_TIME_SHARE = 0.4
"""Share of its expected duration that a run without progress is assumed to take: the expectations
are far off, and stopping a run needlessly costs as much as losing one."""
FULL_PERCENT = 100.0
MS_PER_S = 1000.0


class Evacuation:
    """Stops runs on VMs that have announced their shutdown."""

    def __init__(self, state: State, reconcile: Reconcile) -> None:
        self._state = state
        self._reconcile = reconcile
        self._timer = IntervalTimer(INTERVAL_S)

    def run(self) -> None:
        """Stop the runs that have to be stopped by now."""
        if not self._timer.due(self._state.now):
            return
        for row in self._state.vms.values():
            if row.leaves_at is not None and row.runs and not row.terminated:
                self._stop_runs(row, row.leaves_at)

    def _stop_runs(self, row: VmRow, leaves_at: float) -> None:
        for run, task in self._state.running_on(row):
            if not self._must_stop(run, task, leaves_at):
                continue
            self._state.run_logger.info(
                "stopping run before its VM shuts down",
                extra={
                    "task": run.task,
                    "vm": row.name,
                    "percent": run.percent,
                    "seconds": round(leaves_at - self._state.now, 2),
                },
            )
            self._reconcile.stop(run)

    def _must_stop(self, run: RunRow, task: TaskRow, leaves_at: float) -> bool:
        """Return whether a run has to be stopped now."""
        spec = task.step.spec
        if not spec.lasting and self._expected_end(run, task) <= leaves_at - END_MARGIN_S:
            return False
        last_stop = leaves_at - self._state.settings.stop_time_s - STOP_MARGIN_S
        if self._state.now >= last_stop:
            # What is still running there is lost with the VM.
            return True
        if spec.may_miss:
            # Tasks are moved a few at a time, so that the others stay at work.
            return self._state.may_be_stopped(task)
        return not (spec.saves or spec.lasting)

    def _expected_end(self, run: RunRow, task: TaskRow) -> float:
        """Return when a run ends, by its own progress or else by its expected duration."""
        if run.percent >= MIN_PROGRESS_PERCENT:
            return run.started_at + (run.percent_at - run.started_at) * FULL_PERCENT / run.percent
        return run.started_at + EXPECTED_TIME_SHARE * task.step.spec.expected_ms / MS_PER_S
