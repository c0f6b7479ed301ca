"""The way of a caller's request: from the member that took it to the leader or its successor."""

import asyncio
from collections.abc import Callable

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.figures import Figures
from sablemount.control.leader import Leader
from sablemount.control.leader_link import LeaderLink
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import (
    CallerCall,
    CallerReply,
    Operation,
    Outcome,
    not_taken,
    other_version,
)
from sablemount.control.network import CallFailed

__all__ = ["CallerRoute"]

CALL_TIMEOUT = 2.0
"""Seconds that the leader has to answer a caller's request, below the 3 s that callers wait."""
HAND_OVER_WAIT = 0.4
"""Seconds that a request waits for a new leader: one that was killed is replaced in 0.3 to 0.4 s,
and a caller that is refused comes back a second later."""
HAND_OVER_TIME = 0.5
"""Seconds after which a change of leader counts as an outage, and requests are refused at once."""
HAND_OVER_POLL = 0.01
"""Seconds between looks at whether somebody leads."""
UNCERTAIN_WAIT = 2.0
"""Seconds for which a request whose answer was lost with the leader is asked of the next one.

It may have taken effect, which only the next leader can tell. That one is there within 1 s mostly,
within 2 s in a store 91 times slower than usual, and callers wait 3 s."""
REFUSALS = (Outcome.NOT_TAKEN, Outcome.NO_QUEUE, Outcome.NO_KEY, Outcome.NAME_TAKEN)
"""Answers that would be wrong if an earlier try took effect."""

UNCONFIRMED = "the configuration is not confirmed here"


class CallerRoute:
    """Admits callers' requests and brings each to whoever leads.

    ``leading`` returns the leadership of this process, if it leads, and ``served_at`` the local
    time at which it last led or heard a leader that leads.
    """

    def __init__(
        self,
        settings: MemberSettings,
        link: LeaderLink,
        feed: ConfigurationFeed,
        figures: Figures,
        leading: Callable[[], Leader | None],
        served_at: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._link = link
        self._feed = feed
        self._figures = figures
        self._leading = leading
        self._served_at = served_at
        self._started_at = monotonic()

    async def serve(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        """Answer a request within ``timeout`` seconds; ``digest`` is that of its key, if any."""
        began = monotonic()
        reply = await self._serve(call, timeout, digest)
        self._figures.observe("request", monotonic() - began)
        self._figures.count("request", reply.outcome.name.lower())
        return reply

    async def _serve(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        """Ask the leader, and its successor if the lead changes hands meanwhile.

        A job keeps its name, so that it may be handed in again after a lost answer. Each try is
        admitted anew, since the configuration may have changed.
        """
        began = monotonic()
        uncertain = False
        while True:
            await self._await_leader(began + HAND_OVER_WAIT)
            reply = await self._try(call, timeout - (monotonic() - began), digest)
            uncertain = uncertain or reply.outcome is Outcome.UNKNOWN
            limit = UNCERTAIN_WAIT if uncertain else HAND_OVER_WAIT
            if not reply.changing or monotonic() - began > limit:
                break
            if not await self._feed.wait_for_version(reply.version, began + limit - monotonic()):
                break
            await asyncio.sleep(HAND_OVER_POLL)
        if uncertain and reply.outcome in REFUSALS:
            return CallerReply(Outcome.UNKNOWN, reason=reply.reason)
        return reply

    async def _await_leader(self, last: float) -> None:
        """Wait a moment while the lead changes hands, or while this process finds who leads."""
        while self._leading() is None and not self._link.leads and monotonic() < last:
            since = max(self._served_at(), self._started_at)
            if monotonic() - since > HAND_OVER_TIME:
                return
            await asyncio.sleep(HAND_OVER_POLL)

    # -- One try -----------------------------------------------------------------------------

    async def _try(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        """Admit a call and ask the leader, which takes it only if both know one configuration."""
        admitted = self._feed.gate.admit(call, digest)
        if isinstance(admitted, CallerReply):
            return self._refusal(admitted)
        if self._settings.fail_closed and self._feed.age > self._settings.revoke_after:
            return not_taken(UNCONFIRMED)
        reply = await self._ask_leader(admitted, timeout)
        if reply.outcome is Outcome.DONE:
            return reply
        return msgspec.structs.replace(reply, organisation=admitted.organisation)

    def _refusal(self, refused: CallerReply) -> CallerReply:
        """Return the answer to a call that is not admitted by the version here."""
        if not self._current():
            return not_taken(UNCONFIRMED, changing=True)
        newer = self._feed.announced_version
        return other_version(newer) if newer > self._feed.version else refused

    def _current(self) -> bool:
        """Tell whether this process leads or hears the leader, so that it knows what is in force.

        One that doesn't may have missed a change, and must not refuse by what it knows.
        """
        leader = self._leading()
        return self._link.leads if leader is None else leader.authority()

    async def _ask_leader(self, call: CallerCall, timeout: float) -> CallerReply:
        leader = self._leading()
        if leader is not None:
            return await leader.serve(call)
        try:
            reply = await self._link.call(call, min(timeout, CALL_TIMEOUT))
        except CallFailed as failed:
            return _failed(call, failed)
        assert isinstance(reply, CallerReply)
        return reply


def _failed(call: CallerCall, failed: CallFailed) -> CallerReply:
    """Return the answer to a call whose own was lost; it tells whether it may have run."""
    if failed.sent and call.operation is not Operation.STATE:
        return CallerReply(Outcome.UNKNOWN, reason=str(failed), changing=failed.closed)
    return not_taken(str(failed), changing=not failed.sent or failed.closed)
