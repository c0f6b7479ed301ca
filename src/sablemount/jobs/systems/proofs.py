"""Probes VMs whose completions may be unreliable after a call for an earlier incarnation.

A VM that restarts under its id obeys a late message that tells its previous incarnation to forget
completions, and forgets its own. Only the VM knows whether such a message arrived. The first run
there is therefore a probe whose loss costs nothing: its lease is over before it has done any work.
If the VM lists the completion of the probe, it lists all others too.
"""

from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.systems.starts import Starts
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow, TaskRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["Probes"]

FIRST_DELAY_S = 0.1
"""Time until the next attempt on a VM for which no task was found, doubled for each probe that was
started there."""
MAX_DELAY_S = 5.0
"""Longest time from a probe to the next one on the same VM."""
MAX_VMS_PER_ROUND = 64
"""VMs for which a task is searched for per round, each among all waiting steps."""


class Probes:
    """Starts the runs that show whether a VM lists its completions."""

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
        """Start a probe on each unverified VM for which one is due, as far as tasks wait."""
        rows = [row for row in self._state.unverified_vms.values() if self._is_due(row)]
        if not rows:
            return
        # The least urgent steps come first, since they lose nothing by a probe. Steps whose tasks
        # may crash their VM come last, since a crash shows nothing.
        steps = [
            step for step in reversed(self._placement.steps_by_urgency()) if self._is_suitable(step)
        ]
        steps.sort(key=lambda step: step.job.has_crashes)
        for row in rows[:MAX_VMS_PER_ROUND]:
            # A VM for which no task is found lets others have their turn.
            row.next_probe_at = self._state.now + FIRST_DELAY_S
            self._probe(row, steps)

    def _is_due(self, row: VmRow) -> bool:
        return self._state.now >= row.next_probe_at and self._vms.can_probe(row)

    def _is_suitable(self, step: StepRow) -> bool:
        spec = step.spec
        if spec.lasting or spec.may_miss or not step.waiting or not self._placement.is_ready(step):
            return False
        return self._caps.places(step) >= (step.waiting if spec.gang else 1)

    def _probe(self, row: VmRow, steps: list[StepRow]) -> None:
        unadvised = None
        for step in steps:
            made: list[TaskRow] = []
            task = self._startable_task(step, row, made)
            if task is not None and self._advice.permits(step, row):
                self._start(row, step, task)
                return
            step.tasks.release(made)
            if task is None:
                continue
            if unadvised is None and self._advice.lacks_advice(step, row):
                unadvised = step
        if unadvised is not None:
            self._advice.request(unadvised, [row.name])

    def _startable_task(self, step: StepRow, row: VmRow, made: list[TaskRow]) -> TaskRow | None:
        """Return a task of a step that may start on a VM; ``made`` gets the rows made for that."""
        if not self._placement.is_candidate(step, row) or not row.has_place_for(step):
            return None
        if step.spec.gang and not self._placement.is_ready(step):
            # A member of the gang probes another VM; several members in one run would count as a
            # gang.
            return None
        avoids_suspects = step.job.has_crashes and self._has_usable_vm(step)
        return next(
            (
                task
                for task in step.tasks.waiting(made)
                if self._placement.is_startable(task)
                and not (avoids_suspects and _is_suspect(task, row))
            ),
            None,
        )

    def _has_usable_vm(self, step: StepRow) -> bool:
        """Return whether a VM needs no probe to run a step's tasks, though it may be busy now."""
        return any(
            self._vms.is_usable(row)
            and self._placement.is_candidate(step, row)
            and step.spec.charge.fits(row.info.capacity)
            for row in self._state.vms.values()
        )

    def _start(self, row: VmRow, step: StepRow, task: TaskRow) -> None:
        row.probes += 1
        row.next_probe_at = self._state.now + min(MAX_DELAY_S, FIRST_DELAY_S * 2**row.probes)
        extra = {"vm": row.name, "task": task.key, "tries": row.probes}
        self._state.logger.info("probing whether VM lists its completions", extra=extra)
        self._starts.create_runs(step, [(task, row)], probe=True)


def _is_suspect(task: TaskRow, row: VmRow) -> bool:
    """Return whether a task may crash a VM by its probe, which would show nothing of either.

    Of the crashes of one VM only one counts, and a task to be isolated is no probe.
    """
    return task.needs_isolation or task.crashed_before(row)
