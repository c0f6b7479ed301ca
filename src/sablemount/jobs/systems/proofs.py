"""Has VMs show that they list their ends, which a message for an earlier life may keep them from.

A VM that starts again under its id obeys a late message that tells its former life to forget ends,
and forgets its own then. Nobody but the VM knows whether one came. So the first run there is one
whose loss costs nothing: its lease is over before it has done any work. If the VM lists its end,
it lists all others too.
"""

from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.systems.starts import Starts
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow, TaskRow, VmRow

__all__ = ["Proofs"]

FIRST_PAUSE = 0.1
"""Seconds after a proof was begun until the next one at the same VM; twice as long each time."""
MOST_PAUSE = 5.0
MOST_AT_ONCE = 64
"""VMs for which a task is sought in a round, each among all steps that wait."""


class Proofs:
    """Starts what proves that a VM lists its ends."""

    def __init__(
        self,
        state: State,
        vms: Vms,
        placement: Placement,
        advice: Advice,
        caps: Caps,
        starts: Starts,
    ) -> None:
        self._state = state
        self._vms = vms
        self._placement = placement
        self._advice = advice
        self._caps = caps
        self._starts = starts

    def run(self) -> None:
        """Begin a proof at each VM that may be asked for one, as far as tasks wait."""
        rows = [row for row in self._state.unproven.values() if self._due(row)]
        if not rows:
            return
        # The least urgent work loses nothing by it; what may crash its VM shows nothing then.
        steps = [step for step in reversed(self._placement.in_order()) if self._serves(step)]
        steps.sort(key=lambda step: step.job.watched)
        for row in rows[:MOST_AT_ONCE]:
            # One that finds nothing lets others have their turn.
            row.prove_at = self._state.now + FIRST_PAUSE
            self._prove(row, steps)

    def _due(self, row: VmRow) -> bool:
        return self._state.now >= row.prove_at and self._vms.provable(row)

    def _serves(self, step: StepRow) -> bool:
        spec = step.spec
        if spec.lasting or spec.may_miss or not step.waiting or not self._placement.ready(step):
            return False
        return self._caps.places(step) >= (step.waiting if spec.gang else 1)

    def _prove(self, row: VmRow, steps: list[StepRow]) -> None:
        unadvised = None
        for step in steps:
            task = self._task(step, row)
            if task is None:
                continue
            if self._advice.valid(step, row):
                self._begin(row, step, task)
                return
            if unadvised is None and self._advice.unknown(step, row):
                unadvised = step
        if unadvised is not None:
            self._advice.want(unadvised, [row.name])

    def _task(self, step: StepRow, row: VmRow) -> TaskRow | None:
        """Return a task of a step that may start on a VM."""
        if not self._placement.is_candidate(step, row) or not step.spec.charge.fits(row.room):
            return None
        if step.spec.gang and not self._placement.ready(step):
            # It is a proof elsewhere, and members of one run would count as a gang.
            return None
        return next((task for task in step.tasks if self._placement.startable(task)), None)

    def _begin(self, row: VmRow, step: StepRow, task: TaskRow) -> None:
        row.proofs += 1
        row.prove_at = self._state.now + min(MOST_PAUSE, FIRST_PAUSE * 2**row.proofs)
        extra = {"vm": row.name, "task": task.key, "tries": row.proofs}
        self._state.logger.info("VM is to show that it lists ends", extra=extra)
        self._starts.enter(step, [(task, row)], proof=True)
