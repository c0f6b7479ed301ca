"""The connections to the VMs of one leadership: turns of the calls, and what their results show."""

import logging
from collections.abc import Awaitable
from math import inf
from typing import TypeVar

from sablemount.control.figures import Metrics
from sablemount.control.ports import CallError
from sablemount.control.vm_call_context import RESETS, VmCallContext
from sablemount.control.vm_room import Room
from sablemount.control.vm_rooms import VmRooms
from sablemount.control.vm_turns import CallKind, Turn, VmTurns, connection_limit
from sablemount.jobs.vm_row import VmRow

__all__ = ["VmConnections", "VmLink"]

_Result = TypeVar("_Result")
_logger = logging.getLogger("sablemount.control.vms")


class VmLink:
    """The connections to one VM, for the duration of one call."""

    def __init__(self, connections: "VmConnections", row: VmRow) -> None:
        self._connections = connections
        self._row = row
        self.accepted = connections.rooms.accepted_connections(row)
        """How many connections the VM takes from all; 0 if unknown."""
        self.room: Room | None = connections.rooms.room(row, self.accepted)
        """The estimate of those that are left; ``None`` if unknown."""

    @property
    def is_scarce(self) -> bool:
        """Return whether the VM may have few connections left."""
        return self.room is not None and self.room.is_scarce

    @property
    def is_single(self) -> bool:
        """Return whether only one call at a time may be sent to the VM."""
        return self._connections.turns.is_single(self._row.info.address, self._limit)

    @property
    def reopens(self) -> bool:
        """Return whether each call to the VM opens a connection."""
        return self.is_scarce and self._connections.rooms.reopens_connections

    @property
    def has_waiting(self) -> bool:
        """Return whether a call waits for its turn at the VM."""
        return self._connections.turns.has_waiting(self._row.info.address)

    def turn(self, kind: CallKind, patience: float = inf) -> Turn:
        """Return a context manager for a call, which waits for a connection to the VM."""
        address = self._row.info.address
        return self._connections.turns.turn(address, self._limit, kind, patience)

    async def send(self, turn: Turn, call: Awaitable[_Result]) -> _Result:
        """Send a call in its turn, and note what its result shows of the connections."""
        result = await call
        if result in RESETS:
            self._connections.log_reset(self._row, turn)
        elif result is CallError.NO_ANSWER:
            if self.room is not None:
                self.room.connection_abandoned()
        elif not isinstance(result, CallError) and turn.answered():
            _logger.info("VM takes new connections again", extra={"vm": self._row.name})
        return result

    @property
    def _limit(self) -> int:
        return 1 if self.is_scarce else connection_limit(self.accepted)


class VmConnections:
    """All connections to VMs. Calls that have to wait for one are counted in ``metrics``."""

    def __init__(self, context: VmCallContext, metrics: Metrics) -> None:
        self._context = context
        self._metrics = metrics
        self.rooms = VmRooms(context)
        self.turns = VmTurns(self._count_wait, self._on_unused)

    def link(self, row: VmRow) -> VmLink:
        """Return the connections to a VM, for a call."""
        return VmLink(self, row)

    def log_reset(self, row: VmRow, turn: Turn) -> None:
        """Note that a VM has reset a new connection; it is up all the same."""
        resets = turn.reset_on_open()
        self._metrics.count("vm_connection", "reset_on_open")
        if resets.count & (resets.count - 1) == 0:
            extra = {"vm": row.name, "open": resets.open, "resets": resets.count}
            _logger.warning("VM resets new connections", extra=extra)

    def _on_unused(self, address: str) -> None:
        """Close the connection to a VM that may have few left, unless another call follows."""
        if self.rooms.closes_unused(address):
            self._context.port.close_connections(address)

    def _count_wait(self, kind: CallKind, seconds: float) -> None:
        self._metrics.count("vm_call_waited", kind.name.lower())
        self._metrics.observe("vm_call_wait", seconds)
