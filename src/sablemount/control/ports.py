"""Interfaces that the leader needs besides the store; adapters implement them."""

import enum
from collections.abc import Sequence
from typing import Protocol, TypeAlias

import msgspec

from sablemount.control.messages import AdviceReply
from sablemount.jobs.actions import LaterIncarnation, StartRun, StopRun, ThrottleRun, VmReport
from sablemount.jobs.model import Configuration, VmInfo
from sablemount.jobs.records import Record
from sablemount.jobs.scheduler import StartRefusal

__all__ = [
    "AdvicePort",
    "CallError",
    "DirectoryCodec",
    "HoldCall",
    "HoldResult",
    "Started",
    "StartResult",
    "VmPort",
]


class CallError(enum.Enum):
    """Why a call to a VM failed."""

    FENCED = "fenced"
    """The VM has seen a later leader."""
    OTHER_INCARNATION = "other life"
    """Another VM, or another incarnation with an id of its own, is at the address."""
    REFUSED = "refused"
    """No process listens at the address."""
    NOT_SENT = "not sent"
    NO_ANSWER = "no answer"
    """The call may have been carried out, or may still be."""
    RESET_ON_OPEN = "connection reset as it was opened"
    """The VM is up and takes no further connection. The call may have been carried out."""
    RESET_UNSENT = "connection reset before the call was sent"
    """The same, and the call was not sent."""


class HoldCall(msgspec.Struct, frozen=True):
    """Extends a VM's leases, acknowledges completions and requests a report of its runs."""

    vm: str
    address: str
    fence: int
    until_ms: int
    """Expiry of the leases on the VM's clock, 0 to leave them unchanged."""
    acked_completion: int
    """Sequence number of the newest acknowledged completion, 0 for none."""
    wait: float
    """Seconds that the answer may wait for a completion."""


class Started(msgspec.Struct, frozen=True):
    """A run has started; ``clock_ms`` is the VM's clock."""

    clock_ms: float


HoldResult: TypeAlias = VmReport | LaterIncarnation | CallError
StartResult: TypeAlias = Started | StartRefusal | CallError


class VmPort(Protocol):
    """Calls to the VMs. Time-outs are in seconds."""

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        """Extend leases, acknowledge completions and return the VM's report."""
        ...

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        """Start a run."""
        ...

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        """Stop a run."""
        ...

    async def pace(
        self, action: ThrottleRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        """Throttle a run to a share of its speed."""
        ...

    async def takes_connections(self, address: str, count: int) -> bool | None:
        """Return whether a VM takes so many further connections; ``None`` if it is unreachable."""
        ...

    def close_connections(self, address: str | None = None) -> None:
        """Close the connections that no call uses, to one VM or to all."""
        ...


class AdvicePort(Protocol):
    """The advice service, which knows which VMs may run a step."""

    async def advise(self, step: str, vms: Sequence[str], timeout: float) -> AdviceReply:
        """Return which of ``vms`` may run a step."""
        ...


class DirectoryCodec(Protocol):
    """Decodes records that other systems write to the store; undecodable ones give ``None``."""

    def vm(self, record: Record) -> VmInfo | None:
        """Decode a VM's entry."""
        ...

    def configuration(self, record: Record) -> Configuration | None:
        """Decode the configuration; return ``None`` for other records of its topic."""
        ...
