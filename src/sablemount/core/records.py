"""Records that schedulers append to the platform's log.

A record carries the state that it expects. The fold applies a record whose expectation holds and
ignores any other, so the first valid record at the lowest offset wins on every reader alike.
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
    """Base of the record bodies: a compact tagged array."""


class Writer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One run of one scheduler process."""

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.name}#{self.incarnation:x}"


class Join(_Message, frozen=True):
    """Admit the writer as a member; an earlier incarnation of the name is put out."""

    hall: str


class Leave(_Message, frozen=True):
    """Take the writer off the members: it will append nothing more."""


class Seen(_Message, frozen=True):
    """Say nothing but what every batch says: how far the writer has read."""


class Evict(_Message, frozen=True):
    """Put out a member that has been silent."""

    member: Writer


class Claim(_Message, frozen=True):
    """Take a shard whose epoch is the expected one."""

    shard: int
    epoch: int


class Release(_Message, frozen=True):
    """Hand an owned shard to another member, or to nobody."""

    shard: int
    epoch: int
    to: Writer | None


class Publish(_Message, frozen=True):
    """Replace a document if its revision is the expected one; 0 means that there is none."""

    key: str
    expected: int
    document: Document
    author: str


class Accept(_Message, frozen=True):
    """Accept the tasks from ``first`` on of a job of ``total`` tasks into a shard."""

    job: str
    template: str
    first: int
    count: int
    total: int
    shard: int
    parameters: dict[str, Scalar]


class Intent(_Message, frozen=True):
    """Announce that the owner is about to start a non-repeatable task."""

    task: str
    epoch: int


class Finish(_Message, frozen=True):
    """Record the outcome of a task under the shard's current epoch."""

    task: str
    epoch: int
    verdict: Verdict
    reason: str


class Cancel(_Message, frozen=True):
    """Ask for a task to be stopped and not to be started again."""

    task: str


class Enroll(_Message, frozen=True):
    """Announce that the owner of a shard is about to use a VM."""

    facts: VmFacts
    shard: int
    epoch: int


class Dismiss(_Message, frozen=True):
    """Announce that nothing of ours can be on a VM any more."""

    vm: str
    shard: int
    epoch: int


class Drain(_Message, frozen=True):
    """Give a VM no new work, or take it back into use."""

    vm: str
    drain: bool


class Move(_Message, frozen=True):
    """Move a waiting task to another shard."""

    task: str
    epoch: int
    to: int


class QuotaMove(_Message, frozen=True):
    """Move a part of an organisation's quota from one shard's share to another's."""

    organisation: str
    shard: int
    epoch: int
    to: int
    cores: int
    accelerators: int


class SpendKey(_Message, frozen=True):
    """Spend the key of a non-repeatable request; ``issued`` is wall-clock seconds."""

    key: str
    issued: int


class SnapshotPart(_Message, frozen=True):
    """One numbered part of the folded state up to and including an offset."""

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
    """A body and its nonce, unique within the writer's incarnation."""

    nonce: int
    body: Body


class Batch(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one append carries.

    A reader ignores a batch whose sequence number is not above the last one that it has seen of
    the same writer. So an append that was lost and takes effect late does nothing once a later
    batch has been read.

    ``seen`` is the last offset that the writer had folded, so readers learn what it knows.
    """

    writer: Writer
    sequence: int
    seen: int
    records: tuple[Record, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return the bytes of one append."""
    return _ENCODER.encode(batch)


def decode_batch(payload: bytes) -> Batch | None:
    """Return the batch in a log entry, or ``None`` for bytes that are not one."""
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError:
        return None
