"""In which order steps wait for room: pure over the tables.

Answers the load of callers who compete for too little room. By priority and objective alone, each
job that is placed too late takes the room of the next one, which then is late too; and whoever
sends most has the whole queue wait behind its own jobs.
"""

from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow

__all__ = ["Order", "OrderKey"]

OrderKey = tuple[int, int, float]
"""Priority, how late it is at best, and until when it has to end."""

IN_TIME = 0
LATE = 1
"""Its end earns a part yet."""
WORTHLESS = 2
"""Its end earns nothing any more, but it was accepted and is served."""
LATE_FACTOR = 3.0
"""A job that ends within this many times its objective still earns a part."""


class Order:
    """Tells which of the steps that wait goes first."""

    def __init__(self, state: State) -> None:
        self._state = state

    def sorted(self) -> list[StepRow]:
        """Return the open steps, those that go first before others."""
        return sorted(self._state.open_steps.values(), key=self.key)

    def late(self) -> int:
        """Return how many steps wait that can't be in time any more."""
        return sum(not self.in_time(step) for step in self._state.open_steps.values())

    def in_time(self, step: StepRow) -> bool:
        """Tell whether a step's job can yet end in time, as far as its caller's guess tells."""
        return self._state.now + step.chain <= step.job.objective_at

    def priority(self, step: StepRow) -> int:
        """Return the priority of a step's queue; the lowest number goes first."""
        return self._state.terms_of(step.job).priority

    def key(self, step: StepRow) -> OrderKey:
        """Return what a step is ordered by."""
        job = step.job
        priority = self.priority(step)
        if not self._state.contended:
            return (priority, IN_TIME, job.objective_at)
        if self.in_time(step):
            return (priority, IN_TIME, job.objective_at)
        ends_at = self._state.now + step.chain
        last = job.accepted_at + LATE_FACTOR * (job.objective_at - job.accepted_at)
        return (priority, LATE if ends_at <= last else WORTHLESS, last)
