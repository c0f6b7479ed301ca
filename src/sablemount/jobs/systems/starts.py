"""Runs that are about to begin: entered, noted with their VM, and ordered.

What may have been started before is ordered only once the store has it, with all crashes that came
before. Else a leader that ends within a second of the order leaves no trace of it, and a task that
crashes each VM is started anew under each leader.

Under what VMs have crashed is ordered only at a VM that has just been heard: one that had crashed
before would count for it too, as nothing tells whether its start came first.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import msgspec

from sablemount.jobs.actions import LookAt, StartRun
from sablemount.jobs.journal import Journal
from sablemount.jobs.state import NOT_ORDERED, State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.choice import Assignment
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import RunRow, RunState, StepRow, VmRow

__all__ = ["Starts"]

MS = 1000.0
SETTLE = 0.3
"""Seconds that a VM's clock may be ahead of what is known of it."""
HEARD_WITHIN = 0.35
"""Seconds within which a VM has to be heard before an order: a look takes as long at most."""
PROOF_VALID = 0.3
"""Seconds for which the order of a proof is valid: it is given at once or later once more."""
UNHEARD_PAUSE = 0.5
"""Seconds without new work for a VM that was not: by then its usual look tells what it is."""


class _Start(msgspec.Struct, frozen=True):
    """A run that is entered, its VM, and the saved state that it goes on from."""

    run: RunRow
    row: VmRow
    saved: str


@dataclass(slots=True)
class _Held:
    """Starts of a step that are ordered together, or not at all."""

    step: StepRow
    starts: list[_Start]
    since: float
    suspected: bool
    """Whether VMs have crashed under its tasks."""
    looked_at: float | None = None
    """When its VMs were asked for a word, once the store had noted it."""

    @property
    def noted(self) -> bool:
        """Tell whether the store has all of it."""
        return all(start.run.noted for start in self.starts)

    def heard(self) -> bool:
        """Tell whether all its VMs have been heard since they were asked."""
        asked_at = self.looked_at
        return asked_at is not None and all(start.row.heard_at >= asked_at for start in self.starts)


def _ignore(seconds: float) -> None:
    """Take how long the store needed, and do nothing."""


class Starts:
    """Orders what is placed, at once or once the store has noted it."""

    def __init__(self, state: State, journal: Journal, vms: Vms, advice: Advice) -> None:
        self._state = state
        self._journal = journal
        self._vms = vms
        self._advice = advice
        self._held: list[_Held] = []
        self.on_noted: Callable[[float], None] = _ignore
        """Takes the seconds for which an order has waited for the store."""

    # -- Entering ----------------------------------------------------------------------------

    def enter(self, step: StepRow, chosen: Assignment, proof: bool = False) -> None:
        """Enter runs that belong together: a gang's, or one alone.

        One is entered as a ``proof`` that is to show whether its VM lists ends.
        """
        tasks = [task for task, _ in chosen]
        number = self._state.next_run(tasks)
        # Any member's state is good for a gang, and all go on from the same.
        saved = max((task.saved for task in tasks), key=len, default="")
        first = any(task.noted_first for task in tasks)
        starts = []
        for task, row in chosen:
            run = RunRow(task.key, number, row.name, step.spec.charge, self._state.now)
            run.resumed = bool(saved)
            run.proof = proof
            if first:
                run.state = RunState.NOTING
                run.settle_clock = inf
            self._state.add_run(task, run)
            starts.append(_Start(run, row, saved))
        for start in starts:
            self._journal.note_runs(start.row)
        if first:
            self._journal.note_first([start.run for start in starts])
            suspected = any(task.crashes for task in tasks)
            self._held.append(_Held(step, starts, self._state.now, suspected))
        else:
            self._order(step, starts)

    def waiting(self) -> bool:
        """Tell whether an order waits for the store."""
        return bool(self._held)

    # -- Ordering ----------------------------------------------------------------------------

    def run(self) -> None:
        """Order what the store has noted, and give up what it does not come to note."""
        held, self._held = self._held, []
        for group in held:
            if self._waits(group):
                self._held.append(group)
            elif self._may_be_ordered(group):
                self.on_noted(self._state.now - group.since)
                self._order(group.step, group.starts)
            else:
                self._give_up(group)

    def _waits(self, group: _Held) -> bool:
        """Tell whether the store or a VM may yet say what an order waits for."""
        if not group.noted:
            return self._state.noting
        if not group.suspected or group.heard():
            return False
        if group.looked_at is None:
            group.looked_at = self._state.now
            for name in sorted({start.row.name for start in group.starts}):
                self._state.emit(LookAt(name))
        return self._state.now - group.looked_at < HEARD_WITHIN

    def _may_be_ordered(self, group: _Held) -> bool:
        """Tell whether the VMs may still get what was chosen for them before."""
        if group.suspected and not group.heard():
            self._avoid_silent(group)
            return False
        return all(self._may_start(group.step, start) for start in group.starts)

    def _avoid_silent(self, group: _Held) -> None:
        until = self._state.now + UNHEARD_PAUSE
        for start in group.starts:
            if group.looked_at is not None and start.row.heard_at < group.looked_at:
                start.row.avoid_until = max(start.row.avoid_until, until)

    def _may_start(self, step: StepRow, start: _Start) -> bool:
        run, row = start.run, start.row
        entered = row.runs.get((run.task, run.number)) is run
        trial = row.trial in ("", step.job.name)
        return (
            entered
            and run.noted
            and trial
            and (run.proof or self._vms.usable(row))
            and self._advice.valid(step, row)
        )

    def _give_up(self, group: _Held) -> None:
        """Let tasks wait for another start, since no order was given for this one."""
        extra = {
            "step": group.step.key,
            "runs": len(group.starts),
            "noted": group.noted,
            "heard": group.heard() if group.suspected else None,
            "seconds": round(self._state.now - group.since, 3),
        }
        self._state.logger.info("start given up before its order", extra=extra)
        for start in group.starts:
            if start.run.state is RunState.NOTING:
                self._state.drop_run(start.run, NOT_ORDERED)
                # What its VM's crash would count for does not hold it any more.
                self._journal.note_runs(start.row)

    def _order(self, step: StepRow, starts: list[_Start]) -> None:
        state = self._state
        for start in starts:
            run, row = start.run, start.row
            valid = PROOF_VALID if run.proof else state.settings.start_valid
            valid = min(valid, self._vms.room_known_for(row))
            run.state = RunState.SENT
            run.sent_at = state.now
            run.settle_clock = row.clock_after(state.now) + (valid + SETTLE) * MS
            ticket = "" if step.advice is None else step.advice.good[row.name].text
            payload = step.job.record.spec.payload
            not_after = state.now + valid
            state.emit(
                StartRun(row.name, run.task, run.number, payload, not_after, start.saved, ticket)
            )
