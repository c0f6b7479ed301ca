"""The state of one scheduler: its tables, its time and its outgoing actions."""

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
    PeerRow,
    RunRow,
    VmRow,
    VmStage,
    task_of,
)

__all__ = ["State", "shard_of"]


def shard_of(vm: str, shard_count: int) -> int:
    """Return the shard that a VM belongs to, the same on every scheduler."""
    return zlib.crc32(vm.encode()) % shard_count


class State:
    """Tables that the systems run over; all times are local monotonic seconds."""

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
        self.last_clean_read = -1e9
        self.lease_until = -1e9
        self.vms: dict[str, VmRow] = {}
        self.shard_vms: list[dict[str, VmRow]] = [{} for _ in range(settings.shards)]
        self.hall_shards: dict[str, set[int]] = {}
        self.free: dict[int, FreeIndex] = {}
        self.slots = SlotIndex()
        self.runs: dict[str, RunRow] = {}
        self.run_of: dict[str, str] = {}
        self.peers: dict[str, PeerRow] = {}
        self.held: dict[int, HeldShard] = {}
        self.used_cores: dict[tuple[str, int], int] = {}
        self.used_accelerators: dict[tuple[str, int], int] = {}
        self.job_racks: dict[str, Counter[str]] = {}
        # Counts what may let a waiting task of a shard fit.
        self.freed = [0] * settings.shards
        self.drain_notices: dict[str, bool] = {}

    # -- Output ------------------------------------------------------------------------------

    def emit(self, action: Action) -> None:
        """Add an action to what the current event gives."""
        self.actions.append(action)

    def note_change(self) -> None:
        """Let every waiting task be looked at again: a document or a share has changed."""
        self.freed = [count + 1 for count in self.freed]

    # -- Ownership ---------------------------------------------------------------------------

    def leased(self) -> bool:
        """Tell whether this scheduler may act on its shards at this moment."""
        return self.now < self.lease_until

    def active(self, shard: int) -> bool:
        """Tell whether new work may go to a shard."""
        held = self.held.get(shard)
        return held is not None and held.state is HoldState.ACTIVE

    def recovered(self, shard: int) -> bool:
        """Tell whether every run that a former owner started is seen or has lapsed."""
        held = self.held[shard]
        if self.now >= held.lapse_at:
            return True
        rows = self.shard_vms[shard]
        return all(vm in rows and rows[vm].reconciled for vm in self.ledger.vms[shard])

    # -- VMs ---------------------------------------------------------------------------------

    def leaving(self, row: VmRow) -> bool:
        """Tell whether a VM is to get no new work: by the list, its own word or an operator's."""
        notice = self.drain_notices.get(row.vm)
        drained = row.vm in self.ledger.drained if notice is None else notice
        return row.leaving or row.said_leaving or drained or not row.listed

    def reindex(self, row: VmRow) -> None:
        """Enter a VM into the indexes, or take it out, as its row now says."""
        # One unanswered poll may hide that the VM is leaving, so it gets nothing new meanwhile.
        usable = (
            row.stage is VmStage.USABLE
            and not row.missed
            and not self.leaving(row)
            and self.active(row.shard)
            and row.ejected_until <= self.now
        )
        index = self.free.get(row.shard)
        if index is not None:
            # More than all may be charged while runs of unknown origin are being told apart.
            if usable and not row.reserved_for and row.free_cores >= 0:
                index.put(row)
            else:
                index.remove(row)
        if usable and not row.was_usable:
            self.freed[row.shard] += 1
        row.was_usable = usable
        if usable and row.free_slots > 0 and len(row.requests) < self.settings.connections:
            self.slots.put(row)
        else:
            self.slots.remove(row)

    # -- Runs --------------------------------------------------------------------------------

    def add_run(self, run: RunRow) -> None:
        """Enter a run and charge its VM and its organisation for it."""
        self.runs[run.run] = run
        self.run_of[run.task] = run.run
        row = self.vms[run.vm]
        row.runs[run.run] = None
        row.charge(run.shape)
        self._spend(run, 1)
        if run.template.preferences.spread:
            self.job_racks.setdefault(run.job, Counter())[row.rack] += 1
        self.reindex(row)

    def reshape(self, run: RunRow, shape: Shape) -> None:
        """Charge a run for another shape, on its worker's word."""
        if shape == run.shape:
            return
        row = self.vms[run.vm]
        row.release(run.shape)
        self._spend(run, -1)
        run.shape = shape
        row.charge(shape)
        self._spend(run, 1)
        self.freed[row.shard] += 1
        self.reindex(row)

    def drop_run(self, run: RunRow) -> None:
        """Take a run out and give back what was charged for it."""
        del self.runs[run.run]
        if self.run_of.get(run.task) == run.run:
            del self.run_of[run.task]
        row = self.vms[run.vm]
        row.runs.pop(run.run, None)
        row.release(run.shape)
        self._spend(run, -1)
        if run.template.preferences.spread:
            self.job_racks[run.job][row.rack] -= 1
        self.freed[row.shard] += 1
        self.reindex(row)

    def _spend(self, run: RunRow, sign: int) -> None:
        key = (run.organisation, run.shard)
        self.spend(key, sign * run.shape.cores, sign * run.shape.accelerators)

    def spend(self, key: tuple[str, int], cores: int, accelerators: int) -> None:
        """Book use of an organisation's share in a shard."""
        self.used_cores[key] = self.used_cores.get(key, 0) + cores
        self.used_accelerators[key] = self.used_accelerators.get(key, 0) + accelerators

    def task_row(self, run: str) -> TaskRow | None:
        """Return the open task that a run belongs to."""
        row = self.ledger.tasks.get(task_of(run))
        return None if row is None or row.finished else row
