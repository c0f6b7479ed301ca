"""Which VMs are not well, judged by their tasks: they fail, stand still or are slow.

A VM's own word that it is well is not asked for. A VM that is not well gets no new work for
a while that doubles each time, and tasks that stand still there are started elsewhere.
"""

from statistics import median

from sablemount.jobs.state import State
from sablemount.jobs.systems.every import Every
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.tables import RunRow, VmRow

__all__ = ["Health"]

INTERVAL = 0.25
"""Seconds between two judgements."""
FIRST_PAUSE = 1.5
"""Seconds without new work the first time; what ails a VM commonly lasts for some seconds."""
MAX_PAUSE = 6.0
"""Seconds without new work at most."""
FAILURES_IN_A_ROW = 2
"""Failures of different jobs, with nothing done in between, that quarantine a VM."""
STILL_AFTER = 1.2
"""Seconds without progress after which a run stands still."""
STILL_SHARE = 0.5
"""Share of a VM's runs that has to stand still for the VM to be at fault."""
MIN_STILL = 2
"""A VM is quarantined if so many of its runs, and this share of them, stand still."""
WINDOW = 0.8
"""Seconds over which the pace of a run is measured."""
SLOW_RATIO = 0.4
"""A VM has turned slow if its tasks' pace is below this share of their own best pace.

Expected times are off by a factor of two and more, so that they can't tell a slow VM from a
long task; that all tasks of a VM slow down at once can."""
MIN_PACES = 2
"""Paces that have to be known of a VM, for one slow task may be its own fault."""
MOVE_MARGIN = 0.6
"""A task is moved if elsewhere it needs less than this share of the time that is left here."""
WHOLE = 100.0
MIN_MOVE = 1.0
"""Seconds that are left of a task at least, for it to be moved."""


class Health:
    """Puts VMs out and moves what stands still or crawls."""

    def __init__(self, state: State, reconcile: Reconcile) -> None:
        self._state = state
        self._reconcile = reconcile
        self._every = Every(INTERVAL)

    def run(self) -> None:
        """Judge every VM that is heard."""
        if not self._every.due(self._state.now):
            return
        rows = [row for row in self._state.vms.values() if row.runs and not row.gone]
        for row in rows:
            self._judge(row, self._countable(row))

    def _judge(self, row: VmRow, runs: list[RunRow]) -> None:
        self._measure(row, runs)
        still = self._still(row, runs)
        if self._stands(runs, still):
            self._quarantine(row, "its tasks stand still")
            self._move(row, still)
        elif self._slow(runs):
            self._quarantine(row, "its tasks are slow")
            self._move(row, [run for run in runs if self._worth(run)])

    # -- Failures ----------------------------------------------------------------------------

    def ended(self, vm: str, job: str, failed: bool, elsewhere: bool) -> None:
        """Take how a task ended.

        ``elsewhere`` tells that tasks of its job have failed on other VMs too, so that the job
        may be to blame.
        """
        row = self._state.vms.get(vm)
        if row is None:
            return
        if not failed:
            row.failed_jobs.clear()
            row.strikes = 0
            return
        if elsewhere:
            return
        row.failed_jobs.add(job)
        if len(row.failed_jobs) >= FAILURES_IN_A_ROW and row.avoid_until < self._state.now:
            row.failed_jobs.clear()
            self._quarantine(row, "its tasks fail")

    def _quarantine(self, row: VmRow, why: str) -> None:
        now = self._state.now
        if row.avoid_until > now:
            return
        pause = min(MAX_PAUSE, FIRST_PAUSE * 2**row.strikes)
        row.strikes += 1
        row.avoid_until = now + pause
        self._state.logger.info(
            "VM quarantined",
            extra={"vm": row.name, "why": why, "seconds": pause, "runs": len(row.runs)},
        )

    # -- Standing still ----------------------------------------------------------------------

    def _countable(self, row: VmRow) -> list[RunRow]:
        """Return the runs whose progress tells of their VM alone."""
        return [
            run
            for run, task in self._state.running_on(row)
            if not task.step.spec.gang and not task.step.spec.lasting
        ]

    @staticmethod
    def _still(row: VmRow, runs: list[RunRow]) -> list[RunRow]:
        """Return the runs that made no progress, as far as the VM's last word tells."""
        return [
            run
            for run in runs
            if row.heard_at - run.percent_at > STILL_AFTER and run.percent < WHOLE
        ]

    @staticmethod
    def _stands(runs: list[RunRow], still: list[RunRow]) -> bool:
        if not still:
            return False
        return len(still) >= min(MIN_STILL, len(runs)) and len(still) >= STILL_SHARE * len(runs)

    # -- Slowness ----------------------------------------------------------------------------

    def _measure(self, row: VmRow, runs: list[RunRow]) -> None:
        for run in runs:
            if self._state.now - run.mark_at > WINDOW:
                self._mark(run, row)

    @staticmethod
    def _mark(run: RunRow, row: VmRow) -> None:
        """Measure a run's pace: the share of it that is done in a second."""
        elapsed = row.heard_at - run.mark_at
        if run.mark_at > 0 and elapsed > WINDOW / 2:
            run.pace = (run.percent - run.mark_percent) / WHOLE / elapsed
            run.best_pace = max(run.best_pace, run.pace)
        run.mark_at = row.heard_at
        run.mark_percent = run.percent

    @staticmethod
    def _slow(runs: list[RunRow]) -> bool:
        ratios = [
            run.pace / run.best_pace for run in runs if run.pace is not None and run.best_pace > 0
        ]
        return len(ratios) >= MIN_PACES and median(ratios) < SLOW_RATIO

    # -- Moves -------------------------------------------------------------------------------

    def _worth(self, run: RunRow) -> bool:
        """Tell whether a run would end sooner elsewhere, with what it has saved or from anew."""
        if not run.pace or not run.best_pace:
            return False
        left = 1.0 - run.percent / WHOLE
        here = left / run.pace
        share = left if run.saved else 1.0
        there = share / run.best_pace + self._state.settings.stop_time
        return here > MIN_MOVE and there < MOVE_MARGIN * here

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
