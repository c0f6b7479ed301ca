"""What the schedulers need of the platform; each port has one adapter.

The platform's real interfaces are not known yet. Everything that guesses at them is in the
adapter of its port, and says so there.
"""

from typing import Protocol

from sablemount.core.actions import AppendLog, Poll, ReadLog, Serve, StartRun
from sablemount.core.events import (
    AppendEnded,
    LogRead,
    LogReadFailed,
    PollEnded,
    RequestEnded,
    StartEnded,
    VmListRead,
)

__all__ = ["LogPort", "VmListPort", "WorkerPort"]


class LogPort(Protocol):
    """The log service."""

    async def append(self, action: AppendLog) -> AppendEnded:
        """Append one batch."""
        ...

    async def read(self, action: ReadLog) -> LogRead | LogReadFailed:
        """Read what follows an offset."""
        ...


class VmListPort(Protocol):
    """The list of live and leaving VMs."""

    async def vms(self) -> VmListRead | None:
        """Return the list, or ``None`` if it does not answer."""
        ...


class WorkerPort(Protocol):
    """The workers, each named by its VM's address."""

    async def start(self, action: StartRun, address: str) -> StartEnded:
        """Start a run."""
        ...

    async def poll(self, action: Poll, address: str) -> PollEnded:
        """Renew, acknowledge, command and ask."""
        ...

    async def serve(self, action: Serve, address: str) -> RequestEnded:
        """Serve a request."""
        ...
