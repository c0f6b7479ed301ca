"""Immutable values of the job model: shapes, steps, jobs, queues, organisations and VMs.

Times are in milliseconds where a name ends in ``_ms``; cores are thousandths of a core and memory
is in megabytes throughout.
"""

from collections.abc import Iterable, Iterator

import msgspec

__all__ = [
    "INCARNATION_SEPARATOR",
    "UNLIMITED_COPIES",
    "AdviceTerms",
    "Configuration",
    "JobSpec",
    "Organisation",
    "Queue",
    "QueueTerms",
    "RequestLimits",
    "Shape",
    "SpecError",
    "StepSpec",
    "VmInfo",
    "check_spec",
    "job_name_of",
    "QueueTable",
    "step_key",
    "step_key_of",
    "task_key",
]

UNLIMITED_COPIES = 1_000_000
"""Number of copies of a shape that needs nothing."""
INCARNATION_SEPARATOR = "/"
"""Follows the key of an entry in the name of an incarnation; no key contains it."""
MAX_PAYLOAD_BYTES = 4_000
"""Largest payload of a job, as documented by the platform."""
MAX_STEPS = 1_000
"""Largest number of steps of a job: each takes rows of tables for as long as the job exists."""
MAX_TASKS = 20_000
"""Largest number of tasks of a job: no job may take a large part of a process's memory."""
MAX_SPEC_BYTES = 250_000
"""Largest size of an entire job as recorded: 12 KB less than the usual limit of a record."""


class Shape(msgspec.Struct, frozen=True, array_like=True):
    """What a task needs or a VM has: thousandths of a core, megabytes, accelerators."""

    cores: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, capacity: "Shape") -> bool:
        """Return whether this shape fits into a capacity."""
        return (
            self.cores <= capacity.cores
            and self.memory <= capacity.memory
            and self.accelerators <= capacity.accelerators
        )

    def copies_in(self, capacity: "Shape") -> int:
        """Return how many copies of this shape fit into a capacity."""
        fits = [
            have // need
            for need, have in (
                (self.cores, capacity.cores),
                (self.memory, capacity.memory),
                (self.accelerators, capacity.accelerators),
            )
            if need > 0
        ]
        return max(0, min(fits, default=UNLIMITED_COPIES))

    def plus(self, other: "Shape", times: int = 1) -> "Shape":
        """Return this shape plus a multiple of another one; the factor may be negative."""
        return Shape(
            self.cores + times * other.cores,
            self.memory + times * other.memory,
            self.accelerators + times * other.accelerators,
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job: a number of identical tasks."""

    count: int
    shape: Shape = Shape()
    expected_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    spread: int = 0
    """Largest number of tasks of the step on one VM; 0 for any number."""
    speculative: bool = False
    lasting: bool = False
    """Whether its tasks run until the job is cancelled."""
    saves: bool = False
    """Whether a stopped task saves its state, from which its next run resumes."""
    image: str = ""
    target_ms: float = 0.0
    """Target of the tail latency of a long-running task; 0 if it has none."""
    fills: bool = False
    """Whether its tasks are best-effort: charged no cores, and throttled where necessary."""
    may_miss: int = 0
    """Largest number of tasks that may be away from work at once by a stop; 0 for no limit."""

    @property
    def charge(self) -> Shape:
        """Return what a task of the step is charged to its VM."""
        if not self.fills:
            return self.shape
        return Shape(0, self.shape.memory, self.shape.accelerators)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a client; ``payload`` is passed to the VMs unchanged."""

    payload: str
    steps: tuple[StepSpec, ...]
    times: int = 0
    """Number of repetitions of the steps; 0 for a single run without a due time."""
    first_due_ms: float = 0.0
    interval_ms: float = 0.0

    def repetitions(self) -> range:
        """Return the numbers of the repetitions of the steps."""
        return range(max(1, self.times))

    def due_ms(self, repetition: int) -> float:
        """Return the time of day, in ms since 1970, before which a repetition may not start."""
        if not self.times:
            return 0.0
        return self.first_due_ms + repetition * self.interval_ms

    def is_long_running(self) -> bool:
        """Return whether some step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)


class AdviceTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Expected time of a call for advice and validity of its tickets, in milliseconds.

    A call takes ``decide_ms``, and ``each_ms`` more for each VM that it names.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class QueueTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """The terms under which a queue's jobs run; a lower ``priority`` goes first."""

    name: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advice: AdviceTerms | None = None


class Queue(msgspec.Struct, frozen=True):
    """A queue and the host and path prefix where callers reach it."""

    host: str
    prefix: str
    terms: QueueTerms
    public: bool = False
    """Whether callers need no key."""


class Organisation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Owner and payer of jobs: how its callers are recognised, and how much it may run."""

    name: str
    key_digests: tuple[bytes, ...] = ()
    """Digests of the keys that its callers may present; the keys themselves are not stored."""
    weight: float = 1.0
    """Its share relative to the weights of the others when all capacity is in use."""
    cap: Shape = Shape()
    """What it may have running over all VMs; 0 in a dimension means no limit."""


class RequestLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Limits of a caller's request; 0 selects the process's own default."""

    header_bytes: int = 0
    body_bytes: int = 0
    header_seconds: float = 0.0
    """Time within which a request's headers must arrive, from their first byte."""
    idle_seconds: float = 0.0
    """Time after which a connection without a request is closed."""


class Configuration(msgspec.Struct, frozen=True, omit_defaults=True):
    """One version of the configuration that the operator has published."""

    version: int = -1
    queues: tuple[Queue, ...] = ()
    guarded_pools: frozenset[str] = frozenset()
    """Pools whose VMs reject starts that do not fit."""
    keyed: bool = False
    """Whether callers must present a key of an organisation, except for public queues."""
    organisations: tuple[Organisation, ...] = ()
    limits: RequestLimits = RequestLimits()
    pools: frozenset[str] = frozenset()
    """Named pools, whose VMs may be used; empty if the configuration names none."""
    accepted_connections: dict[str, int] = {}
    """How many connections in all each VM of a pool takes, by pool."""


class VmInfo(msgspec.Struct, frozen=True):
    """One incarnation of a VM, as it describes itself.

    ``name`` is the key of its entry; where several incarnations share the key, a separator and a
    suffix follow.
    """

    name: str
    address: str
    pool: str
    capacity: Shape
    labels: tuple[str, ...] = ()
    draining: bool = False
    machine: str = ""
    leaves_in: float = 0.0
    """Seconds that a draining incarnation has left at least; 0 if it has not announced them."""
    revision: int = 0
    """Orders the descriptions published by one incarnation: a list may be some seconds old."""
    instance: str = ""
    """Id that its incarnations share, if that is not its name."""
    born: int = 0
    """Unix time of its start in ms; 0 if unknown."""

    @property
    def entry_key(self) -> str:
        """Return the key of its entry, which its incarnations share."""
        return self.instance or self.name

    @property
    def rack(self) -> str:
        """Return the label that names the VM's rack, which is the last one."""
        return self.labels[-1] if self.labels else ""


class SpecError(msgspec.Struct, frozen=True):
    """An error in a job; ``path`` names the field, such as ``$.steps[1].after``."""

    path: str
    reason: str


def task_key(job: str, repetition: int, step: int, index: int) -> str:
    """Return a task's name: job, repetition, step and index, joined by dots."""
    return f"{job}.{repetition}.{step}.{index}"


def job_name_of(task: str) -> str:
    """Return the name of the job that a task belongs to."""
    return task.partition(".")[0]


def step_key_of(task: str) -> str:
    """Return the name that a task shares with the others of its step and repetition."""
    return task.rpartition(".")[0]


def step_key(job: str, repetition: int, step: int) -> str:
    """Return the name that the tasks of one step and repetition share."""
    return f"{job}.{repetition}.{step}"


class QueueTable:
    """Finds queues by host and path in a time that does not grow with their number."""

    def __init__(self, queues: Iterable[Queue]) -> None:
        self._hosts: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            self._hosts.setdefault(queue.host, {}).setdefault(queue.prefix, queue)
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self._hosts.items()
        }

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue at a host with the longest prefix that matches a path."""
        prefixes = self._hosts.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            queue = prefixes.get(path[:length])
            if queue is not None:
                return queue
        return None


def check_spec(spec: JobSpec) -> SpecError | None:
    """Return the first error of a job, or ``None``."""
    return next(_errors(spec), None)


def _errors(spec: JobSpec) -> Iterator[SpecError]:
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        yield SpecError("$.payload", f"more than {MAX_PAYLOAD_BYTES} bytes")
    if not spec.steps:
        yield SpecError("$.steps", "no steps")
    if len(spec.steps) > MAX_STEPS:
        yield SpecError("$.steps", f"more than {MAX_STEPS} steps")
    if sum(max(0, step.count) for step in spec.steps) > MAX_TASKS:
        yield SpecError("$.steps", f"more than {MAX_TASKS} tasks")
    if len(msgspec.msgpack.encode(spec)) > MAX_SPEC_BYTES:
        yield SpecError("$.steps", f"more than {MAX_SPEC_BYTES} bytes")
    if spec.times < 0:
        yield SpecError("$.times", "below 0")
    for number, step in enumerate(spec.steps):
        yield from _step_errors(number, step)


def _step_errors(number: int, step: StepSpec) -> Iterator[SpecError]:
    path = f"$.steps[{number}]"
    if step.count < 1:
        yield SpecError(f"{path}.count", "below 1")
    if min(step.shape.cores, step.shape.memory, step.shape.accelerators) < 0:
        yield SpecError(f"{path}.shape", "below 0")
    if any(not 0 <= earlier < number for earlier in step.after):
        yield SpecError(f"{path}.after", "not the number of an earlier step")
