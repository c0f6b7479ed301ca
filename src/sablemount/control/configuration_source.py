"""Serves a process's configuration to other processes, a few at a time.

The link of the process thus stays free for pings and callers.
"""

import asyncio
import logging
from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.configuration_parts import (
    PART_BYTES,
    PackedConfiguration,
    TransferSlots,
    pack,
)
from sablemount.control.figures import Metrics
from sablemount.control.messages import ConfigurationCall, ConfigurationReply
from sablemount.jobs.model import Configuration

__all__ = ["BYTES_PER_MBIT", "ConfigurationSource"]

UNLIMITED_MBITS = 100.0
"""Rate that is assumed for a link without a limit."""
BYTES_PER_MBIT = 125_000.0
MAX_IN_TRANSMISSION_S = 0.1
"""Maximum time for which parts in transmission may occupy this machine's link: a ping's time-out is
0.3 s."""
MIN_SLOTS = 2
"""Minimum number of slots, so that a member that has disappeared does not block the others."""
RETRY_DELAY_S = 0.1
"""Delay after which a member that gets no slot retries: the longest time that a part takes."""
COMPLETE_SHARE = 0.5
"""Maximum share of this machine's link for complete configurations, which are sent to members that
do not support parts."""

_logger = logging.getLogger("sablemount.control.configuration")


class ConfigurationSource:
    """Answers requests for the configuration that ``current`` returns; ``link`` is in Mbit/s."""

    def __init__(self, link: float, metrics: Metrics, current: Callable[[], Configuration]) -> None:
        self._rate = (link or UNLIMITED_MBITS) * BYTES_PER_MBIT
        self._metrics = metrics
        self._current = current
        self._slots = TransferSlots()
        self._packed: PackedConfiguration | None = None
        self._packing_lock = asyncio.Lock()
        self._next_complete_at = 0.0
        """Local time from which the next complete configuration may be sent."""

    async def answer(self, peer: str, call: ConfigurationCall) -> ConfigurationReply:
        """Return the reply to a member's request."""
        if self._current().version <= call.version:
            return ConfigurationReply()
        packed = await self._pack()
        if not call.parts:
            return self._complete_reply(packed)
        if not self._slots.acquire(peer, self._slot_count(packed), monotonic()):
            self._metrics.count("configuration_part", "later")
            return ConfigurationReply(later=RETRY_DELAY_S)
        reply = packed.part(call)
        if reply.offset + len(reply.part) >= reply.size:
            self._slots.release_soon(peer, monotonic())
        self._metrics.count("configuration_part", "served")
        self._metrics.count("configuration_bytes", "sent", len(reply.part))
        return reply

    def _slot_count(self, packed: PackedConfiguration) -> int:
        part = min(PART_BYTES, len(packed.data))
        return max(MIN_SLOTS, int(MAX_IN_TRANSMISSION_S * self._rate / part))

    def _complete_reply(self, packed: PackedConfiguration) -> ConfigurationReply:
        """Return the complete configuration; large ones are rate-limited to spare the link."""
        now = monotonic()
        if packed.raw_size > PART_BYTES:
            if now < self._next_complete_at:
                self._metrics.count("configuration_part", "later")
                return ConfigurationReply()
            self._next_complete_at = now + packed.raw_size / (COMPLETE_SHARE * self._rate)
        self._metrics.count("configuration_part", "whole")
        self._metrics.count("configuration_bytes", "sent", packed.raw_size)
        return ConfigurationReply(self._current())

    async def _pack(self) -> PackedConfiguration:
        """Return the compressed configuration, which is computed once for each version."""
        async with self._packing_lock:
            configuration = self._current()
            if self._packed is None or self._packed.version != configuration.version:
                self._packed = await pack(configuration)
                sizes = {"bytes": self._packed.raw_size, "packed": len(self._packed.data)}
                _logger.info(
                    "configuration compressed", extra={"version": configuration.version, **sizes}
                )
            return self._packed
