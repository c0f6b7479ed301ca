"""Inventory: the VM list, enrolment in the log, and who is leaving.

The list lags. So an owner writes a VM into the log before its first use, and strikes it out when
nothing of ours can be on it any more. A successor thereby knows every VM that it must ask before
it may conclude that a task runs nowhere.
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

ENROL_DEADLINE = 5.0
"""How long an enrolment waits to be written before it is considered anew, in seconds."""

RUN_INTERVAL = 0.25
"""Time between two runs over the VM rows, in seconds."""


class Inventory:
    """Keeps the VM rows, their stages and their enrolment."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self._next_run = 0.0
        journal.listeners.append(self._applied)
        journal.reset_listeners.append(self._reset)

    # -- Rows --------------------------------------------------------------------------------

    def listed(self, event: VmListRead) -> None:
        """Take the VM list."""
        state = self._state
        seen = set()
        for facts in event.vms:
            seen.add(facts.vm)
            row = self._row(facts)
            row.in_vm_list = True
            row.leaving = facts.leaving
            if row.leaving:
                state.reindex(row)
        for row in state.vms.values():
            if row.in_vm_list and row.vm not in seen:
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
            # The log has settled it; a notice has done its work.
            self._state.drain_notices.pop(body.vm, None)

    def _reset(self) -> None:
        for shard in self._state.ledger.enrolled_vms:
            for facts in shard.values():
                self._row(facts)

    # -- Stages ------------------------------------------------------------------------------

    def run(self) -> None:
        """Enrol, settle the stages, and strike out what is gone."""
        state = self._state
        if not state.has_lease() or state.now < self._next_run:
            return
        self._next_run = state.now + RUN_INTERVAL
        enrolling = {item.facts.vm for item in self._journal.waiting(records.Enroll)}
        dismissing = {item.vm for item in self._journal.waiting(records.Dismiss)}
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
                self._settle_stage(row, row.vm in enrolled)

    def _enrol(self, row: VmRow) -> None:
        state = self._state
        if self._state.is_leaving(row) or not row.in_vm_list:
            return
        held = state.held_shards[row.shard]
        enrol = records.Enroll(row.facts, row.shard, held.epoch)
        self._journal.write(enrol, None, state.now + ENROL_DEADLINE)

    def _settle_stage(self, row: VmRow, enrolled: bool) -> None:
        if row.stage is VmStage.LOST or not row.reconciled or not enrolled:
            return
        stage = VmStage.DRAINING if self._state.is_leaving(row) else VmStage.USABLE
        if stage is not row.stage:
            row.stage = stage
            self._state.meter.count("vm_stage", stage.value)
            self._state.reindex(row)
        if stage is VmStage.DRAINING:
            self._move_away(row)

    def _move_away(self, row: VmRow) -> None:
        """Move what can be moved without losing work; all else finishes where it is."""
        for name in row.runs:
            run = self._state.runs[name]
            if run.stage is not RunStage.RUNNING or name in row.commands:
                continue
            kind = _way_out(run)
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
        self._journal.write(dismiss, lambda *_: self._forget(row), state.now + ENROL_DEADLINE)

    def _forget(self, row: VmRow) -> None:
        state = self._state
        if row.vm in state.ledger.enrolled_vms[row.shard]:
            return
        for run in list(row.runs):
            state.drop_run(state.runs[run])
        row.stage = VmStage.UNKNOWN
        state.reindex(row)
        state.vms.pop(row.vm, None)
        state.shard_vms[row.shard].pop(row.vm, None)

    def doubt_all(self) -> None:
        """Give no VM new work until it is heard again: this process itself has been paused."""
        for shard in self._state.held_shards:
            for row in self._state.shard_vms[shard].values():
                row.missed_polls = max(1, row.missed_polls)
                row.urgent_poll = True
                self._state.reindex(row)

    # -- Operators ---------------------------------------------------------------------------

    def drain(self, vm: str, drain: bool) -> None:
        """Act on an operator's word at once, and tell the peers, while the log settles it."""
        state = self._state
        self._note(vm, drain)
        for name in state.peer_names:
            if name != state.writer.name:
                state.emit(SendPeer(name, DrainNotice(state.writer, vm, drain)))

    def received(self, notice: DrainNotice) -> None:
        """Take a peer's notice of an operator's word."""
        self._note(notice.vm, notice.drain)

    def _note(self, vm: str, drain: bool) -> None:
        self._state.drain_notices[vm] = drain
        row = self._state.vms.get(vm)
        if row is not None:
            self._state.reindex(row)


def _way_out(run: RunRow) -> CommandKind | None:
    if not run.template.repeatable:
        return None
    if run.template.checkpointable:
        return CommandKind.CHECKPOINT
    if run.template.kind is Kind.SERVICE:
        return CommandKind.STOP
    return None
