"""Images of the ledger, which are written as snapshots and sent to peers."""

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
"""Maximum payload of one snapshot part; several parts fit into one append to the log."""


class ShardImage(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of one shard; ``planned`` means that the previous owner, if any, released it."""

    shard: int
    owner: Writer | None = None
    epoch: int = 0
    planned: bool = True


class MemberImage(msgspec.Struct, frozen=True, array_like=True):
    """One member and the sequence number of its last batch."""

    writer: Writer
    hall: str
    joined_at: int
    sequence: int


class DocumentImage(msgspec.Struct, frozen=True, array_like=True):
    """The current revision of one document."""

    key: str
    document: Document
    revision: int
    author: str
    offset: int


class TaskImage(msgspec.Struct, frozen=True, array_like=True):
    """One task; ``intent`` is the epoch in which its start was announced, or 0."""

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
    """One spent key and the time at which it was spent, in seconds of the log's clock."""

    key: str
    spent: float


class ShareImage(msgspec.Struct, frozen=True, array_like=True):
    """Shares of one organisation's quota, by shard; ``None`` means no limit."""

    organisation: str
    cores: list[int] | None
    accelerators: list[int] | None


class LedgerImage(msgspec.Struct, frozen=True, array_like=True):
    """The complete ledger at one offset."""

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
    """Split an image into numbered snapshot parts."""
    payload = pack_image(image)
    starts = range(0, len(payload), PART_BYTES)
    return [
        SnapshotPart(image.offset, index, len(starts), payload[start : start + PART_BYTES])
        for index, start in enumerate(starts)
    ]


class SnapshotAssembler:
    """Assembles snapshots from their parts; an incomplete snapshot is not used."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}

    def add(self, writer: Writer, part: SnapshotPart) -> LedgerImage | None:
        """Add one part; return the image if the part completes it, ``None`` otherwise."""
        key = (str(writer), part.upto)
        parts = self._parts.setdefault(key, {})
        parts[part.index] = part.payload
        if len(parts) < part.total:
            return None
        del self._parts[key]
        return unpack_image(b"".join(parts[index] for index in range(part.total)))
