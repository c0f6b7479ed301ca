"""The state of the job scheduler: its tables, its time and its outgoing actions."""

import logging

from sablemount.jobs.actions import Action
from sablemount.jobs.caps import Usage
from sablemount.jobs.model import (
    Configuration,
    Organisation,
    QueueTerms,
    Shape,
    StepSpec,
    job_of,
)
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.tables import (
    MAX_RUN_ENDS,
    NEVER,
    SLOW_CLOCK,
    JobRow,
    RunEnd,
    RunRow,
    RunState,
    StepRow,
    TaskRow,
    TaskState,
    VmRow,
)
from sablemount.structured_logs import RUN_LOGGER

__all__ = ["NOT_ORDERED", "State"]

TASK_KEY_PARTS = 4
AT_WORK = 100.0
"""Percent that a lasting task shows once it is at work."""
NOT_ORDERED = "not ordered"
"""How a run ended for which no order was given."""
LEASE_SLACK = 0.1
"""Seconds beyond a lease until what ran under it counts as over."""
RUNS_AN_EPOCH = 10_000
"""Distance between the run numbers of two leaders, so that they rise without being recorded."""


class State:
    """Tables that the systems run over; times are local monotonic seconds."""

    def __init__(self, settings: JobSettings, epoch: int, now: float, wall_ms: float) -> None:
        self.settings = settings
        self.epoch = epoch
        self.now = now
        self.wall_ms = wall_ms
        self.elected_at = now
        self.configuration = Configuration()
        self.terms: dict[str, QueueTerms] = {}
        self.organisations: dict[str, Organisation] = {}
        """As last configured, by name; one that is named no more keeps its cap for what it runs."""
        self.uneven = False
        """Whether VMs differ in speed by so much that placement goes by it."""
        self.usage = Usage()
        self.jobs: dict[str, JobRow] = {}
        self.live: dict[str, JobRow] = {}
        """Jobs that have not ended."""
        self.open_steps: dict[str, StepRow] = {}
        """Steps with waiting tasks whose turn has come, by key."""
        self.vms: dict[str, VmRow] = {}
        self.rooms_at: float | None = None
        """Up to when the VMs' entries were read; ``None`` where that is not watched."""
        self.rooms_before = NEVER
        """The same before they could last not be read for a while."""
        self.rooms_back_at = NEVER
        """When they could be read again."""
        self.unproven: dict[str, VmRow] = {}
        """VMs that are to show that they list their ends."""
        self.orphans: dict[tuple[str, str, int], RunRow] = {}
        """Runs that belong to no open task and are being stopped, by VM, task and run."""
        self.broken_gangs: list[tuple[StepRow, int]] = []
        """Gangs, with the run of which a member has gone."""
        self.suspected: dict[str, JobRow] = {}
        """Jobs with tasks under which VMs have crashed."""
        self.doubts: dict[str, tuple[str, ...]] = {}
        """Tasks that a former leader noted to run on a VM, by the VM, until that is heard."""
        self.dirty: dict[str, JobRow] = {}
        self.freed = 0
        """Counts what may let a waiting task fit."""
        self.placed_at_freed = -1
        self.vms_changed = 0
        """Counts what may make VMs usable of which steps know nothing yet."""
        self.touched: set[str] = set()
        """Steps to be looked at again, though no room was freed."""
        self.former_settled = False
        """Whether no run of a former leader can be unseen any more."""
        self.settled_at = NEVER
        """Since when that is so."""
        self.confirmed_at = now
        """Until when nobody else led: the store was asked something then that it has answered."""
        self.noting = True
        """Whether the store answers, so that ends can be noted."""
        self.actions: list[Action] = []
        self.unheard_until = NEVER
        self._fence = 0
        self.logger = logging.getLogger("sablemount.jobs")
        self.run_logger = logging.getLogger(RUN_LOGGER)

    # -- Output ------------------------------------------------------------------------------

    def emit(self, action: Action) -> None:
        """Add an action to what the current event gives."""
        self.actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return and forget the actions given so far."""
        actions = self.actions
        self.actions = []
        return actions

    def mark(self, job: JobRow) -> None:
        """Let a job's progress be recorded with the next batch."""
        self.dirty[job.name] = job

    def touch(self, step: StepRow) -> None:
        """Let a step be looked at by the next round of placement."""
        self.touched.add(step.key)

    # -- Lookups -----------------------------------------------------------------------------

    def task(self, key: str) -> TaskRow | None:
        """Return a task of a job that has not ended."""
        parts = key.split(".")
        if len(parts) != TASK_KEY_PARTS:
            return None
        job = self.live.get(parts[0])
        if job is None:
            return None
        try:
            step = job.steps.get((int(parts[1]), int(parts[2])))
            index = int(parts[3])
        except ValueError:
            return None
        if step is None or not 0 <= index < len(step.tasks):
            return None
        return step.tasks[index]

    def terms_of(self, job: JobRow) -> QueueTerms:
        """Return the terms in force for a job: its queue's, or those that it was accepted under."""
        return self.terms.get(job.record.terms.name, job.record.terms)

    def step_of(self, task_name: str) -> StepSpec | None:
        """Return the step that a task is of; ``None`` if its job is not known any more."""
        parts = task_name.split(".")
        job = self.jobs.get(parts[0])
        if job is None or len(parts) != TASK_KEY_PARTS or not parts[2].isdigit():
            return None
        steps = job.record.spec.steps
        number = int(parts[2])
        return steps[number] if number < len(steps) else None

    def longest_lease_end(self) -> float:
        """Return until when a lease that a VM grants at this moment can last."""
        return self.now + self.settings.lease / SLOW_CLOCK + LEASE_SLACK

    def next_fence(self) -> int:
        """Return a fence above all that were given to VMs before."""
        self._fence += 1
        return self._fence

    # -- Runs --------------------------------------------------------------------------------

    def running_on(self, vm: VmRow) -> list[tuple[RunRow, TaskRow]]:
        """Return what is known to run on a VM, with the open tasks that it is of."""
        found = []
        for run in vm.runs.values():
            task = self.task(run.task) if run.state is RunState.RUNNING else None
            if task is not None:
                found.append((run, task))
        return found

    def may_be_stopped(self, task: TaskRow) -> bool:
        """Tell whether a stop of a task leaves enough tasks of its step at work.

        ``may_miss`` of a step bounds how many may be away at once by our doing; 0 is no bound.
        """
        step = task.step
        if not step.spec.may_miss:
            return True
        away = sum(1 for other in step.tasks if other is not task and not _at_work(other))
        return away < step.spec.may_miss

    def next_run(self, tasks: list[TaskRow]) -> int:
        """Return a run number above all that some tasks have had."""
        base = (self.epoch - 1) * RUNS_AN_EPOCH
        return max(base, *(task.last_run for task in tasks)) + 1

    def add_run(self, task: TaskRow, run: RunRow) -> None:
        """Enter a run of an open task and charge its VM."""
        task.runs.append(run)
        task.last_run = max(task.last_run, run.number)
        if task.state is TaskState.WAITING:
            task.state = TaskState.PLACED
            task.step.waiting -= 1
        self.charge(run)

    def charge(self, run: RunRow) -> None:
        """Charge a VM for a run."""
        vm = self.vms[run.vm]
        vm.runs[(run.task, run.number)] = run
        vm.room = vm.room.plus(run.charge, -1)
        step = self.step_of(run.task)
        job = self.jobs.get(job_of(run.task))
        run.organisation = "" if job is None else job.organisation
        run.counted = run.charge if step is None else step.shape
        self.usage.take(run.organisation, run.counted)

    def note_end(self, run: RunRow, how: str) -> None:
        """Keep how a run ended for the line that tells of its job's end."""
        job = self.jobs.get(job_of(run.task))
        if job is None or job.shown.final or run.told:
            return
        run.told = True
        if len(job.run_ends) >= MAX_RUN_ENDS:
            job.more_runs += 1
            return
        began = run.started_at or run.sent_at
        job.run_ends.append(RunEnd(run.task, run.number, run.vm, began, self.now, how))

    def resize(self, vm: VmRow, capacity: Shape) -> None:
        """Take a VM's capacity, which is not known before its entry was read."""
        vm.room = vm.room.plus(capacity).plus(vm.info.capacity, -1)
        for run in vm.runs.values():
            if run.whole:
                vm.room = vm.room.plus(run.charge).plus(capacity, -1)
                self.usage.take(run.organisation, run.counted, -1)
                self.usage.take(run.organisation, capacity)
                run.charge = run.counted = capacity

    def move_run(self, run: RunRow, vm: VmRow) -> None:
        """Charge a VM's next life for a run that may have been started there instead."""
        key = (run.task, run.number)
        run.left = run.left or run.vm
        orphan = self.orphans.pop((run.vm, *key), None)
        before = self.vms[run.vm]
        del before.runs[key]
        before.room = before.room.plus(run.charge)
        run.vm = vm.name
        run.listed = False
        run.started_at = 0.0
        # The first word of that life tells whether it is there.
        run.settle_clock = 0.0
        run.stop_sent_at = NEVER
        if run.state is RunState.RUNNING:
            run.state = RunState.SENT
        vm.runs[key] = run
        vm.room = vm.room.plus(run.charge, -1)
        if orphan is not None:
            self.orphans[(run.vm, *key)] = run

    def drop_run(self, run: RunRow, how: str) -> None:
        """Take a run out, which ended in some way, and give back what was charged for it."""
        self.note_end(run, how)
        vm = self.vms.get(run.vm)
        if vm is not None and vm.runs.pop((run.task, run.number), None) is not None:
            vm.room = vm.room.plus(run.charge)
            self.usage.take(run.organisation, run.counted, -1)
            self.freed += 1
        self.orphans.pop((run.vm, run.task, run.number), None)
        task = self.task(run.task)
        if task is None or run not in task.runs:
            return
        task.runs.remove(run)
        if task.step.spec.gang and task.state is not TaskState.DONE:
            self.broken_gangs.append((task.step, run.number))
        if not task.runs and task.state is TaskState.PLACED:
            self.requeue(task)

    def requeue(self, task: TaskRow) -> None:
        """Let a task wait for another start."""
        task.state = TaskState.WAITING
        task.step.waiting += 1
        task.step.requeued_at = self.now
        self.open_steps[task.step.key] = task.step
        self.touch(task.step)

    def release_booked(self, step: StepRow) -> None:
        """Give back the room that was kept for a step."""
        for name, count in step.booked.items():
            vm = self.vms.get(name)
            if vm is not None:
                vm.room = vm.room.plus(step.spec.charge, count)
        step.booked.clear()

    def orphan(self, run: RunRow) -> None:
        """Charge a VM for a run that is to be stopped; one that was not ordered is taken out."""
        if run.state is RunState.NOTING:
            self.drop_run(run, NOT_ORDERED)
            return
        run.state = RunState.STOPPING
        self.orphans[(run.vm, run.task, run.number)] = run


def _at_work(task: TaskRow) -> bool:
    return any(run.state is RunState.RUNNING and run.percent >= AT_WORK for run in task.runs)
