"""Routes callers' requests from the member that received them to the leader or its successor."""

import asyncio
from collections.abc import Callable

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.figures import Metrics
from sablemount.control.leader import Leader
from sablemount.control.leader_link import LeaderLink
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import (
    CallerCall,
    CallerReply,
    Operation,
    Outcome,
    not_taken_reply,
    version_mismatch_reply,
)
from sablemount.control.network import CallFailed

__all__ = ["CallerRoute"]

CALL_TIMEOUT_S = 2.0
"""Time-out of a request to the leader, below the 3 s that callers wait."""
LEADER_CHANGE_WAIT_S = 0.4
"""How long a request waits for a new leader: a leader that was killed is replaced within 0.3 to
0.4 s, and a refused caller retries only after a second."""
OUTAGE_AFTER_S = 0.5
"""Time without a leader after which this counts as an outage and requests are refused at once."""
LEADER_POLL_INTERVAL_S = 0.01
"""Interval of checking whether there is a leader."""
UNCERTAIN_WAIT_S = 2.0
"""How long a request whose answer was lost with the leader is retried at the next leader.

The request may have taken effect, which only the next leader knows. That one usually takes over
within 1 s, and within 2 s with a store 91 times slower than usual; callers wait 3 s."""
REFUSED_OUTCOMES = (Outcome.NOT_TAKEN, Outcome.NO_QUEUE, Outcome.NO_KEY, Outcome.NAME_TAKEN)
"""Outcomes that would be wrong if an earlier attempt took effect."""

DEADLINE_PASSED = "the caller's deadline has passed"
UNCONFIRMED = "the configuration is not confirmed here"


class CallerRoute:
    """Admits callers' requests and forwards each to the current leader.

    ``leading`` returns the ``Leader`` of this process while it leads, and ``served_at`` the local
    time at which it last led or was answered by an active leader.
    """

    def __init__(
        self,
        settings: MemberSettings,
        link: LeaderLink,
        feed: ConfigurationFeed,
        metrics: Metrics,
        leading: Callable[[], Leader | None],
        served_at: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._link = link
        self._feed = feed
        self._metrics = metrics
        self._leading = leading
        self._served_at = served_at
        self._started_at = monotonic()

    async def serve(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        """Answer a request within ``timeout`` seconds; ``digest`` is that of its key, if any."""
        started_at = monotonic()
        reply = await self._serve(call, timeout, digest)
        self._metrics.observe("request", monotonic() - started_at)
        self._metrics.count("request", reply.outcome.name.lower())
        return reply

    async def _serve(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        """Forward a request to the leader, or to its successor if the leadership changes.

        A job keeps its name, so that it may be submitted again after a lost answer. Each attempt is
        admitted again, since the configuration may have changed.
        """
        started_at = monotonic()
        uncertain = False
        while True:
            await self._wait_for_leader(started_at + LEADER_CHANGE_WAIT_S)
            reply = await self._attempt(call, timeout - (monotonic() - started_at), digest)
            uncertain = uncertain or reply.outcome is Outcome.UNKNOWN
            limit = UNCERTAIN_WAIT_S if uncertain else LEADER_CHANGE_WAIT_S
            if not reply.changing or monotonic() - started_at > limit:
                break
            if not await self._feed.wait_for_version(
                reply.version, started_at + limit - monotonic()
            ):
                break
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)
        if uncertain and reply.outcome in REFUSED_OUTCOMES:
            return CallerReply(Outcome.UNKNOWN, reason=reply.reason)
        return reply

    async def _wait_for_leader(self, deadline: float) -> None:
        """Wait until ``deadline`` while the leadership changes or this process finds the leader."""
        while self._leading() is None and not self._link.leader_active and monotonic() < deadline:
            served_at = max(self._served_at(), self._started_at)
            if monotonic() - served_at > OUTAGE_AFTER_S:
                return
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)

    # -- One attempt -------------------------------------------------------------------------

    async def _attempt(self, call: CallerCall, timeout: float, digest: bytes | None) -> CallerReply:
        """Admit a call and forward it to the leader, which must have the same configuration."""
        admitted = self._feed.gate.admit(call, digest)
        if isinstance(admitted, CallerReply):
            return self._refusal(admitted)
        if timeout <= 0 and call.operation is Operation.SUBMIT:
            # The process stood still meanwhile: the caller has gone elsewhere.
            return not_taken_reply(DEADLINE_PASSED)
        if self._settings.fail_closed and self._feed.age > self._settings.revoke_after:
            return not_taken_reply(UNCONFIRMED)
        reply = await self._ask_leader(admitted, timeout)
        if reply.outcome is Outcome.DONE:
            return reply
        return msgspec.structs.replace(reply, organisation=admitted.organisation)

    def _refusal(self, refused: CallerReply) -> CallerReply:
        """Return the answer to a call that is not admitted by the version in force here."""
        if not self._is_current():
            return not_taken_reply(UNCONFIRMED, changing=True)
        newer = self._feed.announced_version
        return version_mismatch_reply(newer) if newer > self._feed.version else refused

    def _is_current(self) -> bool:
        """Return whether this process leads or is in contact with the leader.

        Otherwise it may have missed a change of the configuration and must not refuse callers by
        its own version.
        """
        leader = self._leading()
        return self._link.leader_active if leader is None else leader.has_authority()

    async def _ask_leader(self, call: CallerCall, timeout: float) -> CallerReply:
        leader = self._leading()
        if leader is not None:
            return await leader.serve(call)
        try:
            reply = await self._link.call(call, min(timeout, CALL_TIMEOUT_S))
        except CallFailed as failed:
            return _reply_to_failure(call, failed)
        assert isinstance(reply, CallerReply)
        return reply


def _reply_to_failure(call: CallerCall, failed: CallFailed) -> CallerReply:
    """Return the answer for a call without a reply; it shows whether the call may have run."""
    if failed.may_have_run and call.operation is not Operation.STATE:
        return CallerReply(Outcome.UNKNOWN, reason=str(failed), changing=failed.closed)
    return not_taken_reply(str(failed), changing=not failed.may_have_run or failed.closed)
