"""Preemption: frees capacity for tasks at the cost of runs of lower priority.

The cheapest set of victims on one VM is chosen; a checkpoint is preferred to a throttle, and a
throttle to a stop. The VM is reserved for the task meanwhile, and its capacity counts as free only
once the worker has confirmed it.
"""

from collections import deque

import msgspec

from sablemount.core.actions import CommandKind
from sablemount.core.documents import PRIORITY_RANK, PriorityClass, Shape
from sablemount.core.state import State
from sablemount.core.systems.placement import Placement
from sablemount.core.tables import RunRow, RunStage, VmRow
from sablemount.core.waiting import LEVEL_COUNT, WaitingTask

__all__ = ["Preemption"]

PREEMPTION_DELAY_S = {
    PRIORITY_RANK[PriorityClass.URGENT]: 0.0,
    PRIORITY_RANK[PriorityClass.STANDARD]: 2.0,
    PRIORITY_RANK[PriorityClass.BATCH]: 30.0,
}
"""Time that a task of each class waits before it may preempt runs of lower priority."""
MAX_SAMPLED_VMS = 16
"""Maximum number of VMs examined for one task."""
MAX_TASKS_PER_TICK = 64
"""Maximum number of tasks that may preempt others in one tick."""
RETRY_INTERVAL_S = 0.5
"""Minimum time between two attempts for one task."""
RESTORE_INTERVAL_S = 5.0
"""Time between two checks for throttled runs that can be restored."""
CHECKPOINT_COST = 0.2
"""Work that a checkpoint loses, as a share of what a stop loses."""
THROTTLE_COST = 0.1
"""Cost of a throttle, as a share of the cost of a stop."""
PREEMPTION_WINDOW_S = 60.0
"""Window in which a task is preempted at most ``preempt_limit`` times."""
LOST_SHARE = {
    CommandKind.CHECKPOINT: CHECKPOINT_COST,
    CommandKind.THROTTLE: 0.0,
    CommandKind.STOP: 1.0,
}
"""Share of the work done so far that each kind of preemption loses."""
CLASS_COST_CORE_S = 100.0
"""Cost that is added per rank of a victim's priority class, counted up from the lowest class."""


class _Victim(msgspec.Struct, frozen=True):
    """A run that could be preempted: how, what that frees, and its cost in core seconds."""

    run: RunRow
    kind: CommandKind
    freed: Shape
    cost: float


class _Capacity(msgspec.Struct, frozen=True):
    """The present or expected free capacity of a VM; unlike a shape, it may be negative."""

    cores: int
    memory_mb: int
    accelerators: int
    slots: int

    def plus(self, shape: Shape, sign: int = 1) -> "_Capacity":
        """Return the capacity with a shape added."""
        return _Capacity(
            self.cores + sign * shape.cores,
            self.memory_mb + sign * shape.memory_mb,
            self.accelerators + sign * shape.accelerators,
            self.slots + sign * shape.slots,
        )

    def minus(self, shape: Shape) -> "_Capacity":
        """Return the capacity with a shape subtracted."""
        return self.plus(shape, -1)

    def holds(self, shape: Shape) -> bool:
        """Return whether a shape fits."""
        return (
            shape.cores <= self.cores
            and shape.memory_mb <= self.memory_mb
            and shape.accelerators <= self.accelerators
            and shape.slots <= self.slots
        )


class _Reservation(msgspec.Struct):
    """A VM reserved for a task until its victims have freed their capacity, or a timeout."""

    item: WaitingTask
    vm: str
    until: float


class Preemption:
    """Preempts runs of lower priority for waiting tasks."""

    def __init__(self, state: State, placement: Placement) -> None:
        self._state = state
        self._placement = placement
        self._reservations: dict[str, _Reservation] = {}
        self._preempted_at: dict[str, deque[float]] = {}
        self._throttled: set[str] = set()
        self._next_restore = 0.0

    def run(self) -> None:
        """Start tasks on the freed capacity, then preempt further runs."""
        if not self._state.has_lease():
            return
        self._restore()
        for task in list(self._reservations):
            self._check_reservation(task, self._reservations[task])
        for item in self._preempting_items():
            item.next_preemption_at = self._state.now + RETRY_INTERVAL_S
            self._preempt_for(item)

    def _preempting_items(self) -> list[WaitingTask]:
        """Return the tasks that may preempt, of those that this tick's placement has left waiting.

        Tasks of the highest level come first.
        """
        due: list[WaitingTask] = []
        queue = self._placement.queue
        for level in range(LEVEL_COUNT):
            for group in queue.groups(level):
                heads = queue.head(level, group, MAX_TASKS_PER_TICK)
                due.extend(item for item in heads if self._may_preempt_others(item))
        return due[:MAX_TASKS_PER_TICK]

    # -- Reservations ------------------------------------------------------------------------

    def _check_reservation(self, task: str, reservation: _Reservation) -> None:
        state = self._state
        row = state.vms.get(reservation.vm)
        waiting = self._placement.queue.get(task) is reservation.item
        usable = row is not None and row.was_usable
        if not waiting or not usable or state.now >= reservation.until:
            self._cancel(task, reservation)
            return
        assert row is not None
        item = reservation.item
        if row.can_fit(item.row.template.shape) and not item.move_pending:
            self._cancel(task, reservation)
            if self._placement.within_quota(item.row):
                self._placement.start(item, row)

    def _cancel(self, task: str, reservation: _Reservation) -> None:
        del self._reservations[task]
        reservation.item.has_reservation = False
        row = self._state.vms.get(reservation.vm)
        if row is not None:
            row.reserved_for.pop(task, None)
            self._state.capacity_changes[row.shard] += 1
            self._state.reindex(row)

    # -- Choosing victims --------------------------------------------------------------------

    def _may_preempt_others(self, item: WaitingTask) -> bool:
        state = self._state
        delay = PREEMPTION_DELAY_S.get(item.priority_rank)
        if delay is None or item.row.task in self._reservations or item.move_pending:
            return False
        held = state.held_shards.get(item.row.shard)
        if held is None or not held.recovery_complete or not state.is_active(item.row.shard):
            return False
        if state.now - item.queued_at < delay or state.now < item.next_preemption_at:
            return False
        return self._placement.within_quota(item.row)

    def _preempt_for(self, item: WaitingTask) -> None:
        state = self._state
        best: list[_Victim] = []
        best_row: VmRow | None = None
        best_cost = float("inf")
        for row in self._candidates(item):
            victims = self._victims(row, item)
            cost = sum(victim.cost for victim in victims)
            if victims and cost < best_cost:
                best, best_row, best_cost = victims, row, cost
        if best_row is None:
            return
        for victim in best:
            self._preempt(best_row, victim)
        best_row.reserved_for[item.row.task] = item.row.template.shape
        until = state.now + state.settings.preempt_timeout
        self._reservations[item.row.task] = _Reservation(item, best_row.vm, until)
        item.has_reservation = True
        best_row.urgent_poll = True
        state.reindex(best_row)

    def _candidates(self, item: WaitingTask) -> list[VmRow]:
        state = self._state
        shape = item.row.template.shape
        preferences = item.row.template.preferences
        rows = list(state.shard_vms[item.row.shard].values())
        if len(rows) > MAX_SAMPLED_VMS:
            rows = state.rng.sample(rows, MAX_SAMPLED_VMS)
        return [
            row
            for row in rows
            if row.was_usable
            and shape.fits_within(row.facts.capacity)
            and not (preferences.required and row.hall not in preferences.halls)
        ]

    def _victims(self, row: VmRow, item: WaitingTask) -> list[_Victim]:
        """Return the cheapest victims on a VM that free enough capacity, or an empty list."""
        runs = [self._state.runs[name] for name in row.runs]
        lower = [
            run
            for run in runs
            if run.priority_rank > item.priority_rank and self._may_preempt(run, row)
        ]
        shape = item.row.template.shape
        free = self._expected_capacity(row)
        victims_without_stop = [
            self._victim_of(run, without_stop=True) for run in lower if _needs_no_stop(run)
        ]
        return _cheapest_sufficient(free, shape, victims_without_stop) or _cheapest_sufficient(
            free,
            shape,
            [self._victim_of(run, without_stop=False) for run in lower],
        )

    def _expected_capacity(self, row: VmRow) -> _Capacity:
        """Return the free capacity of a VM after its pending preemptions and reserved starts."""
        free = _Capacity(row.free_cores, row.free_memory, row.free_accelerators, row.free_slots)
        for name, kind in row.commands.items():
            run = self._state.runs.get(name)
            if run is not None and kind is not CommandKind.RESTORE:
                free = free.plus(_freed_by(run, kind))
        for shape in row.reserved_for.values():
            free = free.minus(shape)
        return free

    def _may_preempt(self, run: RunRow, row: VmRow) -> bool:
        return (
            run.stage is RunStage.RUNNING
            and run.run not in row.commands
            and run.template.repeatable
            and self._recent_preemptions(run.task) < self._state.settings.preempt_limit
        )

    def _recent_preemptions(self, task: str) -> int:
        """Return how often a task has been preempted within the window."""
        times = self._preempted_at.get(task)
        if times is None:
            return 0
        while times and self._state.now - times[0] > PREEMPTION_WINDOW_S:
            times.popleft()
        if not times:
            del self._preempted_at[task]
        return len(times)

    def _victim_of(self, run: RunRow, without_stop: bool) -> _Victim:
        """Return how a run would be preempted, and what that frees and costs."""
        elapsed = self._state.now - run.started_at
        lost = max(1, run.shape.cores) * elapsed
        repeat_factor = 1.0 + self._recent_preemptions(run.task)
        class_cost = CLASS_COST_CORE_S * (len(PRIORITY_RANK) - run.priority_rank)
        if run.template.checkpointable:
            cost = repeat_factor * (class_cost + CHECKPOINT_COST * lost)
            return _Victim(run, CommandKind.CHECKPOINT, run.shape, cost)
        if without_stop:
            freed = _freed_by(run, CommandKind.THROTTLE)
            return _Victim(
                run,
                CommandKind.THROTTLE,
                freed,
                repeat_factor * THROTTLE_COST * (class_cost + lost),
            )
        return _Victim(run, CommandKind.STOP, run.shape, repeat_factor * (class_cost + lost))

    # -- Throttled runs ----------------------------------------------------------------------

    def _restore(self) -> None:
        """Restore throttled runs to full cores on VMs without reservations."""
        state = self._state
        if state.now < self._next_restore:
            return
        self._next_restore = state.now + RESTORE_INTERVAL_S
        for name in list(self._throttled):
            run = state.runs.get(name)
            if run is None:
                self._throttled.discard(name)
            elif run.throttled:
                self._restore_run(run)

    def _restore_run(self, run: RunRow) -> None:
        state = self._state
        row = state.vms[run.vm]
        full = run.template.shape
        missing = full.cores - run.shape.cores
        if row.reserved_for or run.run in row.commands or row.free_cores < missing:
            return
        # Charged before the command is sent, since the run may use the cores from then on.
        state.resize_run(run, full)
        row.commands[run.run] = CommandKind.RESTORE
        self._throttled.discard(run.run)

    def _preempt(self, row: VmRow, victim: _Victim) -> None:
        run = victim.run
        if victim.kind is CommandKind.THROTTLE:
            self._throttled.add(run.run)
        row.commands[run.run] = victim.kind
        self._preempted_at.setdefault(run.task, deque()).append(self._state.now)
        self._state.meter.count("preemptions", victim.kind.value)
        lost = (self._state.now - run.started_at) * run.shape.cores
        share = LOST_SHARE[victim.kind]
        self._state.meter.count("preempted_core_ms", "", int(1000 * share * lost))


def _needs_no_stop(run: RunRow) -> bool:
    return run.template.checkpointable or (run.shape.cores > 1 and not run.throttled)


def _freed_by(run: RunRow, kind: CommandKind) -> Shape:
    if kind is CommandKind.THROTTLE:
        return Shape(cores=run.shape.cores - run.shape.throttled().cores)
    return run.shape


def _cheapest_sufficient(free: _Capacity, shape: Shape, options: list[_Victim]) -> list[_Victim]:
    """Return the cheapest options that suffice together, less those that prove unnecessary."""
    chosen: list[_Victim] = []
    for victim in sorted(options, key=lambda item: item.cost / max(1, item.freed.cores)):
        chosen.append(victim)
        if _suffice(free, shape, chosen):
            break
    else:
        return []
    for victim in list(chosen):
        rest = [other for other in chosen if other is not victim]
        if _suffice(free, shape, rest):
            chosen = rest
    return chosen


def _suffice(free: _Capacity, shape: Shape, victims: list[_Victim]) -> bool:
    for victim in victims:
        free = free.plus(victim.freed)
    return free.holds(shape)
