"""Relative speeds of VMs, learned from the durations of completed runs.

The VMs of a cell may be uneven: two thirds of them may be twice as fast as the rest. Steps with
little slack are then late on the slow VMs while steps with much slack occupy the fast ones. The
tasks of one step take about as long as each other, so each completed run says how its VM compares
with those of the step's other tasks. Callers' estimates, which are off by a factor of two, only
matter where a step has no other completed task.

All values are logarithms: a speed of 0 is the usual one, and a duration is
``expected + bias - speed``.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from sablemount.jobs.run_row import RunRow
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.tables import StepRow, TaskRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["Speeds"]

MS_PER_S = 1000.0
MIN_RUN_S = 0.1
"""Runs shorter than this are ignored: their completion is seen up to some 0.05 s late."""
CALLER_ESTIMATE_WEIGHT = 0.2
"""Weight of a caller's estimate relative to one other task of the step: estimates are off by 0.4 on
average, tasks of a step by 0.2."""
MAX_EARLIER_WEIGHT = 6.0
"""Upper bound of the weight of earlier samples, so that the estimate follows a VM that turns
slow."""
HALF_LIFE_S = 15.0
"""Time after which a speed estimate counts half: a disturbance of a VM commonly lasts for some
seconds."""
TRUSTED_WEIGHT = 4.0
"""Weight from which a speed estimate is used."""
RESTORED_WEIGHT = 5.0
"""Weight of a speed that a previous leader has learned: it is used, and soon corrected."""
MIN_RECORDED_CHANGE = 0.3
"""Change of a speed from which it is recorded again: a third, so that few records are written."""
MIN_FIRST_RECORDED = 0.05
"""Magnitude from which a first speed is recorded; below it the speed counts as the usual one."""
SMOOTHING = 0.02
"""Weight of the latest completion in the moving averages of a queue's bias and of the error."""
MAX_DEVIATION = 0.8
"""Maximum deviation of one completion from the estimate that is taken into account: a tail of seven
times the usual duration is due to the task."""
INTERVAL_S = 0.5
"""Interval between two checks of whether the VMs are uneven."""
MIN_KNOWN_VMS = 18
"""Minimum number of VMs with known speeds for that check: of fewer, a fifth is one or two that
differ by chance."""
UNEVEN_THRESHOLD = math.log(2.0)
"""Difference between the slowest and the fastest fifth above which VMs count as uneven. An
objective of 1.5 times the work tolerates less, but VMs that differ by a factor of 1.5 seem to
differ by more now and then."""
EVEN_THRESHOLD = math.log(1.6)
"""Difference below which uneven VMs count as even again."""
STEADY_S = 1.0
"""Time for which the difference has to last, since a few completions may show it by chance."""
FIFTH = 5
SLOWDOWN_MARGIN = math.log(1.2)
"""How much longer than expected a task may take on a VM that is fast enough for it."""
SAFETY_SPAN = math.log(1.5)
"""How much faster than required a VM has to be to be entirely safe for a step: callers' estimates
are off by that much."""
LATE_COST = 6.0
"""Cost of a VM on which a step is late, where an entirely free VM costs 2 and a far one 10."""
FAST_COST = 3.0
"""Additional cost of a VM that is 2.7 times as fast as another: it is left to steps with little
slack."""
MIN_TIME_LEFT_S = 0.05
"""Time left to its objective below which a step counts as late on any VM."""


@dataclass(slots=True)
class _Estimate:
    """Estimated speed of a machine, the weight of its samples, and when the last was added."""

    speed: float = 0.0
    weight: float = 0.0
    at: float = 0.0

    def weight_at(self, now: float) -> float:
        return self.weight * 0.5 ** ((now - self.at) / HALF_LIFE_S)


@dataclass(slots=True)
class _StepDurations:
    """Durations of a step's completed tasks, converted to the usual speed."""

    total: float = 0.0
    count: int = 0


class Speeds:
    """Estimates the speeds of VMs and judges which VMs are fast enough for a step.

    ``update_vm_record`` has a VM's record written again.
    """

    def __init__(self, state: State, update_vm_record: Callable[[VmRow], None]) -> None:
        self._state = state
        self._update_vm_record = update_vm_record
        self._estimates: dict[str, _Estimate] = {}
        """Speed estimates by machine, whose speed outlasts its incarnations, or by VM where the
        machine is unknown."""
        self._trusted: dict[str, float] = {}
        """The speeds of trusted estimates, so that a choice among many VMs need not compute
        weights."""
        self._bias: dict[str, float] = {}
        """How much longer a queue's tasks take than their callers estimate, at the usual speed."""
        self._durations: dict[str, _StepDurations] = {}
        """Durations by step, while the step has open tasks."""
        self._timer = IntervalTimer(INTERVAL_S)
        self.ratio = 1.0
        """How much faster the fast VMs are than the slow ones."""
        self.error = 0.0
        """Recent average error of expected durations, as a logarithm."""
        self._midpoint = 0.0
        """Middle between the slow VMs and the fast ones."""
        self._steady_at = state.now + STEADY_S
        """When VMs count as uneven if they differ until then."""

    # -- Learning ----------------------------------------------------------------------------

    def record_completion(self, vm: VmRow, task: TaskRow, run: RunRow) -> None:
        """Record the duration of a run that was completed successfully."""
        step = task.step
        duration = run.seconds_at_work(self._state.now)
        expected = step.spec.expected_ms / MS_PER_S
        # A gang takes as long as its slowest member, and a run that resumes from saved state has
        # less to do.
        if step.spec.gang or run.resumed or duration < MIN_RUN_S or expected <= 0:
            return
        if step.spec.rack and step.spec.rack not in vm.info.labels:
            # The duration also depends on how far the data is.
            return
        self._learn(vm, step, math.log(duration / expected))

    def _learn(self, vm: VmRow, step: StepRow, relative_duration: float) -> None:
        queue = step.job.queue
        bias = self._bias.get(queue, 0.0)
        durations = self._durations.setdefault(step.key, _StepDurations())
        baseline_weight = CALLER_ESTIMATE_WEIGHT + durations.count
        baseline = (CALLER_ESTIMATE_WEIGHT * bias + durations.total) / baseline_weight
        estimate = self._estimates.setdefault(_key(vm), _Estimate())
        self._add(estimate, baseline - relative_duration, baseline_weight / (baseline_weight + 1.0))
        if estimate.weight >= TRUSTED_WEIGHT:
            self._trusted[_key(vm)] = estimate.speed
        self.error += SMOOTHING * (abs(relative_duration - bias + estimate.speed) - self.error)
        usual_duration = relative_duration + estimate.speed
        durations.total += usual_duration
        durations.count += 1
        self._bias[queue] = bias + SMOOTHING * (usual_duration - bias)

    def _add(self, estimate: _Estimate, speed: float, weight: float) -> None:
        now = self._state.now
        earlier_weight = min(MAX_EARLIER_WEIGHT, estimate.weight_at(now))
        deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, speed - estimate.speed))
        estimate.weight = earlier_weight + weight
        estimate.speed += deviation * weight / estimate.weight
        estimate.at = now

    # -- Evaluation --------------------------------------------------------------------------

    def run(self) -> None:
        """Check at regular intervals whether the VMs are uneven."""
        state = self._state
        if not self._timer.due(state.now):
            return
        for key in [key for key in self._durations if key not in state.open_steps]:
            if not self._has_open_tasks(key):
                del self._durations[key]
        self._trusted = {
            key: estimate.speed
            for key, estimate in self._estimates.items()
            if estimate.weight_at(state.now) >= TRUSTED_WEIGHT
        }
        keys = {_key(row) for row in state.vms.values()}
        for key in self._estimates.keys() - keys - self._trusted.keys():
            del self._estimates[key]
        known = sorted(self._trusted[key] for key in keys & self._trusted.keys())
        fifth = len(known) // FIFTH
        spread = known[-1 - fifth] - known[fifth] if len(known) >= MIN_KNOWN_VMS else 0.0
        self._midpoint = (known[-1 - fifth] + known[fifth]) / 2 if known else 0.0
        self.ratio = math.exp(spread)
        if spread <= UNEVEN_THRESHOLD:
            self._steady_at = state.now + STEADY_S
        uneven = spread > EVEN_THRESHOLD if state.speeds_uneven else state.now >= self._steady_at
        if uneven != state.speeds_uneven:
            state.speeds_uneven = uneven
            state.capacity_version += 1
            extra = {"uneven": uneven, "ratio": round(self.ratio, 2), "known": len(known)}
            state.logger.info("VM speed spread changed", extra=extra)
        if uneven:
            self._record_changes()

    def _record_changes(self) -> None:
        """Have the speeds recorded that differ from those in the VMs' records.

        A later leader then uses them at once and need not learn them again.
        """
        for row in self._state.vms.values():
            speed = self._trusted.get(_key(row), row.recorded_speed)
            min_change = MIN_RECORDED_CHANGE if row.recorded_speed else MIN_FIRST_RECORDED
            if abs(speed - row.recorded_speed) > min_change:
                row.recorded_speed = round(speed, 2)
                self._update_vm_record(row)

    def restore(self, row: VmRow) -> None:
        """Adopt the speed in a VM's record until it is learned again.

        A previous leader recorded it because VMs were uneven then.
        """
        if row.recorded_speed:
            now = self._state.now
            self._steady_at = now
            self._estimates[_key(row)] = _Estimate(row.recorded_speed, RESTORED_WEIGHT, now)

    def _has_open_tasks(self, key: str) -> bool:
        job, repetition, number = key.split(".")
        row = self._state.open_jobs.get(job)
        step = None if row is None else row.steps.get((int(repetition), int(number)))
        return step is not None and step.open_tasks > 0

    def speed_of(self, row: VmRow) -> float:
        """Return a VM's speed; 0, the usual one, if it is not known."""
        return self._trusted.get(_key(row), 0.0)

    def required_speed(self, step: StepRow) -> float | None:
        """Return the speed at which a step's job meets its objective; ``None`` if any will do.

        Any speed will do where VMs are even, and where it is too late on all of them.
        """
        if not self._state.speeds_uneven or step.spec.lasting:
            return None
        left = step.job.objective_at - self._state.now
        if left < MIN_TIME_LEFT_S or step.critical_path_s <= 0:
            return None
        bias = self._bias.get(step.job.queue, 0.0)
        return math.log(step.critical_path_s / left) + bias + SLOWDOWN_MARGIN

    def costs(self, required_speed: float | None, rows: list[VmRow]) -> dict[str, float]:
        """Return the cost of each VM, by name, for a step that requires some speed."""
        if not self._state.speeds_uneven:
            return {row.name: 0.0 for row in rows}
        return {row.name: _cost(required_speed, self.speed_of(row)) for row in rows}

    def speed_groups(self, required_speed: float | None, rows: list[VmRow]) -> list[list[VmRow]]:
        """Return groups of VMs that are fast enough: the slow ones, the fast ones, and all.

        A gang is as slow as its slowest member, so a fast VM is wasted on it beside a slow one.
        """
        found = [row for row in rows if self.is_fast_enough(required_speed, row)]
        slow = [row for row in found if self.speed_of(row) < self._midpoint]
        fast = [row for row in found if self.speed_of(row) >= self._midpoint]
        return [slow, fast, found] if slow and fast else [found]

    def is_fast_enough(self, required_speed: float | None, row: VmRow) -> bool:
        """Return whether a VM is fast enough for a step that requires some speed."""
        return required_speed is None or self.speed_of(row) >= required_speed


def _cost(required_speed: float | None, speed: float) -> float:
    cost = FAST_COST * speed
    if required_speed is None:
        return cost
    shortfall = (required_speed + SAFETY_SPAN - speed) / SAFETY_SPAN
    return cost + LATE_COST * max(0.0, min(1.0, shortfall))


def _key(row: VmRow) -> str:
    return row.info.machine or row.name
