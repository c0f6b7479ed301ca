"""The state of the job scheduler: its tables, its time and its outgoing actions."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping

from sablemount.jobs.actions import Action
from sablemount.jobs.caps import Usage
from sablemount.jobs.ended_tasks import EndedTasks
from sablemount.jobs.job_lines import log_beyond_spread, log_run_not_wanted, step_counts
from sablemount.jobs.kinds import VmKinds
from sablemount.jobs.model import (
    Configuration,
    Organisation,
    QueueTerms,
    Shape,
    StepSpec,
    job_name_of,
    step_key_of,
)
from sablemount.jobs.run_row import RunCompletion, RunRow, RunState
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.tables import MAX_KEPT_COMPLETIONS, JobRow, StepRow, TaskRow, TaskState
from sablemount.jobs.times import NEVER
from sablemount.jobs.vm_row import VmRow
from sablemount.structured_logs import RUN_LOGGER

__all__ = ["NOT_REQUESTED", "State"]

TASK_KEY_PARTS = 4
AT_WORK_PERCENT = 100.0
"""Progress in percent that a long-running task reports once it is at work."""
NOT_REQUESTED = "not ordered"
"""Outcome of a run whose start was never requested."""
RUN_NUMBERS_PER_EPOCH = 10_000
"""Distance between the run numbers of two epochs, so that run numbers rise from leader to leader
without being recorded."""


def _first_run_number(epoch: int) -> int:
    """Return the number of the first run of a task that the leader of an epoch starts."""
    return (epoch - 1) * RUN_NUMBERS_PER_EPOCH + 1


def _open_nothing(job: JobRow, repetition: int) -> None:
    """Leave a repetition closed."""


def _ignore_cause(cause: str) -> None:
    """Ignore a run beyond the spread of its step."""


class State:
    """Tables that the systems work on; times are local monotonic seconds."""

    def __init__(self, settings: JobSettings, epoch: int, now: float, wall_ms: float) -> None:
        self.settings = settings
        self.epoch = epoch
        self.now = now
        self.wall_ms = wall_ms
        self.elected_at = now
        self.configuration = Configuration()
        self.terms: dict[str, QueueTerms] = {}
        self.organisations: dict[str, Organisation] = {}
        """Organisations as last configured, by name; one that is no longer configured keeps its cap
        for what it still runs."""
        self.speeds_uneven = False
        """Whether the speeds of VMs differ so much that placement takes them into account."""
        self.usage = Usage()
        self.jobs: dict[str, JobRow] = {}
        self.open_jobs: dict[str, JobRow] = {}
        """Jobs that have not ended."""
        self.ended_tasks = EndedTasks()
        self._open_steps: dict[str, StepRow] = {}
        self.vms: dict[str, VmRow] = {}
        self.kinds = VmKinds()
        self.entries_read_at: float | None = None
        """Time up to which the VMs' entries were read; ``None`` where that is not tracked."""
        self.entries_read_before_gap = NEVER
        """The same time before the last period in which the entries could not be read."""
        self.entries_readable_since = NEVER
        """When the entries could be read again after that period."""
        self.unverified_vms: dict[str, VmRow] = {}
        """VMs that must show by a probe that they list their completions."""
        self.orphans: dict[tuple[str, str, int], RunRow] = {}
        """Runs that are not wanted and are being stopped, by VM, task and run."""
        self.unwanted_runs: Counter[str] = Counter()
        """Number of these runs by task."""
        self.broken_gangs: list[tuple[StepRow, int]] = []
        """Steps and run numbers of gangs that have lost the run of a member."""
        self.suspected_jobs: dict[str, JobRow] = {}
        """Jobs with tasks under which VMs have crashed."""
        self.recorded_suspects: dict[str, tuple[str, ...]] = {}
        """Tasks that a previous leader recorded as running on a VM, by VM, until the VM reports."""
        self.dirty_jobs: dict[str, JobRow] = {}
        self.capacity_version = 0
        """Version of the free capacity: counts changes that may let a waiting task fit."""
        self.placed_at_capacity_version = -1
        """Capacity version for which placement has tried all steps."""
        self.vms_version = 0
        """Version of the VMs: counts changes that may make VMs usable that steps have no advice on
        yet."""
        self.steps_marked_for_placement: set[str] = set()
        """Steps to be placed again although no capacity was freed."""
        self.previous_runs_settled = False
        """Whether all runs that previous leaders started are known or over."""
        self.held_tasks: frozenset[str] | None = None
        """The only tasks of previous leaders' jobs that may run on VMs which have not reported;
        ``None`` if any may."""
        self.released_at = NEVER
        """When tasks of previous leaders' jobs were last released to be started."""
        self.leadership_confirmed_at = now
        """Time up to which no other leader existed: the store has answered a request sent at that
        time."""
        self.store_answers = True
        """Whether the store answers, so that completions can be recorded."""
        self.actions: list[Action] = []
        self.on_beyond_spread: Callable[[str], None] = _ignore_cause
        """Called with how a run came to a VM that has more runs of a step than its spread."""
        self.open_repetition: Callable[[JobRow, int], None] = _open_nothing
        """Called with a repetition of a job whose tasks are asked for while it is not open."""
        self.unreported_leases_end = NEVER
        """Time until which VMs that have not reported may hold leases of previous leaders."""
        self._fence = 0
        self.logger = logging.getLogger("sablemount.jobs")
        self.run_logger = logging.getLogger(RUN_LOGGER)

    # -- Output ------------------------------------------------------------------------------

    def emit(self, action: Action) -> None:
        """Add an action to those of the current event."""
        self.actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return and clear the actions emitted so far."""
        actions = self.actions
        self.actions = []
        return actions

    def mark_dirty(self, job: JobRow) -> None:
        """Have the progress of a job recorded with the next batch."""
        self.dirty_jobs[job.name] = job

    def crashes_changed(self, task: TaskRow) -> None:
        """Have the crashes under a task recorded while a run of it may be there or follow."""
        job = task.step.job
        if self.jobs.get(job.name) is not job:
            return
        if job.state.is_final:
            if task.key not in self.unwanted_runs:
                return
            job.ended_crashes.add(task)
        self.mark_dirty(job)

    def mark_for_placement(self, step: StepRow) -> None:
        """Have a step considered in the next placement round."""
        self.steps_marked_for_placement.add(step.key)

    # -- Open steps --------------------------------------------------------------------------

    @property
    def open_steps(self) -> Mapping[str, StepRow]:
        """Steps with waiting tasks whose predecessors are done, by key; nothing else is placed."""
        return self._open_steps

    def open_step(self, step: StepRow) -> None:
        """Have the waiting tasks of a step placed; the steps of a closed job stay closed."""
        if not step.job.is_open:
            self.logger.error("step of a closed job not opened", extra={"step": step.key})
            return
        if step.key not in self._open_steps:
            self._open_steps[step.key] = step
            step.job.placeable_steps += 1
        self.mark_for_placement(step)

    def close_step(self, step: StepRow) -> None:
        """Place no more tasks of a step, since none waits or its job is closed."""
        if self._open_steps.pop(step.key, None) is not None:
            step.job.placeable_steps -= 1
        if step.awaiting_tickets:
            self.capacity_version += 1
            self.release_ticket_reservations(step)

    # -- Lookups -----------------------------------------------------------------------------

    def urgency_of(self, step: StepRow) -> tuple[int, float]:
        """Return a step's sort key, the most urgent first: its priority, then its objective."""
        return (self.terms_of(step.job).priority, step.job.objective_at)

    def task(self, key: str) -> TaskRow | None:
        """Return a task of a job that has not ended.

        A repetition that is due but not open yet is opened: VMs may report tasks that a previous
        leader has started.
        """
        parts = key.split(".")
        if len(parts) != TASK_KEY_PARTS:
            return None
        job = self.open_jobs.get(parts[0])
        if job is None:
            return None
        try:
            repetition, number, index = int(parts[1]), int(parts[2]), int(parts[3])
        except ValueError:
            return None
        if (repetition, number) not in job.steps:
            self.open_repetition(job, repetition)
        step = job.steps.get((repetition, number))
        if step is None or not 0 <= index < len(step.tasks):
            return None
        return step.tasks[index]

    def owner_of(self, key: str) -> TaskRow | None:
        """Return a task whether its job is open or has ended; ``None`` if the job is not known."""
        job = self.jobs.get(job_name_of(key))
        if job is None or job.is_open:
            return self.task(key)
        return self.ended_tasks.find(job, key)

    def terms_of(self, job: JobRow) -> QueueTerms:
        """Return the terms in force for a job: its queue's, or those of its acceptance."""
        return self.terms.get(job.record.terms.name, job.record.terms)

    def step_spec_of(self, task_name: str) -> StepSpec | None:
        """Return the spec of the step of a task; ``None`` if its job is no longer known."""
        parts = task_name.split(".")
        job = self.jobs.get(parts[0])
        if job is None or len(parts) != TASK_KEY_PARTS or not parts[2].isdigit():
            return None
        steps = job.record.spec.steps
        number = int(parts[2])
        return steps[number] if number < len(steps) else None

    def next_fence(self) -> int:
        """Return a fence above all that were given to VMs before."""
        self._fence += 1
        return self._fence

    # -- Runs --------------------------------------------------------------------------------

    def running_on(self, vm: VmRow) -> list[tuple[RunRow, TaskRow]]:
        """Return the runs known to be running on a VM, with their open tasks."""
        found = []
        for run in vm.runs.values():
            task = self.task(run.task) if run.state is RunState.RUNNING else None
            if task is not None:
                found.append((run, task))
        return found

    def may_be_stopped(self, task: TaskRow) -> bool:
        """Return whether enough tasks of the step stay at work if this task is stopped.

        The step's ``may_miss`` bounds how many tasks the scheduler may keep away from work at the
        same time; 0 means no bound.
        """
        step = task.step
        if not step.spec.may_miss:
            return True
        others = [other for other in step.tasks.rows() if other is not task]
        away = len(step.tasks) - 1 - sum(1 for other in others if self._at_work(other))
        return away < step.spec.may_miss

    def _at_work(self, task: TaskRow) -> bool:
        """Return whether a task is at work, on a VM that has reported recently."""
        silent_since = self.now - self.settings.max_report_age_s
        return any(
            run.state is RunState.RUNNING
            and run.percent >= AT_WORK_PERCENT
            and self.vms[run.vm].last_report_at >= silent_since
            for run in task.runs
        )

    def next_run_number(self, tasks: list[TaskRow]) -> int:
        """Return a run number above all previous ones of some tasks."""
        return max(_first_run_number(self.epoch), *(task.last_run + 1 for task in tasks))

    def is_first_run(self, task: TaskRow, number: int) -> bool:
        """Return whether a run is the first one that any leader has started of a task."""
        return number == _first_run_number(task.step.job.record.epoch)

    def add_run(self, task: TaskRow, run: RunRow) -> None:
        """Add a run of an open task and charge its VM."""
        run.owner = task
        task.runs.append(run)
        task.last_run = max(task.last_run, run.number)
        if task.state is TaskState.WAITING:
            task.state = TaskState.PLACED
            task.step.waiting -= 1
        self.charge(run)

    def charge(self, run: RunRow) -> None:
        """Charge a VM, and the cap of the run's organisation, for a run."""
        vm = self.vms[run.vm]
        vm.add_run(run)
        step = self.step_spec_of(run.task)
        job = self.jobs.get(job_name_of(run.task))
        run.organisation = "" if job is None else job.organisation
        run.cap_charge = run.charge if step is None else step.shape
        self.usage.add(run.organisation, run.cap_charge)
        if step is not None and step.spread:
            self._check_spread(run, vm, step.spread)

    def _check_spread(self, run: RunRow, vm: VmRow, spread: int) -> None:
        """Report a run by which more tasks of a step may run on a VM than the step's spread."""
        counts = step_counts(vm, step_key_of(run.task))
        if sum(counts.values()) <= spread:
            return
        self.on_beyond_spread("found" if run.found else "started")
        log_beyond_spread(self.logger, run, vm, spread, counts)

    def keep_completion(self, run: RunRow, outcome: str) -> None:
        """Keep how a run ended for the log line of its job's end."""
        job = self.jobs.get(job_name_of(run.task))
        if job is None or job.visible_state.is_final or run.completion_kept:
            return
        run.completion_kept = True
        if len(job.run_completions) >= MAX_KEPT_COMPLETIONS:
            job.omitted_runs += 1
            return
        start_time = run.started_at or run.sent_at
        job.run_completions.append(
            RunCompletion(run.task, run.number, run.vm, start_time, self.now, outcome)
        )

    def set_capacity(self, vm: VmRow, capacity: Shape) -> None:
        """Set the capacity of a VM, which is unknown until its entry has been read."""
        vm.free_capacity = vm.free_capacity.plus(capacity).plus(vm.info.capacity, -1)
        for run in vm.runs.values():
            if run.charges_whole_vm:
                vm.free_capacity = vm.free_capacity.plus(run.charge).plus(capacity, -1)
                self.usage.add(run.organisation, run.cap_charge, -1)
                self.usage.add(run.organisation, capacity)
                run.charge = run.cap_charge = capacity

    def move_run(self, run: RunRow, vm: VmRow) -> None:
        """Charge the next incarnation of a VM for a run that may have started there instead."""
        key = (run.task, run.number)
        run.previous_vm = run.previous_vm or run.vm
        orphaned = self.orphans.pop((run.vm, *key), None)
        self.vms[run.vm].drop_run(run)
        run.vm = vm.name
        run.listed = False
        run.started_at = 0.0
        # The first report of that incarnation shows whether the run is there.
        run.settle_clock_ms = 0.0
        run.stop_sent_at = NEVER
        if run.state is RunState.RUNNING:
            run.state = RunState.SENT
        vm.add_run(run)
        if orphaned is not None:
            self.orphans[(run.vm, *key)] = run

    def remove_run(self, run: RunRow, outcome: str) -> None:
        """Remove a run that ended with some outcome, and release what was charged for it."""
        self.keep_completion(run, outcome)
        vm = self.vms.get(run.vm)
        if vm is not None and vm.drop_run(run):
            self.usage.add(run.organisation, run.cap_charge, -1)
            self.capacity_version += 1
        self._drop_orphan(run)
        task = self.task(run.task)
        if task is None or run not in task.runs:
            return
        task.runs.remove(run)
        if task.step.spec.gang and task.state is not TaskState.DONE:
            self.broken_gangs.append((task.step, run.number))
        if not task.runs and task.state is TaskState.PLACED:
            self.requeue(task)

    def requeue(self, task: TaskRow) -> None:
        """Return a task to waiting for a start."""
        task.state = TaskState.WAITING
        task.step.waiting += 1
        task.step.requeued_at = self.now
        self.open_step(task.step)

    def release_ticket_reservations(self, step: StepRow) -> None:
        """Release the capacity that was reserved while a step's tickets were requested."""
        for name in step.awaiting_tickets:
            vm = self.vms.get(name)
            if vm is not None:
                vm.release(step)
        step.awaiting_tickets.clear()

    def orphan_run(self, run: RunRow, why: str) -> None:
        """Keep a run charged until it is stopped; one that was not requested is removed at once."""
        if run.state is RunState.RECORDING:
            self.remove_run(run, NOT_REQUESTED)
            return
        log_run_not_wanted(self.run_logger, run, why)
        run.state = RunState.STOPPING
        self.add_orphan(run)

    def add_orphan(self, run: RunRow) -> None:
        """Keep a run among those that are not wanted, until it is over."""
        key = (run.vm, run.task, run.number)
        if key not in self.orphans:
            self.orphans[key] = run
            self.unwanted_runs[run.task] += 1

    def _drop_orphan(self, run: RunRow) -> None:
        if self.orphans.pop((run.vm, run.task, run.number), None) is None:
            return
        self.unwanted_runs[run.task] -= 1
        if not self.unwanted_runs[run.task]:
            del self.unwanted_runs[run.task]
            task = self.task(run.task)
            if task is not None and task.state is TaskState.WAITING:
                self.mark_for_placement(task.step)
