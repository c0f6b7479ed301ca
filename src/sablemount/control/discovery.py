"""Finds the leader through other members if its record cannot be read from the store."""

import asyncio
import random
from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import LeaderRecord

__all__ = ["Discovery"]

POLL_INTERVAL_S = 0.1
"""Seconds between checks whether a leader is known."""
QUERY_DELAY_S = 0.5
"""Seconds without a leader after which other members are queried: the record of a new leader
arrives earlier from the store if this member can reach it."""
QUERY_INTERVAL_S = 0.3
"""Seconds between two rounds of queries."""
QUERY_FANOUT = 3
"""Members queried in a round: enough that one of them is likely to reach the store, few compared
with a large cell."""


class Discovery:
    """Queries some members periodically while no leader is known here.

    ``leader_known`` returns whether a leader is known, and ``on_leader`` receives a later one.
    """

    def __init__(
        self,
        link: LeaderLink,
        rng: random.Random,
        leader_known: Callable[[], bool],
        on_leader: Callable[[LeaderRecord], None],
    ) -> None:
        self._link = link
        self._rng = rng
        self._leader_known = leader_known
        self._on_leader = on_leader
        self._last_known_at = monotonic()

    async def run(self) -> None:
        """Query other members while no leader is known, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._leader_known():
                self._last_known_at = monotonic()
            elif monotonic() - self._last_known_at > QUERY_DELAY_S:
                await self._query_members()
                await asyncio.sleep(QUERY_INTERVAL_S - POLL_INTERVAL_S)

    async def _query_members(self) -> None:
        others = self._link.other_members()
        queried = self._rng.sample(others, min(QUERY_FANOUT, len(others)))
        views = await asyncio.gather(*(self._link.request_view(address) for address in queried))
        reported = [view.leader for view in views if view is not None and view.leader is not None]
        newest = max(reported, key=lambda record: record.epoch, default=None)
        if newest is not None and newest.epoch > self._link.epoch:
            self._on_leader(newest)
