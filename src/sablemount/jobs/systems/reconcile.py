"""Compares what VMs report, as running and as completed, with the runs that are charged to them."""

from collections.abc import Callable
from typing import TypeAlias

from sablemount.jobs.actions import CompletionReport, RunReport, StopRun, VmReport
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.state import NOT_REQUESTED, State
from sablemount.jobs.systems.acks import Acks
from sablemount.jobs.systems.leases import Leases
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.tables import JobRow, JobState, TaskRow, TaskState
from sablemount.jobs.vm_row import VmRow

__all__ = ["ATTEMPTS_USED_UP", "Reconcile"]

DONE = "done"
FAILED = "failed"
NOT_THERE = "not there"
"""Outcome of a run that its VM does not list and that can no longer arrive there."""
NOT_STARTED = "not started"
NOT_LISTED = "not listed"
NOT_WANTED = "found, and not wanted"
DONE_BY_OTHER_RUN = "its task is done by another run"
ATTEMPTS_USED_UP = "attempts used up"
"""Why a job failed: a task of it has failed as often as its queue allows."""
MAX_LISTED_COMPLETIONS = 500
"""Most completions that a VM lists at once; at this number, a run's completion may not be listed
yet."""
MAX_OVERTAKEN_MS = 2_000.0
"""How far behind on its VM's clock an answer overtaken by another one can be: a poll takes 1.05 s
at most."""
LOG_INTERVAL_S = 5.0
"""Minimum time between two log lines about answers of one VM that are further behind."""
STOP_RETRY_S = 0.5
"""Seconds after which a stop is sent again."""


CompletionListener: TypeAlias = Callable[[str, str, bool, bool], None]
"""Called with a VM, a job, whether its task failed there, and whether others failed elsewhere."""


SuccessListener: TypeAlias = Callable[[VmRow, TaskRow, RunRow], None]
"""Called with the VM, the task and the run of a successful completion."""


def _ignore_success(vm: VmRow, task: TaskRow, run: RunRow) -> None:
    """Ignore a successful run."""


def _ignore_completion(vm: str, job: str, failed: bool, elsewhere: bool) -> None:
    """Ignore a completion."""


def _ignore_missing(vm: str, last_listed: int) -> None:
    """Ignore a missing completion."""


def _ignore_vm(vm: VmRow) -> None:
    """Ignore a VM."""


def _ignore_run(run: RunRow) -> None:
    """Ignore a run."""


def _ignore_outcome(outcome: str) -> None:
    """Ignore an outcome."""


class Reconcile:
    """Processes the reports of VMs."""

    def __init__(self, state: State, lifecycle: Lifecycle, acks: Acks, leases: Leases) -> None:
        self._state = state
        self._leases = leases
        self._acks = acks
        self._lifecycle = lifecycle
        self.on_completion: CompletionListener = _ignore_completion
        self.on_success: SuccessListener = _ignore_success
        self.on_outcome: Callable[[str], None] = _ignore_outcome
        self.on_completion_missing: Callable[[str, int], None] = _ignore_missing
        """Called with a VM that has not listed a completion, and the last number it did list."""
        self.on_completions_listed: Callable[[VmRow], None] = _ignore_vm
        """Called with a VM that lists its completions again."""
        self.on_run_lost: Callable[[RunRow], None] = _ignore_run
        """Called with a run that has not reached the next incarnation of the VM it was requested
        at."""

    def process_report(self, vm_report: VmReport) -> bool:
        """Process a VM's report; return whether it lists new completions."""
        state = self._state
        vm = state.vms.get(vm_report.vm)
        if vm is None or vm.terminated:
            return False
        if vm_report.clock_ms < vm.clock_ms:
            # Answers on different connections may overtake one another.
            self._log_outdated(vm, vm_report)
            return False
        vm.clock_ms = vm_report.clock_ms
        vm.clock_read_at = state.now
        vm.last_report_at = state.now
        self._acks.report_received(vm)
        # Uncertain runs that the report does not list are not there; those that it lists are known
        # from now on.
        state.recorded_suspects.pop(vm.name, None)
        if vm.first_report_at < 0:
            vm.first_report_at = state.now
            vm.first_clock_ms = vm_report.clock_ms
            self._leases.reported_first(vm)
        new = [
            completion
            for completion in vm_report.completions
            if completion.number > vm.last_seen_completion
        ]
        for completion in new:
            vm.last_seen_completion = max(vm.last_seen_completion, completion.number)
            self._run_completed(vm, completion)
        if new and vm.completions_unreliable:
            # It has passed the number up to which it was told to forget completions.
            vm.completions_unreliable = vm.unverified = False
            state.unverified_vms.pop(vm.name, None)
            state.capacity_version += 1
            self.on_completions_listed(vm)
        self._process_running(vm, vm_report)
        self._drop_missing(vm, vm_report)
        if vm.completions_unreliable:
            self._stop_all(vm)
        return bool(new)

    def _stop_all(self, vm: VmRow) -> None:
        """Stop the runs on a VM with unreliable completions, so that they end without a result."""
        for run in list(vm.runs.values()):
            # A stop that overtakes the start request of a probe would keep the probe from running.
            if run.state is not RunState.STOPPING and (run.listed or not run.is_probe):
                self.stop(run)

    def _log_outdated(self, vm: VmRow, vm_report: VmReport) -> None:
        """Log an answer that is further behind than an overtaken one can be."""
        now = self._state.now
        behind = vm.clock_ms - vm_report.clock_ms
        if behind < MAX_OVERTAKEN_MS or now - vm.behind_logged_at < LOG_INTERVAL_S:
            return
        vm.behind_logged_at = now
        extra = {
            "vm": vm.name,
            "behind_ms": behind,
            "heard_ago": vm.report_age(now),
            "runs": len(vm_report.running),
            "ends": len(vm_report.completions),
        }
        self._state.logger.warning("VM's clock is behind, answer ignored", extra=extra)

    # -- Completions -------------------------------------------------------------------------

    def _run_completed(self, vm: VmRow, completion: CompletionReport) -> None:
        run = vm.runs.get((completion.task, completion.run))
        task = self._state.task(completion.task)
        self.on_outcome(completion.outcome)
        if completion.outcome != DONE:
            self._state.run_logger.info(
                "run ended",
                extra={
                    "task": completion.task,
                    "run": completion.run,
                    "vm": vm.name,
                    "how": completion.outcome,
                },
            )
        if task is not None and task.state is not TaskState.DONE:
            self._apply_completion(vm, task, run, completion)
        if run is not None:
            self._state.remove_run(run, completion.outcome)

    def _apply_completion(
        self, vm: VmRow, task: TaskRow, run: RunRow | None, completion: CompletionReport
    ) -> None:
        task.last_run = max(task.last_run, completion.run)
        self._job_began(task.step.job)
        if completion.saved:
            task.saved = completion.saved
            self._state.mark_dirty(task.step.job)
        if completion.outcome == DONE and not task.step.spec.lasting:
            self.on_completion(vm.name, task.step.job.name, False, False)
            if run is not None:
                self.on_success(vm, task, run)
                task.ended_unseen = self._is_end_unseen(task, run)
            self._run_succeeded(task, completion.run)
        elif completion.outcome == FAILED:
            self.on_completion(vm.name, task.step.job.name, True, self._failed_elsewhere(task, vm))
            task.failed_on.add(vm.name)
            task.failed_at = self._state.now
            self._run_failed(task, vm, completion.run)

    def _is_end_unseen(self, task: TaskRow, run: RunRow) -> bool:
        """Return whether no previous leader can have learnt that a task is done.

        The end of another member of its gang, or of an earlier run, may have shown it on a VM that
        only a previous leader has reached since.
        """
        may_have_other_end = run.found and not self._state.is_first_run(task, run.number)
        return run.outlasts_earlier_polls and not task.step.spec.gang and not may_have_other_end

    @staticmethod
    def _failed_elsewhere(task: TaskRow, vm: VmRow) -> bool:
        return any(other.failed_on - {vm.name} for other in task.step.tasks.rows())

    def _run_succeeded(self, task: TaskRow, number: int) -> None:
        """Record that a run succeeded: the completion of one member counts for the whole gang."""
        members = task.step.tasks if task.step.spec.gang else [task]
        for member in members:
            runs = list(member.runs)
            # The end of its job must not take the run that has completed for an unwanted one.
            member.runs.clear()
            self._lifecycle.task_done(member)
            # Its remaining runs are copies, or members whose completions are still on their way.
            for run in runs:
                if run.number == number and member is not task:
                    self._state.keep_completion(run, DONE)
                    self._state.add_orphan(run)
                elif run.number != number:
                    self._state.orphan_run(run, DONE_BY_OTHER_RUN)

    def _run_failed(self, task: TaskRow, vm: VmRow, number: int) -> None:
        step = task.step
        job = step.job
        if step.spec.lasting:
            return
        # A gang fails as a whole, once, however many of its members report a failure.
        for member in step.tasks if step.spec.gang else [task]:
            member.failed_runs.add(number)
        self._state.mark_dirty(job)
        max_attempts = self._lifecycle.max_attempts(step)
        if len(task.failed_runs) >= max_attempts:
            extra = {
                "job": job.name,
                "task": task.key,
                "why": ATTEMPTS_USED_UP,
                "vm": vm.name,
                "failed_on": sorted(task.failed_on),
                "failed_runs": sorted(task.failed_runs),
                "max_attempts": max_attempts,
            }
            self._state.logger.info("job failed", extra=extra)
            self._lifecycle.end(job, JobState.FAILED)

    # -- Running tasks -----------------------------------------------------------------------

    def _process_running(self, vm: VmRow, vm_report: VmReport) -> None:
        for report in vm_report.running:
            run = vm.runs.get((report.task, report.run))
            if run is None:
                run = self._adopt(vm, report)
            self._update(vm, run, report)

    def _adopt(self, vm: VmRow, report: RunReport) -> RunRow:
        """Charge a VM for a run started by a previous leader or by a late start request."""
        state = self._state
        task = state.task(report.task)
        step = state.step_spec_of(report.task)
        charge = vm.info.capacity if step is None else step.charge
        run = RunRow(report.task, report.run, vm.name, charge, state.now, RunState.RUNNING)
        run.charges_whole_vm = step is None
        run.found = True
        run.started_at = state.now
        run.percent_at = state.now
        run.speed_percent = None
        is_wanted = task is not None and task.state is TaskState.WAITING
        if task is not None and is_wanted:
            state.add_run(task, run)
            self._job_began(task.step.job)
        else:
            run.owner = state.owner_of(report.task)
            state.charge(run)
            state.orphan_run(run, NOT_WANTED)
        state.run_logger.info(
            "run found",
            extra={"task": run.task, "run": run.number, "vm": vm.name, "kept": is_wanted},
        )
        return run

    def _update(self, vm: VmRow, run: RunRow, report: RunReport) -> None:
        now = self._state.now
        run.listed = True
        run.previous_vm = ""
        if run.state is RunState.SENT:
            run.state = RunState.RUNNING
            run.started_at = now
            run.percent_at = now
            run.settle_clock_ms = min(run.settle_clock_ms, vm.clock_ms)
            self._run_began(run)
        if report.percent > run.percent:
            run.percent = report.percent
            run.percent_at = now
        run.metric = report.metric
        run.outlasts_earlier_polls = vm.refuses_earlier_polls(vm.clock_ms)
        if report.saved:
            self._save_state(run, report.saved)
        if run.state is RunState.STOPPING and now - run.stop_sent_at > STOP_RETRY_S:
            self.stop(run)

    def _save_state(self, run: RunRow, saved: str) -> None:
        run.saved = saved
        task = self._state.task(run.task)
        if task is not None:
            task.saved = saved

    def stop(self, run: RunRow) -> None:
        """Send the stop of a run, which stays charged until its VM shows that it has ended."""
        if run.state is RunState.RECORDING:
            self._state.remove_run(run, NOT_REQUESTED)
            return
        run.state = RunState.STOPPING
        run.stop_sent_at = self._state.now
        self._state.emit(StopRun(run.vm, run.task, run.number))

    def _drop_missing(self, vm: VmRow, vm_report: VmReport) -> None:
        """Drop the runs that a VM does not list and that can no longer arrive there."""
        if len(vm_report.completions) >= MAX_LISTED_COMPLETIONS:
            return
        listed = {(report.task, report.run) for report in vm_report.running}
        for key, run in list(vm.runs.items()):
            if key in listed or vm_report.clock_ms <= run.settle_clock_ms:
                continue
            self._log_missing(vm, run)
            self._handle_missing(vm, run)
            self._state.remove_run(run, NOT_THERE)

    def _log_missing(self, vm: VmRow, run: RunRow) -> None:
        extra = {
            "task": run.task,
            "run": run.number,
            "vm": vm.name,
            "was_listed": run.listed,
            "seen_end": vm.last_seen_completion,
            "acked_end": vm.last_recorded_completion,
        }
        self._state.run_logger.info("run not there", extra=extra)

    def _handle_missing(self, vm: VmRow, run: RunRow) -> None:
        """Handle a run that is not there; if it had started, its completion was not listed."""
        if run.started_at > 0 and self._state.task(run.task) is not None:
            # The VM forgets completions before they are read, because of a call for an earlier
            # incarnation.
            self.on_outcome(NOT_LISTED)
            self.on_completion_missing(vm.name, vm.last_seen_completion)
        elif run.previous_vm:
            self.on_run_lost(run)

    # -- Starts ------------------------------------------------------------------------------

    def run_started(self, vm_name: str, task: str, number: int, clock_ms: float) -> None:
        """Record a VM's answer that a run has started; ``clock_ms`` is 0 if it named no time."""
        vm = self._state.vms.get(vm_name)
        run = None if vm is None else vm.runs.get((task, number))
        if run is None or run.state is not RunState.SENT:
            return
        run.state = RunState.RUNNING
        run.started_at = self._state.now
        run.percent_at = self._state.now
        if vm is not None and clock_ms >= vm.clock_ms:
            # Without the VM's time, only a report after the latest time of the start shows it
            # missing. A lower time is of the next incarnation's clock.
            run.settle_clock_ms = clock_ms
        elif vm is not None and clock_ms:
            self._log_other_clock(vm, run, clock_ms)
        run.outlasts_earlier_polls = vm is not None and vm.refuses_earlier_polls(clock_ms)
        self._run_began(run)

    def _log_other_clock(self, vm: VmRow, run: RunRow, clock_ms: float) -> None:
        extra = {
            "task": run.task,
            "run": run.number,
            "vm": vm.name,
            "behind_ms": vm.clock_ms - clock_ms,
        }
        self._state.run_logger.info("start answered at an earlier time of the VM", extra=extra)

    def _run_began(self, run: RunRow) -> None:
        task = self._state.task(run.task)
        if task is not None:
            self._job_began(task.step.job)

    def _job_began(self, job: JobRow) -> None:
        job.begun = True
        if job.state is JobState.PENDING:
            job.state = JobState.RUNNING
            if job.visible_state is JobState.PENDING:
                job.visible_state = JobState.RUNNING

    def run_not_started(self, vm_name: str, task: str, number: int) -> None:
        """Handle a refusal after which a run will certainly not be there."""
        vm = self._state.vms.get(vm_name)
        run = None if vm is None else vm.runs.get((task, number))
        if run is not None and run.state is not RunState.RUNNING:
            self._state.remove_run(run, NOT_STARTED)

    def find_partial_gangs(self) -> None:
        """Find gangs of which a previous leader has started only some members.

        Once all runs of previous leaders are known or over, the missing members will not arrive;
        those that run would wait for them until they end alone.
        """
        if not self._state.previous_runs_settled:
            return
        for job in self._state.open_jobs.values():
            if not job.from_previous_leader:
                continue
            for step in job.steps.values():
                if step.spec.gang and 0 < step.waiting < step.open_tasks:
                    numbers = {run.number for task in step.tasks.rows() for run in task.runs}
                    self._state.broken_gangs += [(step, number) for number in numbers]

    def stop_broken_gangs(self) -> None:
        """Stop the rest of the gangs that have lost a member: alone it does no work."""
        for step, number in self._state.broken_gangs:
            for task in step.tasks.rows():
                for run in list(task.runs):
                    if run.number == number and run.state is not RunState.STOPPING:
                        self.stop(run)
        self._state.broken_gangs.clear()

    def stop_orphans(self) -> None:
        """Send the stops that are due."""
        now = self._state.now
        for run in list(self._state.orphans.values()):
            if now - run.stop_sent_at > STOP_RETRY_S and run.state is RunState.STOPPING:
                self.stop(run)
