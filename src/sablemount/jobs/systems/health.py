"""Which VMs are unhealthy, judged by their tasks: they fail, stall or are slow.

What a VM itself reports about its health is not considered. An unhealthy VM gets no new work for a
time that doubles with each quarantine, and tasks that stall there are started elsewhere.
"""

from statistics import median

from sablemount.jobs.run_row import RunRow
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.vm_row import VmRow

__all__ = ["Health"]

CHECK_INTERVAL_S = 0.25
"""Seconds between two evaluations."""
FIRST_QUARANTINE_S = 1.5
"""Length of the first quarantine: the faults of a VM commonly last for some seconds."""
MAX_QUARANTINE_S = 6.0
"""Longest quarantine."""
MAX_FAILED_JOBS = 2
"""Failures of different jobs, without a success in between, that quarantine a VM."""
STALLED_AFTER_S = 1.2
"""Seconds without progress after which a run counts as stalled."""
STALLED_SHARE = 0.5
"""Share of a VM's runs that must have stalled for the VM to be at fault."""
MIN_STALLED = 2
"""Number of a VM's runs that must have stalled, in addition to that share; all of them if it has
fewer."""
RATE_WINDOW_S = 0.8
"""Seconds over which the progress rate of a run is measured."""
SLOW_RATIO = 0.4
"""A VM is slow if the median ratio of its tasks' progress rates to their own best is below this.

Expected durations are off by a factor of two and more, so they cannot tell a slow VM from a long
task; all tasks of a VM slowing down at once can."""
MIN_MEASURED_RUNS = 2
"""Runs of known progress rate that a VM needs, since a single slow task may be slow by itself."""
MAX_MOVE_RATIO = 0.6
"""A task is moved if elsewhere it needs less than this share of its remaining time here."""
MAX_PERCENT = 100.0
MIN_TIME_LEFT_S = 1.0
"""Remaining time from which a task is moved."""


class Health:
    """Quarantines VMs, and moves the tasks that have stalled or run slowly there."""

    def __init__(self, state: State, reconcile: Reconcile) -> None:
        self._state = state
        self._reconcile = reconcile
        self._check_interval = IntervalTimer(CHECK_INTERVAL_S)

    def run(self) -> None:
        """Evaluate every VM that has runs."""
        if not self._check_interval.due(self._state.now):
            return
        rows = [row for row in self._state.vms.values() if row.runs and not row.terminated]
        for row in rows:
            self._evaluate(row, self._independent_runs(row))

    def _evaluate(self, row: VmRow, runs: list[RunRow]) -> None:
        self._measure_progress_rates(row, runs)
        stalled = self._stalled_runs(row, runs)
        if self._has_stalled(runs, stalled):
            self._quarantine(row, "its tasks stand still")
            self._move(row, stalled)
        elif self._is_slow(runs):
            self._quarantine(row, "its tasks are slow")
            self._move(row, [run for run in runs if self._is_faster_elsewhere(run)])

    # -- Failures ----------------------------------------------------------------------------

    def task_ended(self, vm: str, job: str, failed: bool, elsewhere: bool) -> None:
        """Record how a task ended.

        ``elsewhere`` says whether tasks of its job have failed on other VMs too, so that the job
        may be the cause.
        """
        row = self._state.vms.get(vm)
        if row is None:
            return
        if not failed:
            row.failed_jobs.clear()
            row.quarantines = 0
            return
        if elsewhere:
            return
        row.failed_jobs.add(job)
        if len(row.failed_jobs) >= MAX_FAILED_JOBS and row.avoid_until < self._state.now:
            row.failed_jobs.clear()
            self._quarantine(row, "its tasks fail")

    def _quarantine(self, row: VmRow, why: str) -> None:
        now = self._state.now
        if row.avoid_until > now:
            return
        pause = min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2**row.quarantines)
        row.quarantines += 1
        row.avoid_until = now + pause
        self._state.logger.info(
            "VM quarantined",
            extra={"vm": row.name, "why": why, "seconds": pause, "runs": len(row.runs)},
        )

    # -- Stalled runs ------------------------------------------------------------------------

    def _independent_runs(self, row: VmRow) -> list[RunRow]:
        """Return the runs whose progress depends on their VM alone."""
        return [
            run
            for run, task in self._state.running_on(row)
            if not task.step.spec.gang and not task.step.spec.lasting
        ]

    @staticmethod
    def _stalled_runs(row: VmRow, runs: list[RunRow]) -> list[RunRow]:
        """Return the runs without progress at the time of the VM's last report."""
        return [
            run
            for run in runs
            if row.last_report_at - run.percent_at > STALLED_AFTER_S and run.percent < MAX_PERCENT
        ]

    @staticmethod
    def _has_stalled(runs: list[RunRow], stalled: list[RunRow]) -> bool:
        if not stalled:
            return False
        return len(stalled) >= min(MIN_STALLED, len(runs)) and len(stalled) >= STALLED_SHARE * len(
            runs
        )

    # -- Slowness ----------------------------------------------------------------------------

    def _measure_progress_rates(self, row: VmRow, runs: list[RunRow]) -> None:
        for run in runs:
            if self._state.now - run.progress_sampled_at > RATE_WINDOW_S:
                self._measure_progress_rate(run, row)

    @staticmethod
    def _measure_progress_rate(run: RunRow, row: VmRow) -> None:
        """Measure a run's progress rate: the share of it that is done per second."""
        elapsed = row.last_report_at - run.progress_sampled_at
        if run.progress_sampled_at > 0 and elapsed > RATE_WINDOW_S / 2:
            run.progress_rate = (run.percent - run.progress_sampled_percent) / MAX_PERCENT / elapsed
            run.best_progress_rate = max(run.best_progress_rate, run.progress_rate)
        run.progress_sampled_at = row.last_report_at
        run.progress_sampled_percent = run.percent

    @staticmethod
    def _is_slow(runs: list[RunRow]) -> bool:
        ratios = [
            run.progress_rate / run.best_progress_rate
            for run in runs
            if run.progress_rate is not None and run.best_progress_rate > 0
        ]
        return len(ratios) >= MIN_MEASURED_RUNS and median(ratios) < SLOW_RATIO

    # -- Moves -------------------------------------------------------------------------------

    def _is_faster_elsewhere(self, run: RunRow) -> bool:
        """Return whether a run would end sooner elsewhere, resumed or started anew."""
        if not run.progress_rate or not run.best_progress_rate:
            return False
        left = 1.0 - run.percent / MAX_PERCENT
        here = left / run.progress_rate
        share = left if run.saved else 1.0
        there = share / run.best_progress_rate + self._state.settings.stop_time_s
        return here > MIN_TIME_LEFT_S and there < MAX_MOVE_RATIO * here

    def _move(self, row: VmRow, runs: list[RunRow]) -> None:
        for run in runs:
            task = self._state.task(run.task)
            if task is None or not self._state.may_be_stopped(task):
                continue
            self._state.run_logger.info(
                "run moved",
                extra={
                    "task": run.task,
                    "run": run.number,
                    "vm": row.name,
                    "percent": run.percent,
                },
            )
            self._reconcile.stop(run)
