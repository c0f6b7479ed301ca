"""Placement: decides which waiting task starts on which VM.

The cost of a decision does not grow with the number of VMs: an index over free capacity yields a
few candidates, and only those are scored.
"""

from sablemount.core import records
from sablemount.core.actions import StartRun
from sablemount.core.documents import OrganisationDocument, Preferences, Shape
from sablemount.core.rows import TaskRow
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal, Settlement
from sablemount.core.tables import HeldShard, HoldState, RunRow, VmRow, VmStage
from sablemount.core.verdict import Verdict
from sablemount.core.waiting import LEVEL_COUNT, Group, WaitingTask, WaitQueue

__all__ = ["Placement"]

LOOK_AHEAD = 4
"""Maximum number of tasks of a group that are tried per turn, as the first may not fit."""
MOVE_INTERVAL_S = 1.0
"""Mean time between two attempts to move a task to another shard."""
MAX_SAMPLED_VMS = 64
"""Maximum number of VMs examined for one in another shard that could hold a task."""
SAME_RACK_PENALTY = 1.0
"""Cost in a VM's score per replica of the same job in the VM's rack."""
OTHER_HALL_PENALTY = 2.0
"""Cost in a VM's score for a spread replica that is due in another hall."""
UNPREFERRED_HALL_PENALTY = 4.0
"""Cost in a VM's score if its hall is not among the preferred ones."""


class Placement:
    """Places waiting tasks on VMs of this scheduler's shards."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self.queue = WaitQueue()
        self.quota_shortfalls: dict[tuple[str, int], Shape] = {}
        self._blocked: dict[tuple[int, Group], tuple[int, int, str]] = {}
        self._last_run_number = 0

    def enqueue(self, row: TaskRow, new: bool = False) -> None:
        """Queue a task for a VM; ``new`` means that it has certainly never started."""
        self.queue.add(row, self._state.now, new)

    def replace_rows(self) -> None:
        """Replace the queued rows by those of a newly installed ledger."""
        self.queue.replace_rows(self._state.ledger.tasks)
        self._blocked.clear()

    # -- Turns -------------------------------------------------------------------------------

    def run(self) -> None:
        """Place as many tasks as possible, the highest priority level first."""
        self.quota_shortfalls.clear()
        if not self._state.has_lease():
            return
        self.queue.promote(self._state.now, self._state.settings.aging)
        budget = self._state.settings.placements_per_tick
        for level in range(LEVEL_COUNT):
            budget = self._run_level(level, budget)

    def _run_level(self, level: int, budget: int) -> int:
        turns = self.queue.fair_turns(level)
        group = next(turns, None)
        while group is not None and budget > 0:
            placed = self._place_from_group(level, group)
            budget -= placed
            try:
                group = turns.send(placed)
            except StopIteration:
                break
        return budget

    def _place_from_group(self, level: int, group: Group) -> bool:
        """Place one task of a group; return whether one was placed or removed."""
        items = self.queue.head(level, group, LOOK_AHEAD)
        # A blocked group is retried when capacity is freed, and each second for a possible move.
        attempt_key = (
            self._state.capacity_changes[group.shard],
            int(self._state.now),
            items[0].row.task,
        )
        if self._blocked.get((level, group)) == attempt_key:
            return False
        tried: set[Shape] = set()
        for item in items:
            shape = item.row.template.shape
            if not self._eligible(item):
                if item.row.task not in self.queue:
                    return True
                continue
            if shape in tried:
                continue
            tried.add(shape)
            if self._place(item):
                return True
        self._blocked[level, group] = attempt_key
        return False

    def _eligible(self, item: WaitingTask) -> bool:
        """Return whether a task may be placed now; remove it if it is no longer waiting here."""
        state = self._state
        row = item.row
        held = state.held_shards.get(row.shard)
        if held is None or row.finished or row.task in state.run_of:
            self.queue.remove(row.task)
            return False
        if row.cancelled:
            self.queue.remove(row.task)
            self._finish_cancelled(item, held)
            return False
        # Before a shard's recovery is complete, only tasks that never started may be placed in it.
        known = held.recovery_complete or item.never_started
        return known and held.state is HoldState.ACTIVE and not item.move_pending

    def _finish_cancelled(self, item: WaitingTask, held: HeldShard) -> None:
        row = item.row
        if not row.is_service:
            # Only a task that has waited here since it was accepted has certainly never started.
            verdict = Verdict.NOT_RUN if item.never_started else Verdict.MAY_HAVE_RUN
            self._journal.write(records.Finish(row.task, held.epoch, verdict, "cancelled"))

    # -- One task ----------------------------------------------------------------------------

    def _place(self, item: WaitingTask) -> bool:
        row = item.row
        if not self.within_quota(row):
            key = (row.template.organisation, row.shard)
            self.quota_shortfalls[key] = row.template.shape
            return False
        if row.template.preferences.spread and self._move_for_spread(item):
            return False
        vm = self.choose_vm(row, row.shard)
        if vm is None:
            self._consider_move(item)
            return False
        self.start(item, vm)
        return True

    def _move_for_spread(self, item: WaitingTask) -> bool:
        """Move a spread task, once at most, to a shard with VMs in the hall where it is due."""
        state = self._state
        if item.spread_move_done or not self._journal.healthy:
            return item.move_pending
        item.spread_move_done = True
        hall = self._due_hall(item.row.position)
        shards = state.hall_shards.get(hall)
        if not shards or item.row.shard in shards:
            return False
        self._move(item, state.rng.choice(sorted(shards)))
        return item.move_pending

    def _due_hall(self, position: int) -> str:
        halls = sorted(self._state.hall_shards)
        return halls[position % len(halls)] if halls else ""

    def within_quota(self, row: TaskRow) -> bool:
        """Return whether the organisation's quota share in the task's shard suffices for it."""
        state = self._state
        shape = row.template.shape
        key = (row.template.organisation, row.shard)
        shares = state.ledger.shares
        cores = shares.cores(*key)
        if not state.held_shards[row.shard].recovery_complete and shares.has_quota(
            row.template.organisation
        ):
            # How much of the share the previous owner's runs use is not known yet.
            return False
        if cores is not None and state.used_cores.get(key, 0) + shape.cores > cores:
            return False
        accelerators = shares.accelerators(*key)
        used = state.used_accelerators.get(key, 0)
        return accelerators is None or used + shape.accelerators <= accelerators

    def choose_vm(self, row: TaskRow, shard: int) -> VmRow | None:
        """Return the best of a few VMs of a shard that can hold a task, or ``None``."""
        state = self._state
        index = state.free_indexes.get(shard)
        if index is None:
            return None
        shape = row.template.shape
        preferences = row.template.preferences
        halls = self._halls(preferences, index.halls(), row.position)
        limit = state.settings.weights.candidates
        candidates = index.candidates(shape, halls, limit, state.rng)
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return min(candidates, key=lambda vm: self._score(vm, row))

    def _halls(self, preferences: Preferences, halls: list[str], position: int) -> list[str]:
        if preferences.halls:
            wanted = [hall for hall in preferences.halls if hall in halls]
            if preferences.required:
                return wanted
            return wanted + [hall for hall in halls if hall not in wanted]
        if len(halls) < 2:  # noqa: PLR2004
            return halls
        if preferences.spread:
            first = self._due_hall(position)
            return sorted(halls, key=lambda hall: (hall != first, hall))
        offset = int(self._state.rng.random() * len(halls))
        return halls[offset:] + halls[:offset]

    def _score(self, vm: VmRow, row: TaskRow) -> float:
        """Return the cost of a VM for a task, from the capacity left over and the preferences.

        The packing term is the share of the VM that stays free. The balance term is the difference
        between the shares of cores and memory that stay free, since an unbalanced remainder
        fits few tasks.
        """
        capacity = vm.facts.capacity
        shape = row.template.shape
        cores = (vm.free_cores - shape.cores) / (capacity.cores or 1)
        memory = (vm.free_memory - shape.memory_mb) / (capacity.memory_mb or 1)
        weight = self._state.settings.weights.packing
        cost = weight * (cores + memory) + (1 - weight) * abs(cores - memory)
        preferences = row.template.preferences
        if preferences.halls and vm.hall not in preferences.halls:
            cost += UNPREFERRED_HALL_PENALTY
        if preferences.spread:
            racks = self._state.job_racks.get(row.job)
            cost += SAME_RACK_PENALTY * (racks[vm.rack] if racks else 0)
            cost += OTHER_HALL_PENALTY * (vm.hall != self._due_hall(row.position))
        return cost

    # -- Starting ----------------------------------------------------------------------------

    def start(self, item: WaitingTask, vm: VmRow) -> None:
        """Charge a VM for a task and start it; if it is not repeatable, log its intent first."""
        state = self._state
        row = item.row
        held = state.held_shards[row.shard]
        self.queue.remove(row.task)
        self.queue.charge(item, _cost(row.template.shape), self._weight(item.organisation))
        self._last_run_number += 1
        run = RunRow(f"{row.task}@{held.epoch:x}.{self._last_run_number:x}", row, vm.vm, state.now)
        run.queued_at = item.queued_at
        state.add_run(run)
        state.meter.count("placements")
        if row.template.repeatable or row.intent_epoch:
            self._send(run, row)
            return
        intent = records.Intent(row.task, held.epoch)
        if not self._journal.write(
            intent, lambda settled, _: self._intent_settled(run, row, settled)
        ):
            state.drop_run(run)
            self.enqueue(row)

    def _intent_settled(self, run: RunRow, row: TaskRow, settled: Settlement) -> None:
        """Send or cancel a start whose intent is settled; nothing has been sent before."""
        state = self._state
        if state.runs.get(run.run) is not run:
            return
        vm = state.vms[run.vm]
        usable = vm.stage is VmStage.USABLE and not vm.missed_polls and not state.is_leaving(vm)
        # The run itself is charged already.
        has_room = not vm.is_overcommitted
        if settled is Settlement.ACCEPTED and usable and has_room and state.has_lease():
            self._send(run, row)
            return
        state.drop_run(run)
        if settled is not Settlement.REJECTED:
            self.enqueue(row)

    def _send(self, run: RunRow, row: TaskRow) -> None:
        state = self._state
        state.emit(
            StartRun(
                vm=run.vm,
                run=run.run,
                organisation=run.organisation,
                template=run.template.name,
                shape=run.shape,
                lease=state.settings.run_lease,
                parameters=row.parameters,
                seconds=0.0 if row.is_service else run.template.expected_seconds,
                not_after=state.lease_until,
            )
        )

    def _weight(self, organisation: str) -> float:
        row = self._state.ledger.documents.get(organisation)
        if row is None or not isinstance(row.document, OrganisationDocument):
            return 1.0
        return row.document.weight

    # -- Other shards ------------------------------------------------------------------------

    def _consider_move(self, item: WaitingTask) -> None:
        """Move a task, through the log, to a shard with enough free capacity."""
        state = self._state
        if item.move_pending or item.has_reservation or state.now < item.next_move_at:
            return
        if not self._journal.healthy:
            return
        item.next_move_at = state.now + MOVE_INTERVAL_S * (0.5 + state.rng.random())
        to = self._own_shard_with_capacity(item.row)
        if to is None:
            to = self._peer_shard_with_capacity(item.row.template.shape)
        if to is None and not self._can_hold(item.row):
            to = self._shard_that_can_hold(item.row)
        if to is None or to == item.row.shard:
            return
        self._move(item, to)

    def _move(self, item: WaitingTask, to: int) -> None:
        move = records.Move(item.row.task, self._state.held_shards[item.row.shard].epoch, to)
        item.move_pending = self._journal.write(move, lambda *_: self._moved(item))
        self._state.meter.count("moves")

    def _moved(self, item: WaitingTask) -> None:
        item.move_pending = False
        self._state.capacity_changes[item.row.shard] += 1

    def _own_shard_with_capacity(self, row: TaskRow) -> int | None:
        state = self._state
        shards = [
            shard for shard in state.held_shards if state.is_active(shard) and shard != row.shard
        ]
        state.rng.shuffle(shards)
        for shard in shards:
            if (
                state.held_shards[shard].recovery_complete
                and self.choose_vm(row, shard) is not None
            ):
                return shard
        return None

    def _peer_shard_with_capacity(self, shape: Shape) -> int | None:
        state = self._state
        with_capacity = {
            peer.name
            for peer in state.peers.values()
            if peer.free_cores >= shape.cores
            and peer.free_accelerators >= shape.accelerators
            and state.now - peer.last_heartbeat_at < state.settings.suspect_after
        }
        shards = [
            row.shard
            for row in state.ledger.shards
            if row.owner and row.owner.name in with_capacity
        ]
        return state.rng.choice(shards) if shards else None

    def _can_hold(self, row: TaskRow) -> bool:
        """Return whether any usable VM of the task's shard could hold it when empty."""
        return any(
            self._fits_empty(vm, row)
            for vm in self._state.shard_vms[row.shard].values()
            if vm.stage is VmStage.USABLE
        )

    def _fits_empty(self, vm: VmRow, row: TaskRow) -> bool:
        preferences = row.template.preferences
        if preferences.required and vm.hall not in preferences.halls:
            return False
        return row.template.shape.fits_within(vm.facts.capacity)

    def _shard_that_can_hold(self, row: TaskRow) -> int | None:
        """Return a shard with a VM that could hold a task when empty, or ``None``.

        Only the capacity, not the load, of other schedulers' VMs is known, so the task may have to
        move again.
        """
        state = self._state
        vms = [vm for vm in state.vms.values() if vm.in_vm_list and not vm.leaving]
        state.rng.shuffle(vms)
        for vm in vms[:MAX_SAMPLED_VMS]:
            unusable = vm.shard in state.held_shards and vm.stage is not VmStage.USABLE
            if vm.shard != row.shard and not unusable and self._fits_empty(vm, row):
                return vm.shard
        return None

    def shards_for(self, shape: Shape, chunks: int) -> list[int]:
        """Return a shard for each chunk of a new job."""
        if chunks == 1:
            return [self._shard_for(shape)]
        state = self._state
        owned = [
            row.shard
            for row in state.ledger.shards
            if row.owner and state.ledger.enrolled_vms[row.shard]
        ]
        if not owned:
            return [self._shard_for(shape)] * chunks
        state.rng.shuffle(owned)
        return [owned[index % len(owned)] for index in range(chunks)]

    def _shard_for(self, shape: Shape) -> int:
        state = self._state
        own = [shard for shard in state.held_shards if state.is_active(shard)]
        state.rng.shuffle(own)
        for shard in own:
            index = state.free_indexes[shard]
            if index.candidates(shape, index.halls(), 1, state.rng):
                return shard
        elsewhere = self._peer_shard_with_capacity(shape)
        if elsewhere is not None:
            return elsewhere
        return own[0] if own else state.rng.randrange(state.settings.shards)


def _cost(shape: Shape) -> float:
    """Return the cost of a shape in weighted fair queueing, in cores."""
    return max(1.0, shape.cores, shape.memory_mb / 4096, 8.0 * shape.accelerators)
