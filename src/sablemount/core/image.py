"""Images of the ledger, as snapshots carry them."""

import zlib

import msgspec

from sablemount.core.documents import Document, Scalar, TemplateDocument
from sablemount.core.facts import VmFacts
from sablemount.core.records import SnapshotPart, Writer

__all__ = [
    "DocumentImage",
    "KeyImage",
    "LedgerImage",
    "MemberImage",
    "ShardImage",
    "ShareImage",
    "SnapshotAssembler",
    "TaskImage",
    "pack_image",
    "split_image",
    "unpack_image",
]

PART_BYTES = 256 * 1024
"""Payload of one snapshot part; several fit one append of the platform's log."""


class ShardImage(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of one shard; ``planned`` tells that its last owner gave it up by itself."""

    shard: int
    owner: Writer | None = None
    epoch: int = 0
    planned: bool = True


class MemberImage(msgspec.Struct, frozen=True, array_like=True):
    """One member and the last batch sequence that was seen of it."""

    writer: Writer
    hall: str
    joined_at: int
    sequence: int


class DocumentImage(msgspec.Struct, frozen=True, array_like=True):
    """One document in force."""

    key: str
    document: Document
    revision: int
    author: str
    offset: int


class TaskImage(msgspec.Struct, frozen=True, array_like=True):
    """One task."""

    task: str
    job: str
    template: TemplateDocument
    revision: int
    shard: int
    position: int
    parameters: dict[str, Scalar]
    accepted_at: float
    intent: int
    cancelled: bool
    verdict: str
    reason: str


class KeyImage(msgspec.Struct, frozen=True, array_like=True):
    """One spent key and when it was spent, by the log's clock in seconds."""

    key: str
    spent: float


class ShareImage(msgspec.Struct, frozen=True, array_like=True):
    """One organisation's quota, divided over the shards; ``None`` is no limit."""

    organisation: str
    cores: list[int] | None
    accelerators: list[int] | None


class LedgerImage(msgspec.Struct, frozen=True, array_like=True):
    """The whole ledger at one offset."""

    offset: int
    log_time: float
    members: list[MemberImage]
    incarnations: dict[str, int]
    seen: dict[str, int]
    shards: list[ShardImage]
    documents: list[DocumentImage]
    tasks: list[TaskImage]
    vms: list[list[VmFacts]]
    drained: list[str]
    finished: list[tuple[float, str]]
    keys: list[KeyImage]
    shares: list[ShareImage]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LedgerImage)


def pack_image(image: LedgerImage) -> bytes:
    """Return the compressed bytes of an image."""
    return zlib.compress(_ENCODER.encode(image), level=1)


def unpack_image(payload: bytes) -> LedgerImage:
    """Return the image in ``payload``; raises ``msgspec.DecodeError`` or ``zlib.error``."""
    return _DECODER.decode(zlib.decompress(payload))


def split_image(image: LedgerImage) -> list[SnapshotPart]:
    """Cut an image into numbered parts."""
    payload = pack_image(image)
    starts = range(0, len(payload), PART_BYTES)
    return [
        SnapshotPart(image.offset, index, len(starts), payload[start : start + PART_BYTES])
        for index, start in enumerate(starts)
    ]


class SnapshotAssembler:
    """Collects snapshot parts; a snapshot counts only when all of its parts are there."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}

    def add(self, writer: Writer, part: SnapshotPart) -> LedgerImage | None:
        """Take one part and return the image that it completes."""
        key = (str(writer), part.upto)
        parts = self._parts.setdefault(key, {})
        parts[part.index] = part.payload
        if len(parts) < part.total:
            return None
        del self._parts[key]
        return unpack_image(b"".join(parts[index] for index in range(part.total)))
