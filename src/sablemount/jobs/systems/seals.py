"""Seals the records of VMs that cannot be reached, so that a later leader knows what runs there.

A VM's record says that the VM may run something, and a leader that finds it waits for that VM
before it starts what an earlier leader accepted. While a VM cannot be reached, nothing new is
started there, so that its record can name the only tasks that may run on it: it is sealed. A later
leader then holds back those tasks alone. Before the VM gets new work, its record is opened again,
and that is in the store first.
"""

from sablemount.jobs.journal import Journal
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.systems.leases import Leases
from sablemount.jobs.vm_row import VmRow

__all__ = ["Seals"]

CHECK_INTERVAL_S = 0.1
"""Seconds between checks for VMs that cannot be reached, or can be again."""
MAX_SEALED_SHARE = 0.5
"""Share of the VMs above which none is sealed: with more of them silent at once, the leader itself
was paused or cut off."""
MIN_SEALED_LIMIT = 2
"""Number of silent VMs up to which they are sealed whatever their share."""
MAX_SEALED_TASKS = 400
"""Largest number of tasks that a record names: some 12 KB."""
MAX_VMS_PER_LINE = 20
"""Largest number of VMs named in one log line."""


class Seals:
    """Seals and opens the records of VMs, and holds tasks back by those of earlier leaders."""

    def __init__(self, state: State, journal: Journal, leases: Leases) -> None:
        self._state = state
        self._journal = journal
        self._leases = leases
        self._timer = IntervalTimer(CHECK_INTERVAL_S)
        self._sealed: dict[str, VmRow] = {}

    def run(self) -> None:
        """Open the records of VMs that report again, and seal those of silent ones."""
        for row in list(self._sealed.values()):
            if not row.sealed or row.last_report_at >= row.sealed_at:
                self._open(row)
        if self._state.store_answers and self._timer.due(self._state.now):
            rows = [row for row in self._state.vms.values() if row.recorded and not row.terminated]
            self._seal_all([row for row in rows if self._is_silent(row)], len(rows))

    def _is_silent(self, row: VmRow) -> bool:
        """Return whether a VM that has reported to this leader cannot be reached any more."""
        age = self._state.now - row.last_report_at
        return row.first_report_at > 0 and age > self._state.settings.max_report_age_s

    def _open(self, row: VmRow) -> None:
        del self._sealed[row.name]
        if row.sealed:
            self._journal.open(row)
            self._log("VM's record opened", row)

    def _seal_all(self, silent: list[VmRow], count: int) -> None:
        if len(silent) > max(MIN_SEALED_LIMIT, MAX_SEALED_SHARE * count):
            return
        for row in silent:
            if not row.sealed and len(row.runs) <= MAX_SEALED_TASKS:
                self._seal(row)
                self._log("VM's record sealed", row)

    def _seal(self, row: VmRow) -> None:
        self._sealed[row.name] = row
        self._journal.seal(row)

    def _log(self, text: str, row: VmRow) -> None:
        extra = {"vm": row.name, "epoch": self._state.epoch, "runs": len(row.runs)}
        self._state.logger.info(text, extra=extra)

    # -- Earlier leaders ---------------------------------------------------------------------

    def load(self, row: VmRow, epoch: int, tasks: tuple[str, ...]) -> None:
        """Load the seal that the leader of an epoch has set, if no other has led since.

        A leader in between may have started work there without changing the record, as those of
        earlier releases do.
        """
        if not epoch or epoch != self._state.epoch - 1:
            return
        row.earlier_tasks = frozenset(tasks)
        row.in_use = False
        self._seal(row)

    def update_held_tasks(self) -> None:
        """Determine which tasks may run on VMs that have not reported, and release the others."""
        held = self._held_tasks()
        if held == self._state.held_tasks:
            return
        if held is not None and not self._state.previous_runs_settled:
            self._log_held(held)
        self._state.held_tasks = held
        self._state.released_at = self._state.now
        self._state.capacity_version += 1

    def _held_tasks(self) -> frozenset[str] | None:
        """Return the tasks that earlier leaders' runs are possible of; ``None`` if any."""
        if self._state.previous_runs_settled:
            return frozenset()
        held: frozenset[str] = frozenset()
        for row in self._leases.unreported():
            if row.earlier_tasks is None:
                return None
            held |= row.earlier_tasks
        return held

    def _log_held(self, held: frozenset[str]) -> None:
        unreported = [row.name for row in self._leases.unreported()]
        extra = {
            "epoch": self._state.epoch,
            "tasks": len(held),
            "unreported": unreported[:MAX_VMS_PER_LINE],
            "leases_left": round(self._state.unreported_leases_end - self._state.now, 3),
        }
        self._state.logger.info("only tasks of silent VMs are held back", extra=extra)
