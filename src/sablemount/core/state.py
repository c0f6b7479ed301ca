"""State of one scheduler: its tables, its current time and its outgoing actions."""

import random
import zlib
from collections import Counter

from sablemount.core.actions import Action
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Shape
from sablemount.core.index import FreeIndex, SlotIndex
from sablemount.core.ledger import Ledger
from sablemount.core.meter import Meter
from sablemount.core.records import Writer
from sablemount.core.rows import TaskRow
from sablemount.core.tables import (
    HeldShard,
    HoldState,
    Orphan,
    PeerRow,
    RunRow,
    VmRow,
    VmStage,
    task_of,
)

__all__ = ["State", "shard_of"]


def shard_of(vm: str, shard_count: int) -> int:
    """Return the shard of a VM; every scheduler computes the same one."""
    return zlib.crc32(vm.encode()) % shard_count


class State:
    """Tables that the systems read and change; all times are local monotonic seconds.

    The scheduler may act on its shards while ``now`` is below ``lease_until``. ``held_shards``
    contains the shards that it owns according to the ledger, and ``run_of`` maps a task to its
    current run. ``last_caught_up_at`` is the time at which the latest read was sent after which
    the ledger had reached the end of the log. ``drain_notices`` maps a VM to ``True`` if an
    operator has drained it and ``False`` if it was returned to use, until the log has settled this.
    A notice takes precedence over the ledger.
    """

    def __init__(
        self,
        settings: CoreSettings,
        writer: Writer,
        hall: str,
        peers: tuple[str, ...],
        rng: random.Random,
        meter: Meter,
        now: float,
    ) -> None:
        self.settings = settings
        self.writer = writer
        self.hall = hall
        self.peer_names = peers
        self.rng = rng
        self.meter = meter
        self.now = now
        self.actions: list[Action] = []
        self.ledger = Ledger(settings.shards)
        self.ready = False
        self.stopping = False
        self.joined_at = 0.0
        self.last_caught_up_at = -1e9
        self.lease_until = -1e9
        self.vms: dict[str, VmRow] = {}
        self.shard_vms: list[dict[str, VmRow]] = [{} for _ in range(settings.shards)]
        self.hall_shards: dict[str, set[int]] = {}
        self.free_indexes: dict[int, FreeIndex] = {}
        self.slot_index = SlotIndex()
        self.runs: dict[str, RunRow] = {}
        self.run_of: dict[str, str] = {}
        self.peers: dict[str, PeerRow] = {}
        self.held_shards: dict[int, HeldShard] = {}
        self.used_cores: dict[tuple[str, int], int] = {}
        self.used_accelerators: dict[tuple[str, int], int] = {}
        self.job_racks: dict[str, Counter[str]] = {}
        # Per shard, the number of changes after which a waiting task may fit.
        self.capacity_changes = [0] * settings.shards
        self.drain_notices: dict[str, bool] = {}

    # -- Output ------------------------------------------------------------------------------

    def emit(self, action: Action) -> None:
        """Add an action to those that the current event returns."""
        self.actions.append(action)

    def retry_all_waiting(self) -> None:
        """Have all waiting tasks tried again, because a document or a quota share has changed."""
        self.capacity_changes = [count + 1 for count in self.capacity_changes]

    # -- Ownership ---------------------------------------------------------------------------

    def has_lease(self) -> bool:
        """Return whether the lease to act on the held shards is valid at this moment."""
        return self.now < self.lease_until

    def is_active(self, shard: int) -> bool:
        """Return whether new work may be placed in a shard."""
        held = self.held_shards.get(shard)
        return held is not None and held.state is HoldState.ACTIVE

    def previous_runs_known(self, shard: int) -> bool:
        """Return whether all runs of previous owners are known or their leases have expired."""
        held = self.held_shards[shard]
        if self.now >= held.leases_expire_at:
            return True
        rows = self.shard_vms[shard]
        return all(vm in rows and rows[vm].reconciled for vm in self.ledger.enrolled_vms[shard])

    # -- VMs ---------------------------------------------------------------------------------

    def is_leaving(self, row: VmRow) -> bool:
        """Return whether a VM must not get new work.

        That is so if the VM list, the VM itself or an operator says that it is leaving, or if it
        is no longer in the VM list.
        """
        notice = self.drain_notices.get(row.vm)
        drained = row.vm in self.ledger.drained if notice is None else notice
        return row.leaving or row.reported_leaving or drained or not row.in_vm_list

    def reindex(self, row: VmRow) -> None:
        """Add a VM to the indexes or remove it from them, according to its row."""
        # The answer to a missed poll may have said that the VM is leaving, so nothing new is sent.
        usable = (
            row.stage is VmStage.USABLE
            and not row.missed_polls
            and not self.is_leaving(row)
            and self.is_active(row.shard)
            and row.ejected_until <= self.now
        )
        index = self.free_indexes.get(row.shard)
        if index is not None:
            # Runs of unknown origin may be charged beyond the capacity until they are identified.
            if usable and not row.reserved_for and row.free_cores >= 0:
                index.put(row)
            else:
                index.remove(row)
        if usable and not row.was_usable:
            self.capacity_changes[row.shard] += 1
        row.was_usable = usable
        if usable and row.free_slots > 0 and len(row.requests) < self.settings.connections:
            self.slot_index.put(row)
        else:
            self.slot_index.remove(row)

    # -- Runs --------------------------------------------------------------------------------

    def add_run(self, run: RunRow) -> None:
        """Add a run, and charge its VM and its organisation for it."""
        self.runs[run.run] = run
        self.run_of[run.task] = run.run
        row = self.vms[run.vm]
        row.runs[run.run] = None
        row.charge(run.shape)
        self._charge_quota(run, 1)
        if run.template.preferences.spread:
            self.job_racks.setdefault(run.job, Counter())[row.rack] += 1
        self.reindex(row)

    def resize_run(self, run: RunRow, shape: Shape) -> None:
        """Charge a run for another shape, as reported by its worker."""
        if shape == run.shape:
            return
        row = self.vms[run.vm]
        row.release(run.shape)
        self._charge_quota(run, -1)
        run.shape = shape
        row.charge(shape)
        self._charge_quota(run, 1)
        self.capacity_changes[row.shard] += 1
        self.reindex(row)

    def drop_run(self, run: RunRow) -> None:
        """Remove a run and release what was charged for it."""
        del self.runs[run.run]
        if self.run_of.get(run.task) == run.run:
            del self.run_of[run.task]
        row = self.vms[run.vm]
        row.runs.pop(run.run, None)
        row.release(run.shape)
        self._charge_quota(run, -1)
        if run.template.preferences.spread:
            self.job_racks[run.job][row.rack] -= 1
        self.capacity_changes[row.shard] += 1
        self.reindex(row)

    def add_orphan(self, row: VmRow, run: str, shape: Shape) -> None:
        """Charge a VM and the run's organisation for a run that belongs to no open task."""
        task = self.ledger.tasks.get(task_of(run))
        orphan = Orphan(shape, "" if task is None else task.template.organisation)
        row.orphans[run] = orphan
        row.charge(shape)
        self.add_usage((orphan.organisation, row.shard), shape.cores, shape.accelerators)

    def drop_orphan(self, row: VmRow, run: str) -> None:
        """Remove an orphan, if the VM has it, and release what was charged for it."""
        orphan = row.orphans.pop(run, None)
        if orphan is None:
            return
        shape = orphan.shape
        row.release(shape)
        self.add_usage((orphan.organisation, row.shard), -shape.cores, -shape.accelerators)
        self.capacity_changes[row.shard] += 1

    def _charge_quota(self, run: RunRow, sign: int) -> None:
        key = (run.organisation, run.shard)
        self.add_usage(key, sign * run.shape.cores, sign * run.shape.accelerators)

    def add_usage(self, key: tuple[str, int], cores: int, accelerators: int) -> None:
        """Add to the use of an organisation's quota share in a shard."""
        self.used_cores[key] = self.used_cores.get(key, 0) + cores
        self.used_accelerators[key] = self.used_accelerators.get(key, 0) + accelerators

    def open_task(self, run: str) -> TaskRow | None:
        """Return the task of a run, or ``None`` if it is finished or unknown."""
        row = self.ledger.tasks.get(task_of(run))
        return None if row is None or row.finished else row
