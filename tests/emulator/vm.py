"""One emulated VM and the runs on it."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from sablemount.jobs.actions import CompletionReport
from sablemount.jobs.model import Shape, VmInfo

__all__ = ["OpenEnd", "Run", "Vm", "work_owner"]

SAVE_EVERY = 0.4
"""Seconds of work after which a task that saves has saved anew."""
SHRUNK_AFTER = 4.5
"""Seconds after which a capacity that has shrunk binds: contact, and a beat."""


@dataclass
class Run:
    """A run on a VM."""

    task: str
    number: int
    charge: Shape
    began: float
    length: float
    gang: bool = False
    saves: bool = False
    begun_from: str = ""
    """What it was started with of an earlier run's work."""
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None

    @property
    def owner(self) -> str:
        """Return whose saved work is good for it: its task's, or any of its gang's."""
        return work_owner(self.task, self.gang)

    def saved(self, now: float, stopped: bool = False) -> str:
        """Return what it has saved: new after each while of work and at a stop."""
        times = int((now - self.began) / SAVE_EVERY)
        if not self.saves or not (times or stopped):
            return self.begun_from
        return f"{self.owner}|{self.number}.{times}{'s' if stopped else ''}"


def work_owner(task: str, gang: bool) -> str:
    """Return whose saved work is good for a task: its own, or that of any of its gang."""
    return task.rpartition(".")[0] if gang else task


def _within(shape: Shape, capacity: Shape) -> bool:
    """Tell whether a capacity holds a shape; the scheduler's own judgement is what is checked."""
    cores = shape.cores <= capacity.cores
    memory = shape.memory <= capacity.memory
    return cores and memory and shape.accelerators <= capacity.accelerators


@dataclass(frozen=True)
class OpenEnd:
    """An end ``done`` or ``failed`` that is not taken note of; ``lapses`` are its VM's so far."""

    task: str
    how: str
    at: float
    lapses: int


@dataclass
class Vm:
    """One life of a VM; ``info.name`` is the id that it may share with other lives."""

    info: VmInfo
    clock_rate: float
    clock_start: float
    life: str = ""
    """Name of this life, in the emulation only."""
    born: int = 0
    """Unix time of its start in ms."""
    up: bool = True
    capacities: list[tuple[float, Shape]] = field(default_factory=list)
    """Capacities that it has had before, each with the time up to which."""
    cut: bool = False
    unhealthy: float = 0.0
    """Share of its calls that it turns away, doing nothing."""
    resets: bool = False
    """Whether its address resets connections once its life is over, and is not silent."""
    slow: float = 1.0
    fence: int = 0
    until_ms: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ends: list[CompletionReport] = field(default_factory=list)
    barred: Counter[str] = field(default_factory=Counter)
    """The highest run that was stopped or has ended, by the task: none up to it starts any more."""
    acked_end: int = 0
    next_end: int = 1
    news: asyncio.Event = field(default_factory=asyncio.Event)
    lapse: asyncio.TimerHandle | None = None
    lapses: int = 0
    open_ends: dict[int, OpenEnd] = field(default_factory=dict)
    """Ends that count once they are taken note of, by number."""

    def clock_ms(self, now: float) -> float:
        return float(int(self.clock_start + now * 1000.0 * self.clock_rate))

    def resize(self, capacity: Shape, now: float) -> None:
        """Shrink or grow; what runs goes on."""
        self.capacities.append((now, self.info.capacity))
        revision = self.info.revision + 1
        self.info = msgspec.structs.replace(self.info, capacity=capacity, revision=revision)

    def holds(self, shape: Shape, now: float) -> bool:
        """Tell whether a shape fits into a capacity that may still be taken to be there."""
        late = [capacity for until, capacity in self.capacities if until > now - SHRUNK_AFTER]
        return any(_within(shape, capacity) for capacity in [self.info.capacity, *late])

    def used(self) -> Shape:
        total = Shape()
        for run in self.runs.values():
            total = total.plus(run.charge)
        return total
