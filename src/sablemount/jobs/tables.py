"""The in-memory tables of the job scheduler: jobs, steps and tasks.

Those of runs and VMs are in ``run_row.py`` and ``vm_row.py``. All times are local monotonic seconds
unless a name says otherwise. The systems change rows in place; only records and messages are
immutable.
"""

import enum
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from sablemount.jobs.model import (
    INCARNATION_SEPARATOR,
    JobSpec,
    StepSpec,
    VmInfo,
    step_key,
    task_key,
)
from sablemount.jobs.records import JobRecord
from sablemount.jobs.run_row import RunCompletion, RunRow
from sablemount.jobs.schedule import Schedule
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
ISOLATE_AFTER_CRASHES = 2
"""Crashes under a task after which it runs isolated from other jobs."""
MAX_CRASH_WEIGHT = 3.0
"""Largest evidence weight of one crash against a task, as the logarithm of odds: another cause can
never be excluded."""


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


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Incarnation(Protocol):
    """What the rows of tasks need to know of an incarnation of a VM."""

    info: VmInfo
    name: str


@dataclass(slots=True, eq=False, weakref_slot=True)
class TaskRow:
    """A task and its current runs."""

    key: str
    step: "StepRow"
    index: int
    state: TaskState = TaskState.WAITING
    failed_runs: set[int] = field(default_factory=set)
    """Runs whose failure has been counted, so that a completion listed again counts once."""
    saved: str = ""
    last_run: int = 0
    runs: list[RunRow] = field(default_factory=list)
    failed_on: set[str] = field(default_factory=set)
    """VMs on which the task has failed."""
    failed_at: float = NEVER
    """When the task last failed."""
    crashes: list[str] = field(default_factory=list)
    """VMs that crashed while the task ran there."""
    crash_weights: dict[str, float] = field(default_factory=dict)
    """Evidence weight of a crash against the task, where it is below the maximum; see
    ``evidence.py``."""
    awaits_verdict_until: float = NEVER
    """Time until which the task is not started, since its last crash may show that it crashes
    VMs."""
    ended_unseen: bool = False
    """Whether the task is done, and no previous leader can have learnt of it."""
    run_lost: bool = False
    """Whether a run of the task was lost with its VM, which the task may have crashed."""

    @property
    def needs_isolation(self) -> bool:
        """Return whether so many VMs crashed under the task that it must run isolated."""
        return len(self.crashes) >= ISOLATE_AFTER_CRASHES

    def crashed_before(self, vm: Incarnation) -> bool:
        """Return whether an earlier incarnation of a VM crashed while the task ran there."""
        return self.crashed_in(vm.info.entry_key, vm.name)

    def crashed_in(self, entry: str, excluded_vm: str) -> bool:
        """Return whether an entry's incarnation except ``excluded_vm`` crashed under the task."""
        prefix = entry + INCARNATION_SEPARATOR
        return any(name.startswith(prefix) and name != excluded_vm for name in self.crashes)

    def crash_weight(self, vm: str) -> float:
        """Return the evidence weight of the crash of a VM's incarnation against the task."""
        return self.crash_weights.get(vm, MAX_CRASH_WEIGHT)

    def evidence(self, excluded_vm: str = "") -> float:
        """Return the total evidence weight of the crashes under the task, except ``excluded_vm``'s.

        Of the crashes of one VM only the one with the largest weight counts, since a VM that
        crashes repeatedly may be the cause itself.
        """
        largest_weights: dict[str, float] = {}
        for vm in self.crashes:
            if vm != excluded_vm:
                entry = vm.partition(INCARNATION_SEPARATOR)[0]
                largest_weights[entry] = max(largest_weights.get(entry, 0.0), self.crash_weight(vm))
        return sum(largest_weights.values())

    @property
    def must_record_first(self) -> bool:
        """Return whether the next run must be recorded before it is requested.

        That is so if the task may have been started before. A crash is counted by the leader that
        requested the start, or by a later leader that finds the run recorded. Only the first start
        of a task may go unrecorded, so that at most one crash remains uncounted.
        """
        return self.run_lost or bool(self.crashes) or self.step.job.from_previous_leader


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
    tasks: list[TaskRow] = field(default_factory=list)
    open_tasks: int = 0
    """Number of tasks that are not done."""
    waiting: int = 0
    """Number of tasks that wait for a start."""
    opened_at: float = NEVER
    opened_here: bool = False
    """Whether no previous leader can have opened the step, and so have started tasks of it."""
    advice: AdviceRow | None = None
    awaiting_tickets: dict[str, int] = field(default_factory=dict)
    """Number of tasks by VM for which capacity is reserved while tickets are requested."""
    wait_logged_at: float = NEVER
    """When it was last logged that the step waits."""
    capped_since: float | None = None
    """Since when the organisation's cap keeps some of the tasks waiting."""
    capped_s: float = 0.0
    """Seconds for which the cap kept tasks waiting in earlier periods."""
    requeued_at: float = NEVER
    """When one of the tasks last returned to waiting for a start."""
    tried_at_capacity_version: int = -1
    """Capacity version at which placement of the step was last tried."""

    def __post_init__(self) -> None:
        self.key = step_key(self.job.name, self.repetition, self.number)

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

    def make_tasks(self) -> None:
        """Create the tasks, all of them waiting."""
        count = self.spec.count
        name = self.job.name
        self.tasks = [
            TaskRow(task_key(name, self.repetition, self.number, index), self, index)
            for index in range(count)
        ]
        self.open_tasks = count
        self.waiting = count


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
    open_steps: int = 0
    begun: bool = False
    from_previous_leader: bool = False
    """Whether a previous leader accepted the job, so that it may have runs not yet known here."""
    ended_ms: float = 0.0
    objective_at: float = 0.0
    """Time up to which its completion earns full credit."""
    run_completions: list[RunCompletion] = field(default_factory=list)
    omitted_runs: int = 0
    """Number of completed runs that were not kept."""
    has_crashes: bool = False
    """Whether VMs have crashed under its tasks."""
    ended_crashes: CrashTable = field(default_factory=CrashTable)
    """Crashes under its tasks, once it has ended: their runs may be there until they are
    stopped."""

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
