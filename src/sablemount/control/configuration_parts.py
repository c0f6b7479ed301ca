"""Transfer of a configuration between processes: compressed, in parts of bounded size.

The links carry the pings as well, so the smallest link must transmit a part in a small fraction of
the time after which a leader is suspected. Received parts are kept between calls.
"""

import asyncio
import zlib

import msgspec

from sablemount.control.messages import ConfigurationCall, ConfigurationReply
from sablemount.jobs.model import Configuration

__all__ = [
    "PART_BYTES",
    "IncomingTransfer",
    "InvalidParts",
    "PackedConfiguration",
    "TransferSlots",
    "pack",
]

PART_BYTES = 24 * 1024
"""Maximum size of a part: 40 ms of a link of 5 Mbit/s, a quarter of the delay from which an answer
counts as late."""
SLICE_BYTES = 64 * 1024
"""Size that is compressed at a time, in less than 1 ms, before other tasks may run."""
COMPRESSION_LEVEL = 1
"""Compression level: the default level takes more than twice the time and saves a fifteenth."""
SLOT_TIMEOUT_S = 1.0
"""Time without a call after which a member's slot is released: twice a part's usual time-out."""
LAST_PART_TIME_S = 0.1
"""Time for which a slot is held after the last part was sent, while that is in transmission."""
QUEUE_TIMEOUT_S = 0.5
"""Time without a call after which a member leaves the queue: five times the retry delay that it is
given."""

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
"""Encodes to the same bytes in each process, so that another process can resume a transfer."""
_DECODER = msgspec.msgpack.Decoder(Configuration)


class InvalidParts(Exception):
    """The received data are not a valid configuration."""


class PackedConfiguration(msgspec.Struct, frozen=True):
    """A compressed configuration; ``raw_size`` is its uncompressed size."""

    version: int
    raw_size: int
    data: bytes
    check: int
    """Checksum of the data, which distinguishes them from other data of the same version."""

    def part(self, call: ConfigurationCall) -> ConfigurationReply:
        """Return the requested part, or the first one if the call continues another transfer."""
        same = (call.of, call.check) == (self.version, self.check)
        offset = call.offset if same and 0 <= call.offset < len(self.data) else 0
        return ConfigurationReply(
            part=self.data[offset : offset + PART_BYTES],
            of=self.version,
            check=self.check,
            offset=offset,
            size=len(self.data),
        )


async def pack(configuration: Configuration) -> PackedConfiguration:
    """Compress a configuration in slices, between which other tasks may run."""
    raw = _ENCODER.encode(configuration)
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    compressed = bytearray()
    for start in range(0, len(raw), SLICE_BYTES):
        compressed += compressor.compress(raw[start : start + SLICE_BYTES])
        await asyncio.sleep(0)
    compressed += compressor.flush()
    data = bytes(compressed)
    return PackedConfiguration(configuration.version, len(raw), data, zlib.crc32(data))


class IncomingTransfer:
    """A configuration of which some parts have been received.

    ``reply`` has the first part, and ``begun_at`` is the time at which that was requested. Does no
    I/O and reads no clock.
    """

    def __init__(self, reply: ConfigurationReply, begun_at: float) -> None:
        self.version = reply.of
        self.size = reply.size
        self.begun_at = begun_at
        self._check = reply.check
        self._data = bytearray(reply.part)

    @property
    def received(self) -> int:
        """Return the number of bytes received."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Return whether all parts have been received."""
        return len(self._data) >= self.size

    def remaining_s(self, now: float) -> float:
        """Return the estimated seconds until completion at the average rate so far."""
        return (now - self.begun_at) * (self.size - self.received) / max(1, self.received)

    def next_call(self, version: int) -> ConfigurationCall:
        """Return the request for the next part, for a process that has ``version``."""
        return ConfigurationCall(version, True, self.version, self._check, self.received)

    def add(self, reply: ConfigurationReply) -> bool:
        """Append a part if it is the next one; return whether it is."""
        if (reply.of, reply.check, reply.offset) != (self.version, self._check, self.received):
            return False
        self._data += reply.part
        return True

    def configuration(self) -> Configuration:
        """Return the complete configuration; raises ``InvalidParts``."""
        if zlib.crc32(self._data) != self._check:
            raise InvalidParts("checksum mismatch")
        try:
            return _DECODER.decode(zlib.decompress(self._data))
        except (zlib.error, msgspec.MsgspecError) as error:
            raise InvalidParts(str(error)) from error


class TransferSlots:
    """Limits how many members are served at a time, in the order of their first requests.

    A member that is served has at most one part in transmission. Does no I/O and reads no clock.
    """

    def __init__(self) -> None:
        self._slots: dict[str, float] = {}
        """When the slot of each member expires."""
        self._queue: dict[str, float] = {}
        """When each waiting member leaves the queue, in the order of arrival."""

    def acquire(self, peer: str, count: int, now: float) -> bool:
        """Try to give a member one of ``count`` slots; return whether it has one."""
        self._slots = {name: until for name, until in self._slots.items() if until > now}
        self._queue = {name: until for name, until in self._queue.items() if until > now}
        if peer not in self._slots:
            self._queue[peer] = now + QUEUE_TIMEOUT_S
            if list(self._queue).index(peer) >= count - len(self._slots):
                return False
            del self._queue[peer]
        self._slots[peer] = now + SLOT_TIMEOUT_S
        return True

    def release_soon(self, peer: str, now: float) -> None:
        """Release a member's slot soon, as its last part has been sent."""
        self._slots[peer] = now + LAST_PART_TIME_S
