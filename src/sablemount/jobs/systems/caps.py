"""How many tasks of a step its organisation's cap lets start now."""

from sablemount.jobs.caps import NO_LIMIT, places_within
from sablemount.jobs.model import Organisation, Shape
from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow, VmRow

__all__ = ["Caps"]

HALF = 0.5
"""Share of its cap from which an organisation counts as busy."""
HELD_TIME = 2.0
"""Seconds for which a step of an organisation that is not busy waits for a gang of its own: a job
that has nothing running for 3 s there counts as lost."""


class Caps:
    """Keeps every organisation within its cap at each start."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._unseen: Shape | None = Shape()
        self._held: dict[str, tuple[int, str]] = {}
        """The most urgent gang that waits for room under its organisation's cap: its priority and
        its step, by organisation."""

    def begin(self) -> None:
        """Begin a round of placement: gangs that wait no more hold nothing."""
        open_steps = self._state.open_steps
        for name in [name for name, held in self._held.items() if held[1] not in open_steps]:
            del self._held[name]
        self._unseen = Shape() if self._state.former_settled else self._hidden()

    def _hidden(self) -> Shape | None:
        """Return the most that may run unseen since a former leader's time.

        That is all of the VMs that it used and that have not been heard; ``None`` if not even their
        size is known.
        """
        rows = self._state.vms.values()
        largest = max((row.info.capacity for row in rows), default=Shape(), key=_cores)
        hidden = Shape()
        for row in rows:
            if not _unheard(row):
                continue
            capacity = row.info.capacity if row.info.capacity.cores else largest
            if not capacity.cores:
                return None
            hidden = hidden.plus(capacity)
        return hidden

    def places(self, step: StepRow) -> int:
        """Return how many more tasks of a step may be started."""
        if step.job.organisation and self._state.configuration.version < 0:
            # A new leader may lead before it has read which caps are in force.
            return 0
        organisation = self.organisation(step)
        if organisation is None or organisation.cap == Shape():
            return NO_LIMIT
        if self._unseen is None:
            return 0
        if self._held_from(step, organisation):
            return 0
        return places_within(
            step.spec.shape,
            organisation.cap,
            self._state.usage.of(organisation.name),
            self._unseen,
            self._state.settings.cap_overage,
        )

    def _held_from(self, step: StepRow, organisation: Organisation) -> bool:
        """Tell whether what is left of a cap is held for a more urgent gang."""
        priority, key = self._held.get(organisation.name, (NO_LIMIT, step.key))
        if key == step.key or self._state.terms_of(step.job).priority <= priority:
            return False
        busy = _reaches(self._state.usage.of(organisation.name), organisation.cap, HALF)
        return busy or self._state.now - step.turn_at < HELD_TIME

    def release(self, step: StepRow) -> None:
        """Hold nothing for a step any more: it is about to be placed anew."""
        name = step.job.organisation
        if name in self._held and self._held[name][1] == step.key:
            del self._held[name]

    def organisation(self, step: StepRow) -> Organisation | None:
        """Return whose step it is; ``None`` if nobody's, or if it was never configured."""
        return self._state.organisations.get(step.job.organisation)

    def short(self, step: StepRow) -> None:
        """Take that a step has to wait for its cap: a gang keeps what ends from lesser work.

        Otherwise lesser work of its organisation would take each bit of room as it ends. A gang
        that the cap can't hold, since that has fallen, would keep it idle.
        """
        organisation = self.organisation(step)
        if organisation is None or not step.spec.gang:
            return
        whole = places_within(step.spec.shape, organisation.cap, Shape(), Shape(), 0.0)
        if whole < step.waiting:
            return
        priority = self._state.terms_of(step.job).priority
        if organisation.name in self._held and self._held[organisation.name][0] <= priority:
            return
        self._held[organisation.name] = (priority, step.key)


def _cores(shape: Shape) -> int:
    return shape.cores


def _unheard(row: VmRow) -> bool:
    return row.loaded and row.first_heard_at < 0 and not row.gone


def _reaches(used: Shape, cap: Shape, share: float) -> bool:
    """Tell whether something is used up to a share of its cap."""
    pairs = (
        (used.cores, cap.cores),
        (used.memory, cap.memory),
        (used.accelerators, cap.accelerators),
    )
    return any(limit and taken >= share * limit for taken, limit in pairs)
