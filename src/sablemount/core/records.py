"""Records that schedulers append to the platform's log.

A record contains the state that it expects, as for a compare-and-set. The ledger applies a record
only if the expected state is the current one, so of conflicting records the one at the lowest
offset takes effect, and every reader selects the same one.
"""

from typing import TypeAlias

import msgspec

from sablemount.core.documents import Document, Scalar
from sablemount.core.facts import VmFacts
from sablemount.core.verdict import Verdict

__all__ = [
    "Accept",
    "Batch",
    "Body",
    "Cancel",
    "Claim",
    "Dismiss",
    "Drain",
    "Enroll",
    "Evict",
    "Finish",
    "Intent",
    "Join",
    "Leave",
    "Move",
    "Publish",
    "QuotaMove",
    "Record",
    "Release",
    "Seen",
    "SnapshotPart",
    "SpendKey",
    "Writer",
    "decode_batch",
    "encode_batch",
]


class _Message(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=True):
    """Base class of the record bodies, which are encoded as tagged arrays."""


class Writer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One incarnation of a scheduler, as the author of batches."""

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.name}#{self.incarnation:x}"


class Join(_Message, frozen=True):
    """Admit the writer as a member; it replaces an earlier incarnation of the same name."""

    hall: str


class Leave(_Message, frozen=True):
    """Remove the writer from the members; it appends nothing more."""


class Seen(_Message, frozen=True):
    """Heartbeat; it changes nothing, but its batch says how far the writer has read."""


class Evict(_Message, frozen=True):
    """Remove a member whose heartbeats are overdue."""

    member: Writer


class Claim(_Message, frozen=True):
    """Make the writer the owner of a shard, if the shard's epoch is the expected one."""

    shard: int
    epoch: int


class Release(_Message, frozen=True):
    """Hand over an owned shard to another member, or release it without a successor."""

    shard: int
    epoch: int
    to: Writer | None


class Publish(_Message, frozen=True):
    """Publish a document if the current revision is the expected one; 0 expects no document."""

    key: str
    expected: int
    document: Document
    author: str


class Accept(_Message, frozen=True):
    """Accept into a shard ``count`` tasks, from ``first`` on, of a job of ``total`` tasks."""

    job: str
    template: str
    first: int
    count: int
    total: int
    shard: int
    parameters: dict[str, Scalar]


class Intent(_Message, frozen=True):
    """Announce that the owner of the shard is about to start a non-repeatable task."""

    task: str
    epoch: int


class Finish(_Message, frozen=True):
    """Record the outcome of a task, in the current epoch of its shard."""

    task: str
    epoch: int
    verdict: Verdict
    reason: str


class Cancel(_Message, frozen=True):
    """Request that a task is stopped and not started again."""

    task: str


class Enroll(_Message, frozen=True):
    """Announce that the owner of a shard is about to use a VM of it."""

    facts: VmFacts
    shard: int
    epoch: int


class Dismiss(_Message, frozen=True):
    """Announce that no work of the schedulers can be on a VM any more."""

    vm: str
    shard: int
    epoch: int


class Drain(_Message, frozen=True):
    """Exclude a VM from new work, or return it to use."""

    vm: str
    drain: bool


class Move(_Message, frozen=True):
    """Move a waiting task to another shard."""

    task: str
    epoch: int
    to: int


class QuotaMove(_Message, frozen=True):
    """Move a part of an organisation's quota from the share of one shard to that of another."""

    organisation: str
    shard: int
    epoch: int
    to: int
    cores: int
    accelerators: int


class SpendKey(_Message, frozen=True):
    """Spend the idempotency key of a non-repeatable request; ``issued`` is in Unix seconds."""

    key: str
    issued: int


class SnapshotPart(_Message, frozen=True):
    """One numbered part of an image of the ledger at the offset ``upto``."""

    upto: int
    index: int
    total: int
    payload: bytes


Body: TypeAlias = (
    Join
    | Leave
    | Seen
    | Evict
    | Claim
    | Release
    | Publish
    | Accept
    | Intent
    | Finish
    | Cancel
    | Enroll
    | Dismiss
    | Drain
    | Move
    | QuotaMove
    | SpendKey
    | SnapshotPart
)


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A record body with a nonce that is unique within the writer's incarnation."""

    nonce: int
    body: Body


class Batch(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The records of one append.

    A reader ignores a batch whose sequence number is not greater than that of the last batch of
    the same writer. So an append that got no answer and takes effect late has no effect on the
    ledger once a later batch has been read.

    ``seen`` is the last offset that the writer had applied, so that readers learn what it knows.
    """

    writer: Writer
    sequence: int
    seen: int
    records: tuple[Record, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return a batch in its encoded form."""
    return _ENCODER.encode(batch)


def decode_batch(payload: bytes) -> Batch | None:
    """Return the batch in a log entry, or ``None`` if the bytes are not a valid batch."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None
