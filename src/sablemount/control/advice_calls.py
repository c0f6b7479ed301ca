"""Calls for advice, from this process or from the member that is the lane."""

from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.figures import Figures
from sablemount.control.members import Members
from sablemount.control.messages import AdviceReply, AdviseCall
from sablemount.control.network import CallFailed
from sablemount.control.ports import AdvicePort
from sablemount.jobs.actions import AskAdvice
from sablemount.jobs.systems.advice import Advice

__all__ = ["AdviceCalls"]

TIMEOUT_FACTOR = 2.0
"""How many times its expected time a call may take."""
ADVICE_SLACK = 0.25
"""Seconds beyond that, and once more for the way to the lane."""
NO_ANSWER = AdviceReply(False)


class AdviceCalls:
    """Asks for one leadership; ``woken`` lets the scheduler look at its clock and run soon."""

    def __init__(
        self,
        name: str,
        advice: Advice,
        port: AdvicePort,
        members: Members,
        figures: Figures,
        woken: Callable[[], None],
    ) -> None:
        self._name = name
        self._advice = advice
        self._port = port
        self._members = members
        self._figures = figures
        self._woken = woken

    async def ask(self, action: AskAdvice) -> None:
        """Ask, and let the scheduler know."""
        sent_at = monotonic()
        reply = await self._ask(action, TIMEOUT_FACTOR * action.cost + ADVICE_SLACK)
        self._figures.observe("advice", monotonic() - sent_at)
        self._figures.count("advice", "answered" if reply.ok else "failed")
        self._woken()
        if reply.ok:
            self._advice.answered(action.lane, action.step, action.vms, reply.good, reply.valid_ms)
        else:
            self._advice.failed(action.lane, action.step)

    async def _ask(self, action: AskAdvice, timeout: float) -> AdviceReply:
        if action.lane == self._name:
            return await self._port.advise(action.step, action.vms, timeout)
        link = self._members.link(action.lane)
        if link is None:
            return NO_ANSWER
        call = AdviseCall(action.step, action.vms, timeout)
        try:
            reply = await link.call(call, timeout + ADVICE_SLACK)
        except CallFailed:
            return NO_ANSWER
        return reply if isinstance(reply, AdviceReply) else NO_ANSWER
