"""Interfaces through which the schedulers use the platform; each port has one adapter.

The platform's real interfaces are not known yet. Assumptions about them are confined to the
adapters, whose docstrings state them.
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
        """Read the entries after an offset."""
        ...


class VmListPort(Protocol):
    """The platform's list of VMs, live ones and those that are leaving."""

    async def vms(self) -> VmListRead | None:
        """Return the list, or ``None`` if the service does not answer."""
        ...


class WorkerPort(Protocol):
    """The workers, each addressed by its VM's address."""

    async def start(self, action: StartRun, address: str) -> StartEnded:
        """Start a run."""
        ...

    async def poll(self, action: Poll, address: str) -> PollEnded:
        """Renew leases, acknowledge outcomes, send commands and return the worker's report."""
        ...

    async def serve(self, action: Serve, address: str) -> RequestEnded:
        """Serve a request."""
        ...
