"""Reconciling: what a VM says that it runs, against what is charged for it.

Whatever a worker confirms as ended is free; whatever cannot be told stays charged.
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

NOTHING = Shape()
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
    """Takes the workers' answers into the tables."""

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
        """Take the answer to a poll, or its absence."""
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
                self._renewal.note_renewal(state.runs[run])
        if not event.boot:
            self._missed(row)
            return
        self._take(row, event)

    def _missed(self, row: VmRow) -> None:
        state = self._state
        row.missed_polls += 1
        state.meter.count("polls_missed")
        row.urgent_poll = row.missed_polls < state.settings.lost_after
        if row.missed_polls >= state.settings.lost_after and row.stage is not VmStage.LOST:
            row.stage = VmStage.LOST
            state.meter.count("vms_lost")
        state.reindex(row)

    def _take(self, row: VmRow, event: PollEnded) -> None:
        row.missed_polls = 0
        row.reported_leaving = event.leaving
        row.boot = event.boot
        reported = {report.run for report in event.runs}
        row.acknowledge = {run: None for run in row.acknowledge if run in reported}
        for report in event.runs:
            self._report(row, report)
        for name in [run for run in row.runs if run not in reported]:
            self._absent(self._state.runs[name], event.sent_at)
        for name in [run for run in row.orphans if run not in reported]:
            row.release(row.orphans.pop(name))
        self._requests(row, event)
        row.reconciled = True
        if row.stage is VmStage.LOST:
            row.stage = VmStage.UNKNOWN
        self._state.reindex(row)

    def _requests(self, row: VmRow, event: PollEnded) -> None:
        """Free the slots of requests that were given up and that the worker no longer has."""
        listed = set(event.requests)
        for request, given_up in list(row.requests.items()):
            if given_up < event.sent_at and request not in listed:
                del row.requests[request]
                row.free_slots += 1
        foreign = sum(1 for request in listed if request not in row.requests)
        row.free_slots += row.foreign_slots - foreign
        row.foreign_slots = foreign

    # -- One run -----------------------------------------------------------------------------

    def _report(self, row: VmRow, report: RunReport) -> None:
        run = self._state.runs.get(report.run)
        if run is None:
            run = self._adopt(row, report)
        if run is None:
            return
        if report.state in ENDED_STATES:
            self._ended(run, report.state)
            return
        if run.stage is RunStage.LAPSED:
            # The worker has run it past its lease: it must go, the task may be elsewhere.
            row.commands[run.run] = CommandKind.STOP
        elif run.stage in (RunStage.STARTING, RunStage.UNCERTAIN):
            self._started(run)
        run.throttled = report.state is RunState.THROTTLED
        command = row.commands.get(run.run)
        if command is CommandKind.RESTORE and run.throttled:
            # The worker may act on the command at any moment, so the full shape stays charged.
            return
        done = CommandKind.THROTTLE if run.throttled else CommandKind.RESTORE
        if command is done:
            del row.commands[run.run]
        self._state.resize_run(run, report.shape)
        self._consider_cancel(row, run)

    def _consider_cancel(self, row: VmRow, run: RunRow) -> None:
        task = self._state.ledger.tasks.get(run.task)
        if task is not None and task.cancelled and run.run not in row.commands:
            row.commands[run.run] = CommandKind.STOP
            row.urgent_poll = True

    def _adopt(self, row: VmRow, report: RunReport) -> RunRow | None:
        """Take over a run that a former owner started; it is charged whatever it is."""
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
        run.shape = NOTHING if ended else report.shape
        state.add_run(run)
        state.meter.count("runs_adopted")
        return run

    def _disown(self, row: VmRow, report: RunReport, ended: bool) -> None:
        if ended:
            row.acknowledge[report.run] = None
            if report.run in row.orphans:
                row.release(row.orphans.pop(report.run))
            return
        if report.run not in row.orphans:
            self._state.meter.count("orphans")
            row.orphans[report.run] = report.shape
            row.charge(report.shape)
            row.urgent_poll = True

    def _absent(self, run: RunRow, sent_at: float) -> None:
        """Take it that a run is not on its VM, if the answer is newer than its start."""
        if run.stage in (RunStage.STARTING, RunStage.ENDED) or sent_at < run.started_at:
            return
        if run.stage is RunStage.UNCERTAIN and sent_at < run.start_settles_at:
            return
        lapsed = run.stage is RunStage.LAPSED
        self._state.drop_run(run)
        self._state.vms[run.vm].commands.pop(run.run, None)
        if not lapsed:
            self._lost(run.task)

    def _lost(self, name: str) -> None:
        """Decide what becomes of a task whose run is certainly over without a result."""
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

    def _ended(self, run: RunRow, told: RunState) -> None:
        state = self._state
        row = state.vms[run.vm]
        row.commands.pop(run.run, None)
        state.resize_run(run, NOTHING)
        if run.stage is RunStage.ENDED:
            if state.open_task(run.run) is None:
                self._let_go(run)
            return
        if run.stage is RunStage.LAPSED or told is RunState.LAPSED:
            lapsed = run.stage is RunStage.LAPSED
            self._let_go(run)
            if not lapsed:
                self._lost(run.task)
        elif told in (RunState.DONE, RunState.FAILED) and run.template.kind is not Kind.SERVICE:
            self._record(run, "" if told is RunState.DONE else "failed")
        else:
            self._let_go(run)
            state.meter.count("runs_interrupted", told.value)
            self._lost(run.task)

    def _let_go(self, run: RunRow) -> None:
        self._state.vms[run.vm].acknowledge[run.run] = None
        self._state.drop_run(run)

    def _record(self, run: RunRow, reason: str) -> None:
        """Write the outcome; the worker keeps its word until the log has it."""
        state = self._state
        task = state.ledger.tasks.get(run.task)
        if task is None or task.finished:
            self._let_go(run)
            return
        finish = records.Finish(run.task, state.held_shards[run.shard].epoch, Verdict.DONE, reason)
        if self._journal.write(finish, lambda settled, _: self._recorded(run, settled)):
            run.stage = RunStage.ENDED

    def _recorded(self, run: RunRow, settled: Settlement) -> None:
        if self._state.runs.get(run.run) is not run:
            return
        if settled in (Settlement.ACCEPTED, Settlement.REJECTED):
            self._let_go(run)
        else:
            # The worker still tells the outcome, so the next poll records it again.
            run.stage = RunStage.RUNNING

    # -- Starts ------------------------------------------------------------------------------

    def start_ended(self, event: StartEnded) -> None:
        """Take the outcome of a start command."""
        state = self._state
        run = state.runs.get(event.run)
        state.meter.count("starts_ended", event.status.value)
        if run is None or run.stage is not RunStage.STARTING:
            return
        run.started_at = state.now
        if event.status is StartStatus.STARTED:
            self._started(run)
            self._renewal.note_renewal(run)
        elif event.status is StartStatus.UNKNOWN:
            run.stage = RunStage.UNCERTAIN
            run.start_settles_at = state.now + state.settings.settle
            self._renewal.note_renewal(run)
            state.vms[run.vm].urgent_poll = True
        else:
            state.drop_run(run)
            self._again(run)

    def _started(self, run: RunRow) -> None:
        state = self._state
        run.stage = RunStage.RUNNING
        run.started_at = state.now
        waited = state.now - run.queued_at
        template = f"{run.organisation}/{run.template.name}"
        within = waited <= run.template.objective.within
        state.meter.record_wait(template, run.template.priority.value, waited, within)

    def _again(self, run: RunRow) -> None:
        task = self._state.open_task(run.run)
        if task is not None:
            self._enqueue(task)

    # -- Lapses ------------------------------------------------------------------------------

    def run(self) -> None:
        """Let the runs of lost VMs lapse once their leases are certainly over."""
        state = self._state
        for shard in state.held_shards:
            for row in state.shard_vms[shard].values():
                if row.stage is VmStage.LOST and row.runs:
                    self._lapse(row)

    def _lapse(self, row: VmRow) -> None:
        state = self._state
        for name in list(row.runs):
            run = state.runs[name]
            over = run.stage not in (RunStage.LAPSED, RunStage.ENDED, RunStage.STARTING)
            if over and state.now >= run.lease_ends_by:
                run.stage = RunStage.LAPSED
                if state.run_of.get(run.task) == name:
                    del state.run_of[run.task]
                self._lost(task_of(name))
