"""Recovery: queues the tasks of a newly held shard, and the tasks that arrive in it later."""

from sablemount.core import records
from sablemount.core.actions import CommandKind
from sablemount.core.rows import AppliedRecord, TaskRow
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.placement import Placement
from sablemount.core.tables import HeldShard, HoldState
from sablemount.core.verdict import Reason, Verdict

__all__ = ["Recovery"]


class Recovery:
    """Completes the recovery of held shards, once it is known which tasks run in them."""

    def __init__(self, state: State, journal: Journal, placement: Placement) -> None:
        self._state = state
        self._journal = journal
        self._placement = placement
        journal.listeners.append(self._applied)
        journal.reset_listeners.append(self._reset)

    def run(self) -> None:
        """Complete the recovery of each shard whose previous runs are known.

        That is so once all its VMs have answered, or the leases of previous owners have expired.
        """
        state = self._state
        for held in state.held_shards.values():
            if held.recovery_complete or held.state is not HoldState.ACTIVE:
                continue
            if state.previous_runs_known(held.shard):
                self._complete_recovery(held)

    def _complete_recovery(self, held: HeldShard) -> None:
        state = self._state
        held.recovery_complete = True
        state.capacity_changes[held.shard] += 1
        state.meter.count("shards_opened")
        self._enqueue_all(held)

    def _enqueue_all(self, held: HeldShard) -> None:
        """Queue every open task of a shard that is neither running nor queued."""
        state = self._state
        for name in list(state.ledger.open_tasks[held.shard]):
            row = state.ledger.tasks[name]
            if name in state.run_of or name in self._placement.queue:
                continue
            if row.intent_epoch:
                # A previous owner was about to start it, and no VM reports it, so it may have run.
                verdict = Verdict.MAY_HAVE_RUN
                reason = Reason.VM_LOST.value
                self._journal.write(records.Finish(name, held.epoch, verdict, reason))
            else:
                self._placement.enqueue(row)

    def _reset(self) -> None:
        """Adopt a newly installed ledger: its rows replace those in the queue."""
        self._placement.replace_rows()
        for held in self._state.held_shards.values():
            if held.recovery_complete:
                self._enqueue_all(held)

    # -- Tasks that arrive later -------------------------------------------------------------

    def _applied(self, applied: AppliedRecord) -> None:
        if not applied.accepted:
            return
        body = applied.record.body
        ledger = self._state.ledger
        if isinstance(body, records.Accept):
            for name in ledger.task_names(body):
                self._consider_enqueueing(ledger.tasks[name], new=True)
        elif isinstance(body, records.Move | records.Cancel):
            row = ledger.tasks[body.task]
            self._consider_enqueueing(row)
            self._stop_cancelled(row)
        elif isinstance(body, records.Publish):
            self._state.retry_all_waiting()
            for row in ledger.replicas_of(body.key):
                self._consider_enqueueing(row)
                self._stop_cancelled(row)
        elif isinstance(body, records.QuotaMove):
            self._state.retry_all_waiting()

    def _consider_enqueueing(self, row: TaskRow, new: bool = False) -> None:
        held = self._state.held_shards.get(row.shard)
        if held is None or row.finished or not (held.recovery_complete or new):
            return
        if row.task not in self._state.run_of:
            self._placement.enqueue(row, new)

    def _stop_cancelled(self, row: TaskRow) -> None:
        state = self._state
        name = state.run_of.get(row.task)
        if not row.cancelled or name is None:
            return
        vm = state.vms[state.runs[name].vm]
        vm.commands[name] = CommandKind.STOP
        vm.urgent_poll = True
