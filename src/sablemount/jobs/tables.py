"""The in-memory tables of the job scheduler: jobs and their steps.

Those of tasks, runs and VMs are in ``task_row.py``, ``run_row.py`` and ``vm_row.py``. All times are
local monotonic seconds unless a name says otherwise. The systems change rows in place; only records
and messages are immutable.
"""

import enum
from dataclasses import dataclass, field

import msgspec

from sablemount.jobs.model import JobSpec, StepSpec, step_key, task_key
from sablemount.jobs.records import JobRecord
from sablemount.jobs.run_row import RunCompletion
from sablemount.jobs.schedule import Schedule
from sablemount.jobs.step_tasks import StepTasks
from sablemount.jobs.task_row import MAX_CRASH_WEIGHT, TaskRow, TaskState
from sablemount.jobs.times import NEVER

__all__ = [
    "MAX_CRASH_WEIGHT",
    "MAX_KEPT_COMPLETIONS",
    "AdviceRow",
    "CrashTable",
    "JobRow",
    "JobState",
    "StepRow",
    "TaskRow",
    "TaskState",
    "Ticket",
]

MAX_KEPT_COMPLETIONS = 400
"""Completed runs kept per job until its end is logged: at most three times the tasks of a job,
except for long-running jobs."""


class JobState(enum.IntEnum):
    """State of a job; the numbers are part of the stored records."""

    PENDING = 0
    RUNNING = 1
    SUCCEEDED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self >= JobState.SUCCEEDED


@dataclass(slots=True)
class CrashTable:
    """Crashes under the tasks of a job, as they are recorded."""

    vms: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """VMs that crashed under a task, by repetition, step and index joined by dots."""
    weights: dict[str, tuple[float, ...]] = field(default_factory=dict)
    """Evidence weight of each of these crashes, where some are below the maximum."""

    def add(self, task: TaskRow) -> None:
        """Add the crashes under a task, unless it is done and so does not crash VMs."""
        if not task.crashes or task.state is TaskState.DONE:
            return
        key = _key_in_job(task)
        self.vms[key] = tuple(task.crashes)
        if any(vm in task.crash_weights for vm in task.crashes):
            self.weights[key] = tuple(map(task.crash_weight, task.crashes))

    def restore(self, task: TaskRow) -> None:
        """Restore the crashes under a task."""
        key = _key_in_job(task)
        task.crashes = list(self.vms.get(key, ()))
        task.crash_weights = dict(zip(task.crashes, self.weights.get(key, ()), strict=False))


def _key_in_job(task: TaskRow) -> str:
    return f"{task.step.repetition}.{task.step.number}.{task.index}"


@dataclass(slots=True)
class Ticket:
    """Permission to run a step on a VM, until a local time."""

    text: str
    until: float


@dataclass(slots=True)
class AdviceRow:
    """What the advice service has said about which VMs may run a step."""

    tickets: dict[str, Ticket] = field(default_factory=dict)
    denied_vms: set[str] = field(default_factory=set)
    calls_in_flight: int = 0
    calls_sent_or_abandoned_at: float = NEVER
    """When the first of the calls in flight was sent, or the last call was abandoned."""
    waited_s: float = 0.0
    """Seconds spent waiting for answers so far."""
    failures: int = 0
    known_at_vms_version: int = -1
    """Version of the VMs at which the answer for each of them was known."""

    def total_wait_s(self, now: float) -> float:
        """Return the seconds spent waiting for answers, including the calls in flight."""
        return self.waited_s + (
            now - self.calls_sent_or_abandoned_at if self.calls_in_flight else 0.0
        )


@dataclass(slots=True, eq=False)
class StepRow:
    """A step of one repetition of a job."""

    job: "JobRow"
    repetition: int
    number: int
    spec: StepSpec
    payload: str
    """What each start of its tasks passes to the VM."""
    key: str = field(init=False)
    """Name that its tasks share."""
    critical_path_s: float = 0.0
    """Expected seconds from the step's start to its job's end."""
    tasks: StepTasks = field(init=False)
    open_tasks: int = field(init=False)
    """Number of tasks that are not done."""
    waiting: int = field(init=False)
    """Number of tasks that wait for a start."""
    opened_at: float = NEVER
    opened_here: bool = False
    """Whether no previous leader can have opened the step, and so have started tasks of it."""
    ended_unseen: bool = False
    """Whether one of its tasks is done, and no previous leader can have learnt of it."""
    advice: AdviceRow | None = None
    awaiting_tickets: dict[str, int] = field(default_factory=dict)
    """Number of tasks by VM for which capacity is reserved while tickets are requested."""
    wait_logged_at: float = NEVER
    """When it was last logged that the step waits."""
    capped_since: float | None = None
    """Since when the organisation's cap keeps some of the tasks waiting."""
    capped_s: float = 0.0
    """Seconds for which the cap kept tasks waiting in earlier periods."""
    paused_until: float = NEVER
    """Time until which it is not started, as a VM wants a ticket that its terms do not require."""
    refused_tickets: int = 0
    """How often that was so under these terms."""
    requeued_at: float = NEVER
    """When one of the tasks last returned to waiting for a start."""
    tried_at_capacity_version: int = -1
    """Capacity version at which placement of the step was last tried."""

    def __post_init__(self) -> None:
        self.key = step_key(self.job.name, self.repetition, self.number)
        self.tasks = StepTasks(self.spec.count, self._make_task)
        self.open_tasks = self.waiting = self.spec.count

    @property
    def ready_at(self) -> float:
        """Return since when the step could have been placed."""
        return max(self.opened_at, self.job.accepted_at)

    def update_capped(self, binds: bool, now: float) -> None:
        """Record whether the organisation's cap keeps some of the tasks waiting."""
        if binds and self.capped_since is None:
            self.capped_since = now
        elif not binds and self.capped_since is not None:
            self.capped_s += now - self.capped_since
            self.capped_since = None

    def total_capped_s(self, now: float) -> float:
        """Return for how many seconds the cap has kept tasks waiting so far."""
        return self.capped_s + (0.0 if self.capped_since is None else now - self.capped_since)

    def _make_task(self, index: int) -> TaskRow:
        key = task_key(self.job.name, self.repetition, self.number, index)
        return TaskRow(key, self, index)


@dataclass(slots=True, eq=False)
class JobRow:
    """An accepted job, or one whose acceptance is not durable yet."""

    name: str
    record: JobRecord
    accepted_at: float
    state: JobState = JobState.PENDING
    durable: bool = False
    """Whether the acceptance is in the store."""
    visible_state: JobState = JobState.PENDING
    """State that callers may see; a final one only once it is in the store."""
    schedule: Schedule | None = None
    """What may still be opened; ``None`` once the job has ended or was withdrawn."""
    steps: dict[tuple[int, int], StepRow] = field(default_factory=dict)
    """Steps of the repetitions that are open, by repetition and number."""
    open_steps: int = 0
    placeable_steps: int = 0
    """Number of its steps that are to be placed: some task waits, and the steps before are done."""
    completed: int = 0
    """Bit mask of the repetitions of which all tasks are done."""
    begun: bool = False
    from_previous_leader: bool = False
    """Whether a previous leader accepted the job, so that it may have runs not yet known here."""
    ended_ms: float = 0.0
    objective_at: float = 0.0
    """Time up to which its completion earns full credit."""
    run_completions: list[RunCompletion] = field(default_factory=list)
    omitted_runs: int = 0
    """Number of completed runs that were not kept."""
    held_bytes: int = 0
    """Memory for which the job is counted."""
    has_crashes: bool = False
    """Whether VMs have crashed under its tasks."""
    ended_crashes: CrashTable = field(default_factory=CrashTable)
    """Crashes under its tasks, once it has ended: their runs may be there until they are
    stopped."""

    @property
    def queue(self) -> str:
        """Return the name of its queue."""
        return self.record.terms.name

    @property
    def organisation(self) -> str:
        """Return the organisation that owns the job; empty if unknown or none."""
        return self.record.organisation

    @property
    def public(self) -> bool:
        """Return whether the job was submitted where no key is needed."""
        return self.record.public

    @property
    def is_open(self) -> bool:
        """Return whether the job has neither ended nor been withdrawn."""
        return self.schedule is not None

    def close(self) -> list[StepRow]:
        """Close the job for good, and return the steps that it had."""
        steps = list(self.steps.values())
        self.schedule = None
        self.steps = {}
        return steps

    def drop_payload(self) -> None:
        """Drop what no start needs any more; the shapes remain, for runs that are reported late."""
        spec = JobSpec("", self.record.spec.steps)
        self.record = msgspec.structs.replace(self.record, spec=spec)
