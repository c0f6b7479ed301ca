"""Throttling of best-effort runs beside latency-sensitive ones.

Best-effort runs slow down the latency-sensitive runs on the same VM by an unknown amount. So the
speed of a VM's best-effort runs is halved while some latency-sensitive run there is near its
target, and raised in small steps while all of them are well below it.
"""

from sablemount.jobs.actions import ThrottleRun
from sablemount.jobs.model import StepSpec
from sablemount.jobs.run_row import RunRow
from sablemount.jobs.state import State
from sablemount.jobs.vm_row import VmRow

__all__ = ["Throttling"]

INTERVAL_S = 0.55
"""Interval between two changes on a VM: its reported latencies cover the last half second."""
MIN_RUN_AGE_S = 0.15
"""Time after its start before which a run cannot be throttled."""
HIGH_PRESSURE = 0.85
"""Share of its target from which a run's tail latency is too near to it."""
LOW_PRESSURE = 0.6
"""Share of its target below which tail latency lets best-effort runs be sped up."""
FULL_SPEED_PERCENT = 100
SPEED_STEP_PERCENT = 10
"""Increase of a best-effort run's speed in one change."""
MIN_SPEED_PERCENT = 10
"""Speed below which a best-effort run is paused instead."""
ASSUMED_SPEED_PERCENT = 30
"""Speed assumed of, and then requested for, a best-effort run that a previous leader may have
throttled."""


class Throttling:
    """Adjusts the speed of best-effort runs on each VM that runs both kinds of task."""

    def __init__(self, state: State) -> None:
        self._state = state

    def run(self) -> None:
        """Adjust the VMs whose latest report reflects their last change."""
        for row in self._state.vms.values():
            if (
                row.runs
                and not row.terminated
                and row.last_report_at > row.throttled_at + INTERVAL_S
            ):
                self._adjust(row)

    def _adjust(self, row: VmRow) -> None:
        best_effort_runs = self._best_effort_runs(row)
        if not best_effort_runs:
            return
        pressure = self._pressure(row)
        for run in best_effort_runs:
            speed = _next_speed(run.speed_percent, pressure)
            if speed != run.speed_percent:
                self._throttle(row, run, speed, pressure)

    def _throttle(self, row: VmRow, run: RunRow, speed: int, pressure: float | None) -> None:
        state = self._state
        state.run_logger.info(
            "run paced",
            extra={
                "task": run.task,
                "vm": run.vm,
                "percent": speed,
                "pressure": None if pressure is None else round(pressure, 2),
            },
        )
        run.speed_percent = speed
        row.throttled_at = state.now
        state.emit(ThrottleRun(run.vm, run.task, run.number, speed))

    # -- Runs --------------------------------------------------------------------------------

    def _best_effort_runs(self, row: VmRow) -> list[RunRow]:
        latest_start = self._state.now - MIN_RUN_AGE_S
        return [
            run
            for run, task in self._state.running_on(row)
            if run.started_at < latest_start and task.step.spec.fills
        ]

    def _pressure(self, row: VmRow) -> float | None:
        """Return the highest tail latency on a VM as a share of its target.

        It is ``None`` if no latency-sensitive task runs there.
        """
        pressures = [
            run.metric / spec.target_ms
            for run in row.runs.values()
            if (spec := self._spec(run)) is not None and _is_latency_sensitive(spec)
        ]
        return max(pressures, default=None)

    def _spec(self, run: RunRow) -> StepSpec | None:
        task = self._state.task(run.task)
        return None if task is None else task.step.spec

    # -- Answers -----------------------------------------------------------------------------

    def throttle_failed(self, vm: str, task: str, number: int) -> None:
        """Record that a throttle request got no usable answer: it may or may not be in force."""
        row = self._state.vms.get(vm)
        run = None if row is None else row.runs.get((task, number))
        if run is not None:
            run.speed_percent = None


def _is_latency_sensitive(spec: StepSpec) -> bool:
    """Return whether a step's tasks are latency-sensitive.

    These are long-running tasks with a latency target that are not best-effort tasks; only
    long-running tasks report a tail latency.
    """
    return spec.lasting and spec.target_ms > 0 and not spec.fills


def _next_speed(speed: int | None, pressure: float | None) -> int:
    """Return the speed, in percent, that a best-effort run is to have under some pressure."""
    if pressure is None:
        return FULL_SPEED_PERCENT
    known = ASSUMED_SPEED_PERCENT if speed is None else speed
    if pressure >= HIGH_PRESSURE:
        slower = known // 2
        return slower if slower >= MIN_SPEED_PERCENT else 0
    if pressure < LOW_PRESSURE and speed is not None:
        return min(FULL_SPEED_PERCENT, known + SPEED_STEP_PERCENT)
    return known
