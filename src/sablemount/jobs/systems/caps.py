"""How many tasks of a step may start within its organisation's cap."""

from sablemount.jobs.caps import NO_LIMIT, remaining_places
from sablemount.jobs.model import Organisation, Shape
from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["Caps"]

BUSY_SHARE = 0.5
"""Share of its cap from which an organisation counts as busy."""
RESERVATION_WAIT_S = 2.0
"""Time for which a step waits for a more urgent gang of its organisation while the organisation is
not busy: a job that has nothing running for 3 s there counts as lost."""


class Caps:
    """Keeps every organisation within its cap at each start."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._unreported: Shape | None = Shape()
        self._reserved: dict[str, StepRow] = {}
        """The most urgent gang that waits for its organisation's cap, by organisation."""

    def begin_round(self) -> None:
        """Begin a placement round: drop the reservations of gangs that no longer wait."""
        open_steps = self._state.open_steps
        for name in [name for name, gang in self._reserved.items() if gang.key not in open_steps]:
            del self._reserved[name]
        self._unreported = (
            Shape() if self._state.previous_runs_settled else self._unreported_capacity()
        )

    def _unreported_capacity(self) -> Shape | None:
        """Return the most that runs started by a previous leader may use without being known.

        That is the whole capacity of the VMs that the previous leader used and that have not
        reported yet; ``None`` if not even their size is known.
        """
        rows = self._state.vms.values()
        largest = max((row.info.capacity for row in rows), default=Shape(), key=_cores)
        unreported = Shape()
        for row in rows:
            if not _may_run_unreported(row):
                continue
            capacity = row.info.capacity if row.info.capacity.cores else largest
            if not capacity.cores:
                return None
            unreported = unreported.plus(capacity)
        return unreported

    def places(self, step: StepRow) -> int:
        """Return how many more tasks of a step may be started."""
        if step.job.organisation and self._state.configuration.version < 0:
            # A leader that has not read the configuration yet knows no caps, which does not mean
            # that there are none.
            return 0
        organisation = self.organisation(step)
        if organisation is None or organisation.cap == Shape():
            return NO_LIMIT
        if self._unreported is None:
            return 0
        if self._is_reserved_for_other(step, organisation):
            return 0
        return remaining_places(
            step.spec.shape,
            organisation.cap,
            self._state.usage.of(organisation.name),
            self._unreported,
            self._state.settings.cap_overage,
        )

    def _is_reserved_for_other(self, step: StepRow, organisation: Organisation) -> bool:
        """Return whether the rest of a cap is reserved for a more urgent gang."""
        gang = self._reserved.get(organisation.name)
        if gang is None or not self._gives_way(step, gang):
            return False
        busy = _reaches_share(self._state.usage.of(organisation.name), organisation.cap, BUSY_SHARE)
        return busy or self._state.now - step.ready_at < RESERVATION_WAIT_S

    def _gives_way(self, step: StepRow, gang: StepRow) -> bool:
        """Return whether a step leaves the rest of a cap to a gang.

        One of the same priority and with a later objective does so once the gang's objective is
        over: as long as such steps come, they would take each bit of the cap that becomes free.
        """
        if gang.key == step.key:
            return False
        own, other = self._state.urgency_of(step), self._state.urgency_of(gang)
        if own[0] == other[0] and self._state.now < gang.job.objective_at:
            return False
        return own > other

    def release_reservation(self, step: StepRow) -> None:
        """Drop a step's reservation, since it is about to be placed anew."""
        name = step.job.organisation
        if name in self._reserved and self._reserved[name].key == step.key:
            del self._reserved[name]

    def organisation(self, step: StepRow) -> Organisation | None:
        """Return a step's organisation; ``None`` if it has none or was never configured."""
        return self._state.organisations.get(step.job.organisation)

    def reserve_for_gang(self, step: StepRow) -> None:
        """Reserve the rest of a cap for a step that has to wait for it, if the step is a gang.

        Otherwise less urgent steps of its organisation would take each bit of the cap as runs end.
        A gang that no longer fits into the cap, since the cap was lowered, gets no reservation: it
        would leave the cap unused.
        """
        organisation = self.organisation(step)
        if organisation is None or not step.spec.gang:
            return
        places = remaining_places(step.spec.shape, organisation.cap, Shape(), Shape(), 0.0)
        if places < step.waiting:
            return
        gang = self._reserved.get(organisation.name)
        if gang is None or self._state.urgency_of(step) < self._state.urgency_of(gang):
            self._reserved[organisation.name] = step


def _cores(shape: Shape) -> int:
    return shape.cores


def _may_run_unreported(row: VmRow) -> bool:
    return row.earlier_runs_possible and row.first_report_at < 0 and not row.terminated


def _reaches_share(usage: Shape, cap: Shape, share: float) -> bool:
    """Return whether a usage reaches some share of a cap in any resource."""
    pairs = (
        (usage.cores, cap.cores),
        (usage.memory, cap.memory),
        (usage.accelerators, cap.accelerators),
    )
    return any(limit and used >= share * limit for used, limit in pairs)
