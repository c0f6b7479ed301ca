"""How fast tasks that fill may work beside tasks that serve.

What fills disturbs what serves on the same VM, by amounts that nobody tells. So each VM's fillers
are slowed down by half while some serving task there is near its target, and given back speed in
small steps while all are well below it.
"""

from sablemount.jobs.actions import PaceRun
from sablemount.jobs.model import StepSpec
from sablemount.jobs.state import State
from sablemount.jobs.tables import RunRow, VmRow

__all__ = ["Pacing"]

INTERVAL = 0.55
"""Seconds between two changes on a VM: its figures are of the last half second."""
FIRST_PACE = 0.15
"""Seconds after its start before which a run can't be paced."""
NEAR_TARGET = 0.85
"""Share of its target at which a serving task's tail is too near."""
WELL_BELOW = 0.6
"""Share of its target below which a tail lets fillers have some speed back."""
WHOLE = 100
STEP_UP = 10
"""Percent of its speed that a filler is given back at once."""
LEAST = 10
"""Below this share a filler stands still."""
UNKNOWN_SHARE = 30
"""Assumed and ordered for a filler that another leader may have slowed down."""


class Pacing:
    """Judges each VM that runs both kinds of task."""

    def __init__(self, state: State) -> None:
        self._state = state

    def run(self) -> None:
        """Judge the VMs whose last change shows in their figures."""
        for row in self._state.vms.values():
            if row.runs and not row.gone and row.heard_at > row.paced_at + INTERVAL:
                self._judge(row)

    def _judge(self, row: VmRow) -> None:
        fillers = self._fillers(row)
        if not fillers:
            return
        pressure = self._pressure(row)
        for run in fillers:
            share = _next_share(run.share, pressure)
            if share != run.share:
                self._pace(row, run, share, pressure)

    def _pace(self, row: VmRow, run: RunRow, share: int, pressure: float | None) -> None:
        state = self._state
        state.run_logger.info(
            "run paced",
            extra={
                "task": run.task,
                "vm": run.vm,
                "percent": share,
                "pressure": None if pressure is None else round(pressure, 2),
            },
        )
        run.share = share
        row.paced_at = state.now
        state.emit(PaceRun(run.vm, run.task, run.number, share))

    # -- What runs ---------------------------------------------------------------------------

    def _fillers(self, row: VmRow) -> list[RunRow]:
        since = self._state.now - FIRST_PACE
        return [
            run
            for run, task in self._state.running_on(row)
            if run.started_at < since and task.step.spec.fills
        ]

    def _pressure(self, row: VmRow) -> float | None:
        """Return the worst tail on a VM as a share of its target; ``None`` if nothing serves."""
        found = [
            run.figure / spec.target_ms
            for run in row.runs.values()
            if (spec := self._spec(run)) is not None and _serves(spec)
        ]
        return max(found, default=None)

    def _spec(self, run: RunRow) -> StepSpec | None:
        task = self._state.task(run.task)
        return None if task is None else task.step.spec

    # -- Answers -----------------------------------------------------------------------------

    def failed(self, vm: str, task: str, number: int) -> None:
        """Take that an order had no good answer: it may be in force or not."""
        row = self._state.vms.get(vm)
        run = None if row is None else row.runs.get((task, number))
        if run is not None:
            run.share = None


def _serves(spec: StepSpec) -> bool:
    """Tell whether a step's tasks serve users: only those that last do, and tell a tail."""
    return spec.lasting and spec.target_ms > 0 and not spec.fills


def _next_share(share: int | None, pressure: float | None) -> int:
    """Return the share that a filler is to have under some pressure."""
    if pressure is None:
        return WHOLE
    known = UNKNOWN_SHARE if share is None else share
    if pressure >= NEAR_TARGET:
        slower = known // 2
        return slower if slower >= LEAST else 0
    if pressure < WELL_BELOW and share is not None:
        return min(WHOLE, known + STEP_UP)
    return known
