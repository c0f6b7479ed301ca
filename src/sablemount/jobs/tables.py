"""The in-memory tables of the job scheduler: jobs, steps, tasks, runs and VMs.

All times are local monotonic seconds unless a name says otherwise. The systems change rows in
place; only records and messages are immutable.
"""

import enum
from dataclasses import dataclass, field
from math import inf

import msgspec

from sablemount.jobs.model import (
    INCARNATION_SEPARATOR,
    UNLIMITED_COPIES,
    JobSpec,
    Shape,
    StepSpec,
    VmInfo,
    step_key,
    step_key_of,
    task_key,
)
from sablemount.jobs.records import JobRecord
from sablemount.jobs.schedule import Schedule

__all__ = [
    "MAX_CRASH_WEIGHT",
    "MAX_KEPT_COMPLETIONS",
    "NEVER",
    "AdviceRow",
    "CrashTable",
    "JobRow",
    "JobState",
    "Lease",
    "LeaseSource",
    "RunCompletion",
    "RunRow",
    "RunState",
    "StepRow",
    "TaskRow",
    "TaskState",
    "Ticket",
    "VmRow",
]

NEVER = -1e9
MAX_KEPT_COMPLETIONS = 400
"""Completed runs kept per job until its end is logged: at most three times the tasks of a job,
except for long-running jobs."""
ISOLATE_AFTER_CRASHES = 2
"""Crashes under a task after which it runs isolated from other jobs."""
MAX_CRASH_WEIGHT = 3.0
"""Largest evidence weight of one crash against a task, as the logarithm of odds: another cause can
never be excluded."""
LONGEST_POLL_MS = 2_000.0
"""Longest time in ms that a VM lets a poll wait, on its own clock."""
MIN_CLOCK_RATE = 0.98
"""Lowest rate of a VM's clock relative to true time."""


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


class RunState(enum.Enum):
    """State of a run, as far as the leader knows it."""

    RECORDING = "noting"
    """The run is being recorded. It is requested only afterwards: otherwise it would leave no trace
    if the leader ended."""
    SENT = "sent"
    """The start request is in flight, or was not answered."""
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRow:
    """A run that may occupy capacity on a VM."""

    task: str
    number: int
    vm: str
    charge: Shape
    sent_at: float
    state: RunState = RunState.SENT
    recorded: bool = False
    """Whether the store holds everything that must be recorded before the start request."""
    is_probe: bool = False
    """Whether the run is a probe: it shows whether its VM lists completions, and ends before it has
    done any work."""
    charges_whole_vm: bool = False
    """Whether the whole VM is charged for the run, because its job is no longer known."""
    organisation: str = ""
    """Organisation that owns the run; empty if unknown."""
    cap_charge: Shape = Shape()
    """What the run counts against its organisation's cap."""
    settle_clock_ms: float = 0.0
    """Time on the VM's clock after which a run that the VM does not list will never be there."""
    started_at: float = 0.0
    stop_sent_at: float = NEVER
    listed: bool = False
    """Whether the VM has listed the run in a report."""
    found: bool = False
    """Whether this leader knows the run only because its VM listed it."""
    outlasts_earlier_polls: bool = False
    """Whether the run was on its VM when no poll of a previous leader could wait there any more, so
    that no previous leader learns of its end."""
    resumed: bool = False
    """Whether the run continues from state that an earlier run saved."""
    previous_vm: str = ""
    """Incarnation with which the run may have ended, until it is known whether the run reached the
    next incarnation."""
    percent: float = 0.0
    percent_at: float = 0.0
    """When the percentage last rose."""
    metric: float = 0.0
    """See ``RunReport``."""
    speed_percent: int | None = 100
    """Percentage of full speed last granted to the run; ``None`` if unknown."""
    saved: str = ""
    progress_sampled_at: float = NEVER
    progress_sampled_percent: float = 0.0
    """When the progress rate was last measured, and the progress at that time."""
    progress_rate: float | None = None
    """Last measured progress rate, as the share of the work done per second."""
    best_progress_rate: float = 0.0
    owner: "TaskRow | None" = None
    """Its task, also once the job has ended; ``None`` if this leader knows nothing of the job."""
    completion_kept: bool = False
    """Whether the completion is already kept for the log line of its job's end."""

    def seconds_at_work(self, until: float) -> float:
        """Return for how many seconds the run is known to have worked up to a local time."""
        return until - self.started_at if self.started_at > 0 else 0.0


@dataclass(slots=True, frozen=True)
class RunCompletion:
    """How a run ended, kept until its job's end is logged; times are local seconds."""

    task: str
    number: int
    vm: str
    started_at: float
    ended_at: float
    outcome: str


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

    def crashed_before(self, vm: "VmRow") -> bool:
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


class LeaseSource(enum.Enum):
    """What may have extended a lease last; the value is logged."""

    NONE = "nothing"
    POLL = "poll"
    START = "start"
    PREVIOUS_LEADER = "previous leader"
    """Up to the first report to this leader, a previous one may have extended it."""
    PREVIOUS_INCARNATION = "previous incarnation"
    """A call for the previous incarnation may have reached this one."""


@dataclass(slots=True, frozen=True, eq=False)
class Lease:
    """A lease of everything that runs on a VM, told from others by identity."""

    end: float
    """Local time after which nothing that was leased there can run."""
    source: LeaseSource = LeaseSource.NONE
    until_ms: int = 0
    """The end on the VM's clock as it was requested; 0 if this leader did not request it."""


@dataclass(slots=True, eq=False)
class VmRow:
    """One incarnation of a VM."""

    info: VmInfo
    name: str = field(init=False)
    """Name of this incarnation."""
    listed: bool = True
    unlisted_at: float | None = None
    """When its entry was found missing; ``None`` while it is present or no list has been read."""
    revision: int = 0
    """Revision of the newest description that the VM has published of itself."""
    described_at: float = NEVER
    """When a description with a newer revision arrived."""
    free_capacity: Shape = Shape()
    """Its capacity less what runs are charged and what is reserved for steps."""
    runs: dict[tuple[str, int], RunRow] = field(default_factory=dict)
    """All runs that may be on the VM, wanted or not, by task and number."""
    tasks_by_step: dict[str, int] = field(default_factory=dict)
    """Number of these runs, and of the places reserved, by the key of their step."""
    reserved: dict[str, int] = field(default_factory=dict)
    """Number of places that are reserved for a step until it has tickets, by its key."""
    last_report_at: float = NEVER
    first_report_at: float = NEVER
    connections_refused_since: float = 2 * NEVER
    """Since when nothing listens at its address; earlier than its last report if something does."""
    first_clock_ms: float = inf
    """Its clock at the first report, by which it refuses the calls of previous leaders."""
    clock_ms: float = 0.0
    clock_read_at: float = NEVER
    """When the answer with ``clock_ms`` arrived."""
    behind_logged_at: float = NEVER
    """When an answer with a clock far behind was last logged."""
    fence: int = 0
    """Fence of its calls, among those of one leader; it rises with each incarnation."""
    entry_pending: bool = False
    """Whether the VM is known from its answers only, and its entry has not been read yet."""
    completions_unreliable: bool = False
    """Whether completions there may go unlisted, so that nothing may be started."""
    unverified: bool = False
    """Whether that is only suspected, so that a probe may show that the VM lists its completions;
    see ``proofs.py``."""
    probes: int = 0
    """Number of probes started on the VM."""
    lease_extended_until: float = NEVER
    """End of the lease that a call for the previous incarnation may have given to this one."""
    earlier_poll_in_flight: bool = False
    """Whether a poll for an earlier incarnation is unanswered that may extend its lease."""
    next_probe_at: float = NEVER
    """Earliest time of the next probe."""
    recorded_speed: float = 0.0
    """Its speed as recorded, or as about to be recorded."""
    follows_crash_at: float = NEVER
    """When it was found to follow an incarnation under the same id whose end was not planned."""
    last_seen_completion: int = 0
    """Last completion that the VM has listed."""
    last_batched_completion: int = 0
    """Last completion that was put into a batch."""
    last_recorded_completion: int = 0
    """Last completion that the store holds, so that it may be acknowledged."""
    last_acknowledged_completion: int = 0
    """Last completion whose acknowledgement the VM is known to have received."""
    starts_in_flight: int = 0
    """Number of start requests in flight."""
    start_timed_out_at: float = NEVER
    """When a start request last timed out without an answer."""
    ack_in_flight: bool = False
    """Whether an acknowledgement of completions is in flight, so that nothing may be started."""
    delayed_by_ack: bool = False
    """Whether an acknowledgement in flight or overdue has delayed a start there."""
    unacknowledged_since: float | None = None
    """Since when there are recorded completions that were not acknowledged to the VM."""
    leaves_at: float | None = None
    """Time until which a draining incarnation lasts at least, if it has announced one."""
    lease: Lease = Lease(NEVER)
    """The longest lease there, as far as this leader can know."""
    lease_logged_at: float = NEVER
    """When its lease was last logged because it had fallen silent."""
    lease_returned_at: float = NEVER
    """When it was last logged that a call to extend the lease was not sent."""
    terminated: bool = False
    throttled_at: float = NEVER
    """When the speed of some run there was last changed."""
    avoid_until: float = NEVER
    """No new work before this time, because the VM refused a start or its tasks fail or make no
    progress."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs of which a task has failed there since any task last succeeded there."""
    preemptor_priority: int = 0
    """Priority for which preemption has reserved its capacity."""
    preemptor_step: str = ""
    """Only step that preemption has reserved its capacity for; empty if any of that priority may
    use it."""
    reserved_for_preemptor_until: float = NEVER
    """Until when its capacity is reserved for that step, or for work of that priority or more
    urgent work."""
    quarantines: int = 0
    """Number of quarantines since a task last succeeded there; each doubles the next pause."""
    recorded: bool = False
    """Whether its record says, or is about to say, that it may run something."""
    use_record_number: int = 0
    """Number of the newest use record that this leader made for it."""
    in_use: bool = False
    """Whether that record is in the store, so that runs may be started."""
    sealed: bool = False
    """Whether its record names the only tasks that may run there, so that nothing is started."""
    sealed_at: float = NEVER
    """When it was sealed last."""
    earlier_tasks: frozenset[str] | None = None
    """The only tasks that previous leaders' runs there may be of, up to its first report; ``None``
    if they may be of any."""
    earlier_runs_possible: bool = False
    """Whether a previous leader may have started something there, or a start request for its
    earlier incarnation may have reached it."""
    isolated_job: str = ""
    """Job that alone may start runs there, because VMs have crashed under its tasks."""
    uncertainty_recorded_at: float = NEVER
    """When its runs were last recorded as uncertain because it had fallen silent."""

    def __post_init__(self) -> None:
        self.name = self.info.name

    # -- What may run there ------------------------------------------------------------------

    def add_run(self, run: RunRow) -> None:
        """Count a run that may be on the VM from now on."""
        self.runs[(run.task, run.number)] = run
        self._take(step_key_of(run.task), run.charge, 1)

    def drop_run(self, run: RunRow) -> bool:
        """Release the place of a run that is over, and return whether it had one."""
        if self.runs.pop((run.task, run.number), None) is None:
            return False
        self._take(step_key_of(run.task), run.charge, -1)
        return True

    def reserve(self, step: StepRow) -> None:
        """Reserve a place for a task of a step."""
        self.reserved[step.key] = self.reserved.get(step.key, 0) + 1
        self._take(step.key, step.spec.charge, 1)

    def release(self, step: StepRow) -> None:
        """Release the places that are reserved for a step."""
        self._take(step.key, step.spec.charge, -self.reserved.pop(step.key, 0))

    def _take(self, step: str, charge: Shape, places: int) -> None:
        """Take places for tasks of a step, or release them if the number is negative."""
        self.free_capacity = self.free_capacity.plus(charge, -places)
        taken = self.tasks_by_step.get(step, 0) + places
        if taken:
            self.tasks_by_step[step] = taken
        else:
            self.tasks_by_step.pop(step, None)

    def spread_left(self, step: StepRow) -> int:
        """Return how many more tasks of a step its spread allows; negative if too many are there.

        Capacity doesn't count.
        """
        if not step.spec.spread:
            return UNLIMITED_COPIES
        return step.spec.spread - self.tasks_by_step.get(step.key, 0)

    def places_for(self, step: StepRow) -> int:
        """Return how many more tasks of a step may start, by capacity and by its spread."""
        return max(0, min(step.spec.charge.copies_in(self.free_capacity), self.spread_left(step)))

    def has_place_for(self, step: StepRow) -> bool:
        """Return whether a task of a step may start, by capacity and by the step's spread."""
        return step.spec.charge.fits(self.free_capacity) and self.spread_left(step) > 0

    def has_kept_place_for(self, step: StepRow) -> bool:
        """Return whether a task of a step that has a place may still start.

        It may not if the VM has shrunk since, or if runs were found there.
        """
        charge = step.spec.charge
        return charge.fits(self.free_capacity.plus(charge)) and self.spread_left(step) >= 0

    # -- Reports and reservations ------------------------------------------------------------

    def report_age(self, now: float) -> float | None:
        """Return the age of its last report in seconds; ``None`` if it never reported."""
        return round(now - self.last_report_at, 3) if self.last_report_at > 0 else None

    def refuses_earlier_polls(self, clock_ms: float) -> bool:
        """Return whether no poll of a previous leader waits any more at a time of its clock.

        One that it took before its first report to this leader may wait, and show an end.
        """
        return clock_ms > self.first_clock_ms + LONGEST_POLL_MS

    def is_reserved_against(self, step: "StepRow", priority: int, now: float) -> bool:
        """Return whether preemption has reserved its capacity against a step of some priority."""
        if self.reserved_for_preemptor_until <= now or priority < self.preemptor_priority:
            return False
        return priority > self.preemptor_priority or self.preemptor_step not in ("", step.key)

    def min_clock_ms(self, now: float) -> float:
        """Return the lowest value in ms that the VM's clock can show now."""
        return self.clock_ms + max(0.0, now - self.clock_read_at) * 1000.0 * MIN_CLOCK_RATE
