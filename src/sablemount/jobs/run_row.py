"""The rows of runs that may be on VMs, and what is kept of those that have ended."""

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sablemount.jobs.model import Shape
from sablemount.jobs.times import NEVER

if TYPE_CHECKING:
    from sablemount.jobs.tables import TaskRow

__all__ = ["RunCompletion", "RunRow", "RunState"]


class RunState(enum.Enum):
    """State of a run, as far as the leader knows it."""

    RECORDING = "noting"
    """The run is being recorded. It is requested only afterwards: otherwise it would leave no trace
    if the leader ended."""
    SENT = "sent"
    """The start request is in flight, or was not answered."""
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRow:
    """A run that may occupy capacity on a VM."""

    task: str
    number: int
    vm: str
    charge: Shape
    sent_at: float
    state: RunState = RunState.SENT
    recorded: bool = False
    """Whether the store holds everything that must be recorded before the start request."""
    is_probe: bool = False
    """Whether the run is a probe: it shows whether its VM lists completions, and ends before it has
    done any work."""
    charges_whole_vm: bool = False
    """Whether the whole VM is charged for the run, because its job is no longer known."""
    organisation: str = ""
    """Organisation that owns the run; empty if unknown."""
    cap_charge: Shape = Shape()
    """What the run counts against its organisation's cap."""
    settle_clock_ms: float = 0.0
    """Time on the VM's clock after which a run that the VM does not list will never be there."""
    attempt_unanswered_at: float = NEVER
    """When an attempt of its start request last got no answer, so that it may still arrive."""
    requested_until: float = NEVER
    """Until when its start request may be carried out, if it is not delayed on its way."""
    started_at: float = 0.0
    stop_sent_at: float = NEVER
    listed: bool = False
    """Whether the VM has listed the run in a report."""
    found: bool = False
    """Whether this leader knows the run only because its VM listed it."""
    outlasts_earlier_polls: bool = False
    """Whether the run was on its VM when no poll of a previous leader could wait there any more, so
    that no previous leader learns of its end."""
    resumed: bool = False
    """Whether the run continues from state that an earlier run saved."""
    previous_vm: str = ""
    """Incarnation with which the run may have ended, until it is known whether the run reached the
    next incarnation."""
    percent: float = 0.0
    percent_at: float = 0.0
    """When the percentage last rose."""
    metric: float = 0.0
    """See ``RunReport``."""
    speed_percent: int | None = 100
    """Percentage of full speed last granted to the run; ``None`` if unknown."""
    saved: str = ""
    progress_sampled_at: float = NEVER
    progress_sampled_percent: float = 0.0
    """When the progress rate was last measured, and the progress at that time."""
    progress_rate: float | None = None
    """Last measured progress rate, as the share of the work done per second."""
    best_progress_rate: float = 0.0
    owner: "TaskRow | None" = None
    """Its task, also once the job has ended; ``None`` if this leader knows nothing of the job."""
    completion_kept: bool = False
    """Whether the completion is already kept for the log line of its job's end."""

    def may_start_again(self, after: float) -> bool:
        """Return whether its request may have started it on an incarnation that has not listed it.

        That may be the request itself, or an attempt that went unanswered ``after`` a local time.
        """
        return not self.listed or self.attempt_unanswered_at > after

    def seconds_at_work(self, until: float) -> float:
        """Return for how many seconds the run is known to have worked up to a local time."""
        return until - self.started_at if self.started_at > 0 else 0.0


@dataclass(slots=True, frozen=True)
class RunCompletion:
    """How a run ended, kept until its job's end is logged; times are local seconds."""

    task: str
    number: int
    vm: str
    started_at: float
    ended_at: float
    outcome: str
