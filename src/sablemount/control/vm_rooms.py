"""Estimates of the connections that the VMs of one leadership have left, by address."""

import logging

from sablemount.control.clock import monotonic
from sablemount.control.vm_call_context import VmCallContext
from sablemount.control.vm_room import Room
from sablemount.control.vm_turns import connection_limit
from sablemount.jobs.vm_row import VmRow

__all__ = ["SCARCE_POLL_PAUSE_S", "VmRooms"]

SCARCE_POLL_PAUSE_S = 0.25
"""Pause between polls of a VM that may have few connections left: each opens one."""
MAX_REOPENING_POLLS_PER_S = 500
"""Maximum rate of such polls of all VMs together; in a larger cell the connections stay open."""

_logger = logging.getLogger("sablemount.control.vms")


class VmRooms:
    """The estimates, made as VMs are first called."""

    def __init__(self, context: VmCallContext) -> None:
        self._context = context
        self._rooms: dict[str, Room] = {}
        self._scarcity_logged = False

    @property
    def reopens_connections(self) -> bool:
        """Return whether VMs may be called over a new connection each time."""
        polls_per_s = len(self._context.scheduler.state.vms) / SCARCE_POLL_PAUSE_S
        return polls_per_s <= MAX_REOPENING_POLLS_PER_S

    def accepted_connections(self, row: VmRow) -> int:
        """Return how many connections a VM takes from all; 0 if unknown."""
        configuration = self._context.scheduler.state.configuration
        return configuration.accepted_connections.get(row.info.pool, 0)

    def room(self, row: VmRow, accepted: int) -> Room | None:
        """Return the estimate for a VM; ``None`` if it is unknown how many connections it takes.

        Each earlier leader may have left as many as this one may open.
        """
        if not accepted:
            return None
        room = self._rooms.get(row.info.address)
        if room is None:
            earlier = self._context.epoch * connection_limit(accepted)
            room = Room(accepted - earlier, monotonic())
            self._rooms[row.info.address] = room
            self._log_scarcity(row, room, accepted)
        return room

    def closes_unused(self, address: str) -> bool:
        """Return whether a connection to a VM is closed as soon as no call uses it."""
        room = self._rooms.get(address)
        return room is not None and room.is_scarce and self.reopens_connections

    def _log_scarcity(self, row: VmRow, room: Room, accepted: int) -> None:
        """Log once that earlier leaders may have left few connections."""
        if room.is_scarce and not self._scarcity_logged:
            self._scarcity_logged = True
            extra = {"epoch": self._context.epoch, "vm": row.name, "accepted": accepted}
            _logger.info("VMs may have few connections left", extra=extra)
