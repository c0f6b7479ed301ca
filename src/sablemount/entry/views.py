"""Typed views of the scheduler's tables, as the HTTP interface shows them to operators."""

import msgspec

from sablemount.core.documents import Document, Scalar, Shape
from sablemount.core.rows import DocumentRow, TaskRow
from sablemount.core.scheduler import Scheduler
from sablemount.core.tables import VmRow

__all__ = [
    "DocumentView",
    "MemberView",
    "ShardView",
    "TaskView",
    "VmView",
    "document_view",
    "document_views",
    "member_views",
    "shard_views",
    "task_view",
    "vm_views",
]


class DocumentView(msgspec.Struct, frozen=True):
    """The current revision of a document."""

    key: str
    revision: int
    author: str
    offset: int
    document: Document


class TaskView(msgspec.Struct, frozen=True):
    """A task; only the owner of its shard knows ``run`` and ``vm``, which others leave empty."""

    task: str
    job: str
    template: str
    state: str
    verdict: str
    reason: str
    shard: int
    parameters: dict[str, Scalar]
    run: str = ""
    vm: str = ""


class VmView(msgspec.Struct, frozen=True):
    """A VM; only the owner of its shard knows ``stage`` and ``free``."""

    vm: str
    hall: str
    rack: str
    shard: int
    owner: str
    stage: str
    leaving: bool
    capacity: Shape
    free: Shape | None


class ShardView(msgspec.Struct, frozen=True):
    """A shard; only its owner knows ``state``."""

    shard: int
    owner: str
    epoch: int
    vms: int
    open_tasks: int
    state: str


class MemberView(msgspec.Struct, frozen=True):
    """A member of the cell; ``offset`` is the configuration offset that it has applied."""

    name: str
    incarnation: str
    hall: str
    shards: int
    offset: int
    heard_seconds_ago: float


def document_view(key: str, row: DocumentRow) -> DocumentView:
    """Return the view of one document."""
    return DocumentView(key, row.revision, row.author, row.offset, row.document)


def document_views(scheduler: Scheduler) -> list[DocumentView]:
    """Return the views of all documents, sorted by key."""
    rows = scheduler.state.ledger.documents
    return [document_view(key, rows[key]) for key in sorted(rows)]


def task_view(scheduler: Scheduler, row: TaskRow) -> TaskView:
    """Return the view of one task."""
    state = scheduler.state
    run = state.runs.get(state.run_of.get(row.task, ""))
    if row.finished:
        stage = "finished"
    elif run is not None:
        stage = run.stage.value
    else:
        stage = "waiting" if row.shard in state.held_shards else "accepted"
    return TaskView(
        row.task,
        row.job,
        f"{row.template.organisation}/{row.template.name}",
        stage,
        row.verdict,
        row.reason,
        row.shard,
        row.parameters,
        run.run if run else "",
        run.vm if run else "",
    )


def vm_views(scheduler: Scheduler) -> list[VmView]:
    """Return the views of all VMs, sorted by name."""
    rows = scheduler.state.vms
    return [_vm_view(scheduler, rows[name]) for name in sorted(rows)]


def _vm_view(scheduler: Scheduler, row: VmRow) -> VmView:
    state = scheduler.state
    owner = state.ledger.shards[row.shard].owner
    free = None
    if row.shard in state.held_shards and row.reconciled:
        free = Shape(
            max(0, row.free_cores),
            max(0, row.free_memory),
            max(0, row.free_accelerators),
            max(0, row.free_slots),
        )
    return VmView(
        row.vm,
        row.hall,
        row.rack,
        row.shard,
        owner.name if owner else "",
        row.stage.value if row.shard in state.held_shards else "",
        scheduler.state.is_leaving(row),
        row.facts.capacity,
        free,
    )


def shard_views(scheduler: Scheduler) -> list[ShardView]:
    """Return the views of all shards."""
    state = scheduler.state
    views = []
    for row in state.ledger.shards:
        held = state.held_shards.get(row.shard)
        views.append(
            ShardView(
                row.shard,
                row.owner.name if row.owner else "",
                row.epoch,
                len(state.ledger.enrolled_vms[row.shard]),
                len(state.ledger.open_tasks[row.shard]),
                held.state.value if held else "",
            )
        )
    return views


def member_views(scheduler: Scheduler) -> list[MemberView]:
    """Return the views of all members, sorted by name."""
    state = scheduler.state
    shard_counts: dict[str, int] = {}
    for row in state.ledger.shards:
        if row.owner is not None:
            shard_counts[row.owner.name] = shard_counts.get(row.owner.name, 0) + 1
    views = []
    for name in sorted(state.ledger.members):
        member = state.ledger.members[name]
        peer = state.peers.get(name)
        is_self = member == state.writer
        views.append(
            MemberView(
                name,
                f"{member.incarnation:x}",
                state.ledger.halls[name],
                shard_counts.get(name, 0),
                state.ledger.offset if is_self else (peer.offset if peer else 0),
                0.0 if is_self or peer is None else round(state.now - peer.last_heartbeat_at, 3),
            )
        )
    return views
