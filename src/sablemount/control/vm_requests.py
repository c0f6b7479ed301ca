"""Sends requests to stop or throttle runs to their VMs."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeAlias

from sablemount.control.ports import CallError
from sablemount.control.vm_call_context import VmCallContext
from sablemount.control.vm_connections import VmConnections
from sablemount.control.vm_turns import CallKind
from sablemount.jobs.actions import StopRun, ThrottleRun

__all__ = ["VmRequests"]

REQUEST_TIMEOUT_S = 0.5
"""Time-out of a throttle request, or of a stop request, which takes 0.4 s at most."""

RequestCall: TypeAlias = Callable[[str, int, float], Awaitable[CallError | None]]
"""Sends a request to an address under a fence, with a time-out in seconds."""


class VmRequests:
    """Sends each request once; the scheduler repeats a stop whose run is still listed."""

    def __init__(self, context: VmCallContext, connections: VmConnections) -> None:
        self._context = context
        self._connections = connections

    async def stop(self, action: StopRun) -> None:
        """Request that a run is stopped."""
        await self._send(action.vm, CallKind.STOP, partial(self._context.port.stop, action))

    async def throttle(self, action: ThrottleRun) -> None:
        """Request that a run is throttled."""
        send = partial(self._context.port.pace, action)
        if await self._send(action.vm, CallKind.THROTTLE, send) is not None:
            throttling = self._context.scheduler.throttling
            throttling.throttle_failed(action.vm, action.task, action.run)

    async def _send(self, vm: str, kind: CallKind, call: RequestCall) -> CallError | None:
        """Send a request if the leader has the authority; return the error of the call, if any."""
        context = self._context
        row = context.scheduler.state.vms.get(vm)
        if row is None or row.terminated:
            return None
        link = self._connections.link(row)
        async with link.turn(kind) as turn:
            if row.terminated or not context.has_authority():
                return None
            fence = context.fence(row)
            result = await link.send(turn, call(row.info.address, fence, REQUEST_TIMEOUT_S))
        if result is CallError.FENCED:
            context.fence_refused(row, fence)
        return result
