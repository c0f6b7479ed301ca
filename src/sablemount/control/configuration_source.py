"""What a process gives of its configuration to others: a few at a time, so that its link is free
for pings and callers."""

import asyncio
import logging
from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.configuration_parts import PART_BYTES, Packed, Seats, pack
from sablemount.control.figures import Figures
from sablemount.control.messages import ConfigurationCall, ConfigurationReply
from sablemount.jobs.model import Configuration

__all__ = ["BYTES_OF_MBIT", "ConfigurationSource"]

NO_LIMIT = 100.0
"""Mbit/s that a link counts as that has no limit."""
BYTES_OF_MBIT = 125_000.0
ON_THE_WAY = 0.1
"""Seconds of the own link that the parts on their way fill at most: a ping waits 0.3 s."""
FEWEST_SEATS = 2
"""Members that are served at once at least, so that one that has gone does not stop the others."""
LATER = 0.1
"""Seconds after which a member that finds no seat asks again: as long as a part takes at most."""
WHOLE_SHARE = 0.5
"""Share of the own link that whole configurations take at most, for members that know no parts."""

_logger = logging.getLogger("sablemount.control.configuration")


class ConfigurationSource:
    """Answers calls for the configuration that ``current`` returns; ``link`` is in Mbit/s."""

    def __init__(self, link: float, figures: Figures, current: Callable[[], Configuration]) -> None:
        self._rate = (link or NO_LIMIT) * BYTES_OF_MBIT
        self._figures = figures
        self._current = current
        self._seats = Seats()
        self._packed: Packed | None = None
        self._packing = asyncio.Lock()
        self._whole_at = 0.0
        """Local time from which on a whole configuration may be sent again."""

    async def answer(self, peer: str, call: ConfigurationCall) -> ConfigurationReply:
        """Return what a member gets."""
        if self._current().version <= call.version:
            return ConfigurationReply()
        packed = await self._pack()
        if not call.parts:
            return self._whole(packed)
        if not self._seats.take(peer, self._seat_count(packed), monotonic()):
            self._figures.count("configuration_part", "later")
            return ConfigurationReply(later=LATER)
        reply = packed.part(call)
        if reply.offset + len(reply.part) >= reply.size:
            self._seats.last(peer, monotonic())
        self._figures.count("configuration_part", "served")
        self._figures.count("configuration_bytes", "sent", len(reply.part))
        return reply

    def _seat_count(self, packed: Packed) -> int:
        part = min(PART_BYTES, len(packed.data))
        return max(FEWEST_SEATS, int(ON_THE_WAY * self._rate / part))

    def _whole(self, packed: Packed) -> ConfigurationReply:
        """Return all in one answer; a large one seldom enough that the link is not full of them."""
        now = monotonic()
        if packed.raw > PART_BYTES:
            if now < self._whole_at:
                self._figures.count("configuration_part", "later")
                return ConfigurationReply()
            self._whole_at = now + packed.raw / (WHOLE_SHARE * self._rate)
        self._figures.count("configuration_part", "whole")
        self._figures.count("configuration_bytes", "sent", packed.raw)
        return ConfigurationReply(self._current())

    async def _pack(self) -> Packed:
        """Return the configuration as it is sent, compressed once for each version."""
        async with self._packing:
            configuration = self._current()
            if self._packed is None or self._packed.version != configuration.version:
                self._packed = await pack(configuration)
                sizes = {"bytes": self._packed.raw, "packed": len(self._packed.data)}
                _logger.info(
                    "configuration packed", extra={"version": configuration.version, **sizes}
                )
            return self._packed
