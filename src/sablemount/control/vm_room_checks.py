"""Checks whether VMs have connections left, between their polls."""

import asyncio
import logging

from sablemount.control.background import Background
from sablemount.control.clock import monotonic
from sablemount.control.figures import Metrics
from sablemount.control.vm_call_context import VmCallContext
from sablemount.control.vm_connections import VmConnections, VmLink
from sablemount.control.vm_room import RESERVED_CONNECTIONS, Room
from sablemount.control.vm_rooms import SCARCE_POLL_PAUSE_S
from sablemount.control.vm_turns import CallKind
from sablemount.jobs.vm_row import VmRow

__all__ = ["VmRoomChecks"]

MAX_ROOM_CHECKS = 4
"""Maximum number of VMs that are checked for the connections that they have left at once."""

_logger = logging.getLogger("sablemount.control.vms")


class VmRoomChecks:
    """Checks VMs in the background, and counts changes in ``metrics``."""

    def __init__(
        self,
        context: VmCallContext,
        connections: VmConnections,
        background: Background,
        metrics: Metrics,
    ) -> None:
        self._context = context
        self._connections = connections
        self._background = background
        self._metrics = metrics
        self._slots = asyncio.Semaphore(MAX_ROOM_CHECKS)

    async def polled(self, row: VmRow) -> None:
        """Check whether a VM has connections left, if due, and pause if it may have few."""
        link = self._connections.link(row)
        if link.room is None:
            return
        if link.room.is_check_due(monotonic()):
            link.room.check_begins(monotonic())
            self._background.spawn(self._check(row, link, link.room))
        acknowledges = self._context.scheduler.acks.has_unacknowledged(row)
        if link.reopens and not acknowledges:
            await asyncio.sleep(SCARCE_POLL_PAUSE_S)

    async def _check(self, row: VmRow, link: VmLink, room: Room) -> None:
        port = self._context.port
        async with self._slots, link.turn(CallKind.POLL):
            if not self._context.has_authority():
                return
            takes = await port.takes_connections(row.info.address, RESERVED_CONNECTIONS)
        if takes is None or not room.checked(takes):
            return
        self._metrics.count("vm_room", "enough" if takes else "scarce")
        text = "VM has connections left again" if takes else "VM has few connections left"
        _logger.warning(text, extra={"vm": row.name, "accepted": link.accepted})
