"""Calls to the advice service, from this process or through the member that has a call slot."""

from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.figures import Metrics
from sablemount.control.members import Members
from sablemount.control.messages import AdviceReply, AdviseCall
from sablemount.control.network import CallFailed
from sablemount.control.ports import AdvicePort
from sablemount.jobs.actions import AskAdvice
from sablemount.jobs.systems.advice import Advice

__all__ = ["AdviceCalls"]

TIMEOUT_FACTOR = 2.0
"""Time-out of a call, as a multiple of its expected time."""
TIMEOUT_SLACK_S = 0.25
"""Added to the time-out, and once more if the call goes through another member."""
FAILED_REPLY = AdviceReply(False)


class AdviceCalls:
    """Calls the advice service for one leadership.

    ``wake`` lets the scheduler update its clock and run soon.
    """

    def __init__(
        self,
        name: str,
        advice: Advice,
        port: AdvicePort,
        members: Members,
        metrics: Metrics,
        wake: Callable[[], None],
    ) -> None:
        self._name = name
        self._advice = advice
        self._port = port
        self._members = members
        self._metrics = metrics
        self._wake = wake

    async def ask(self, action: AskAdvice) -> None:
        """Call the service and pass the result to the scheduler."""
        sent_at = monotonic()
        reply = await self._call(action, TIMEOUT_FACTOR * action.expected_s + TIMEOUT_SLACK_S)
        self._metrics.observe("advice", monotonic() - sent_at)
        self._metrics.count("advice", "answered" if reply.ok else "failed")
        self._wake()
        if reply.ok:
            self._advice.answered(
                action.call_slot, action.step, action.vms, reply.good, reply.valid_ms
            )
        else:
            self._advice.call_failed(action.call_slot, action.step)

    async def _call(self, action: AskAdvice, timeout: float) -> AdviceReply:
        if action.call_slot == self._name:
            return await self._port.advise(action.step, action.vms, timeout)
        link = self._members.link(action.call_slot)
        if link is None:
            return FAILED_REPLY
        call = AdviseCall(action.step, action.vms, timeout)
        try:
            reply = await link.call(call, timeout + TIMEOUT_SLACK_S)
        except CallFailed:
            return FAILED_REPLY
        return reply if isinstance(reply, AdviceReply) else FAILED_REPLY
