"""The planned change of leader: a leader that is being stopped asks a member to take over.

So does one on a small machine while a clearly better one is there and all is calm.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from sablemount.control.clock import monotonic, set_within
from sablemount.control.leader import Leader
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import TakeOver, TakeOverReply
from sablemount.control.network import CallFailed, Link
from sablemount.control.preload import Preload

__all__ = ["Successor", "hand_over", "relieve"]

YIELD_TIMEOUT = 0.5
"""Seconds that a member has to say whether it takes over."""
HAND_OVER_LIMIT = 1.5
"""Seconds after which no further member is asked: a leader that is cut off reaches none, and has to
end within its grace, 6 s by default."""
PREPARE_TIME = 1.0
"""Seconds for which a member that is to take over reads what lasts before it claims; two pages took
0.8 s in a store 91 times slower than usual, in virtual time."""
TAKE_OVER_TIME = 2.5
"""Seconds that a leader that is being stopped waits for its successor to claim, by an append; that
took 0.5 s in a store 91 times slower than usual, in virtual time."""

RELIEF_INTERVAL = 1.0
"""Seconds between looks at whether a better machine is there."""
RELIEF_PAUSE = 5.0
"""Seconds after the lead was taken, or offered in vain, until it is offered."""
CALM_STORE = 0.1
"""Seconds for which the store may owe an answer while all is calm: a change of leader waits for
several of its answers."""

_logger = logging.getLogger("sablemount.control.member")


async def hand_over(leader: Leader) -> None:
    """Have another member lead if one takes over, and end a leadership."""
    if await _asked(leader, leader.members.successors(), once_read=False):
        # It serves and gives orders until its successor has claimed.
        await set_within(leader.over, TAKE_OVER_TIME)
    if not leader.over.is_set():
        await leader.drain()
    leader.end("planned stop")


async def relieve(leader: Leader, own: float) -> None:
    """Offer the lead to clearly better machines than this one, of standing ``own``, as they come.

    It leads on if none of them takes it.
    """
    await asyncio.sleep(RELIEF_PAUSE)
    while not leader.over.is_set():
        better = leader.members.better(own) if _calm(leader) else []
        if not better:
            await asyncio.sleep(RELIEF_INTERVAL)
            continue
        if await _asked(leader, better, once_read=True):
            await set_within(leader.over, TAKE_OVER_TIME)
        await asyncio.sleep(RELIEF_PAUSE)


def _calm(leader: Leader) -> bool:
    return (
        leader.authority()
        and not leader.closing
        and leader.committer.reported_silence() < CALM_STORE
    )


async def _asked(leader: Leader, members: list[tuple[str, Link]], once_read: bool) -> bool:
    """Ask one member after the other to take over; return whether one does."""
    last = monotonic() + HAND_OVER_LIMIT
    for name, link in members:
        if monotonic() > last:
            break
        try:
            reply = await link.call(TakeOver(leader.epoch, once_read), YIELD_TIMEOUT)
        except CallFailed as failed:
            _logger.info("successor not reached", extra={"to": name, "why": str(failed)})
            continue
        taken = isinstance(reply, TakeOverReply) and reply.taken
        _logger.info("successor asked", extra={"to": name, "epoch": leader.epoch, "taken": taken})
        if taken:
            return True
    return False


class Successor:
    """Readies this member to lead when the leader asks it to.

    ``prepared`` takes the epoch of that leader once the claim is to be made; ``spawn`` runs what
    takes time.
    """

    def __init__(
        self,
        link: LeaderLink,
        preload: Preload,
        prepared: Callable[[int], None],
        spawn: Callable[[Coroutine[object, object, None]], "asyncio.Task[None]"],
    ) -> None:
        self._link = link
        self._preload = preload
        self._prepared = prepared
        self._spawn = spawn

    def asked(self, message: TakeOver) -> TakeOverReply:
        """Take over from the leader that is known here, unless this member is being stopped."""
        record = self._link.record
        known = record is not None and message.epoch == record.epoch
        taken = known and not self._link.stopping
        if taken:
            self._spawn(self._prepare(message.epoch, message.once_read))
        return TakeOverReply(taken)

    async def _prepare(self, epoch: int, once_read: bool) -> None:
        """Read what lasts while the leader goes on, and claim then."""
        reading = self._preload.begin()
        await asyncio.wait([reading], timeout=TAKE_OVER_TIME if once_read else PREPARE_TIME)
        if once_read and not (reading.done() and reading.result() is not None):
            _logger.info("does not take over", extra={"epoch": epoch, "why": "records not read"})
            return
        self._prepared(epoch)
