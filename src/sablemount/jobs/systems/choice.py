"""Which of some VMs each waiting task of a step gets: pure over the tables."""

import heapq

from sablemount.jobs.model import Shape
from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.systems.trials import Trials
from sablemount.jobs.tables import StepRow, TaskRow, VmRow

__all__ = ["Assignment", "Choice"]

Assignment = list[tuple[TaskRow, VmRow]]
FAR_PENALTY = 10.0
"""Weight of a VM away from the data, where a task takes twice as long; a free VM weighs 2."""
FAILED_PAUSE = 1.0
"""Seconds until a task is tried again where it failed, if there is no other VM for it: a VM that
fails all that it starts would use up its attempts in a few ms; its tasks tell in less."""
FAILED_WAIT = 2.0
"""Seconds for which a task that failed waits for room on another VM; below the 3 s for which
nothing of a job may run while there is room for it."""
STALE_PENALTY = 3.0
"""VMs with a valid ticket go first: otherwise steps whose bookings make each other's VMs
the fullest ask for new tickets without end."""


class Choice:
    """Packs tasks onto VMs: the fullest that fits, with penalties for what would cost more."""

    def __init__(self, state: State, advice: Advice, trials: Trials, speeds: Speeds) -> None:
        self._state = state
        self._speeds = speeds
        self._advice = advice
        self._trials = trials

    def assign(self, step: StepRow, tasks: list[TaskRow], rows: list[VmRow]) -> Assignment:
        """Choose a VM for as many tasks as there is room for.

        A gang is as slow as its slowest member, so that it goes where all are fast enough; where
        there is no room for that it is late anyway, and leaves the fast VMs to others.
        """
        needed = self._speeds.needed(step)
        if needed is None or not step.spec.gang:
            return self._assign(step, tasks, rows, needed)
        for alike in self._speeds.alike(needed, rows):
            chosen = self._assign(step, tasks, alike, needed)
            if len(chosen) == len(tasks):
                return chosen
        return self._assign(step, tasks, rows, None)

    def _assign(
        self, step: StepRow, tasks: list[TaskRow], rows: list[VmRow], needed: float | None
    ) -> Assignment:
        if step.spec.same_rack:
            rows = self._one_rack(step, len(tasks), rows)
        charge = step.spec.charge
        fitting = [row for row in rows if charge.fits(row.room)]
        if not fitting:
            return []
        room = {row.name: row.room for row in fitting}
        costs = self._speeds.costs(needed, fitting)
        if not step.spec.spread and not any(task.failed_on or task.crashes for task in tasks):
            return self._assign_alike(step, tasks, fitting, costs)
        counts = self._counts(step) if step.spec.spread else {}
        chosen: Assignment = []
        for task in tasks:
            best = self._best(step, task, self._open_to(task, rows, fitting), room, counts, costs)
            if best is None and (task.failed_on or task.crashes):
                continue
            if best is None:
                break
            chosen.append((task, best))
            counts[best.name] = counts.get(best.name, 0) + 1
            room[best.name] = room[best.name].plus(charge, -1)
            if not charge.fits(room[best.name]):
                fitting.remove(best)
        return chosen

    def _assign_alike(
        self, step: StepRow, tasks: list[TaskRow], fitting: list[VmRow], costs: dict[str, float]
    ) -> Assignment:
        """Choose for tasks to which nothing has happened yet, with one look at each VM for all."""
        charge = step.spec.charge
        order = [
            (self._score(step, row, row.room, costs[row.name]), number, row.room)
            for number, row in enumerate(fitting)
        ]
        heapq.heapify(order)
        chosen: Assignment = []
        for task in tasks:
            if not order:
                break
            _, number, room = order[0]
            row = fitting[number]
            chosen.append((task, row))
            room = room.plus(charge, -1)
            if charge.fits(room):
                score = self._score(step, row, room, costs[row.name])
                heapq.heapreplace(order, (score, number, room))
            else:
                heapq.heappop(order)
        return chosen

    def _open_to(self, task: TaskRow, rows: list[VmRow], fitting: list[VmRow]) -> list[VmRow]:
        """Return the VMs with room on which what has become of a task before lets it start."""
        found = self._untried(task, rows, fitting)
        if not task.crashes:
            return found
        found = [row for row in found if self._trials.may_start(task, row)]
        return self._trials.elsewhere(task, rows, found)

    def _untried(self, task: TaskRow, rows: list[VmRow], fitting: list[VmRow]) -> list[VmRow]:
        """Return the VMs with room where a task has not failed.

        Where it has failed it is tried again only if no other VM has room for it in a while.
        """
        if not task.failed_on:
            return fitting
        untried = [row for row in fitting if row.name not in task.failed_on]
        others = any(row.name not in task.failed_on for row in rows)
        wait = FAILED_WAIT if others else FAILED_PAUSE
        if untried or self._state.now - task.failed_at < wait:
            return untried
        return fitting

    def _best(
        self,
        step: StepRow,
        task: TaskRow,
        rows: list[VmRow],
        room: dict[str, Shape],
        counts: dict[str, int],
        costs: dict[str, float],
    ) -> VmRow | None:
        """Return the VM that is left with the least room, the wanted rack first."""
        best: VmRow | None = None
        best_score = 0.0
        spread = step.spec.spread
        for row in rows:
            if spread and counts.get(row.name, 0) >= spread:
                continue
            left = room[row.name]
            score = self._score(step, row, left, costs[row.name], bool(task.crashes))
            if best is None or score < best_score:
                best = row
                best_score = score
        return best

    def _score(
        self, step: StepRow, row: VmRow, room: Shape, cost: float, apart: bool = False
    ) -> float:
        """Return what speaks against a VM with some room: the most of it free, and what it costs.

        What may crash its VM (``apart``) goes where it takes least along.
        """
        left = _leftover(room, row.info.capacity)
        score = cost + (-left if apart else left)
        rack = step.spec.rack
        if rack and rack not in row.info.labels:
            score += FAR_PENALTY
        if not self._advice.valid(step, row):
            score += STALE_PENALTY
        return score

    def _one_rack(self, step: StepRow, count: int, rows: list[VmRow]) -> list[VmRow]:
        """Return the VMs of one rack that holds all tasks, or all if there is none."""
        used = {
            self._state.vms[run.vm].info.rack
            for task in step.tasks
            for run in task.runs
            if run.vm in self._state.vms
        }
        racks: dict[str, list[VmRow]] = {}
        for row in rows:
            racks.setdefault(row.info.rack, []).append(row)
        for rack in sorted(racks, key=lambda name: name not in used):
            if sum(step.spec.charge.times_in(row.room) for row in racks[rack]) >= count:
                return racks[rack]
        return rows

    def _counts(self, step: StepRow) -> dict[str, int]:
        counts: dict[str, int] = {}
        for task in step.tasks:
            for run in task.runs:
                counts[run.vm] = counts.get(run.vm, 0) + 1
        return counts


def _leftover(room: Shape, capacity: Shape) -> float:
    """Return the share of a VM that is free, cores and memory weighed alike."""
    cores = room.cores / capacity.cores if capacity.cores else 0.0
    memory = room.memory / capacity.memory if capacity.memory else 0.0
    return cores + memory
