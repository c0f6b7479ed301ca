"""Announces a new leader to members that have not connected, as they may not reach the store."""

import asyncio
import logging
from collections.abc import Callable

from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import Announce, LeaderRecord
from sablemount.control.network import CallFailed

__all__ = ["announce"]

INITIAL_DELAY_S = 0.05
"""Seconds after the load within which members that can read the store have connected by themselves:
they learn of a claim within 10 ms and ping a new leader every 20 ms."""
ROUNDS = 4
ROUND_INTERVAL_S = 0.2
"""Seconds between two rounds: a member may be starting, or be cut off for a moment."""
CALL_TIMEOUT_S = 0.2
"""Seconds that a member has to answer: 100 times the latency between two zones."""
MAX_CONCURRENT_CALLS = 16
"""Concurrent calls: each takes processor time of a leader whom callers are waiting for."""

_logger = logging.getLogger("sablemount.control.announcer")


async def announce(
    record: LeaderRecord,
    link: LeaderLink,
    has_loaded: Callable[[], bool],
    recently_heard: Callable[[], set[str]],
) -> None:
    """Announce a new leader, in a few rounds, to the known members that it has not heard.

    ``has_loaded`` returns whether the leader has finished loading: members are heard only from then
    on. ``recently_heard`` returns the names of the members that were heard.
    """
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def notify(address: str) -> bool:
        async with limit:
            try:
                await link.call_once(address, Announce(record), CALL_TIMEOUT_S)
            except CallFailed:
                return False
        return True

    while not has_loaded():
        await asyncio.sleep(INITIAL_DELAY_S)
    await asyncio.sleep(INITIAL_DELAY_S)
    for _ in range(ROUNDS):
        known = recently_heard() | {record.name}
        missing = [address for name, address in link.addresses.items() if name not in known]
        if not missing:
            return
        notified = await asyncio.gather(*(notify(address) for address in missing))
        extra = {"epoch": record.epoch, "members": len(missing), "told": sum(notified)}
        _logger.info("leader announced", extra=extra)
        await asyncio.sleep(ROUND_INTERVAL_S)
