"""Tells the members that have not come to a new leader who leads: they may not reach the store."""

import asyncio
import logging
from collections.abc import Callable

from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import Announce, LeaderRecord
from sablemount.control.network import CallFailed

__all__ = ["announce"]

FIRST_AFTER = 0.05
"""Seconds after it leads by which members that read the store have come by themselves: they learn
of a claim within 10 ms and ping a new leader each 20 ms."""
ROUNDS = 4
ROUND_INTERVAL = 0.2
"""Seconds between two rounds: a member may be starting, or cut off for a moment."""
CALL_TIMEOUT = 0.2
"""Seconds that a member has to take it: 100 times the way between two zones."""
AT_ONCE = 16
"""Calls at once: each takes some processor time of a leader whom callers wait for."""

_logger = logging.getLogger("sablemount.control.announcer")


async def announce(
    record: LeaderRecord,
    link: LeaderLink,
    leading: Callable[[], bool],
    heard: Callable[[], set[str]],
) -> None:
    """Tell the members that are known and not heard of a new leader, in a few rounds.

    ``leading`` tells whether it has loaded: only then members are heard.
    """
    limit = asyncio.Semaphore(AT_ONCE)

    async def tell(address: str) -> bool:
        async with limit:
            try:
                await link.call_once(address, Announce(record), CALL_TIMEOUT)
            except CallFailed:
                return False
        return True

    while not leading():
        await asyncio.sleep(FIRST_AFTER)
    await asyncio.sleep(FIRST_AFTER)
    for _ in range(ROUNDS):
        known = heard() | {record.name}
        away = [address for name, address in link.addresses.items() if name not in known]
        if not away:
            return
        told = await asyncio.gather(*(tell(address) for address in away))
        extra = {"epoch": record.epoch, "members": len(away), "told": sum(told)}
        _logger.info("leader announced", extra=extra)
        await asyncio.sleep(ROUND_INTERVAL)
