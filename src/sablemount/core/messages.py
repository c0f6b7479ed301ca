"""Messages between schedulers; they are sent once and may be lost, late or repeated."""

from typing import TypeAlias

import msgspec

from sablemount.core.records import Writer

__all__ = [
    "CatchUp",
    "CatchUpReply",
    "DrainNotice",
    "Gossip",
    "HoldPromise",
    "HoldRequest",
    "MemberBeat",
    "PeerMessage",
    "QuotaAsk",
    "ShardEpoch",
    "decode_message",
    "encode_message",
]


class _Message(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=True):
    """Base of the messages; ``sender`` is the writer that sent it."""

    sender: Writer


class MemberBeat(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one member says of itself; a higher ``beat`` replaces a lower one."""

    member: Writer
    beat: int
    offset: int
    free_slots: int
    free_cores: int
    free_accelerators: int
    stopping: bool


class Gossip(_Message, frozen=True):
    """Heartbeats, the sender's own first."""

    beats: tuple[MemberBeat, ...]


class ShardEpoch(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One shard and its epoch."""

    shard: int
    epoch: int


class HoldRequest(_Message, frozen=True):
    """Ask the receiver to append no claim against these shards for ``duration`` seconds.

    ``sent_at`` is the sender's monotonic time and comes back with the promise.
    """

    sent_at: float
    duration: float
    shards: tuple[ShardEpoch, ...]


class HoldPromise(_Message, frozen=True):
    """The receiver's promise, counted from the request's ``sent_at``."""

    sent_at: float
    duration: float


class CatchUp(_Message, frozen=True):
    """Ask for the ledger, or for what follows ``offset``."""

    offset: int


class CatchUpReply(_Message, frozen=True):
    """A packed image of the sender's ledger."""

    offset: int
    image: bytes


class QuotaAsk(_Message, frozen=True):
    """Ask the owner of ``source`` to give a part of a quota to the shard ``to``."""

    organisation: str
    source: int
    to: int
    cores: int
    accelerators: int


class DrainNotice(_Message, frozen=True):
    """Tell that an operator drains a VM, or takes it back."""

    vm: str
    drain: bool


PeerMessage: TypeAlias = (
    Gossip | HoldRequest | HoldPromise | CatchUp | CatchUpReply | QuotaAsk | DrainNotice
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_message(payload: bytes) -> PeerMessage:
    """Return the message in ``payload``; raises ``msgspec.DecodeError``."""
    return _DECODER.decode(payload)
