"""An emulated VM, and the runs on it."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from sablemount.jobs.actions import CompletionReport
from sablemount.jobs.model import Shape, VmInfo

__all__ = ["OpenCompletion", "Run", "Vm", "work_owner"]

SAVE_EVERY_S = 0.4
"""Seconds of work between two checkpoints of a task that saves."""
SHRINK_BINDS_AFTER_S = 4.5
"""Seconds after which a reduced capacity binds: the contact time-out and one heartbeat."""


@dataclass
class Run:
    """A run of a task on a VM."""

    task: str
    number: int
    charge: Shape
    started_at: float
    duration_s: float
    gang: bool = False
    saves: bool = False
    started_from: str = ""
    """Checkpoint of an earlier run that it was started from; empty if none."""
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None

    @property
    def owner(self) -> str:
        """Return the owner of the checkpoints that this run can use."""
        return work_owner(self.task, self.gang)

    def saved(self, now: float, stopped: bool = False) -> str:
        """Return the latest checkpoint: one is written every ``SAVE_EVERY_S`` and at a stop."""
        count = int((now - self.started_at) / SAVE_EVERY_S)
        if not self.saves or not (count or stopped):
            return self.started_from
        return f"{self.owner}|{self.number}.{count}{'s' if stopped else ''}"


def work_owner(task: str, gang: bool) -> str:
    """Return the owner of a task's checkpoints: the task itself, or its step for a gang."""
    return task.rpartition(".")[0] if gang else task


def _fits(shape: Shape, capacity: Shape) -> bool:
    """Return whether a shape fits into a capacity.

    This doesn't use the scheduler's own comparison, which is what the emulator checks.
    """
    cores = shape.cores <= capacity.cores
    memory = shape.memory <= capacity.memory
    return cores and memory and shape.accelerators <= capacity.accelerators


@dataclass(frozen=True)
class OpenCompletion:
    """A completion ``done`` or ``failed`` that has not been acknowledged yet.

    ``lease_expirations`` is the count of its VM at the time of the completion.
    """

    task: str
    outcome: str
    ended_at: float
    lease_expirations: int


@dataclass
class Vm:
    """One incarnation of a VM; ``info.name`` is the id that other incarnations may share."""

    info: VmInfo
    clock_rate: float
    clock_start: float
    incarnation: str = ""
    """Name of this incarnation; used in the emulation only."""
    started_at_ms: int = 0
    """Unix time of its start, in ms."""
    up: bool = True
    earlier_capacities: list[tuple[float, Shape]] = field(default_factory=list)
    """Earlier capacities, each with the time at which it ended."""
    unreachable: bool = False
    """Whether it is cut off from everybody, the store included."""
    refuses_when_cut: bool = False
    """Whether calls to it are refused, and open ones reset, while it is cut off; otherwise they get
    no answer."""
    cut_off_epoch: int = -1
    """Highest epoch of the leaders that it is cut off from, though it reaches the store."""
    leaves_at: float | None = None
    """Time until which it has announced to stay; it may serve on for longer."""
    rejection_share: float = 0.0
    """Share of the calls that it rejects without any effect."""
    resets_connections: bool = False
    """Whether its address resets connections after the VM has ended; otherwise it is silent."""
    slowdown: float = 1.0
    accepted_connections: int = 64
    """Number of connections that it takes; it resets further ones as they open."""
    open_connections: int = 0
    reset_connections: int = 0
    fence: int = 0
    lease_until_ms: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    completions: list[CompletionReport] = field(default_factory=list)
    highest_ended_run: Counter[str] = field(default_factory=Counter)
    """Highest run number that was stopped or has ended, by task; up to it no start is accepted."""
    acked_completion: int = 0
    next_completion: int = 1
    report_ready: asyncio.Event = field(default_factory=asyncio.Event)
    lease_timer: asyncio.TimerHandle | None = None
    lease_expirations: int = 0
    open_completions: dict[int, OpenCompletion] = field(default_factory=dict)
    """Completions not acknowledged yet, by sequence number."""

    def remaining_ms(self, now: float) -> float:
        """Return the ms that are left of the time that it has announced to stay."""
        return 0.0 if self.leaves_at is None else max(0.0, self.leaves_at - now) * 1000.0

    def takes_connections(self, count: int = 1) -> bool:
        """Return whether it takes so many further connections."""
        return self.open_connections + count <= self.accepted_connections

    def clock_ms(self, now: float) -> float:
        return float(int(self.clock_start + now * 1000.0 * self.clock_rate))

    def lease_end(self, now: float) -> float:
        """Return when its lease is over, in the emulation's time."""
        return now + (self.lease_until_ms - self.clock_ms(now)) / 1000.0 / self.clock_rate

    def resize(self, capacity: Shape, now: float) -> None:
        """Change the capacity; the active runs continue."""
        self.earlier_capacities.append((now, self.info.capacity))
        revision = self.info.revision + 1
        self.info = msgspec.structs.replace(self.info, capacity=capacity, revision=revision)

    def fits(self, shape: Shape, now: float) -> bool:
        """Return whether a shape fits into the capacity, or into one that may still be assumed."""
        recent = [
            capacity
            for until, capacity in self.earlier_capacities
            if until > now - SHRINK_BINDS_AFTER_S
        ]
        return any(_fits(shape, capacity) for capacity in [self.info.capacity, *recent])

    def total_charge(self) -> Shape:
        total = Shape()
        for run in self.runs.values():
            total = total.plus(run.charge)
        return total
