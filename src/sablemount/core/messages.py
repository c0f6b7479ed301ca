"""Messages between schedulers; they are not resent, and may be lost, delayed or duplicated."""

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
    """Base class of the messages; ``sender`` is the incarnation that sent the message."""

    sender: Writer


class MemberBeat(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Heartbeat and state of one member; one with a higher ``beat`` replaces earlier ones."""

    member: Writer
    beat: int
    offset: int
    free_slots: int
    free_cores: int
    free_accelerators: int
    stopping: bool


class Gossip(_Message, frozen=True):
    """Heartbeats of several members, the sender's first."""

    beats: tuple[MemberBeat, ...]


class ShardEpoch(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A shard and its epoch."""

    shard: int
    epoch: int


class HoldRequest(_Message, frozen=True):
    """Request a promise to append no claim of these shards for ``duration`` seconds.

    ``sent_at`` is in the sender's monotonic time and is returned with the promise.
    """

    sent_at: float
    duration: float
    shards: tuple[ShardEpoch, ...]


class HoldPromise(_Message, frozen=True):
    """Promise in reply to a ``HoldRequest``; ``duration`` counts from the request's ``sent_at``."""

    sent_at: float
    duration: float


class CatchUp(_Message, frozen=True):
    """Request the receiver's ledger, if it is further than ``offset``."""

    offset: int


class CatchUpReply(_Message, frozen=True):
    """Packed image of the sender's ledger."""

    offset: int
    image: bytes


class QuotaAsk(_Message, frozen=True):
    """Ask the owner of shard ``source`` to move a part of a quota share to shard ``to``."""

    organisation: str
    source: int
    to: int
    cores: int
    accelerators: int


class DrainNotice(_Message, frozen=True):
    """Notification that an operator drains a VM, or returns it to use."""

    vm: str
    drain: bool


PeerMessage: TypeAlias = (
    Gossip | HoldRequest | HoldPromise | CatchUp | CatchUpReply | QuotaAsk | DrainNotice
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return a message in its encoded form."""
    return _ENCODER.encode(message)


def decode_message(payload: bytes) -> PeerMessage:
    """Decode a message; raise ``msgspec.DecodeError`` if the payload is invalid."""
    return _DECODER.decode(payload)
