"""The live tables of the job scheduler: jobs, steps, tasks, runs and VMs.

All times are local monotonic seconds unless a name says otherwise. Rows are changed in place by
the systems; only records and messages are immutable.
"""

import enum
from dataclasses import dataclass, field

from sablemount.jobs.model import LIFE_SEPARATOR, Shape, StepSpec, VmInfo, step_key, task_key
from sablemount.jobs.records import JobRecord

__all__ = [
    "CLEAR",
    "MAX_RUN_ENDS",
    "NEVER",
    "AdviceRow",
    "JobRow",
    "JobState",
    "RunEnd",
    "RunRow",
    "RunState",
    "StepRow",
    "TaskRow",
    "TaskState",
    "Ticket",
    "VmRow",
]

NEVER = -1e9
MAX_RUN_ENDS = 400
"""Ended runs that are kept of a job: three times its tasks at most, but for jobs that last."""
TRIED_AFTER = 2
"""Crashes under a task after which it runs apart from other jobs."""
CLEAR = 3.0
"""What a crash tells of a task at most, as a logarithm of odds: there may always be another cause.
"""
SLOW_CLOCK = 0.98
"""Rate of the slowest clock of a VM against true time."""


class JobState(enum.IntEnum):
    """State of a job; the numbers are part of the records."""

    PENDING = 0
    RUNNING = 1
    SUCCEEDED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Tell whether the job has ended."""
        return self >= JobState.SUCCEEDED


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunState(enum.Enum):
    """State of a run, as far as it is known here."""

    NOTING = "noting"
    """No order is given for it before the store has it: its leader's end would leave no trace."""
    SENT = "sent"
    """The order is on its way, or its answer did not come."""
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRow:
    """A run that may take room on a VM."""

    task: str
    number: int
    vm: str
    charge: Shape
    sent_at: float
    state: RunState = RunState.SENT
    noted: bool = False
    """Whether the store has what has to be there before its order."""
    proof: bool = False
    """Whether it is there to show that its VM lists ends, and ends before it has done any work."""
    whole: bool = False
    """Whether all of its VM is charged for it, since its job is not known any more."""
    organisation: str = ""
    """Whose run it is; empty if that is not known."""
    counted: Shape = Shape()
    """What it takes of its organisation's cap."""
    settle_clock: float = 0.0
    """VM's clock (ms) after which a run that it does not list will never be there."""
    started_at: float = 0.0
    stop_sent_at: float = NEVER
    listed: bool = False
    """Whether its VM has listed it."""
    resumed: bool = False
    """Whether it goes on from what an earlier run has saved."""
    left: str = ""
    """Life that it may have ended with, while it is not known whether it came to the next one."""
    percent: float = 0.0
    percent_at: float = 0.0
    """When the percentage last rose."""
    figure: float = 0.0
    """See ``RunReport``."""
    share: int | None = 100
    """Percent of its speed that it was last given; ``None`` if that is not known."""
    saved: str = ""
    mark_at: float = NEVER
    mark_percent: float = 0.0
    """When its pace was last measured, and how far it was then."""
    pace: float | None = None
    """Share of it that was done in a second, when last measured."""
    best_pace: float = 0.0
    told: bool = False
    """Whether its end is kept for the line of its job's end."""

    def worked(self, until: float) -> float:
        """Return the seconds that it was known to be at work up to some local time."""
        return until - self.started_at if self.started_at > 0 else 0.0


@dataclass(slots=True, frozen=True)
class RunEnd:
    """How a run ended, kept until its job's end is logged; times are local seconds."""

    task: str
    number: int
    vm: str
    began: float
    ended: float
    how: str


@dataclass(slots=True, eq=False)
class TaskRow:
    """A task and its current runs."""

    key: str
    step: "StepRow"
    index: int
    state: TaskState = TaskState.WAITING
    failed_runs: set[int] = field(default_factory=set)
    """Runs whose failure has been counted, so that an end listed again counts once."""
    saved: str = ""
    last_run: int = 0
    runs: list[RunRow] = field(default_factory=list)
    failed_on: set[str] = field(default_factory=set)
    """VMs on which the task has failed."""
    failed_at: float = NEVER
    """When it last failed."""
    crashes: list[str] = field(default_factory=list)
    """VMs that have crashed while it ran there."""
    weights: dict[str, float] = field(default_factory=dict)
    """What a crash tells of it where that is less than of a clear one; see ``evidence.py``."""
    lost: bool = False
    """Whether a run of it was lost with its VM, which it may have crashed."""

    @property
    def on_trial(self) -> bool:
        """Tell whether so many VMs have crashed under it that it runs apart from other jobs."""
        return len(self.crashes) >= TRIED_AFTER

    def crashed_before(self, vm: "VmRow") -> bool:
        """Tell whether an earlier life of a VM has crashed while it ran there."""
        return self.crashed_in(vm.info.entry, vm.name)

    def crashed_in(self, entry: str, but: str) -> bool:
        """Tell whether a life of an entry, but for one, has crashed while it ran there."""
        lives = entry + LIFE_SEPARATOR
        return any(name.startswith(lives) and name != but for name in self.crashes)

    def weight(self, vm: str) -> float:
        """Return what the crash of a VM's life tells of it."""
        return self.weights.get(vm, CLEAR)

    def evidence(self, but: str = "") -> float:
        """Return what all crashes under it tell, but for that of one life.

        Of one VM the crash counts that tells the most: one that crashes again may do so by itself.
        """
        most: dict[str, float] = {}
        for vm in self.crashes:
            if vm != but:
                entry = vm.partition(LIFE_SEPARATOR)[0]
                most[entry] = max(most.get(entry, 0.0), self.weight(vm))
        return sum(most.values())

    @property
    def noted_first(self) -> bool:
        """Tell whether its next order waits for the store, since it may have been started before.

        A crash counts under the leader that gave the order, or under a later one that finds it
        noted. Only the first of a task's orders may go without, so that one crash at most counts
        for nothing.
        """
        return self.lost or bool(self.crashes) or self.step.job.former


@dataclass(slots=True)
class Ticket:
    """Leave to run a step on a VM, until a local time."""

    text: str
    until: float


@dataclass(slots=True)
class AdviceRow:
    """What is known of which VMs may run a step."""

    good: dict[str, Ticket] = field(default_factory=dict)
    bad: set[str] = field(default_factory=set)
    asking: int = 0
    """Calls on their way."""
    asked_at: float = NEVER
    asked_for: float = 0.0
    """Seconds that answers were waited for so far."""
    failures: int = 0
    known_at: int = -1
    """Count of changes of the VMs at which all of them were known."""

    def asked(self, now: float) -> float:
        """Return the seconds that answers were waited for, with calls that are on their way."""
        return self.asked_for + (now - self.asked_at if self.asking else 0.0)


@dataclass(slots=True, eq=False)
class StepRow:
    """A step of one repetition of a job."""

    job: "JobRow"
    repetition: int
    number: int
    spec: StepSpec
    chain: float = 0.0
    """Expected seconds from its start to its job's end."""
    tasks: list[TaskRow] = field(default_factory=list)
    open_tasks: int = 0
    """How many of its tasks are not done."""
    waiting: int = 0
    """How many of its tasks wait for a start."""
    opened_at: float = NEVER
    advice: AdviceRow | None = None
    booked: dict[str, int] = field(default_factory=dict)
    """Tasks by VM whose room is kept while tickets are asked for."""
    told_at: float = NEVER
    """When it was last logged that it waits."""
    capped_since: float | None = None
    """Since when its organisation's cap keeps some of its tasks waiting."""
    capped_for: float = 0.0
    """Seconds for which it has done so before."""
    requeued_at: float = NEVER
    """When one of its tasks last came to wait for another start."""
    tried_at_freed: int = -1
    """Count of freed room at which its placement was last tried."""

    @property
    def key(self) -> str:
        """Return the name that its tasks share."""
        return step_key(self.job.name, self.repetition, self.number)

    @property
    def turn_at(self) -> float:
        """Return since when it could have been placed."""
        return max(self.opened_at, self.job.accepted_at)

    def note_cap(self, binds: bool, now: float) -> None:
        """Take whether its organisation's cap keeps some of its tasks waiting."""
        if binds and self.capped_since is None:
            self.capped_since = now
        elif not binds and self.capped_since is not None:
            self.capped_for += now - self.capped_since
            self.capped_since = None

    def capped(self, now: float) -> float:
        """Return for how many seconds the cap has kept tasks waiting so far."""
        return self.capped_for + (0.0 if self.capped_since is None else now - self.capped_since)

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
    shown: JobState = JobState.PENDING
    """State that callers may be told: a final one only once it is in the store."""
    steps: dict[tuple[int, int], StepRow] = field(default_factory=dict)
    open_steps: int = 0
    next_repetition: int = 0
    begun: bool = False
    former: bool = False
    """Accepted under a former leader, so that something of it may run unseen."""
    ended_ms: float = 0.0
    objective_at: float = 0.0
    """Until when its end earns the whole credit."""
    run_ends: list[RunEnd] = field(default_factory=list)
    more_runs: int = 0
    """Ended runs that are not kept."""
    watched: bool = False
    """Whether VMs have crashed under its tasks."""

    @property
    def organisation(self) -> str:
        """Return whose job it is; empty if that is not known, or nobody's."""
        return self.record.organisation

    @property
    def public(self) -> bool:
        """Tell whether it was handed in where no key is needed."""
        return self.record.public


@dataclass(slots=True, eq=False)
class VmRow:
    """One life of a VM."""

    info: VmInfo
    name: str = field(init=False)
    """Name of this life."""
    listed: bool = True
    unlisted_at: float | None = None
    """When its entry was found to be missing; ``None`` while it is there or no list was read."""
    revision: int = 0
    """Of the newest word that it has told of itself."""
    told_at: float = NEVER
    """When a newer word than before of what it tells of itself came."""
    room: Shape = Shape()
    runs: dict[tuple[str, int], RunRow] = field(default_factory=dict)
    heard_at: float = NEVER
    first_heard_at: float = NEVER
    refused_since: float = 2 * NEVER
    """Since when nothing listens at its address; before it was last heard if something does."""
    clock_ms: float = 0.0
    clock_at: float = NEVER
    """When the answer with ``clock_ms`` came."""
    behind_at: float = NEVER
    """When an answer whose clock was far behind was last told of."""
    fence: int = 0
    """What its calls are fenced by, among those of one leader; it rises from life to life."""
    awaited: bool = False
    """Whether it is known by its answers only, and its entry is yet to come."""
    deaf: bool = False
    """Whether ends there may go unlisted, so that nothing may be started."""
    unproven: bool = False
    """Whether that is but feared, so that it may show that it lists them; see ``proofs.py``."""
    proofs: int = 0
    """How often it was to show that."""
    prove_at: float = NEVER
    """When it may be to show that again."""
    noted_speed: float = 0.0
    """Its speed as its record has it, or is about to."""
    follows_at: float = NEVER
    """When it was found to follow a life under its id that had ended unplanned."""
    seen_end: int = 0
    noted_end: int = 0
    """Last end that went with a batch."""
    acked_end: int = 0
    """Last end whose note is in the store, so that it may be acknowledged."""
    told_end: int = 0
    """Last end that the VM is known to have been told to forget."""
    ordering: int = 0
    """Orders to start something that are on their way."""
    unanswered_at: float = NEVER
    """When such an order was last given up without an answer."""
    telling: bool = False
    """Whether it is being told to forget ends, so that nothing is started meanwhile."""
    held_up: bool = False
    """Whether something was not started there for that."""
    untold_since: float | None = None
    """Since when there are noted ends that it has not been told to forget."""
    leaves_at: float | None = None
    """Until when a life that drains lasts at least, if it has told."""
    lease_end: float = NEVER
    """Local time after which nothing that was leased there can run."""
    gone: bool = False
    paced_at: float = NEVER
    """When the share of some run there was last changed."""
    avoid_until: float = NEVER
    """No new work before this time: it refused, or its tasks fail or stand still."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs of which a task has failed there since one was last done."""
    kept_priority: int = 0
    kept_for: str = ""
    """Step for which alone its room is kept; empty if any of that priority may take it."""
    kept_until: float = NEVER
    """Until when its room is kept for that step or for work of that priority, or more urgent."""
    strikes: int = 0
    recorded: bool = False
    """Whether its record says, or is about to say, that it may run something."""
    uses: int = 0
    """Records of its use that were made here: the number of the last one."""
    in_use: bool = False
    """Whether that record is in the store, so that something may be started."""
    loaded: bool = False
    """Whether something may have been started there by a former leader's order, or by one that was
    meant for its earlier life."""
    trial: str = ""
    """Job that alone may start something there, since VMs have crashed under its tasks."""
    doubted_at: float = NEVER
    """When what runs there was last noted as in doubt, since it had fallen silent."""

    def __post_init__(self) -> None:
        self.name = self.info.name

    def heard_ago(self, now: float) -> float | None:
        """Return the age of its last word in seconds; ``None`` if it was never heard."""
        return round(now - self.heard_at, 3) if self.heard_at > 0 else None

    def kept_from(self, step: "StepRow", priority: int, now: float) -> bool:
        """Tell whether its room is kept for others than a step of some priority."""
        if self.kept_until <= now or priority < self.kept_priority:
            return False
        return priority > self.kept_priority or self.kept_for not in ("", step.key)

    def clock_after(self, now: float) -> float:
        """Return the least that the VM's clock can show now, in ms."""
        return self.clock_ms + max(0.0, now - self.clock_at) * 1000.0 * SLOW_CLOCK
