"""What runs on a VM that leaves too soon for it is stopped in time and starts elsewhere.

A VM that drains tells how long it stays. When it leaves, all that runs on it dies, and that is
noticed late. So what can't end in time is stopped before: at the last moment where a stop saves
the work, and at once where the work is lost in any case. Of a step that bounds how many of its
tasks may be away, they are moved a few at a time.
"""

from sablemount.jobs.state import State
from sablemount.jobs.systems.every import Every
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.tables import RunRow, TaskRow, VmRow

__all__ = ["Evacuation"]

INTERVAL = 0.1
"""Seconds between two judgements, small beside the 2 s of the shortest notice."""
STOP_MARGIN = 0.3
"""Seconds before a VM leaves, beside the time of a stop, by which a stopped run is to be over."""
END_MARGIN = 0.1
"""Seconds before a VM leaves by which a run must end by itself, for its end to be heard."""
LEAST_PERCENT = 5.0
"""Progress (percent) from which a run's own pace tells more than the expected time."""
DOUBT = 0.4
"""Share of its expected time that a run without progress may need: expectations are far off, and
a run that is stopped for nothing costs as much as one that is lost."""
WHOLE = 100.0
MS = 1000.0


class Evacuation:
    """Judges what runs on the VMs that have told when they leave."""

    def __init__(self, state: State, reconcile: Reconcile) -> None:
        self._state = state
        self._reconcile = reconcile
        self._every = Every(INTERVAL)

    def run(self) -> None:
        """Stop what is due."""
        if not self._every.due(self._state.now):
            return
        for row in self._state.vms.values():
            if row.leaves_at is not None and row.runs and not row.gone:
                self._judge(row, row.leaves_at)

    def _judge(self, row: VmRow, leaves_at: float) -> None:
        for run, task in self._state.running_on(row):
            if not self._due(run, task, leaves_at):
                continue
            self._state.run_logger.info(
                "run leaves a VM that leaves",
                extra={
                    "task": run.task,
                    "vm": row.name,
                    "percent": run.percent,
                    "seconds": round(leaves_at - self._state.now, 2),
                },
            )
            self._reconcile.stop(run)

    def _due(self, run: RunRow, task: TaskRow, leaves_at: float) -> bool:
        """Tell whether a run is to be stopped now."""
        spec = task.step.spec
        if not spec.lasting and self._ends_at(run, task) <= leaves_at - END_MARGIN:
            return False
        last_stop = leaves_at - self._state.settings.stop_time - STOP_MARGIN
        if self._state.now >= last_stop:
            # What is left there then dies with the VM.
            return True
        if spec.may_miss:
            # Moved a few at a time, so that the others stay at work.
            return self._state.may_be_stopped(task)
        return not (spec.saves or spec.lasting)

    def _ends_at(self, run: RunRow, task: TaskRow) -> float:
        """Return when a run ends, by its own progress or else by what was expected of it."""
        if run.percent >= LEAST_PERCENT:
            return run.started_at + (run.percent_at - run.started_at) * WHOLE / run.percent
        return run.started_at + DOUBT * task.step.spec.expected_ms / MS
