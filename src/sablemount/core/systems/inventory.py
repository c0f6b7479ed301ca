"""Inventory: the VM list, enrolment of VMs in the log, and draining.

The VM list is eventually consistent. An owner therefore enrols a VM in the log before its first
use, and dismisses it once no work of the schedulers can be on it any more. A new owner of the shard
thus knows every VM that it has to poll before it may conclude that a task runs nowhere.
"""

from sablemount.core import records
from sablemount.core.actions import CommandKind, SendPeer
from sablemount.core.documents import Kind
from sablemount.core.events import VmListRead
from sablemount.core.facts import VmFacts
from sablemount.core.messages import DrainNotice
from sablemount.core.rows import AppliedRecord
from sablemount.core.state import State, shard_of
from sablemount.core.systems.journal import Journal
from sablemount.core.tables import RunRow, RunStage, VmRow, VmStage

__all__ = ["Inventory"]

ENROLMENT_TIMEOUT_S = 5.0
"""Time after which an unwritten enrolment or dismissal is withdrawn and decided again."""

SCAN_INTERVAL_S = 0.25
"""Time between two passes over the VM rows."""


class Inventory:
    """Maintains the VM rows, their stages and their enrolment."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self._next_scan = 0.0
        journal.listeners.append(self._applied)
        journal.reset_listeners.append(self._reset)

    # -- Rows --------------------------------------------------------------------------------

    def listed(self, event: VmListRead) -> None:
        """Apply a new VM list to the rows."""
        state = self._state
        listed_vms = set()
        for facts in event.vms:
            listed_vms.add(facts.vm)
            row = self._row(facts)
            row.in_vm_list = True
            row.leaving = facts.leaving
            if row.leaving:
                state.reindex(row)
        for row in state.vms.values():
            if row.in_vm_list and row.vm not in listed_vms:
                row.in_vm_list = False
                state.reindex(row)

    def _row(self, facts: VmFacts) -> VmRow:
        state = self._state
        row = state.vms.get(facts.vm)
        if row is None:
            row = VmRow(facts, shard_of(facts.vm, state.settings.shards))
            state.vms[facts.vm] = row
            state.shard_vms[row.shard][facts.vm] = row
            state.hall_shards.setdefault(row.hall, set()).add(row.shard)
        return row

    def _applied(self, applied: AppliedRecord) -> None:
        body = applied.record.body
        if not applied.accepted:
            return
        if isinstance(body, records.Enroll):
            self._row(body.facts)
        elif isinstance(body, records.Drain):
            # The ledger now holds what the notice anticipated.
            self._state.drain_notices.pop(body.vm, None)

    def _reset(self) -> None:
        for shard in self._state.ledger.enrolled_vms:
            for facts in shard.values():
                self._row(facts)

    # -- Stages ------------------------------------------------------------------------------

    def run(self) -> None:
        """Enrol listed VMs, update the stages, and dismiss removed VMs."""
        state = self._state
        if not state.has_lease() or state.now < self._next_scan:
            return
        self._next_scan = state.now + SCAN_INTERVAL_S
        enrolling = {item.facts.vm for item in self._journal.unsettled(records.Enroll)}
        dismissing = {item.vm for item in self._journal.unsettled(records.Dismiss)}
        for shard in state.held_shards:
            if not state.is_active(shard):
                continue
            enrolled = state.ledger.enrolled_vms[shard]
            for row in list(state.shard_vms[shard].values()):
                if row.vm not in enrolled:
                    if row.vm not in enrolling:
                        self._enrol(row)
                elif row.vm not in dismissing:
                    self._consider_dismissal(row)
                self._update_stage(row, row.vm in enrolled)

    def _enrol(self, row: VmRow) -> None:
        state = self._state
        if self._state.is_leaving(row) or not row.in_vm_list:
            return
        held = state.held_shards[row.shard]
        enrol = records.Enroll(row.facts, row.shard, held.epoch)
        self._journal.write(enrol, None, state.now + ENROLMENT_TIMEOUT_S)

    def _update_stage(self, row: VmRow, enrolled: bool) -> None:
        if row.stage is VmStage.LOST or not row.reconciled or not enrolled:
            return
        stage = VmStage.DRAINING if self._state.is_leaving(row) else VmStage.USABLE
        if stage is not row.stage:
            row.stage = stage
            self._state.meter.count("vm_stage", stage.value)
            self._state.reindex(row)
        if stage is VmStage.DRAINING:
            self._evacuate(row)

    def _evacuate(self, row: VmRow) -> None:
        """Evacuate the runs that can move without losing work; the others finish on the VM."""
        for name in row.runs:
            run = self._state.runs[name]
            if run.stage is not RunStage.RUNNING or name in row.commands:
                continue
            kind = _evacuation_command(run)
            if kind is not None:
                row.commands[name] = kind
                row.urgent_poll = True

    def _consider_dismissal(self, row: VmRow) -> None:
        state = self._state
        if row.in_vm_list or row.stage is not VmStage.LOST or row.requests:
            return
        if any(state.runs[run].stage is not RunStage.LAPSED for run in row.runs):
            return
        held = state.held_shards[row.shard]
        if state.now < held.leases_expire_at:
            return
        dismiss = records.Dismiss(row.vm, row.shard, held.epoch)
        self._journal.write(dismiss, lambda *_: self._remove(row), state.now + ENROLMENT_TIMEOUT_S)

    def _remove(self, row: VmRow) -> None:
        state = self._state
        if row.vm in state.ledger.enrolled_vms[row.shard]:
            return
        for run in list(row.runs):
            state.drop_run(state.runs[run])
        for run in list(row.orphans):
            state.drop_orphan(row, run)
        row.stage = VmStage.UNKNOWN
        state.reindex(row)
        state.vms.pop(row.vm, None)
        state.shard_vms[row.shard].pop(row.vm, None)

    def withhold_new_work(self) -> None:
        """Withhold new work from all VMs until their next report, after a pause of this process."""
        for shard in self._state.held_shards:
            for row in self._state.shard_vms[shard].values():
                row.missed_polls = max(1, row.missed_polls)
                row.urgent_poll = True
                self._state.reindex(row)

    # -- Operators ---------------------------------------------------------------------------

    def drain(self, vm: str, drain: bool) -> None:
        """Apply an operator's drain at once and notify the peers, before the log has settled it."""
        state = self._state
        self._set_drain_notice(vm, drain)
        for name in state.peer_names:
            if name != state.writer.name:
                state.emit(SendPeer(name, DrainNotice(state.writer, vm, drain)))

    def received(self, notice: DrainNotice) -> None:
        """Apply the drain, or the end of a drain, that a peer has sent notice of."""
        self._set_drain_notice(notice.vm, notice.drain)

    def _set_drain_notice(self, vm: str, drain: bool) -> None:
        self._state.drain_notices[vm] = drain
        row = self._state.vms.get(vm)
        if row is not None:
            self._state.reindex(row)


def _evacuation_command(run: RunRow) -> CommandKind | None:
    """Return the command that moves a run off a draining VM, or ``None`` if it has to finish."""
    if not run.template.repeatable:
        return None
    if run.template.checkpointable:
        return CommandKind.CHECKPOINT
    if run.template.kind is Kind.SERVICE:
        return CommandKind.STOP
    return None
