"""Runs that are about to begin: created, recorded with their VM, and requested.

A start that may not be the first of its task is requested only once the store has recorded it,
together with all crashes before it. Otherwise a leader that ends within a second of the request
leaves no trace of it, and a task that crashes every VM is started again under each leader.

A task under which VMs have crashed is started only on a VM that has just reported: the crash of a
VM that was already down would count for the task too, as nothing shows which came first.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import msgspec

from sablemount.jobs.actions import PollVm, StartRun
from sablemount.jobs.journal import Journal
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.state import NOT_REQUESTED, State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.choice import Assignment
from sablemount.jobs.systems.leases import Leases
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow
from sablemount.jobs.vm_row import VmRow

__all__ = ["Starts"]

MS_PER_S = 1000.0
CLOCK_MARGIN_S = 0.3
"""Seconds that a VM's clock may be ahead of what is known of it."""
REPORT_TIMEOUT_S = 0.35
"""Seconds within which a VM must report before a start is requested: a poll takes that long at
most."""
PROBE_VALID_S = 0.3
"""Seconds for which the start request of a probe is valid: it takes effect at once or is repeated
later."""
SILENT_PAUSE_S = 0.5
"""Seconds without new work for a VM that did not report: by then its regular poll shows its
state."""


class _Start(msgspec.Struct, frozen=True):
    """A created run, its VM, and the saved state that it resumes from."""

    run: RunRow
    row: VmRow
    saved: str


@dataclass(slots=True)
class _StartGroup:
    """Starts of a step that are requested together or not at all."""

    step: StepRow
    starts: list[_Start]
    since: float
    suspected: bool
    """Whether VMs have crashed under its tasks."""
    polled_at: float | None = None
    """When its VMs were polled, after the store had recorded it."""

    @property
    def is_recorded(self) -> bool:
        """Return whether the store has recorded all its runs."""
        return all(start.run.recorded for start in self.starts)

    def has_reported(self) -> bool:
        """Return whether all its VMs have reported since they were polled."""
        polled_at = self.polled_at
        return polled_at is not None and all(
            start.row.last_report_at >= polled_at for start in self.starts
        )


def _ignore(seconds: float) -> None:
    """Ignore the time that the store needed."""


class Starts:
    """Requests the chosen starts, at once or after the store has recorded them."""

    def __init__(
        self, state: State, journal: Journal, vms: Vms, advice: Advice, leases: Leases
    ) -> None:
        self._state = state
        self._leases = leases
        self._journal = journal
        self._vms = vms
        self._advice = advice
        self._pending: list[_StartGroup] = []
        self.on_recorded: Callable[[float], None] = _ignore
        """Called with the seconds for which a start request has waited for the store."""

    # -- Creation ----------------------------------------------------------------------------

    def create_runs(self, step: StepRow, chosen: Assignment, probe: bool = False) -> None:
        """Create runs that belong together: those of a gang, or a single one.

        With ``probe``, the run shows whether its VM lists completions.
        """
        tasks = [task for task, _ in chosen]
        number = self._state.next_run_number(tasks)
        # The saved state of any member serves the whole gang, and all resume from the same.
        saved = max((task.saved for task in tasks), key=len, default="")
        record_first = any(task.must_record_first for task in tasks)
        starts = []
        for task, row in chosen:
            run = RunRow(task.key, number, row.name, step.spec.charge, self._state.now)
            run.resumed = bool(saved)
            run.is_probe = probe
            if record_first:
                run.state = RunState.RECORDING
                run.settle_clock_ms = inf
            self._state.add_run(task, run)
            starts.append(_Start(run, row, saved))
        for start in starts:
            self._journal.update_vm_record(start.row)
        if record_first:
            self._journal.record_runs([start.run for start in starts])
            suspected = any(task.crashes for task in tasks)
            self._pending.append(_StartGroup(step, starts, self._state.now, suspected))
        else:
            self._request(step, starts)

    def has_pending(self) -> bool:
        """Return whether a start request waits for the store."""
        return bool(self._pending)

    # -- Requests ----------------------------------------------------------------------------

    def run(self) -> None:
        """Request the starts that the store has recorded; abandon those that it fails to record."""
        pending, self._pending = self._pending, []
        for group in pending:
            if self._must_wait(group):
                self._pending.append(group)
            elif self._may_be_requested(group):
                self.on_recorded(self._state.now - group.since)
                self._request(group.step, group.starts)
            else:
                self._abandon(group)

    def _must_wait(self, group: _StartGroup) -> bool:
        """Return whether a start request still waits for the store or for a VM's report."""
        if not group.is_recorded:
            return self._state.store_answers
        if not group.suspected or group.has_reported():
            return False
        if group.polled_at is None:
            group.polled_at = self._state.now
            for name in sorted({start.row.name for start in group.starts}):
                self._state.emit(PollVm(name))
        return self._state.now - group.polled_at < REPORT_TIMEOUT_S

    def _may_be_requested(self, group: _StartGroup) -> bool:
        """Return whether the VMs may still get what was chosen for them."""
        if group.suspected and not group.has_reported():
            self._avoid_silent(group)
            return False
        return all(self._may_start(group.step, start) for start in group.starts)

    def _avoid_silent(self, group: _StartGroup) -> None:
        until = self._state.now + SILENT_PAUSE_S
        for start in group.starts:
            if group.polled_at is not None and start.row.last_report_at < group.polled_at:
                start.row.avoid_until = max(start.row.avoid_until, until)

    def _may_start(self, step: StepRow, start: _Start) -> bool:
        run, row = start.run, start.row
        is_current = row.runs.get((run.task, run.number)) is run
        may_use_vm = row.isolated_job in ("", step.job.name)
        return (
            is_current
            and run.recorded
            and run.task not in self._state.unwanted_runs
            and may_use_vm
            and row.has_kept_place_for(step)
            and (self._vms.accepts_starts(row) if run.is_probe else self._vms.is_usable(row))
            and self._advice.permits(step, row)
        )

    def _abandon(self, group: _StartGroup) -> None:
        """Return tasks to waiting, since their start was not requested."""
        extra = {
            "step": group.step.key,
            "runs": len(group.starts),
            "noted": group.is_recorded,
            "heard": group.has_reported() if group.suspected else None,
            "seconds": round(self._state.now - group.since, 3),
        }
        self._state.logger.info("start abandoned before its request", extra=extra)
        for start in group.starts:
            if start.run.state is RunState.RECORDING:
                self._state.remove_run(start.run, NOT_REQUESTED)
                # The VM's record no longer lists this run among those that a crash would count for.
                self._journal.update_vm_record(start.row)

    def _request(self, step: StepRow, starts: list[_Start]) -> None:
        state = self._state
        for start in starts:
            run, row = start.run, start.row
            valid_s = PROBE_VALID_S if run.is_probe else state.settings.start_validity_s
            valid_s = min(valid_s, self._vms.capacity_known_for(row))
            run.state = RunState.SENT
            run.sent_at = state.now
            run.requested_until = state.now + valid_s
            run.settle_clock_ms = (
                row.min_clock_ms(state.now) + (valid_s + CLOCK_MARGIN_S) * MS_PER_S
            )
            ticket = "" if step.advice is None else step.advice.tickets[row.name].text
            self._leases.extend_by_start(row, valid_s)
            state.emit(
                StartRun(
                    row.name,
                    run.task,
                    run.number,
                    step.payload,
                    run.requested_until,
                    start.saved,
                    ticket,
                )
            )
