"""Whether no VM can run a job, as far as that is certain: pure over the kinds of VMs.

VMs come and go, so a job counts as served while the knowledge of the VMs is incomplete, and if any
VM that the leader has ever seen in the queue's pool could have run it.
"""

import enum
from collections.abc import Iterator

import msgspec

from sablemount.jobs.kinds import Kind, VmKinds
from sablemount.jobs.model import UNLIMITED_COPIES, JobSpec, Shape, StepSpec
from sablemount.jobs.state import State

__all__ = ["SETTLE_TIME_S", "Bound", "UnservedJobs", "UnservedStep"]

SETTLE_TIME_S = 30.0
"""Time for which the VMs' entries have to be read without a gap before a job counts as unserved: a
VM that was away at the election, or whose entry lapsed while the store was down, is back by then
unless it is lost."""
MAX_ENTRIES_AGE_S = 3.0
"""Age from which what was read of the entries counts as outdated: a read of unchanged entries waits
for a second, and the previous one counts from when it was sent."""
FIELDS = ("cores", "memory", "accelerators")


class Bound(enum.Enum):
    """What keeps a step from being run; the value is logged."""

    LABEL = "label"
    CORES = "cores"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    SHAPE = "shape"
    """Each resource of a task fits on some VM, but all together on none."""
    GANG = "gang"
    """The tasks of a gang that can run at the same time, by its spread and the VMs' capacity."""


class UnservedStep(msgspec.Struct, frozen=True):
    """A step that no VM can run, and what it was compared with."""

    number: int
    bound: Bound
    needed: int = 0
    """What the step needs of the bound; 0 for a label or a shape."""
    offered: int = 0
    """The most that the VMs have of it; 0 for a label or a shape."""
    vms: int = 0
    """Number of machines that were compared: those of the pool, with the label if it is known."""
    known_ago: float = 0.0
    """Seconds since the entries were last read."""

    @property
    def path(self) -> str:
        """Return the field at fault, such as ``$.steps[1].label``."""
        step = f"$.steps[{self.number}]"
        if self.bound is Bound.LABEL:
            return f"{step}.label"
        if self.bound is Bound.GANG:
            return f"{step}.count"
        return step if self.bound is Bound.SHAPE else f"{step}.shape.{self.bound.value}"

    @property
    def reason(self) -> str:
        """Return the reason for the caller."""
        prefix = f"no VM can run step {self.number}"
        if self.bound is Bound.LABEL:
            return f"{prefix}: none of {self.vms} VMs of its pool has its label"
        if self.bound is Bound.SHAPE:
            return f"{prefix}: a task is larger than each of {self.vms} VMs"
        if self.bound is Bound.GANG:
            what = f"a gang of {self.needed} tasks, of which"
            return f"{prefix}: {what} {self.vms} VMs can run {self.offered} at a time"
        name = self.bound.value
        return f"{prefix}: {name} of a task {self.needed}, of a VM {self.offered} at most"


class UnservedJobs:
    """Finds jobs that certainly can't be run."""

    def __init__(self, state: State) -> None:
        self._state = state

    def find(self, spec: JobSpec, pool: str) -> UnservedStep | None:
        """Return the first step of a new job that no VM of a pool can run."""
        state = self._state
        if state.entries_read_at is None or not self._is_settled(state.entries_read_at):
            return None
        if not state.kinds.is_pool_known(pool) or spec.due_ms(0) > state.wall_ms:
            # VMs may come before a job is due.
            return None
        step = next(_unserved_steps(spec, pool, state.kinds), None)
        if step is None:
            return None
        return msgspec.structs.replace(step, known_ago=state.now - state.entries_read_at)

    def _is_settled(self, entries_read_at: float) -> bool:
        """Return whether the entries have been read without a gap for long enough, up to now."""
        state = self._state
        readable_since = max(state.elected_at, state.entries_readable_since)
        return (
            state.now - entries_read_at <= MAX_ENTRIES_AGE_S
            and state.now - readable_since >= SETTLE_TIME_S
        )


def _unserved_steps(spec: JobSpec, pool: str, kinds: VmKinds) -> Iterator[UnservedStep]:
    for number, step in enumerate(spec.steps):
        kind = kinds.find(pool, step.label)
        if kind is None:
            everything = kinds.find(pool)
            vms = 0 if everything is None else len(everything.machines)
            yield UnservedStep(number, Bound.LABEL, vms=vms)
        elif not any(step.charge.fits(capacity) for capacity in kind.capacities):
            yield _too_large(number, step.charge, kind)
        elif step.gang and step.count > (places := _places(step, kind)):
            yield UnservedStep(number, Bound.GANG, step.count, places, len(kind.machines))


def _too_large(number: int, charge: Shape, kind: Kind) -> UnservedStep:
    """Return which bound a task exceeds that fits on no VM."""
    vms = len(kind.machines)
    for name in FIELDS:
        needed: int = getattr(charge, name)
        offered: int = max(getattr(capacity, name) for capacity in kind.capacities)
        if needed > offered:
            return UnservedStep(number, Bound(name), needed, offered, vms)
    return UnservedStep(number, Bound.SHAPE, vms=vms)


def _places(step: StepSpec, kind: Kind) -> int:
    """Return how many tasks of a step run at a time at most, as if all VMs were of the best size.

    That is too many where VMs differ, and needs no look at each of them.
    """
    copies = max(step.charge.copies_in(capacity) for capacity in kind.capacities)
    return len(kind.machines) * min(copies, step.spread or UNLIMITED_COPIES)
