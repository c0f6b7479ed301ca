"""How fast VMs are beside each other, learned from what ends on them.

Answers the load of a cell whose VMs are uneven: two thirds of them may be twice as fast as the
rest, and work with little slack is late on the slow ones while work with time takes the fast ones.
Tasks of one step take about as long, so that each that ends tells of its VM against the others'
tasks; callers' guesses, which are off by a factor of two, only tell where a step has no other.

Logarithms throughout: a speed of 0 is the usual one, and a time is ``expected + bias - speed``.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from sablemount.jobs.state import State
from sablemount.jobs.systems.every import Every
from sablemount.jobs.tables import RunRow, StepRow, TaskRow, VmRow

__all__ = ["Speeds"]

MS = 1000.0
SHORTEST = 0.1
"""Seconds below which a run tells nothing: its end is seen up to some 0.05 s late."""
GUESS_WEIGHT = 0.2
"""Weight of a caller's guess beside one other task of the step: they are off by 0.4 on average,
tasks of a step by 0.2."""
MOST_WEIGHT = 6.0
"""Weight at which a VM's speed stops to settle, so that it follows one that has turned slow."""
FADES_AFTER = 15.0
"""Seconds after which an estimate counts half: what ails a VM commonly lasts for some seconds."""
TRUSTED = 4.0
"""Weight from which an estimate is used."""
RESTORED_WEIGHT = 5.0
"""Weight of a speed that a former leader has learned: it is used, and soon corrected."""
NOTED_CHANGE = 0.3
"""By how much a speed has to change to be recorded: a third, so that few are."""
FIRST_NOTED = 0.05
"""From where on a speed is recorded that has not been: below it is the usual one."""
BIAS_SHARE = 0.02
"""Share of the newest end in the usual time of a queue against its callers' guesses."""
FARTHEST = 0.8
"""How far one end may lie from the estimate: a tail of seven times the usual time is the task's."""
INTERVAL = 0.5
"""Seconds between two judgements of whether the VMs are uneven."""
LEAST_KNOWN = 18
"""VMs whose speeds have to be known for that: of fewer, a fifth is one or two that differ by
chance."""
UNEVEN = math.log(2.0)
"""From where on VMs are taken to be uneven, between the slowest and the fastest fifth: an objective
of 1.5 times the work bears less, and VMs that differ by that differ by more now and then."""
EVEN = math.log(1.6)
"""Below which they are taken to be even again."""
STEADY = 1.0
"""Seconds for which they have to differ so, since a few ends may say so by chance."""
FIFTH = 5
MARGIN = math.log(1.2)
"""By how much a task may take longer than expected on a VM that is good enough for it."""
SPAN = math.log(1.5)
"""Beyond the speed that is needed, how much faster a VM is no safer for a step: callers' guesses
are off by that much."""
LATE_COST = 6.0
"""Cost of a VM on which a step is late, where a free VM costs 2 and a far one 10."""
FAST_COST = 3.0
"""Cost of a VM that is 2.7 times as fast as another, beside that: it is kept for work without
time."""
LEAST_LEFT = 0.05
"""Seconds to its objective below which a step is late on any VM."""


@dataclass(slots=True)
class _Estimate:
    """Speed of a machine, how much is behind it, and when the last was added."""

    speed: float = 0.0
    weight: float = 0.0
    at: float = 0.0

    def weight_at(self, now: float) -> float:
        return self.weight * 0.5 ** ((now - self.at) / FADES_AFTER)


@dataclass(slots=True)
class _Times:
    """What the tasks of a step that have ended took, at the usual speed."""

    total: float = 0.0
    count: int = 0


class Speeds:
    """Estimates speeds, and tells which VMs are fast enough for a step.

    ``note`` has a VM's record written anew.
    """

    def __init__(self, state: State, note: Callable[[VmRow], None]) -> None:
        self._state = state
        self._note = note
        self._found: dict[str, _Estimate] = {}
        """By machine, whose speed outlasts its lives, or by VM where no machine is told."""
        self._trusted: dict[str, float] = {}
        """Speeds that are used, so that a choice among many VMs need not weigh estimates."""
        self._bias: dict[str, float] = {}
        """How much longer a queue's tasks take than their callers guess, at the usual speed."""
        self._times: dict[str, _Times] = {}
        """By step, while it has open tasks."""
        self._every = Every(INTERVAL)
        self.ratio = 1.0
        """How much faster the fast VMs are than the slow ones."""
        self.error = 0.0
        """How far expected times are off of late, as a logarithm."""
        self._middle = 0.0
        """Between the slow VMs and the fast ones."""
        self._steady_at = state.now + STEADY
        """When VMs are taken to be uneven if they differ until then."""

    # -- Learning ----------------------------------------------------------------------------

    def done(self, vm: VmRow, task: TaskRow, run: RunRow) -> None:
        """Take that a run ended as done."""
        step = task.step
        took = run.worked(self._state.now)
        expected = step.spec.expected_ms / MS
        # A gang takes as long as its slowest member, and what goes on from a state has less to do.
        if step.spec.gang or run.resumed or took < SHORTEST or expected <= 0:
            return
        if step.spec.rack and step.spec.rack not in vm.info.labels:
            # It also takes as long as its data is far.
            return
        self._learn(vm, step, math.log(took / expected))

    def _learn(self, vm: VmRow, step: StepRow, took: float) -> None:
        queue = step.job.record.terms.name
        bias = self._bias.get(queue, 0.0)
        times = self._times.setdefault(step.key, _Times())
        behind = GUESS_WEIGHT + times.count
        baseline = (GUESS_WEIGHT * bias + times.total) / behind
        estimate = self._found.setdefault(_key(vm), _Estimate())
        self._add(estimate, baseline - took, behind / (behind + 1.0))
        if estimate.weight >= TRUSTED:
            self._trusted[_key(vm)] = estimate.speed
        self.error += BIAS_SHARE * (abs(took - bias + estimate.speed) - self.error)
        usual = took + estimate.speed
        times.total += usual
        times.count += 1
        self._bias[queue] = bias + BIAS_SHARE * (usual - bias)

    def _add(self, estimate: _Estimate, speed: float, weight: float) -> None:
        now = self._state.now
        before = min(MOST_WEIGHT, estimate.weight_at(now))
        off = max(-FARTHEST, min(FARTHEST, speed - estimate.speed))
        estimate.weight = before + weight
        estimate.speed += off * weight / estimate.weight
        estimate.at = now

    # -- Judging -----------------------------------------------------------------------------

    def run(self) -> None:
        """Judge now and then whether the VMs are uneven."""
        state = self._state
        if not self._every.due(state.now):
            return
        for key in [key for key in self._times if key not in state.open_steps]:
            if not self._goes_on(key):
                del self._times[key]
        self._trusted = {
            key: estimate.speed
            for key, estimate in self._found.items()
            if estimate.weight_at(state.now) >= TRUSTED
        }
        keys = {_key(row) for row in state.vms.values()}
        for key in self._found.keys() - keys - self._trusted.keys():
            del self._found[key]
        known = sorted(self._trusted[key] for key in keys & self._trusted.keys())
        part = len(known) // FIFTH
        between = known[-1 - part] - known[part] if len(known) >= LEAST_KNOWN else 0.0
        self._middle = (known[-1 - part] + known[part]) / 2 if known else 0.0
        self.ratio = math.exp(between)
        if between <= UNEVEN:
            self._steady_at = state.now + STEADY
        uneven = between > EVEN if state.uneven else state.now >= self._steady_at
        if uneven != state.uneven:
            state.uneven = uneven
            state.freed += 1
            extra = {"uneven": uneven, "ratio": round(self.ratio, 2), "known": len(known)}
            state.logger.info("speeds of VMs", extra=extra)
        if uneven:
            self._note_changed()

    def _note_changed(self) -> None:
        """Have the speeds recorded that differ from what their records have.

        A later leader then places by them at once, and need not learn them anew.
        """
        for row in self._state.vms.values():
            speed = self._trusted.get(_key(row), row.noted_speed)
            least = NOTED_CHANGE if row.noted_speed else FIRST_NOTED
            if abs(speed - row.noted_speed) > least:
                row.noted_speed = round(speed, 2)
                self._note(row)

    def restore(self, row: VmRow) -> None:
        """Take the speed that a VM's record has, until it is learned anew.

        A former leader has noted it since VMs were uneven then.
        """
        if row.noted_speed:
            now = self._state.now
            self._steady_at = now
            self._found[_key(row)] = _Estimate(row.noted_speed, RESTORED_WEIGHT, now)

    def _goes_on(self, key: str) -> bool:
        job, repetition, number = key.split(".")
        row = self._state.live.get(job)
        step = None if row is None else row.steps.get((int(repetition), int(number)))
        return step is not None and step.open_tasks > 0

    def of(self, row: VmRow) -> float:
        """Return a VM's speed; the usual one if it is not known."""
        return self._trusted.get(_key(row), 0.0)

    def needed(self, step: StepRow) -> float | None:
        """Return the speed with which a step's job ends in time; ``None`` if any will do.

        So it is where VMs are even, and where it is too late on all of them.
        """
        if not self._state.uneven or step.spec.lasting:
            return None
        left = step.job.objective_at - self._state.now
        if left < LEAST_LEFT or step.chain <= 0:
            return None
        bias = self._bias.get(step.job.record.terms.name, 0.0)
        return math.log(step.chain / left) + bias + MARGIN

    def costs(self, needed: float | None, rows: list[VmRow]) -> dict[str, float]:
        """Return what speaks against VMs for a step that needs some speed, by name."""
        if not self._state.uneven:
            return {row.name: 0.0 for row in rows}
        return {row.name: _cost(needed, self.of(row)) for row in rows}

    def alike(self, needed: float | None, rows: list[VmRow]) -> list[list[VmRow]]:
        """Return the VMs that are fast enough: the slow ones, the fast ones, and all of them.

        A gang is as slow as its slowest member, so that a fast VM is wasted on it beside a slow
        one.
        """
        found = [row for row in rows if self.enough(needed, row)]
        slow = [row for row in found if self.of(row) < self._middle]
        fast = [row for row in found if self.of(row) >= self._middle]
        return [slow, fast, found] if slow and fast else [found]

    def enough(self, needed: float | None, row: VmRow) -> bool:
        """Tell whether a VM is fast enough for a step that needs some speed."""
        return needed is None or self.of(row) >= needed


def _cost(needed: float | None, speed: float) -> float:
    kept = FAST_COST * speed
    if needed is None:
        return kept
    short = (needed + SPAN - speed) / SPAN
    return kept + LATE_COST * max(0.0, min(1.0, short))


def _key(row: VmRow) -> str:
    return row.info.machine or row.name
