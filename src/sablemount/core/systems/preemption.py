"""Preemption: which lower-paying tasks make way when capacity runs short.

The cheapest set on one VM is taken; a checkpoint goes before a throttle and a throttle before a
stop. The VM is kept for the task meanwhile, and counts as free only on the worker's word.
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

PATIENCE = {
    PRIORITY_RANK[PriorityClass.URGENT]: 0.0,
    PRIORITY_RANK[PriorityClass.STANDARD]: 2.0,
    PRIORITY_RANK[PriorityClass.BATCH]: 30.0,
}
"""How long a task of each class waits before lower-paying work yields to it, in seconds."""
SAMPLE = 16
"""How many VMs are weighed for one task."""
PER_TICK = 64
"""How many tasks may make others yield in one tick."""
RETRY = 0.5
"""Least time between two tries for one task, in seconds."""
RESTORE_INTERVAL = 5.0
"""Time between two looks at the throttled runs, in seconds."""
CHECKPOINT_COST = 0.2
"""What a checkpoint loses, as a share of what a stop loses."""
THROTTLE_COST = 0.1
"""What a throttle loses, as a share of what a stop loses."""
VICTIM_WINDOW = 60.0
"""Time over which a task's yielding is held to ``preempt_limit``, in seconds."""
LOST_SHARE = {
    CommandKind.CHECKPOINT: CHECKPOINT_COST,
    CommandKind.THROTTLE: 0.0,
    CommandKind.STOP: 1.0,
}
"""Share of the work done so far that each way to yield loses."""
CLASS_COST = 100.0
"""What one class nearer to the task's own adds to a victim's cost, in core seconds."""


class _Victim(msgspec.Struct, frozen=True):
    """One run that could yield, how, what that frees and what it costs in core seconds."""

    run: RunRow
    kind: CommandKind
    freed: Shape
    cost: float


class _Room(msgspec.Struct, frozen=True):
    """What is or will be free of a VM; unlike a shape it may be negative."""

    cores: int
    memory_mb: int
    accelerators: int
    slots: int

    def plus(self, shape: Shape, sign: int = 1) -> "_Room":
        """Return the room with a shape more."""
        return _Room(
            self.cores + sign * shape.cores,
            self.memory_mb + sign * shape.memory_mb,
            self.accelerators + sign * shape.accelerators,
            self.slots + sign * shape.slots,
        )

    def minus(self, shape: Shape) -> "_Room":
        """Return the room with a shape less."""
        return self.plus(shape, -1)

    def holds(self, shape: Shape) -> bool:
        """Tell whether a shape fits."""
        return (
            shape.cores <= self.cores
            and shape.memory_mb <= self.memory_mb
            and shape.accelerators <= self.accelerators
            and shape.slots <= self.slots
        )


class _Reservation(msgspec.Struct):
    """A VM kept for a task until its victims have yielded or the time is over."""

    item: WaitingTask
    vm: str
    until: float


class Preemption:
    """Makes room for tasks that pay more."""

    def __init__(self, state: State, placement: Placement) -> None:
        self._state = state
        self._placement = placement
        self._reservations: dict[str, _Reservation] = {}
        self._preempted_at: dict[str, deque[float]] = {}
        self._throttled: set[str] = set()
        self._next_restore = 0.0

    def run(self) -> None:
        """Use what has been freed, then make more work yield."""
        if not self._state.has_lease():
            return
        self._restore()
        for task in list(self._reservations):
            self._settle(task, self._reservations[task])
        for item in self._due_items():
            item.next_preemption_at = self._state.now + RETRY
            self._make_room(item)

    def _due_items(self) -> list[WaitingTask]:
        """Return what the placement of this tick has left waiting, the best paid first."""
        due: list[WaitingTask] = []
        queue = self._placement.queue
        for level in range(LEVEL_COUNT):
            for group in queue.groups(level):
                heads = queue.head(level, group, PER_TICK)
                due.extend(item for item in heads if self._due(item))
        return due[:PER_TICK]

    # -- Reservations ------------------------------------------------------------------------

    def _settle(self, task: str, reservation: _Reservation) -> None:
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

    def _due(self, item: WaitingTask) -> bool:
        state = self._state
        patience = PATIENCE.get(item.priority_rank)
        if patience is None or item.row.task in self._reservations or item.move_pending:
            return False
        held = state.held_shards.get(item.row.shard)
        if held is None or not held.recovery_complete or not state.is_active(item.row.shard):
            return False
        if state.now - item.queued_at < patience or state.now < item.next_preemption_at:
            return False
        return self._placement.within_quota(item.row)

    def _make_room(self, item: WaitingTask) -> None:
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
            self._yield(best_row, victim)
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
        if len(rows) > SAMPLE:
            rows = state.rng.sample(rows, SAMPLE)
        return [
            row
            for row in rows
            if row.was_usable
            and shape.fits_within(row.facts.capacity)
            and not (preferences.required and row.hall not in preferences.halls)
        ]

    def _victims(self, row: VmRow, item: WaitingTask) -> list[_Victim]:
        """Return the cheapest runs of a VM whose yielding makes room, or nothing."""
        runs = [self._state.runs[name] for name in row.runs]
        lower = [
            run
            for run in runs
            if run.priority_rank > item.priority_rank and self._may_yield(run, row)
        ]
        shape = item.row.template.shape
        room = self._room_to_be(row)
        gentle = [self._option(run, gentle=True) for run in lower if _can_be_gentle(run)]
        return _enough(room, shape, gentle) or _enough(
            room, shape, [self._option(run, gentle=False) for run in lower]
        )

    def _room_to_be(self, row: VmRow) -> _Room:
        """Return what will be free of a VM once its victims have yielded and its takers started."""
        room = _Room(row.free_cores, row.free_memory, row.free_accelerators, row.free_slots)
        for name, kind in row.commands.items():
            run = self._state.runs.get(name)
            if run is not None and kind is not CommandKind.RESTORE:
                room = room.plus(_freed_by(run, kind))
        for shape in row.reserved_for.values():
            room = room.minus(shape)
        return room

    def _may_yield(self, run: RunRow, row: VmRow) -> bool:
        return (
            run.stage is RunStage.RUNNING
            and run.run not in row.commands
            and run.template.repeatable
            and self._recently(run.task) < self._state.settings.preempt_limit
        )

    def _recently(self, task: str) -> int:
        """Return how often a task has yielded within the window."""
        times = self._preempted_at.get(task)
        if times is None:
            return 0
        while times and self._state.now - times[0] > VICTIM_WINDOW:
            times.popleft()
        if not times:
            del self._preempted_at[task]
        return len(times)

    def _option(self, run: RunRow, gentle: bool) -> _Victim:
        """Return how a run yields, and what that frees and costs."""
        elapsed = self._state.now - run.started_at
        lost = max(1, run.shape.cores) * elapsed
        again = 1.0 + self._recently(run.task)
        fixed = CLASS_COST * (len(PRIORITY_RANK) - run.priority_rank)
        if run.template.checkpointable:
            cost = again * (fixed + CHECKPOINT_COST * lost)
            return _Victim(run, CommandKind.CHECKPOINT, run.shape, cost)
        if gentle:
            freed = _freed_by(run, CommandKind.THROTTLE)
            return _Victim(run, CommandKind.THROTTLE, freed, again * THROTTLE_COST * (fixed + lost))
        return _Victim(run, CommandKind.STOP, run.shape, again * (fixed + lost))

    # -- Throttled runs ----------------------------------------------------------------------

    def _restore(self) -> None:
        """Give throttled runs their cores back where nobody waits for them."""
        state = self._state
        if state.now < self._next_restore:
            return
        self._next_restore = state.now + RESTORE_INTERVAL
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
        # Charged before the worker is told, since it may use them from then on.
        state.resize_run(run, full)
        row.commands[run.run] = CommandKind.RESTORE
        self._throttled.discard(run.run)

    def _yield(self, row: VmRow, victim: _Victim) -> None:
        run = victim.run
        if victim.kind is CommandKind.THROTTLE:
            self._throttled.add(run.run)
        row.commands[run.run] = victim.kind
        self._preempted_at.setdefault(run.task, deque()).append(self._state.now)
        self._state.meter.count("preemptions", victim.kind.value)
        lost = (self._state.now - run.started_at) * run.shape.cores
        share = LOST_SHARE[victim.kind]
        self._state.meter.count("preempted_core_ms", "", int(1000 * share * lost))


def _can_be_gentle(run: RunRow) -> bool:
    return run.template.checkpointable or (run.shape.cores > 1 and not run.throttled)


def _freed_by(run: RunRow, kind: CommandKind) -> Shape:
    if kind is CommandKind.THROTTLE:
        return Shape(cores=run.shape.cores - run.shape.throttled().cores)
    return run.shape


def _enough(room: _Room, shape: Shape, options: list[_Victim]) -> list[_Victim]:
    """Return the first options that together make room, without those that prove needless."""
    taken: list[_Victim] = []
    for victim in sorted(options, key=lambda item: item.cost / max(1, item.freed.cores)):
        taken.append(victim)
        if _frees(room, shape, taken):
            break
    else:
        return []
    for victim in list(taken):
        rest = [other for other in taken if other is not victim]
        if _frees(room, shape, rest):
            taken = rest
    return taken


def _frees(room: _Room, shape: Shape, victims: list[_Victim]) -> bool:
    for victim in victims:
        room = room.plus(victim.freed)
    return room.holds(shape)
