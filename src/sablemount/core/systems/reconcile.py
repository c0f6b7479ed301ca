"""Reconciliation of the runs that a VM reports with the runs that are charged to it.

The capacity of a run is freed once the worker confirms its end; while its state is unknown, it
stays charged.
"""

from collections.abc import Callable

from sablemount.core import records
from sablemount.core.actions import CommandKind
from sablemount.core.documents import Kind, Shape
from sablemount.core.events import PollEnded, RunReport, RunState, StartEnded, StartStatus
from sablemount.core.rows import TaskRow
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal, Settlement
from sablemount.core.systems.renewal import Renewal
from sablemount.core.tables import HoldState, RunRow, RunStage, VmRow, VmStage, task_of
from sablemount.core.verdict import Reason, Verdict

__all__ = ["Reconcile"]

EMPTY_SHAPE = Shape()
ENDED_STATES = frozenset(
    {
        RunState.DONE,
        RunState.FAILED,
        RunState.CHECKPOINTED,
        RunState.STOPPED,
        RunState.LAPSED,
    }
)


class Reconcile:
    """Applies the workers' answers to the tables."""

    def __init__(
        self,
        state: State,
        journal: Journal,
        renewal: Renewal,
        enqueue: Callable[[TaskRow], None],
    ) -> None:
        self._state = state
        self._journal = journal
        self._renewal = renewal
        self._enqueue = enqueue

    # -- Polls -------------------------------------------------------------------------------

    def polled(self, event: PollEnded) -> None:
        """Handle the answer to a poll, or its failure."""
        state = self._state
        row = state.vms.get(event.vm)
        if row is None:
            return
        row.poll_in_flight = False
        held = state.held_shards.get(row.shard)
        if held is None or held.state is HoldState.WAITING or event.sent_at < held.active_at:
            return
        for run in row.runs:
            if state.runs[run].stage is not RunStage.LAPSED and row.stage is not VmStage.LOST:
                self._renewal.extend_lease_bound(state.runs[run])
        if not event.boot:
            self._poll_missed(row)
            return
        self._apply_report(row, event)

    def _poll_missed(self, row: VmRow) -> None:
        state = self._state
        row.missed_polls += 1
        state.meter.count("polls_missed")
        row.urgent_poll = row.missed_polls < state.settings.lost_after
        if row.missed_polls >= state.settings.lost_after and row.stage is not VmStage.LOST:
            row.stage = VmStage.LOST
            state.meter.count("vms_lost")
        state.reindex(row)

    def _apply_report(self, row: VmRow, event: PollEnded) -> None:
        row.missed_polls = 0
        row.reported_leaving = event.leaving
        row.boot = event.boot
        reported = {report.run for report in event.runs}
        row.acknowledge = {run: None for run in row.acknowledge if run in reported}
        for report in event.runs:
            self._apply_run_report(row, report)
        for name in [run for run in row.runs if run not in reported]:
            self._not_reported(self._state.runs[name], event.sent_at)
        for name in [run for run in row.orphans if run not in reported]:
            self._state.drop_orphan(row, name)
        self._reconcile_requests(row, event)
        row.reconciled = True
        if row.stage is VmStage.LOST:
            row.stage = VmStage.UNKNOWN
        self._state.reindex(row)

    def _reconcile_requests(self, row: VmRow, event: PollEnded) -> None:
        """Free the slots of abandoned requests that the worker no longer lists."""
        listed = set(event.requests)
        for request, abandoned_at in list(row.requests.items()):
            if abandoned_at < event.sent_at and request not in listed:
                del row.requests[request]
                row.free_slots += 1
        foreign = sum(1 for request in listed if request not in row.requests)
        row.free_slots += row.foreign_slots - foreign
        row.foreign_slots = foreign

    # -- One run -----------------------------------------------------------------------------

    def _apply_run_report(self, row: VmRow, report: RunReport) -> None:
        run = self._state.runs.get(report.run)
        if run is None:
            run = self._adopt(row, report)
        if run is None:
            return
        if report.state in ENDED_STATES:
            self._ended(run, report.state)
            return
        if run.stage is RunStage.LAPSED:
            # The worker has kept it past its lease; it has to stop, as the task may run elsewhere.
            row.commands[run.run] = CommandKind.STOP
        elif run.stage in (RunStage.STARTING, RunStage.UNCERTAIN):
            self._started(run)
        run.throttled = report.state is RunState.THROTTLED
        command = row.commands.get(run.run)
        if command is CommandKind.RESTORE and run.throttled:
            # The worker may restore the run at any moment, so the full shape stays charged.
            return
        completed = CommandKind.THROTTLE if run.throttled else CommandKind.RESTORE
        if command is completed:
            del row.commands[run.run]
        self._state.resize_run(run, report.shape)
        self._consider_cancel(row, run)

    def _consider_cancel(self, row: VmRow, run: RunRow) -> None:
        task = self._state.ledger.tasks.get(run.task)
        if task is not None and task.cancelled and run.run not in row.commands:
            row.commands[run.run] = CommandKind.STOP
            row.urgent_poll = True

    def _adopt(self, row: VmRow, report: RunReport) -> RunRow | None:
        """Adopt a run that a previous owner started; an unwanted one is still charged."""
        state = self._state
        task = state.open_task(report.run)
        wanted = task is not None and task.shard == row.shard and task.task not in state.run_of
        ended = report.state in ENDED_STATES
        if not wanted or (ended and report.state not in (RunState.DONE, RunState.FAILED)):
            self._disown(row, report, ended)
            return None
        assert task is not None
        run = RunRow(report.run, task, row.vm, state.now)
        run.stage = RunStage.RUNNING
        run.shape = EMPTY_SHAPE if ended else report.shape
        state.add_run(run)
        state.meter.count("runs_adopted")
        return run

    def _disown(self, row: VmRow, report: RunReport, ended: bool) -> None:
        if ended:
            row.acknowledge[report.run] = None
            self._state.drop_orphan(row, report.run)
            return
        if report.run not in row.orphans:
            self._state.meter.count("orphans")
            self._state.add_orphan(row, report.run, report.shape)
            row.urgent_poll = True

    def _not_reported(self, run: RunRow, sent_at: float) -> None:
        """Drop a run that its VM does not report, if the answer is more recent than its start."""
        if run.stage in (RunStage.STARTING, RunStage.ENDED) or sent_at < run.started_at:
            return
        if run.stage is RunStage.UNCERTAIN and sent_at < run.start_settles_at:
            return
        lapsed = run.stage is RunStage.LAPSED
        self._state.drop_run(run)
        self._state.vms[run.vm].commands.pop(run.run, None)
        if not lapsed:
            self._run_lost(run.task)

    def _run_lost(self, name: str) -> None:
        """Requeue or finish a task whose run has certainly ended without a result."""
        state = self._state
        task = state.ledger.tasks.get(name)
        if task is None or task.finished:
            return
        if task.cancelled:
            self._finish(task, Verdict.MAY_HAVE_RUN, Reason.CANCELLED.value)
        elif task.template.repeatable or not task.intent_epoch:
            state.meter.count("tasks_requeued")
            self._enqueue(task)
        else:
            self._finish(task, Verdict.MAY_HAVE_RUN, Reason.VM_LOST.value)

    def _finish(self, task: TaskRow, verdict: Verdict, reason: str) -> None:
        if task.is_service:
            return
        held = self._state.held_shards[task.shard]
        self._journal.write(records.Finish(task.task, held.epoch, verdict, reason))

    def _ended(self, run: RunRow, reported: RunState) -> None:
        state = self._state
        row = state.vms[run.vm]
        row.commands.pop(run.run, None)
        state.resize_run(run, EMPTY_SHAPE)
        if run.stage is RunStage.ENDED:
            if state.open_task(run.run) is None:
                self._release(run)
            return
        if run.stage is RunStage.LAPSED or reported is RunState.LAPSED:
            lapsed = run.stage is RunStage.LAPSED
            self._release(run)
            if not lapsed:
                self._run_lost(run.task)
        elif reported in (RunState.DONE, RunState.FAILED) and run.template.kind is not Kind.SERVICE:
            self._record(run, "" if reported is RunState.DONE else "failed")
        else:
            self._release(run)
            state.meter.count("runs_interrupted", reported.value)
            self._run_lost(run.task)

    def _release(self, run: RunRow) -> None:
        self._state.vms[run.vm].acknowledge[run.run] = None
        self._state.drop_run(run)

    def _record(self, run: RunRow, reason: str) -> None:
        """Write the outcome to the log; the worker reports it until it is acknowledged."""
        state = self._state
        task = state.ledger.tasks.get(run.task)
        if task is None or task.finished:
            self._release(run)
            return
        finish = records.Finish(run.task, state.held_shards[run.shard].epoch, Verdict.DONE, reason)
        if self._journal.write(finish, lambda settled, _: self._recorded(run, settled)):
            run.stage = RunStage.ENDED

    def _recorded(self, run: RunRow, settled: Settlement) -> None:
        if self._state.runs.get(run.run) is not run:
            return
        if settled in (Settlement.ACCEPTED, Settlement.REJECTED):
            self._release(run)
        else:
            # The worker still reports the outcome, so the next poll records it again.
            run.stage = RunStage.RUNNING

    # -- Starts ------------------------------------------------------------------------------

    def start_ended(self, event: StartEnded) -> None:
        """Handle the outcome of a start request."""
        state = self._state
        run = state.runs.get(event.run)
        state.meter.count("starts_ended", event.status.value)
        if run is None or run.stage is not RunStage.STARTING:
            return
        run.started_at = state.now
        if event.status is StartStatus.STARTED:
            self._started(run)
            self._renewal.extend_lease_bound(run)
        elif event.status is StartStatus.UNKNOWN:
            run.stage = RunStage.UNCERTAIN
            run.start_settles_at = state.now + state.settings.settle
            self._renewal.extend_lease_bound(run)
            state.vms[run.vm].urgent_poll = True
        else:
            state.drop_run(run)
            self._requeue(run)

    def _started(self, run: RunRow) -> None:
        state = self._state
        run.stage = RunStage.RUNNING
        run.started_at = state.now
        waited = state.now - run.queued_at
        template = f"{run.organisation}/{run.template.name}"
        within = waited <= run.template.objective.within
        state.meter.record_wait(template, run.template.priority.value, waited, within)

    def _requeue(self, run: RunRow) -> None:
        task = self._state.open_task(run.run)
        if task is not None:
            self._enqueue(task)

    # -- Lapsed runs -------------------------------------------------------------------------

    def run(self) -> None:
        """Mark the runs of lost VMs as lapsed once their leases have certainly expired."""
        state = self._state
        for shard in state.held_shards:
            for row in state.shard_vms[shard].values():
                if row.stage is VmStage.LOST and row.runs:
                    self._lapse(row)

    def _lapse(self, row: VmRow) -> None:
        state = self._state
        for name in list(row.runs):
            run = state.runs[name]
            may_lapse = run.stage not in (RunStage.LAPSED, RunStage.ENDED, RunStage.STARTING)
            if may_lapse and state.now >= run.lease_ends_by:
                run.stage = RunStage.LAPSED
                if state.run_of.get(run.task) == name:
                    del state.run_of[run.task]
                self._run_lost(task_of(name))
