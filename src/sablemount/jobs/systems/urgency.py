"""How much time a step's objective leaves it: pure over the tables.

Slack is the time that a step may lose without its job ending after its objective, if all that is
left takes as long as expected.
"""

from sablemount.jobs.state import State
from sablemount.jobs.tables import StepRow

__all__ = ["Urgency"]

MS_PER_S = 1000.0
ROUND_TIME_S = 0.05
"""Time to notice that a step needs capacity, and to assign what preemption has freed."""


class Urgency:
    """Rates steps by their slack, less the time that preempting runs for them takes."""

    def __init__(self, state: State) -> None:
        self._state = state

    def waited_s(self, step: StepRow) -> float:
        """Return for how many seconds a step has waited for capacity."""
        return self._state.now - step.ready_at

    def slack_s(self, step: StepRow) -> float:
        """Return the slack that a step had when it became ready."""
        return step.job.objective_at - step.ready_at - step.critical_path_s

    def preemption_time_s(self, step: StepRow) -> float:
        """Return the seconds from a decision to preempt until a step can start."""
        terms = self._state.terms_of(step.job).advice
        ticket_time = (
            0.0 if terms is None else (terms.decide_ms + terms.each_ms * step.waiting) / MS_PER_S
        )
        return self._state.settings.stop_time_s + ticket_time + ROUND_TIME_S

    def spare_s(self, step: StepRow) -> float:
        """Return the slack that a step had beyond the time that it takes to preempt runs for it."""
        return max(0.0, self.slack_s(step) - self.preemption_time_s(step))

    def spare_share_used(self, step: StepRow) -> float:
        """Return the share of its spare time for which a step has waited; 1 if it had none."""
        spare = self.spare_s(step)
        return 1.0 if spare <= 0 else min(1.0, self.waited_s(step) / spare)
