"""The unplanned end of a VM's incarnation, and what is known of the other VMs around it."""

from dataclasses import dataclass, field

from sablemount.jobs.tables import TaskRow
from sablemount.jobs.times import NEVER

__all__ = ["CRASH_WINDOW_S", "RATE_WINDOW_S", "Crash", "OtherVms"]

CRASH_WINDOW_S = 1.3
"""Time from a VM's last report within which it has crashed: a poll takes 1.05 s at most."""
RATE_WINDOW_S = 5.0
"""Time before and after a crash in which the crashes of other VMs show how often VMs crash."""


@dataclass(slots=True, frozen=True)
class OtherVms:
    """The other VMs around a crash, by their entries."""

    up: set[str]
    """VMs that have outlived the crash."""
    terminated: set[str]
    """VMs that have been silent since for so long that they count as crashed with it."""


@dataclass(slots=True)
class Crash:
    """Unplanned end of a VM's incarnation, between its last report and its certain end."""

    vm: str
    entry: str
    earliest_at: float
    latest_at: float
    recorded_at: float
    isolated_job: str
    """Job whose task was isolated there, with no other likely cause beside it."""
    tasks: dict[str, TaskRow] = field(default_factory=dict)
    """Tasks that the crash may count for, by key; tasks of jobs that have ended remain."""
    exposures: dict[str, float] = field(default_factory=dict)
    """Seconds for which each of these tasks may have been on the VM."""
    others: OtherVms | None = None
    """The other VMs, once enough is known of them."""
    is_outdated: bool = True
    """Whether its weights are to be computed, for the first time or again."""
    weighed_at: float = NEVER
    recorded_weights: dict[str, float] = field(default_factory=dict)
    """Weights for its tasks that a previous leader recorded, if it counted the crash."""
    recorded_causes: dict[str, float] | None = None
    """Probability of each job to be the cause as this leader first knew it, in that case."""

    @property
    def is_final(self) -> bool:
        """Return whether enough is known of the other VMs for a verdict."""
        return self.others is not None

    @property
    def jobs(self) -> set[str]:
        """Return the names of the jobs of its tasks."""
        return {task.step.job.name for task in self.tasks.values()}

    def overlaps(self, other: "Crash") -> bool:
        """Return whether another VM may have crashed at the same moment."""
        return self.earliest_at <= other.latest_at and other.earliest_at <= self.latest_at

    def is_near(self, other: "Crash") -> bool:
        """Return whether another VM crashed so near in time that it shows the rate of crashes."""
        return abs(self.latest_at - other.latest_at) <= RATE_WINDOW_S
