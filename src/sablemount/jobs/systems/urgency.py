"""How much time a step's objective leaves it: pure over the tables.

Slack is the time that a step may lose without its job's end coming after its objective, if all that
is left takes as long as expected.
"""

from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow

__all__ = ["Urgency"]

MS = 1000.0
ROUND_TIME = 0.05
"""Seconds until a need for room is seen and what was made is given out."""


class Urgency:
    """Judges steps by the slack that they have, beside what it takes to make room for them."""

    def __init__(self, state: State) -> None:
        self._state = state

    def waited(self, step: StepRow) -> float:
        """Return for how many seconds a step has waited for room."""
        return self._state.now - step.turn_at

    def slack(self, step: StepRow) -> float:
        """Return the slack that a step had when its turn came."""
        return step.job.objective_at - step.turn_at - step.chain

    def room_time(self, step: StepRow) -> float:
        """Return the seconds from a decision to make room until a step can start there."""
        terms = self._state.terms_of(step.job).advice
        ticket = 0.0 if terms is None else (terms.decide_ms + terms.each_ms * step.waiting) / MS
        return self._state.settings.stop_time + ticket + ROUND_TIME

    def spare(self, step: StepRow) -> float:
        """Return the slack that a step had beyond the time that it takes to make room for it."""
        return max(0.0, self.slack(step) - self.room_time(step))

    def share_gone(self, step: StepRow) -> float:
        """Return the share of its spare time for which a step has waited; 1 if it had none."""
        spare = self.spare(step)
        return 1.0 if spare <= 0 else min(1.0, self.waited(step) / spare)
