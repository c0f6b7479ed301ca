"""A configuration as it goes from process to process: compressed, in parts of bounded size.

Links carry the pings too, so that a part must pass the smallest link in a small part of the time
after which a leader is suspected. What has arrived is kept from call to call.
"""

import asyncio
import zlib

import msgspec

from sablemount.control.messages import ConfigurationCall, ConfigurationReply
from sablemount.jobs.model import Configuration

__all__ = ["PART_BYTES", "Arriving", "BrokenParts", "Packed", "Seats", "pack"]

PART_BYTES = 24 * 1024
"""Bytes of a part at most: 40 ms of a link of 5 Mbit/s, a quarter of an answer that counts as
late."""
SLICE_BYTES = 64 * 1024
"""Bytes that are compressed at once, in less than 1 ms, before others have their turn."""
LEVEL = 1
"""Of the compression: the usual one takes more than twice the time and saves a fifteenth."""
SEAT_TIME = 1.0
"""Seconds without a call after which a member's seat is free: twice a part's usual time-out."""
LINGER = 0.1
"""Seconds for which a seat is kept after the last part, which is still on its way."""
WAITING_TIME = 0.5
"""Seconds without a call after which a member waits no more: five times what it is told to wait."""

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
"""Gives the same bytes in each process, so that another one can go on where the first has ended."""
_DECODER = msgspec.msgpack.Decoder(Configuration)


class BrokenParts(Exception):
    """What has arrived is no configuration."""


class Packed(msgspec.Struct, frozen=True):
    """A configuration as it is sent; ``raw`` is its size in bytes as it is."""

    version: int
    raw: int
    data: bytes
    check: int
    """Checksum of the data, which tells them from others of the same version."""

    def part(self, call: ConfigurationCall) -> ConfigurationReply:
        """Return the part that a call asks for, the first one if it goes on with something else."""
        same = (call.of, call.check) == (self.version, self.check)
        offset = call.offset if same and 0 <= call.offset < len(self.data) else 0
        return ConfigurationReply(
            part=self.data[offset : offset + PART_BYTES],
            of=self.version,
            check=self.check,
            offset=offset,
            size=len(self.data),
        )


async def pack(configuration: Configuration) -> Packed:
    """Compress a configuration, in slices between which others have their turn."""
    raw = _ENCODER.encode(configuration)
    compressor = zlib.compressobj(LEVEL)
    found = bytearray()
    for start in range(0, len(raw), SLICE_BYTES):
        found += compressor.compress(raw[start : start + SLICE_BYTES])
        await asyncio.sleep(0)
    found += compressor.flush()
    data = bytes(found)
    return Packed(configuration.version, len(raw), data, zlib.crc32(data))


class Arriving:
    """A configuration of which some parts have come; ``begun_at`` is when the first was asked for.

    Pure. ``reply`` has its first part.
    """

    def __init__(self, reply: ConfigurationReply, begun_at: float) -> None:
        self.version = reply.of
        self.size = reply.size
        self.begun_at = begun_at
        self._check = reply.check
        self._data = bytearray(reply.part)

    @property
    def got(self) -> int:
        """Return how many bytes have come."""
        return len(self._data)

    @property
    def complete(self) -> bool:
        """Tell whether all parts have come."""
        return len(self._data) >= self.size

    def left(self, now: float) -> float:
        """Return the seconds that the rest takes at the pace so far."""
        return (now - self.begun_at) * (self.size - self.got) / max(1, self.got)

    def next_call(self, version: int) -> ConfigurationCall:
        """Return what asks for the next part, for a process that has some version."""
        return ConfigurationCall(version, True, self.version, self._check, self.got)

    def add(self, reply: ConfigurationReply) -> bool:
        """Take a part; tell whether it is the next one."""
        if (reply.of, reply.check, reply.offset) != (self.version, self._check, self.got):
            return False
        self._data += reply.part
        return True

    def configuration(self) -> Configuration:
        """Return what has come in all; raises ``BrokenParts``."""
        if zlib.crc32(self._data) != self._check:
            raise BrokenParts("the checksum is wrong")
        try:
            return _DECODER.decode(zlib.decompress(self._data))
        except (zlib.error, msgspec.MsgspecError) as error:
            raise BrokenParts(str(error)) from error


class Seats:
    """Which members are served, a few at a time and in the order in which they first asked. Pure.

    Whoever is served has one part on its way at most.
    """

    def __init__(self) -> None:
        self._taken: dict[str, float] = {}
        """Until when members have their seats."""
        self._waiting: dict[str, float] = {}
        """Until when members wait for one, in the order in which they came."""

    def take(self, peer: str, count: int, now: float) -> bool:
        """Tell whether a member that asks has one of some seats."""
        self._taken = {name: until for name, until in self._taken.items() if until > now}
        self._waiting = {name: until for name, until in self._waiting.items() if until > now}
        if peer not in self._taken:
            self._waiting[peer] = now + WAITING_TIME
            if list(self._waiting).index(peer) >= count - len(self._taken):
                return False
            del self._waiting[peer]
        self._taken[peer] = now + SEAT_TIME
        return True

    def last(self, peer: str, now: float) -> None:
        """Take that a member has been sent its last part."""
        self._taken[peer] = now + LINGER
