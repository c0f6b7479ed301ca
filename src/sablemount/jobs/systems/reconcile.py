"""What VMs say that they run and have ended, against what is charged to them."""

from collections.abc import Callable
from typing import TypeAlias

from sablemount.jobs.actions import EndReport, Heard, RunReport, StopRun
from sablemount.jobs.state import NOT_ORDERED, State
from sablemount.jobs.systems.acks import Acks
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.tables import (
    JobRow,
    JobState,
    RunRow,
    RunState,
    TaskRow,
    TaskState,
    VmRow,
)

__all__ = ["Reconcile"]

DONE = "done"
FAILED = "failed"
NOT_THERE = "not there"
"""Its VM does not list it and can't come to."""
NOT_STARTED = "not started"
NOT_LISTED = "not listed"
ENDS_AT_ONCE = 500
"""A VM lists this many ends at once; with more, a run's end may not be listed yet."""
OVERTAKEN_MS = 2_000.0
"""How far an answer that was overtaken by another can be behind on its VM's clock: a look takes
1.05 s at most."""
TELL_AGAIN = 5.0
"""Seconds between two lines about answers of one VM that are further behind."""
STOP_AGAIN = 0.5
"""Seconds after which a stop is sent again."""


EndListener: TypeAlias = Callable[[str, str, bool, bool], None]
"""Takes a VM, a job, whether its task failed there, and whether others failed elsewhere."""


DoneListener: TypeAlias = Callable[[VmRow, TaskRow, RunRow], None]
"""Takes a run that ended as done, with its VM and its task."""


def _no_run(vm: VmRow, task: TaskRow, run: RunRow) -> None:
    """Take a run that ended as done, and do nothing."""


def _nobody(vm: str, job: str, failed: bool, elsewhere: bool) -> None:
    """Take an end, and do nothing."""


def _pass(vm: str, end: int) -> None:
    """Take a VM that has not listed an end, and do nothing."""


def _nobody_hears(vm: VmRow) -> None:
    """Take a VM, and do nothing."""


def _nothing(run: RunRow) -> None:
    """Take a run, and do nothing."""


def _ignore(outcome: str) -> None:
    """Take an outcome, and do nothing."""


class Reconcile:
    """Takes in the VMs' words."""

    def __init__(self, state: State, lifecycle: Lifecycle, acks: Acks) -> None:
        self._state = state
        self._acks = acks
        self._lifecycle = lifecycle
        self.on_end: EndListener = _nobody
        self.on_done: DoneListener = _no_run
        self.on_outcome: Callable[[str], None] = _ignore
        self.on_unlisted: Callable[[str, int], None] = _pass
        """Takes a VM that has not listed an end, and the last one that it did list."""
        self.on_hearing: Callable[[VmRow], None] = _nobody_hears
        """Takes a VM that lists its ends again."""
        self.on_left: Callable[[RunRow], None] = _nothing
        """Takes a run that has not come to the next life of the VM that it was ordered at."""

    def heard(self, heard: Heard) -> bool:
        """Take a VM's word and tell whether it lists ends that are new."""
        state = self._state
        vm = state.vms.get(heard.vm)
        if vm is None or vm.gone:
            return False
        if heard.clock_ms < vm.clock_ms:
            # Answers on different connections may overtake one another.
            self._behind(vm, heard)
            return False
        vm.clock_ms = heard.clock_ms
        vm.clock_at = state.now
        vm.heard_at = state.now
        self._acks.heard(vm)
        # What it does not list is not there, and what it lists is known from now on.
        state.doubts.pop(vm.name, None)
        if vm.first_heard_at < 0:
            vm.first_heard_at = state.now
            # From here on no former leader can extend its leases.
            vm.lease_end = max(vm.lease_end, state.longest_lease_end())
        fresh = [end for end in heard.ended if end.number > vm.seen_end]
        for end in fresh:
            vm.seen_end = max(vm.seen_end, end.number)
            self._ended(vm, end)
        if fresh and vm.deaf:
            # Its numbers are above what it was told to forget.
            vm.deaf = vm.unproven = False
            state.unproven.pop(vm.name, None)
            state.freed += 1
            self.on_hearing(vm)
        self._listed(vm, heard)
        self._missing(vm, heard)
        if vm.deaf:
            self._stop_all(vm)
        return bool(fresh)

    def _stop_all(self, vm: VmRow) -> None:
        """Stop what runs on a VM whose ends may go unlisted, so that it ends without a result."""
        for run in list(vm.runs.values()):
            # A stop that overtakes the order of a proof keeps it from being there.
            if run.state is not RunState.STOPPING and (run.listed or not run.proof):
                self.stop(run)

    def _behind(self, vm: VmRow, heard: Heard) -> None:
        """Tell of an answer that is further behind than one that was overtaken."""
        now = self._state.now
        behind = vm.clock_ms - heard.clock_ms
        if behind < OVERTAKEN_MS or now - vm.behind_at < TELL_AGAIN:
            return
        vm.behind_at = now
        extra = {
            "vm": vm.name,
            "behind_ms": behind,
            "heard_ago": vm.heard_ago(now),
            "runs": len(heard.running),
            "ends": len(heard.ended),
        }
        self._state.logger.warning("VM's clock is behind, answer passed over", extra=extra)

    # -- Ends --------------------------------------------------------------------------------

    def _ended(self, vm: VmRow, end: EndReport) -> None:
        run = vm.runs.get((end.task, end.run))
        task = self._state.task(end.task)
        self.on_outcome(end.outcome)
        if end.outcome != DONE:
            self._state.run_logger.info(
                "run ended",
                extra={"task": end.task, "run": end.run, "vm": vm.name, "how": end.outcome},
            )
        if task is not None and task.state is not TaskState.DONE:
            self._apply(vm, task, run, end)
        if run is not None:
            self._state.drop_run(run, end.outcome)

    def _apply(self, vm: VmRow, task: TaskRow, run: RunRow | None, end: EndReport) -> None:
        task.last_run = max(task.last_run, end.run)
        self._began(task.step.job)
        if end.saved:
            task.saved = end.saved
            self._state.mark(task.step.job)
        if end.outcome == DONE and not task.step.spec.lasting:
            self.on_end(vm.name, task.step.job.name, False, False)
            if run is not None:
                self.on_done(vm, task, run)
            self._done(task, end.run)
        elif end.outcome == FAILED:
            self.on_end(vm.name, task.step.job.name, True, self._failed_elsewhere(task, vm))
            task.failed_on.add(vm.name)
            task.failed_at = self._state.now
            self._failed(task, end.run)

    @staticmethod
    def _failed_elsewhere(task: TaskRow, vm: VmRow) -> bool:
        return any(other.failed_on - {vm.name} for other in task.step.tasks)

    def _done(self, task: TaskRow, number: int) -> None:
        """One member's end stands for all of its gang's run."""
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            self._lifecycle.task_done(member)
            # What still runs of it is a copy, or a member whose end is on its way.
            for run in list(member.runs):
                if run.number == number and member is not task:
                    self._state.note_end(run, DONE)
                    self._state.orphans[(run.vm, run.task, run.number)] = run
                elif run.number != number:
                    self._state.orphan(run)
            member.runs.clear()

    def _failed(self, task: TaskRow, number: int) -> None:
        step = task.step
        job = step.job
        if step.spec.lasting:
            return
        # A gang fails as a whole, however many of its members tell of it.
        for member in step.tasks if step.spec.gang else [task]:
            member.failed_runs.add(number)
        self._state.mark(job)
        if len(task.failed_runs) >= self._lifecycle.attempts(step.spec, job.record.terms):
            self._state.logger.info("job failed", extra={"job": job.name, "task": task.key})
            self._lifecycle.end(job, JobState.FAILED)

    # -- What runs ---------------------------------------------------------------------------

    def _listed(self, vm: VmRow, heard: Heard) -> None:
        for report in heard.running:
            run = vm.runs.get((report.task, report.run))
            if run is None:
                run = self._adopt(vm, report)
            self._update(vm, run, report)

    def _adopt(self, vm: VmRow, report: RunReport) -> RunRow:
        """Charge a VM for a run that a former leader, or a late order, started."""
        state = self._state
        task = state.task(report.task)
        step = state.step_of(report.task)
        charge = vm.info.capacity if step is None else step.charge
        run = RunRow(report.task, report.run, vm.name, charge, state.now, RunState.RUNNING)
        run.whole = step is None
        run.started_at = state.now
        run.percent_at = state.now
        run.share = None
        wanted = task is not None and task.state is TaskState.WAITING
        if task is not None and wanted:
            state.add_run(task, run)
            self._began(task.step.job)
        else:
            state.charge(run)
            state.orphan(run)
        state.run_logger.info(
            "run found",
            extra={"task": run.task, "run": run.number, "vm": vm.name, "kept": wanted},
        )
        return run

    def _update(self, vm: VmRow, run: RunRow, report: RunReport) -> None:
        now = self._state.now
        run.listed = True
        run.left = ""
        if run.state is RunState.SENT:
            run.state = RunState.RUNNING
            run.started_at = now
            run.percent_at = now
            run.settle_clock = min(run.settle_clock, vm.clock_ms)
            self._run_began(run)
        if report.percent > run.percent:
            run.percent = report.percent
            run.percent_at = now
        run.figure = report.figure
        if report.saved:
            self._saved(run, report.saved)
        if run.state is RunState.STOPPING and now - run.stop_sent_at > STOP_AGAIN:
            self.stop(run)

    def _saved(self, run: RunRow, saved: str) -> None:
        run.saved = saved
        task = self._state.task(run.task)
        if task is not None:
            task.saved = saved

    def stop(self, run: RunRow) -> None:
        """Send the stop of a run, which stays charged until its VM shows that it is gone."""
        if run.state is RunState.NOTING:
            self._state.drop_run(run, NOT_ORDERED)
            return
        run.state = RunState.STOPPING
        run.stop_sent_at = self._state.now
        self._state.emit(StopRun(run.vm, run.task, run.number))

    def _missing(self, vm: VmRow, heard: Heard) -> None:
        """Give up the runs that a VM does not list and that can't come to be there."""
        if len(heard.ended) >= ENDS_AT_ONCE:
            return
        listed = {(report.task, report.run) for report in heard.running}
        for key, run in list(vm.runs.items()):
            if key in listed or heard.clock_ms <= run.settle_clock:
                continue
            self._tell_missing(vm, run)
            self._judge_missing(vm, run)
            self._state.drop_run(run, NOT_THERE)

    def _tell_missing(self, vm: VmRow, run: RunRow) -> None:
        extra = {
            "task": run.task,
            "run": run.number,
            "vm": vm.name,
            "was_listed": run.listed,
            "seen_end": vm.seen_end,
            "acked_end": vm.acked_end,
        }
        self._state.run_logger.info("run not there", extra=extra)

    def _judge_missing(self, vm: VmRow, run: RunRow) -> None:
        """Take what a run that is not there tells; one that has started goes with an end."""
        if run.started_at > 0 and self._state.task(run.task) is not None:
            # Its VM forgets ends before they were seen, as a call for an earlier life has told it.
            self.on_outcome(NOT_LISTED)
            self.on_unlisted(vm.name, vm.seen_end)
        elif run.left:
            self.on_left(run)

    # -- Starts ------------------------------------------------------------------------------

    def started(self, vm_name: str, task: str, number: int, clock_ms: float) -> None:
        """Take the answer that a run has started."""
        vm = self._state.vms.get(vm_name)
        run = None if vm is None else vm.runs.get((task, number))
        if run is None or run.state is not RunState.SENT:
            return
        run.state = RunState.RUNNING
        run.started_at = self._state.now
        run.percent_at = self._state.now
        run.settle_clock = clock_ms
        self._run_began(run)

    def _run_began(self, run: RunRow) -> None:
        task = self._state.task(run.task)
        if task is not None:
            self._began(task.step.job)

    def _began(self, job: JobRow) -> None:
        job.begun = True
        if job.state is JobState.PENDING:
            job.state = JobState.RUNNING
            if job.shown is JobState.PENDING:
                job.shown = JobState.RUNNING

    def not_started(self, vm_name: str, task: str, number: int) -> None:
        """Take a refusal after which a run will certainly not be there."""
        vm = self._state.vms.get(vm_name)
        run = None if vm is None else vm.runs.get((task, number))
        if run is not None and run.state is not RunState.RUNNING:
            self._state.drop_run(run, NOT_STARTED)

    def find_partial_gangs(self) -> None:
        """Find gangs of which a former leader has started some members only.

        Once no run of a former leader can be unseen any more, the members that are missing will not
        come; those that are there would wait for them until they end alone.
        """
        if not self._state.former_settled:
            return
        for job in self._state.live.values():
            if not job.former:
                continue
            for step in job.steps.values():
                if step.spec.gang and 0 < step.waiting < step.open_tasks:
                    numbers = {run.number for task in step.tasks for run in task.runs}
                    self._state.broken_gangs += [(step, number) for number in numbers]

    def stop_broken_gangs(self) -> None:
        """Stop what is left of the gangs of which a member has gone: alone it does no work."""
        for step, number in self._state.broken_gangs:
            for task in step.tasks:
                for run in list(task.runs):
                    if run.number == number and run.state is not RunState.STOPPING:
                        self.stop(run)
        self._state.broken_gangs.clear()

    def stop_orphans(self) -> None:
        """Send the stops that are due."""
        now = self._state.now
        for run in list(self._state.orphans.values()):
            if now - run.stop_sent_at > STOP_AGAIN and run.state is RunState.STOPPING:
                self.stop(run)
