"""The row of a task, in memory.

All times are local monotonic seconds.
"""

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from sablemount.jobs.model import INCARNATION_SEPARATOR, VmInfo
from sablemount.jobs.run_row import RunRow
from sablemount.jobs.times import NEVER

if TYPE_CHECKING:
    from sablemount.jobs.tables import StepRow

__all__ = ["MAX_CRASH_WEIGHT", "TaskRow", "TaskState"]

ISOLATE_AFTER_CRASHES = 2
"""Crashes under a task after which it runs isolated from other jobs."""
MAX_CRASH_WEIGHT = 3.0
"""Largest evidence weight of one crash against a task, as the logarithm of odds: another cause can
never be excluded."""


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class Incarnation(Protocol):
    """What the rows of tasks need to know of an incarnation of a VM."""

    info: VmInfo
    name: str


@dataclass(slots=True, eq=False, weakref_slot=True)
class TaskRow:
    """A task and its current runs."""

    key: str
    step: "StepRow"
    index: int
    state: TaskState = TaskState.WAITING
    failed_runs: set[int] = field(default_factory=set)
    """Runs whose failure has been counted, so that a completion listed again counts once."""
    saved: str = ""
    last_run: int = 0
    runs: list[RunRow] = field(default_factory=list)
    failed_on: set[str] = field(default_factory=set)
    """VMs on which the task has failed."""
    failed_at: float = NEVER
    """When the task last failed."""
    crashes: list[str] = field(default_factory=list)
    """VMs that crashed while the task ran there."""
    crash_weights: dict[str, float] = field(default_factory=dict)
    """Evidence weight of a crash against the task, where it is below the maximum; see
    ``evidence.py``."""
    awaits_verdict_until: float = NEVER
    """Time until which the task is not started, since its last crash may show that it crashes
    VMs."""
    ended_unseen: bool = False
    """Whether the task is done, and no previous leader can have learnt of it."""
    run_lost: bool = False
    """Whether a run of the task was lost with its VM, which the task may have crashed."""

    @property
    def is_unused(self) -> bool:
        """Return whether nothing is known of the task but that it waits."""
        return self.state is TaskState.WAITING and not (
            self.last_run
            or self.runs
            or self.failed_runs
            or self.failed_on
            or self.crashes
            or self.saved
            or self.run_lost
        )

    @property
    def needs_isolation(self) -> bool:
        """Return whether so many VMs crashed under the task that it must run isolated."""
        return len(self.crashes) >= ISOLATE_AFTER_CRASHES

    def crashed_before(self, vm: Incarnation) -> bool:
        """Return whether an earlier incarnation of a VM crashed while the task ran there."""
        return self.crashed_in(vm.info.entry_key, vm.name)

    def crashed_in(self, entry: str, excluded_vm: str) -> bool:
        """Return whether an entry's incarnation except ``excluded_vm`` crashed under the task."""
        prefix = entry + INCARNATION_SEPARATOR
        return any(name.startswith(prefix) and name != excluded_vm for name in self.crashes)

    def crash_weight(self, vm: str) -> float:
        """Return the evidence weight of the crash of a VM's incarnation against the task."""
        return self.crash_weights.get(vm, MAX_CRASH_WEIGHT)

    def evidence(self, excluded_vm: str = "") -> float:
        """Return the total evidence weight of the crashes under the task, except ``excluded_vm``'s.

        Of the crashes of one VM only the one with the largest weight counts, since a VM that
        crashes repeatedly may be the cause itself.
        """
        largest_weights: dict[str, float] = {}
        for vm in self.crashes:
            if vm != excluded_vm:
                entry = vm.partition(INCARNATION_SEPARATOR)[0]
                largest_weights[entry] = max(largest_weights.get(entry, 0.0), self.crash_weight(vm))
        return sum(largest_weights.values())

    @property
    def must_record_first(self) -> bool:
        """Return whether the next run must be recorded before it is requested.

        That is so if the task may have been started before. A crash is counted by the leader that
        requested the start, or by a later leader that finds the run recorded. Only the first start
        of a task may go unrecorded, so that at most one crash remains uncounted.
        """
        return self.run_lost or bool(self.crashes) or self.step.job.from_previous_leader
