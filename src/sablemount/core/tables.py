"""Rows of the in-memory state of one scheduler; nothing here is persistent."""

import enum
from typing import NamedTuple

from sablemount.core.actions import CommandKind
from sablemount.core.documents import PRIORITY_RANK, Shape, TemplateDocument
from sablemount.core.facts import VmFacts
from sablemount.core.rows import TaskRow

__all__ = [
    "HeldShard",
    "HoldState",
    "Orphan",
    "PeerRow",
    "RunRow",
    "RunStage",
    "VmRow",
    "VmStage",
    "task_of",
]

RUN_SEPARATOR = "@"


def task_of(run: str) -> str:
    """Return the name of the task that a run belongs to."""
    return run.rsplit(RUN_SEPARATOR, 1)[0]


class VmStage(enum.Enum):
    """State of a VM as known to the owner of its shard."""

    UNKNOWN = "unknown"
    USABLE = "usable"
    DRAINING = "draining"
    LOST = "lost"


class Orphan(NamedTuple):
    """What is charged for a run that belongs to no open task; it works until it is stopped."""

    shape: Shape
    organisation: str


class VmRow:
    """One VM: its capacity, the part of it that is in use, and its polls.

    ``requests`` maps each request sent to the VM to the time at which it was abandoned, or to
    infinity while it is in flight. ``foreign_slots`` is the number of slots held by requests of
    other schedulers. ``orphans`` are runs that belong to no open task, with what is charged for
    them. ``reserved_for`` maps the tasks for which preemption frees capacity to their shapes.
    ``bucket_position`` and ``slot_position`` are the row's positions in the indexes.
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
        "consecutive_failures",
        "facts",
        "foreign_slots",
        "free_accelerators",
        "free_cores",
        "free_memory",
        "free_slots",
        "hall",
        "leaving",
        "in_vm_list",
        "missed_polls",
        "next_poll",
        "orphans",
        "bucket_position",
        "poll_in_flight",
        "rack",
        "reconciled",
        "requests",
        "reserved_for",
        "runs",
        "reported_leaving",
        "shard",
        "slot_position",
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
        self.reported_leaving = False
        self.in_vm_list = True
        self.reconciled = False
        self.boot = ""
        self.runs: dict[str, None] = {}
        self.orphans: dict[str, Orphan] = {}
        self.commands: dict[str, CommandKind] = {}
        self.acknowledge: dict[str, None] = {}
        self.requests: dict[str, float] = {}
        self.foreign_slots = 0
        self.missed_polls = 0
        self.next_poll = 0.0
        self.poll_in_flight = False
        self.urgent_poll = False
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.reserved_for: dict[str, Shape] = {}
        self.was_usable = False
        self.bucket: list[VmRow] | None = None
        self.bucket_position = -1
        self.slot_position = -1

    def reset_ownership_state(self) -> None:
        """Discard what only the shard's owner knows; requests in flight stay charged."""
        self.free_slots += self.foreign_slots
        self.foreign_slots = 0
        self.commands.clear()
        self.acknowledge.clear()
        self.reserved_for.clear()
        self.reconciled = False
        self.stage = VmStage.UNKNOWN
        self.boot = ""
        self.missed_polls = 0

    def can_fit(self, shape: Shape) -> bool:
        """Return whether a shape fits into the free capacity."""
        return (
            shape.cores <= self.free_cores
            and shape.memory_mb <= self.free_memory
            and shape.accelerators <= self.free_accelerators
            and shape.slots <= self.free_slots
        )

    @property
    def is_overcommitted(self) -> bool:
        """Whether more is charged than the VM has, as by runs that were found there."""
        return not self.can_fit(Shape())

    def charge(self, shape: Shape) -> None:
        """Subtract a shape from the free capacity."""
        self.free_cores -= shape.cores
        self.free_memory -= shape.memory_mb
        self.free_accelerators -= shape.accelerators
        self.free_slots -= shape.slots

    def release(self, shape: Shape) -> None:
        """Add a shape to the free capacity."""
        self.free_cores += shape.cores
        self.free_memory += shape.memory_mb
        self.free_accelerators += shape.accelerators
        self.free_slots += shape.slots


class RunStage(enum.Enum):
    """State of a run as known to its scheduler.

    ``UNCERTAIN`` is a run whose start request has an unknown outcome. ``LAPSED`` is a run whose
    lease has certainly expired while its VM does not answer: its task may start elsewhere, and the
    VM stays charged until it answers.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    STOPPING = "stopping"
    ENDED = "ended"
    LAPSED = "lapsed"


class RunRow:
    """One run of a task on a VM.

    ``shape`` is what is charged for the run, ``queued_at`` the time at which its task began to
    wait, and ``lease_ends_by`` the latest time at which the worker may still hold a lease. A poll
    that was sent before ``start_settles_at`` doesn't show that an uncertain start has failed.
    """

    __slots__ = (
        "queued_at",
        "ended",
        "job",
        "lease_ends_by",
        "priority_rank",
        "organisation",
        "run",
        "shape",
        "shard",
        "stage",
        "started_at",
        "task",
        "template",
        "throttled",
        "start_settles_at",
        "vm",
    )

    def __init__(self, run: str, row: TaskRow, vm: str, now: float) -> None:
        self.run = run
        self.task = row.task
        self.job = row.job
        self.template: TemplateDocument = row.template
        self.organisation = row.template.organisation
        self.priority_rank = PRIORITY_RANK[row.template.priority]
        self.vm = vm
        self.shard = row.shard
        self.shape = row.template.shape
        self.stage = RunStage.STARTING
        self.queued_at = now
        self.started_at = now
        self.lease_ends_by = 0.0
        self.start_settles_at = 0.0
        self.ended = ""
        self.throttled = False


class HoldState(enum.Enum):
    """State of a shard that this scheduler owns."""

    WAITING = "waiting"
    ACTIVE = "active"
    RELEASING = "releasing"


class HeldShard:
    """A shard that this scheduler owns according to the ledger.

    The scheduler acts on the shard from ``active_at`` on, and all leases that a previous owner
    granted have expired at ``leases_expire_at``. ``recovery_complete`` is set once all runs of
    previous owners are known or have lapsed, so that every waiting task may be placed.
    """

    __slots__ = ("active_at", "epoch", "leases_expire_at", "recovery_complete", "shard", "state")

    def __init__(self, shard: int, epoch: int, active_at: float, leases_expire_at: float) -> None:
        self.shard = shard
        self.epoch = epoch
        self.active_at = active_at
        self.leases_expire_at = leases_expire_at
        self.state = HoldState.WAITING
        self.recovery_complete = False


class PeerRow:
    """What this scheduler knows of another member.

    ``last_gossip_at`` is the time of its last heartbeat by gossip. ``last_heartbeat_at`` counts
    its records in the log as heartbeats too.
    """

    __slots__ = (
        "beat",
        "free_accelerators",
        "free_cores",
        "free_slots",
        "last_gossip_at",
        "last_heartbeat_at",
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
        self.last_heartbeat_at = now
        self.last_gossip_at = now
        self.offset = 0
        self.free_slots = 0
        self.free_cores = 0
        self.free_accelerators = 0
        self.stopping = False
        self.promised_until = 0.0
