"""Sends the leader's requests to the VMs and polls each VM continuously."""

import asyncio
import logging
from collections.abc import Callable

from sablemount.control.background import Background, error_logger
from sablemount.control.figures import Metrics
from sablemount.control.ports import VmPort
from sablemount.control.vm_call_context import VmCallContext
from sablemount.control.vm_connections import VmConnections
from sablemount.control.vm_poll_loop import VmPollLoop
from sablemount.control.vm_polls import VmPolls
from sablemount.control.vm_requests import VmRequests
from sablemount.control.vm_room_checks import VmRoomChecks
from sablemount.control.vm_starts import VmStarts
from sablemount.jobs.actions import PollVm, StartRun, StopRun, ThrottleRun
from sablemount.jobs.scheduler import JobScheduler
from sablemount.jobs.vm_row import VmRow

__all__ = ["VmCalls"]

_logger = logging.getLogger("sablemount.control.vms")


class VmCalls:
    """Communicates with the VMs for the duration of one leadership.

    ``has_authority``, ``on_fenced`` and ``wake`` are those of ``VmCallContext``, ``when_recorded``
    is that of ``VmPolls``. Calls that have to wait for a connection are counted in ``metrics``.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        port: VmPort,
        epoch: int,
        has_authority: Callable[[], bool],
        on_fenced: Callable[[str], None],
        wake: Callable[[], None],
        when_recorded: Callable[[], "asyncio.Future[None]"],
        metrics: Metrics | None = None,
    ) -> None:
        metrics = metrics or Metrics()
        context = VmCallContext(scheduler, port, epoch, has_authority, on_fenced, wake)
        connections = VmConnections(context, metrics)
        self._context = context
        self._background = Background(error_logger(_logger))
        self._poll = VmPolls(context, connections, when_recorded).poll
        checks = VmRoomChecks(context, connections, self._background, metrics)
        self._poll_loop = VmPollLoop(context, self._poll, checks)
        self._start = VmStarts(context, connections).start
        self._requests = VmRequests(context, connections)
        self._polling: dict[str, asyncio.Task[None]] = {}

    def poll_new_vms(self) -> None:
        """Start polling the VMs that are not polled yet."""
        for name, row in self._context.scheduler.state.vms.items():
            if name not in self._polling:
                self._polling[name] = self._background.spawn(self._poll_continuously(row))

    async def _poll_continuously(self, row: VmRow) -> None:
        try:
            await self._poll_loop.run(row)
        finally:
            self._polling.pop(row.name, None)

    def poll_now(self, action: PollVm) -> None:
        """Poll a VM now, without waiting for a completion."""
        row = self._context.scheduler.state.vms.get(action.vm)
        if row is not None and self._context.has_authority():
            self._background.spawn(self._poll_now(row))

    async def _poll_now(self, row: VmRow) -> None:
        await self._poll(row, at_once=True)

    def start(self, action: StartRun) -> None:
        """Send a request to start a run, in the background."""
        self._background.spawn(self._start(action))

    def stop(self, action: StopRun) -> None:
        """Send a request to stop a run, in the background."""
        self._background.spawn(self._requests.stop(action))

    def throttle(self, action: ThrottleRun) -> None:
        """Send a request to throttle a run, in the background."""
        self._background.spawn(self._requests.throttle(action))

    def close(self) -> None:
        """Stop polling and cancel the requests in flight."""
        self._background.close()
