"""Actions that the job scheduler asks its runtime to carry out, and the reports it is given."""

from typing import TypeAlias

import msgspec

__all__ = [
    "Action",
    "AskAdvice",
    "CompletionReport",
    "VmReport",
    "PollVm",
    "LaterIncarnation",
    "ThrottleRun",
    "RunReport",
    "StartRun",
    "StopRun",
]


class StartRun(msgspec.Struct, frozen=True):
    """Start a run of a task on a VM; ``not_after`` is local monotonic seconds."""

    vm: str
    task: str
    run: int
    payload: str
    not_after: float
    saved: str = ""
    ticket: str = ""


class StopRun(msgspec.Struct, frozen=True):
    """Stop a run."""

    vm: str
    task: str
    run: int


class ThrottleRun(msgspec.Struct, frozen=True):
    """Set the speed of a best-effort run to a percentage of its full speed."""

    vm: str
    task: str
    run: int
    percent: int


class AskAdvice(msgspec.Struct, frozen=True):
    """Ask through a call slot which VMs may run a step.

    ``expected_s`` is the expected duration of the call.
    """

    call_slot: str
    step: str
    vms: tuple[str, ...]
    expected_s: float


class PollVm(msgspec.Struct, frozen=True):
    """Poll a VM at once, in addition to the long poll that waits for a completion there."""

    vm: str


Action: TypeAlias = StartRun | StopRun | ThrottleRun | AskAdvice | PollVm


class RunReport(msgspec.Struct, frozen=True, array_like=True):
    """A run that a VM holds; ``percent`` is its progress.

    ``metric`` covers the last half second: the tail latency in ms for a latency-sensitive task,
    otherwise the cores in use (thousandths).
    """

    task: str
    run: int
    saved: str = ""
    percent: float = 0.0
    metric: float = 0.0


class CompletionReport(msgspec.Struct, frozen=True, array_like=True):
    """A completion that a VM lists until it is acknowledged.

    ``number`` rises within an incarnation of the VM.
    """

    number: int
    task: str
    run: int
    outcome: str
    saved: str = ""


class VmReport(msgspec.Struct, frozen=True):
    """A VM's report; ``sent_at`` is local monotonic seconds, ``clock_ms`` the VM's clock."""

    vm: str
    sent_at: float
    clock_ms: float
    running: tuple[RunReport, ...]
    completions: tuple[CompletionReport, ...]


class LaterIncarnation(msgspec.Struct, frozen=True):
    """A call for a VM's incarnation was carried out by a later one with the same id."""

    vm: str
    """Name of the later incarnation."""
    born: int
    """Unix time of its start in ms."""
