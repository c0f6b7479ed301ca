"""Planned change of leader: a leader that is being stopped asks a member to take over.

A leader on a weak machine does so too while a clearly better one is available and the system is
stable.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from sablemount.control.clock import monotonic, wait_for_event
from sablemount.control.leader import Leader
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import TakeOver, TakeOverReply
from sablemount.control.network import CallFailed, Link
from sablemount.control.preload import Preload, read_result

__all__ = ["Successor", "hand_over_leadership", "offer_leadership"]

TAKEOVER_REPLY_TIMEOUT_S = 0.5
"""Seconds that a member has to answer whether it takes over."""
HANDOVER_DEADLINE_S = 1.5
"""Seconds after which no further member is asked: a leader that is cut off reaches none, and has to
end within its grace period, 6 s by default."""
PRELOAD_TIMEOUT_S = 1.0
"""Seconds for which a member that is to take over reads the persistent state before it claims; two
pages took 0.8 s in a store 91 times slower than usual, in virtual time."""
TAKEOVER_TIMEOUT_S = 2.5
"""Seconds for which a leader that is being stopped waits for its successor to claim, which takes an
append; that took 0.5 s in a store 91 times slower than usual, in virtual time."""

BETTER_CHECK_INTERVAL_S = 1.0
"""Seconds between checks for a better machine."""
OFFER_PAUSE_S = 5.0
"""Seconds from the start of a leadership, or from an offer of it in vain, until it is offered."""
MAX_STORE_DELAY_S = 0.1
"""Seconds by which an answer of the store may be overdue while the system counts as stable: a
change of leader waits for several of its answers."""

_logger = logging.getLogger("sablemount.control.member")


async def hand_over_leadership(leader: Leader) -> None:
    """Hand the leadership over if a member takes it, then end it."""
    if await _request_takeover(leader, leader.members.successor_candidates(), once_read=False):
        # The leader serves callers and sends requests until its successor has claimed.
        await wait_for_event(leader.ended, TAKEOVER_TIMEOUT_S)
    if not leader.ended.is_set():
        await leader.drain()
    leader.end("planned stop")


async def offer_leadership(leader: Leader, own_standing: float) -> None:
    """Offer the leadership to members on clearly better machines as they become available.

    ``own_standing`` is the suitability of this machine. The leader stays if no member takes over.
    """
    await asyncio.sleep(OFFER_PAUSE_S)
    while not leader.ended.is_set():
        better = leader.members.better_candidates(own_standing) if _is_stable(leader) else []
        if not better:
            await asyncio.sleep(BETTER_CHECK_INTERVAL_S)
            continue
        if await _request_takeover(leader, better, once_read=True):
            await wait_for_event(leader.ended, TAKEOVER_TIMEOUT_S)
        await asyncio.sleep(OFFER_PAUSE_S)


def _is_stable(leader: Leader) -> bool:
    return (
        leader.has_authority()
        and not leader.draining
        and leader.committer.reported_silence() < MAX_STORE_DELAY_S
    )


async def _request_takeover(
    leader: Leader, members: list[tuple[str, Link]], once_read: bool
) -> bool:
    """Ask one member after the other to take over; return whether one accepts."""
    deadline = monotonic() + HANDOVER_DEADLINE_S
    for name, link in members:
        if monotonic() > deadline:
            break
        try:
            reply = await link.call(TakeOver(leader.epoch, once_read), TAKEOVER_REPLY_TIMEOUT_S)
        except CallFailed as failed:
            _logger.info("successor unreachable", extra={"to": name, "why": str(failed)})
            continue
        taken = isinstance(reply, TakeOverReply) and reply.taken
        _logger.info("successor asked", extra={"to": name, "epoch": leader.epoch, "taken": taken})
        if taken:
            return True
    return False


class Successor:
    """Prepares this member to lead when the leader asks it to take over.

    ``on_prepared`` receives the epoch of that leader once the claim is to be made; ``spawn`` runs
    the preparation in the background.
    """

    def __init__(
        self,
        link: LeaderLink,
        preload: Preload,
        on_prepared: Callable[[int], None],
        spawn: Callable[[Coroutine[object, object, None]], "asyncio.Task[None]"],
    ) -> None:
        self._link = link
        self._preload = preload
        self._on_prepared = on_prepared
        self._spawn = spawn

    def on_takeover_request(self, message: TakeOver) -> TakeOverReply:
        """Accept a takeover from the leader known here, unless this member is being stopped."""
        record = self._link.record
        is_current = record is not None and message.epoch == record.epoch
        taken = is_current and not self._link.stopping
        if taken:
            self._spawn(self._prepare(message.epoch, message.once_read))
        return TakeOverReply(taken)

    async def _prepare(self, epoch: int, once_read: bool) -> None:
        """Read the persistent state while the leader continues, then claim."""
        preload_task = self._preload.start()
        await asyncio.wait(
            [preload_task], timeout=TAKEOVER_TIMEOUT_S if once_read else PRELOAD_TIMEOUT_S
        )
        if once_read and not (preload_task.done() and read_result(preload_task) is not None):
            _logger.info("takeover declined", extra={"epoch": epoch, "why": "records not read"})
            return
        self._on_prepared(epoch)
