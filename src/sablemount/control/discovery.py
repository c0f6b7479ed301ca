"""Finds out from other members who leads, for a member that can't read it in the store."""

import asyncio
import random
from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import LeaderRecord

__all__ = ["Discovery"]

INTERVAL = 0.1
"""Seconds between looks at whether a leader is known."""
ASK_AFTER = 0.5
"""Seconds without a leader after which others are asked: a new one's record comes sooner from the
store, if this member reaches it."""
ASK_INTERVAL = 0.3
"""Seconds between two rounds of questions."""
ASKED_AT_ONCE = 3
"""Members asked in a round: enough that one of them reaches the store, few beside a large cell."""


class Discovery:
    """Asks some members now and then while no leader is known here.

    ``known`` tells whether a leader is known, ``on_leader`` takes a later one.
    """

    def __init__(
        self,
        link: LeaderLink,
        rng: random.Random,
        known: Callable[[], bool],
        on_leader: Callable[[LeaderRecord], None],
    ) -> None:
        self._link = link
        self._rng = rng
        self._known = known
        self._on_leader = on_leader
        self._known_at = monotonic()

    async def run(self) -> None:
        """Look without end."""
        while True:
            await asyncio.sleep(INTERVAL)
            if self._known():
                self._known_at = monotonic()
            elif monotonic() - self._known_at > ASK_AFTER:
                await self._ask()
                await asyncio.sleep(ASK_INTERVAL - INTERVAL)

    async def _ask(self) -> None:
        others = self._link.other_members()
        asked = self._rng.sample(others, min(ASKED_AT_ONCE, len(others)))
        views = await asyncio.gather(*(self._link.view(address) for address in asked))
        told = [view.leader for view in views if view is not None and view.leader is not None]
        newest = max(told, key=lambda record: record.epoch, default=None)
        if newest is not None and newest.epoch > self._link.epoch:
            self._on_leader(newest)
