"""Choice of a VM for each waiting task of a step: pure over the tables."""

import heapq

from sablemount.jobs.model import UNLIMITED_COPIES, Shape
from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.systems.trials import Isolation
from sablemount.jobs.tables import StepRow, TaskRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["Assignment", "Choice"]

Assignment = list[tuple[TaskRow, VmRow]]
FAR_PENALTY = 10.0
"""Penalty of a VM that is far from the data, where a task takes twice as long; an entirely free VM
scores 2."""
FAILED_RETRY_DELAY_S = 1.0
"""Delay before a task is retried on the VM where it failed, if no other VM can run it. A VM on
which every start fails would use up the attempts of its tasks within a few ms; the failures of its
tasks show within this delay that the VM is faulty."""
FAILED_ELSEWHERE_WAIT_S = 2.0
"""Time for which a failed task waits for capacity on another VM. It is below the 3 s for which a
job may have nothing running while there is free capacity for it."""
NO_TICKET_PENALTY = 3.0
"""Penalty of a VM without a valid ticket. Without it, steps whose reservations make each other's
VMs the fullest would request new tickets endlessly."""


class Choice:
    """Packs tasks onto the fullest VM that fits, with penalties for VMs that cost more."""

    def __init__(self, state: State, advice: Advice, isolation: Isolation, speeds: Speeds) -> None:
        self._state = state
        self._speeds = speeds
        self._advice = advice
        self._isolation = isolation

    def assign(self, step: StepRow, tasks: list[TaskRow], rows: list[VmRow]) -> Assignment:
        """Choose a VM for as many tasks as there is capacity for.

        A gang is as slow as its slowest member, so it is placed where all VMs are fast enough.
        Where there is no capacity for that, it is late in any case and leaves the fast VMs to
        others.
        """
        required_speed = self._speeds.required_speed(step)
        if required_speed is None or not step.spec.gang:
            return self._assign(step, tasks, rows, required_speed)
        for group in self._speeds.speed_groups(required_speed, rows):
            chosen = self._assign(step, tasks, group, required_speed)
            if len(chosen) == len(tasks):
                return chosen
        return self._assign(step, tasks, rows, None)

    def _assign(
        self, step: StepRow, tasks: list[TaskRow], rows: list[VmRow], required_speed: float | None
    ) -> Assignment:
        if step.spec.same_rack:
            rows = self._one_rack(step, len(tasks), rows)
        charge = step.spec.charge
        fitting = [row for row in rows if charge.fits(row.free_capacity)]
        if step.spec.spread:
            fitting = [row for row in fitting if row.spread_left(step) > 0]
        if not fitting:
            return []
        costs = self._speeds.costs(required_speed, fitting)
        if not any(task.failed_on or task.crashes for task in tasks):
            return self._assign_uniform(step, tasks, fitting, costs)
        free = {row.name: row.free_capacity for row in fitting}
        spread_left = {row.name: row.spread_left(step) for row in fitting}
        chosen: Assignment = []
        for task in tasks:
            best = self._best(step, task, self._eligible_rows(task, rows, fitting), free, costs)
            if best is None and (task.failed_on or task.crashes):
                continue
            if best is None:
                break
            chosen.append((task, best))
            spread_left[best.name] -= 1
            free[best.name] = free[best.name].plus(charge, -1)
            if not spread_left[best.name] or not charge.fits(free[best.name]):
                fitting.remove(best)
        return chosen

    def _assign_uniform(
        self, step: StepRow, tasks: list[TaskRow], fitting: list[VmRow], costs: dict[str, float]
    ) -> Assignment:
        """Choose VMs for tasks without failures or crashes, in a single pass over the VMs."""
        charge = step.spec.charge
        is_spread = step.spec.spread > 0
        order = [
            (
                self._score(step, row, row.free_capacity, costs[row.name]),
                number,
                row.free_capacity,
                row.spread_left(step) if is_spread else UNLIMITED_COPIES,
            )
            for number, row in enumerate(fitting)
        ]
        heapq.heapify(order)
        chosen: Assignment = []
        for task in tasks:
            if not order:
                break
            _, number, capacity, spread_left = order[0]
            row = fitting[number]
            chosen.append((task, row))
            capacity = capacity.plus(charge, -1)
            if spread_left > 1 and charge.fits(capacity):
                score = self._score(step, row, capacity, costs[row.name])
                heapq.heapreplace(order, (score, number, capacity, spread_left - 1))
            else:
                heapq.heappop(order)
        return chosen

    def _eligible_rows(self, task: TaskRow, rows: list[VmRow], fitting: list[VmRow]) -> list[VmRow]:
        """Return the VMs with capacity where a task may start, given its failures and crashes."""
        found = self._not_failed_on(task, rows, fitting)
        if not task.crashes:
            return found
        found = [row for row in found if self._isolation.may_start(task, row)]
        return self._isolation.prefer_unaffected(task, rows, found)

    def _not_failed_on(self, task: TaskRow, rows: list[VmRow], fitting: list[VmRow]) -> list[VmRow]:
        """Return the VMs with capacity where a task has not failed.

        A VM where it has failed is tried again only if no other VM has capacity for it for a while.
        """
        if not task.failed_on:
            return fitting
        not_failed_on = [row for row in fitting if row.name not in task.failed_on]
        others = any(row.name not in task.failed_on for row in rows)
        wait = FAILED_ELSEWHERE_WAIT_S if others else FAILED_RETRY_DELAY_S
        if not_failed_on or self._state.now - task.failed_at < wait:
            return not_failed_on
        return fitting

    def _best(
        self,
        step: StepRow,
        task: TaskRow,
        rows: list[VmRow],
        free: dict[str, Shape],
        costs: dict[str, float],
    ) -> VmRow | None:
        """Return the VM with the lowest score; ``None`` if there is none."""
        best: VmRow | None = None
        best_score = 0.0
        for row in rows:
            capacity = free[row.name]
            score = self._score(step, row, capacity, costs[row.name], bool(task.crashes))
            if best is None or score < best_score:
                best = row
                best_score = score
        return best

    def _score(
        self, step: StepRow, row: VmRow, free: Shape, cost: float, may_crash: bool = False
    ) -> float:
        """Return the score of a VM with some free capacity, the lower the better.

        It is the free share of the VM plus its penalties. With ``may_crash``, the free share
        counts in the VM's favour: a task that may crash its VM is placed where the fewest other
        runs would be lost.
        """
        free_share = _leftover(free, row.info.capacity)
        score = cost + (-free_share if may_crash else free_share)
        rack = step.spec.rack
        if rack and rack not in row.info.labels:
            score += FAR_PENALTY
        if not self._advice.permits(step, row):
            score += NO_TICKET_PENALTY
        return score

    def _one_rack(self, step: StepRow, count: int, rows: list[VmRow]) -> list[VmRow]:
        """Return the VMs of one rack that can run all tasks, or all VMs if there is none."""
        used = {
            self._state.vms[run.vm].info.rack
            for task in step.tasks.rows()
            for run in task.runs
            if run.vm in self._state.vms
        }
        racks: dict[str, list[VmRow]] = {}
        for row in rows:
            racks.setdefault(row.info.rack, []).append(row)
        for rack in sorted(racks, key=lambda name: name not in used):
            if sum(row.places_for(step) for row in racks[rack]) >= count:
                return racks[rack]
        return rows


def _leftover(free: Shape, capacity: Shape) -> float:
    """Return the free share of a VM's cores plus that of its memory: 2 if it is entirely free."""
    cores = free.cores / capacity.cores if capacity.cores else 0.0
    memory = free.memory / capacity.memory if capacity.memory else 0.0
    return cores + memory
