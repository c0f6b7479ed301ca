"""The rows of the VMs: one incarnation each, with what may run there."""

from dataclasses import dataclass, field
from math import inf

from sablemount.jobs.lease import Lease
from sablemount.jobs.model import UNLIMITED_COPIES, Shape, VmInfo, step_key_of
from sablemount.jobs.run_row import RunRow
from sablemount.jobs.tables import StepRow
from sablemount.jobs.times import NEVER

__all__ = ["VmRow"]

LONGEST_POLL_MS = 2_000.0
"""Longest time in ms that a VM lets a poll wait, on its own clock."""
MIN_CLOCK_RATE = 0.98
"""Lowest rate of a VM's clock relative to true time."""


@dataclass(slots=True, eq=False)
class VmRow:
    """One incarnation of a VM."""

    info: VmInfo
    name: str = field(init=False)
    """Name of this incarnation."""
    listed: bool = True
    unlisted_at: float | None = None
    """When its entry was found missing; ``None`` while it is present or no list has been read."""
    revision: int = 0
    """Revision of the newest description that the VM has published of itself."""
    described_at: float = NEVER
    """When a description with a newer revision arrived."""
    free_capacity: Shape = Shape()
    """Its capacity less what runs are charged and what is reserved for steps."""
    runs: dict[tuple[str, int], RunRow] = field(default_factory=dict)
    """All runs that may be on the VM, wanted or not, by task and number."""
    tasks_by_step: dict[str, int] = field(default_factory=dict)
    """Number of these runs, and of the places reserved, by the key of their step."""
    reserved: dict[str, int] = field(default_factory=dict)
    """Number of places that are reserved for a step until it has tickets, by its key."""
    last_report_at: float = NEVER
    first_report_at: float = NEVER
    connections_refused_since: float = 2 * NEVER
    """Since when nothing listens at its address; earlier than its last report if something does."""
    first_clock_ms: float = inf
    """Its clock at the first report, by which it refuses the calls of previous leaders."""
    clock_ms: float = 0.0
    clock_read_at: float = NEVER
    """When the answer with ``clock_ms`` arrived."""
    behind_logged_at: float = NEVER
    """When an answer with a clock far behind was last logged."""
    fence: int = 0
    """Fence of its calls, among those of one leader; it rises with each incarnation."""
    entry_pending: bool = False
    """Whether the VM is known from its answers only, and its entry has not been read yet."""
    completions_unreliable: bool = False
    """Whether completions there may go unlisted, so that nothing may be started."""
    unverified: bool = False
    """Whether that is only suspected, so that a probe may show that the VM lists its completions;
    see ``proofs.py``."""
    probes: int = 0
    """Number of probes started on the VM."""
    lease_extended_until: float = NEVER
    """End of the lease that a call for the previous incarnation may have given to this one."""
    earlier_poll_in_flight: bool = False
    """Whether a poll for an earlier incarnation is unanswered that may extend its lease."""
    next_probe_at: float = NEVER
    """Earliest time of the next probe."""
    recorded_speed: float = 0.0
    """Its speed as recorded, or as about to be recorded."""
    follows_crash_at: float = NEVER
    """When it was found to follow an incarnation under the same id whose end was not planned."""
    last_seen_completion: int = 0
    """Last completion that the VM has listed."""
    last_batched_completion: int = 0
    """Last completion that was put into a batch."""
    last_recorded_completion: int = 0
    """Last completion that the store holds, so that it may be acknowledged."""
    last_acknowledged_completion: int = 0
    """Last completion whose acknowledgement the VM is known to have received."""
    starts_in_flight: int = 0
    """Number of start requests in flight."""
    start_timed_out_at: float = NEVER
    """When a start request last timed out without an answer."""
    ack_unanswered_at: float = NEVER
    """When an acknowledgement last went without an answer, so that it may still arrive."""
    ack_in_flight: bool = False
    """Whether an acknowledgement of completions is in flight, so that nothing may be started."""
    delayed_by_ack: bool = False
    """Whether an acknowledgement in flight or overdue has delayed a start there."""
    unacknowledged_since: float | None = None
    """Since when there are recorded completions that were not acknowledged to the VM."""
    leaves_at: float | None = None
    """Time until which a draining incarnation lasts at least, if it has announced one."""
    call_ended_at: float = NEVER
    """When a call last ended that extends leases and may have reached a next incarnation."""
    lease: Lease = Lease(NEVER)
    """The longest lease there, as far as this leader can know."""
    lease_logged_at: float = NEVER
    """When its lease was last logged because it had fallen silent."""
    lease_returned_at: float = NEVER
    """When it was last logged that a call to extend the lease was not sent."""
    crashed_at: float = 2 * NEVER
    """When it was found to have crashed, as its leases were over; earlier than its last report if
    it was not since."""
    terminated: bool = False
    throttled_at: float = NEVER
    """When the speed of some run there was last changed."""
    avoid_until: float = NEVER
    """No new work before this time, because the VM refused a start or its tasks fail or make no
    progress."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs of which a task has failed there since any task last succeeded there."""
    preemptor_priority: int = 0
    """Priority for which preemption has reserved its capacity."""
    preemptor_step: str = ""
    """Only step that preemption has reserved its capacity for; empty if any of that priority may
    use it."""
    reserved_for_preemptor_until: float = NEVER
    """Until when its capacity is reserved for that step, or for work of that priority or more
    urgent work."""
    quarantines: int = 0
    """Number of quarantines since a task last succeeded there; each doubles the next pause."""
    recorded: bool = False
    """Whether its record says, or is about to say, that it may run something."""
    use_record_number: int = 0
    """Number of the newest use record that this leader made for it."""
    in_use: bool = False
    """Whether that record is in the store, so that runs may be started."""
    sealed: bool = False
    """Whether its record names the only tasks that may run there, so that nothing is started."""
    sealed_at: float = NEVER
    """When it was sealed last."""
    earlier_tasks: frozenset[str] | None = None
    """The only tasks that previous leaders' runs there may be of, up to its first report; ``None``
    if they may be of any."""
    earlier_runs_possible: bool = False
    """Whether a previous leader may have started something there, or a start request for its
    earlier incarnation may have reached it."""
    isolated_job: str = ""
    """Job that alone may start runs there, because VMs have crashed under its tasks."""
    uncertainty_recorded_at: float = NEVER
    """When its runs were last recorded as uncertain because it had fallen silent."""

    def __post_init__(self) -> None:
        self.name = self.info.name

    # -- What may run there ------------------------------------------------------------------

    def add_run(self, run: RunRow) -> None:
        """Count a run that may be on the VM from now on."""
        self.runs[(run.task, run.number)] = run
        self._take(step_key_of(run.task), run.charge, 1)

    def drop_run(self, run: RunRow) -> bool:
        """Release the place of a run that is over, and return whether it had one."""
        if self.runs.pop((run.task, run.number), None) is None:
            return False
        self._take(step_key_of(run.task), run.charge, -1)
        return True

    def reserve(self, step: StepRow) -> None:
        """Reserve a place for a task of a step."""
        self.reserved[step.key] = self.reserved.get(step.key, 0) + 1
        self._take(step.key, step.spec.charge, 1)

    def release(self, step: StepRow) -> None:
        """Release the places that are reserved for a step."""
        self._take(step.key, step.spec.charge, -self.reserved.pop(step.key, 0))

    def _take(self, step: str, charge: Shape, places: int) -> None:
        """Take places for tasks of a step, or release them if the number is negative."""
        self.free_capacity = self.free_capacity.plus(charge, -places)
        taken = self.tasks_by_step.get(step, 0) + places
        if taken:
            self.tasks_by_step[step] = taken
        else:
            self.tasks_by_step.pop(step, None)

    def spread_left(self, step: StepRow) -> int:
        """Return how many more tasks of a step its spread allows; negative if too many are there.

        Capacity doesn't count.
        """
        if not step.spec.spread:
            return UNLIMITED_COPIES
        return step.spec.spread - self.tasks_by_step.get(step.key, 0)

    def places_for(self, step: StepRow) -> int:
        """Return how many more tasks of a step may start, by capacity and by its spread."""
        return max(0, min(step.spec.charge.copies_in(self.free_capacity), self.spread_left(step)))

    def has_place_for(self, step: StepRow) -> bool:
        """Return whether a task of a step may start, by capacity and by the step's spread."""
        return step.spec.charge.fits(self.free_capacity) and self.spread_left(step) > 0

    def has_kept_place_for(self, step: StepRow) -> bool:
        """Return whether a task of a step that has a place may still start.

        It may not if the VM has shrunk since, or if runs were found there.
        """
        charge = step.spec.charge
        return charge.fits(self.free_capacity.plus(charge)) and self.spread_left(step) >= 0

    # -- Reports and reservations ------------------------------------------------------------

    def report_age(self, now: float) -> float | None:
        """Return the age of its last report in seconds; ``None`` if it never reported."""
        return round(now - self.last_report_at, 3) if self.last_report_at > 0 else None

    def refuses_earlier_polls(self, clock_ms: float) -> bool:
        """Return whether no poll of a previous leader waits any more at a time of its clock.

        One that it took before its first report to this leader may wait, and show an end.
        """
        return clock_ms > self.first_clock_ms + LONGEST_POLL_MS

    def is_reserved_against(self, step: StepRow, priority: int, now: float) -> bool:
        """Return whether preemption has reserved its capacity against a step of some priority."""
        if self.reserved_for_preemptor_until <= now or priority < self.preemptor_priority:
            return False
        return priority > self.preemptor_priority or self.preemptor_step not in ("", step.key)

    def min_clock_ms(self, now: float) -> float:
        """Return the lowest value in ms that the VM's clock can show now."""
        return self.clock_ms + max(0.0, now - self.clock_read_at) * 1000.0 * MIN_CLOCK_RATE
