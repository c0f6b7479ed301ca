"""Tables of the live state that one scheduler keeps; none of it outlives the process."""

import enum

from sablemount.core.actions import CommandKind
from sablemount.core.documents import CLASS_ORDER, Shape, TemplateDocument
from sablemount.core.facts import VmFacts
from sablemount.core.rows import TaskRow

__all__ = [
    "HeldShard",
    "HoldState",
    "PeerRow",
    "RunRow",
    "RunStage",
    "VmRow",
    "VmStage",
    "task_of",
]

RUN_SEPARATOR = "@"


def task_of(run: str) -> str:
    """Return the task that a run belongs to."""
    return run.rsplit(RUN_SEPARATOR, 1)[0]


class VmStage(enum.Enum):
    """What this scheduler knows of a VM of its own shards."""

    UNKNOWN = "unknown"
    USABLE = "usable"
    DRAINING = "draining"
    LOST = "lost"


class VmRow:
    """One VM: its capacity, what is granted of it, and how it answers.

    ``requests`` gives for each request sent to it the time at which it was given up, or infinity.
    ``foreign`` counts slots that requests of other schedulers hold; ``orphans`` are runs that
    belong to no open task.
    """

    __slots__ = (
        "accelerators",
        "acknowledge",
        "address",
        "boot",
        "bucket",
        "commands",
        "cores",
        "ejected_until",
        "errors",
        "facts",
        "foreign",
        "free_accelerators",
        "free_cores",
        "free_memory",
        "free_slots",
        "hall",
        "leaving",
        "listed",
        "missed",
        "next_poll",
        "orphans",
        "place",
        "polling",
        "rack",
        "reconciled",
        "requests",
        "reserved_for",
        "runs",
        "said_leaving",
        "shard",
        "slot_place",
        "stage",
        "urgent_poll",
        "vm",
        "was_usable",
    )

    def __init__(self, facts: VmFacts, shard: int) -> None:
        self.vm = facts.vm
        self.shard = shard
        self.address = facts.address
        self.hall = facts.hall
        self.rack = facts.rack
        self.facts = facts
        self.cores = facts.capacity.cores
        self.accelerators = facts.capacity.accelerators
        self.free_cores = facts.capacity.cores
        self.free_memory = facts.capacity.memory_mb
        self.free_accelerators = facts.capacity.accelerators
        self.free_slots = facts.capacity.slots
        self.stage = VmStage.UNKNOWN
        self.leaving = facts.leaving
        self.said_leaving = False
        self.listed = True
        self.reconciled = False
        self.boot = ""
        self.runs: dict[str, None] = {}
        self.orphans: dict[str, Shape] = {}
        self.commands: dict[str, CommandKind] = {}
        self.acknowledge: dict[str, None] = {}
        self.requests: dict[str, float] = {}
        self.foreign = 0
        self.missed = 0
        self.next_poll = 0.0
        self.polling = False
        self.urgent_poll = False
        self.errors = 0
        self.ejected_until = 0.0
        self.reserved_for: dict[str, Shape] = {}
        self.was_usable = False
        self.bucket: list[VmRow] | None = None
        self.place = -1
        self.slot_place = -1

    def forget(self) -> None:
        """Forget what was learned as the owner; the requests in flight stay charged."""
        for shape in self.orphans.values():
            self.release(shape)
        self.free_slots += self.foreign
        self.foreign = 0
        self.orphans.clear()
        self.commands.clear()
        self.acknowledge.clear()
        self.reserved_for.clear()
        self.reconciled = False
        self.stage = VmStage.UNKNOWN
        self.boot = ""
        self.missed = 0

    def has_room(self, shape: Shape) -> bool:
        """Tell whether a shape fits into what is free."""
        return (
            shape.cores <= self.free_cores
            and shape.memory_mb <= self.free_memory
            and shape.accelerators <= self.free_accelerators
            and shape.slots <= self.free_slots
        )

    def charge(self, shape: Shape) -> None:
        """Take a shape from what is free."""
        self.free_cores -= shape.cores
        self.free_memory -= shape.memory_mb
        self.free_accelerators -= shape.accelerators
        self.free_slots -= shape.slots

    def release(self, shape: Shape) -> None:
        """Give a shape back to what is free."""
        self.free_cores += shape.cores
        self.free_memory += shape.memory_mb
        self.free_accelerators += shape.accelerators
        self.free_slots += shape.slots


class RunStage(enum.Enum):
    """Where a run stands, as far as its scheduler knows.

    ``LAPSED`` is a run whose lease is certainly over while its VM does not answer: the task may
    run elsewhere, and the VM stays charged until it answers.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"
    ENDED = "ended"
    LAPSED = "lapsed"


class RunRow:
    """One run of a task on a VM; ``shape`` is what is charged for it."""

    __slots__ = (
        "asked_at",
        "ended",
        "job",
        "lease_bound",
        "order",
        "organisation",
        "run",
        "shape",
        "shard",
        "stage",
        "started_at",
        "task",
        "template",
        "throttled",
        "uncertain_until",
        "vm",
    )

    def __init__(self, run: str, row: TaskRow, vm: str, now: float) -> None:
        self.run = run
        self.task = row.task
        self.job = row.job
        self.template: TemplateDocument = row.template
        self.organisation = row.template.organisation
        self.order = CLASS_ORDER[row.template.priority]
        self.vm = vm
        self.shard = row.shard
        self.shape = row.template.shape
        self.stage = RunStage.STARTING
        self.asked_at = now
        self.started_at = now
        self.lease_bound = 0.0
        self.uncertain_until = 0.0
        self.ended = ""
        self.throttled = False


class HoldState(enum.Enum):
    """Where the holding of a shard stands."""

    WAITING = "waiting"
    ACTIVE = "active"
    RELEASING = "releasing"


class HeldShard:
    """A shard that this scheduler owns by the ledger.

    ``opened`` tells that all that a former owner started is known, so its tasks may be placed.
    """

    __slots__ = ("active_at", "epoch", "lapse_at", "opened", "shard", "state")

    def __init__(self, shard: int, epoch: int, active_at: float, lapse_at: float) -> None:
        self.shard = shard
        self.epoch = epoch
        self.active_at = active_at
        self.lapse_at = lapse_at
        self.state = HoldState.WAITING
        self.opened = False


class PeerRow:
    """What this scheduler has heard of another member."""

    __slots__ = (
        "beat",
        "free_accelerators",
        "free_cores",
        "free_slots",
        "gossiped_at",
        "heard_at",
        "incarnation",
        "name",
        "offset",
        "promised_until",
        "stopping",
    )

    def __init__(self, name: str, incarnation: int, now: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self.beat = -1
        self.heard_at = now
        self.gossiped_at = now
        self.offset = 0
        self.free_slots = 0
        self.free_cores = 0
        self.free_accelerators = 0
        self.stopping = False
        self.promised_until = 0.0
