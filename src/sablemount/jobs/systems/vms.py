"""Which VMs there are, which leases they hold, and when what ran on a silent one is over."""

from collections.abc import Callable, Sequence
from math import inf

import msgspec

from sablemount.jobs.job_lines import log_lost_runs
from sablemount.jobs.lease import MAX_CALL_DELAY_S, LeaseSource
from sablemount.jobs.model import Shape, VmInfo
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.state import State
from sablemount.jobs.systems.acks import Acks
from sablemount.jobs.systems.endings import Ending
from sablemount.jobs.systems.leases import Leases
from sablemount.jobs.systems.lives import Incarnations
from sablemount.jobs.vm_row import VmRow

__all__ = ["Vms"]

RELIST_TIMEOUT_S = 2.5
"""Seconds within which an entry that lapsed during a store outage returns, if its VM is up.

The platform states about two; a VM whose entry is still missing after this counts as lost and gets
no new work."""
CAPACITY_VALID_S = 4.0
"""Seconds after the read of its entry in which a start may be requested of a VM that does not guard
its capacity: 4.5 s after a VM has shrunk, nothing may be started beyond its new capacity."""
MAX_READ_GAP_S = 1.5
"""Seconds without a read of entries after which VMs may have been unable to write theirs: entries
are requested every second."""
CAPACITY_MARGIN_S = 0.3
"""Seconds by which such a start request may arrive later."""
LEASE_OVER = "its lease is over"
"""Why runs on a silent VM are lost, as it is logged."""
LOST = "lost"
"""Outcome of a run about which nothing can be learnt any more."""


def _ignore_vm(row: VmRow) -> None:
    """Ignore a VM."""


def _ignore_run(run: RunRow) -> None:
    """Ignore a run."""


def _ignore_next_incarnation() -> None:
    """Ignore a next incarnation."""


class Vms:
    """Keeps the rows of the VMs."""

    def __init__(self, state: State, acks: Acks, leases: Leases) -> None:
        self._state = state
        self._leases = leases
        self._incarnations = Incarnations(state)
        self._acks = acks
        self.on_crash: Callable[[VmRow], None] = _ignore_vm
        """Called with a VM that has ended unplanned, before its runs are removed."""
        self.on_run_lost: Callable[[RunRow], None] = _ignore_run
        """Called with a run that may have ended its VM and has not reached the next incarnation."""
        self.on_next_incarnation: Callable[[], None] = _ignore_next_incarnation
        """Called after a VM has restarted under its id."""
        self.on_completions_unreliable: Callable[[VmRow], None] = _ignore_vm
        """Called with a VM that no longer lists its completions, or may not."""

    # -- The list ----------------------------------------------------------------------------

    def apply_list(self, infos: Sequence[VmInfo]) -> list[VmRow]:
        """Apply the complete list of VMs and return the rows that are new."""
        names = {info.name for info in infos}
        new = [row for info in infos if (row := self.apply_entry(info)) is not None]
        for row in self._state.vms.values():
            if row.name not in names:
                self._mark_unlisted(row)
        return new

    def apply_entry(self, info: VmInfo) -> VmRow | None:
        """Apply a VM's entry; return its row if it is new."""
        leaves_at = self._state.now + info.leaves_in if info.leaves_in > 0 else None
        revision = info.revision
        # These change with each heartbeat, without any change of the VM.
        info = msgspec.structs.replace(info, leaves_in=0.0, revision=0)
        row = self._state.vms.get(info.name)
        if row is None and self._incarnations.is_superseded(info):
            # An outdated list would replace the current incarnation, and its capacity, by the
            # previous one.
            return None
        if row is not None and revision < row.revision:
            # An outdated list would give back the capacity that a VM has lost since.
            return None
        if row is not None:
            if revision > row.revision:
                row.described_at = self._state.now
            row.revision = revision
            self._update(row, info)
            row.leaves_at = _earliest(row.leaves_at, leaves_at)
            return None
        row = VmRow(info, free_capacity=info.capacity, leaves_at=leaves_at, revision=revision)
        self._add(row)
        self._log("VM listed", row)
        return row

    def _add(self, row: VmRow) -> None:
        self._state.vms[row.name] = row
        self._state.vms_version += 1
        if row.listed:
            self._state.kinds.describe(row.info)
        else:
            self._state.kinds.expect(row.info)
        previous = self._incarnations.make_current(row)
        row.earlier_poll_in_flight = self._leases.has_earlier_poll(row)
        if previous is not None:
            self._handle_succession(previous, row)

    def _update(self, row: VmRow, info: VmInfo) -> None:
        if row.info.draining and not info.draining:
            # A list may be some seconds old; an incarnation that drains never stops draining.
            info = msgspec.structs.replace(info, draining=True)
        if info.capacity != row.info.capacity:
            # It has shrunk or grown, or was known only from a record, which does not have the
            # capacity.
            self._log("VM's capacity", row, was=row.info.capacity, now=info.capacity)
            self._state.set_capacity(row, info.capacity)
        if info.draining and not row.info.draining:
            self._log("VM drains", row)
        if info != row.info:
            self._state.vms_version += 1
            self._state.capacity_version += 1
            self._state.kinds.describe(info)
        row.info = info
        row.listed = True
        row.entry_pending = False
        row.unlisted_at = None

    def is_usable(self, row: VmRow) -> bool:
        """Return whether a VM may get new work at all."""
        return not row.completions_unreliable and self.accepts_starts(row)

    def can_probe(self, row: VmRow) -> bool:
        """Return whether a probe may be started on a VM to show if it lists completions."""
        return (
            row.completions_unreliable
            and row.unverified
            and row.lease_extended_until <= self._state.now
            and not row.earlier_poll_in_flight
            and not row.runs
            and self.accepts_starts(row)
        )

    def accepts_starts(self, row: VmRow) -> bool:
        """Return whether a start or a probe may be requested at a VM, if it lists completions."""
        return (
            row.in_use
            and not row.sealed
            and self.is_capacity_known(row)
            and not row.terminated
            and not row.entry_pending
            and not self._acks.delays_starts(row)
            and row.connections_refused_since < row.last_report_at
            and not row.info.draining
            and row.avoid_until <= self._state.now
            and self.has_reported_recently(row)
            and not self.is_entry_missing(row)
        )

    def is_capacity_known(self, row: VmRow) -> bool:
        """Return whether a VM's capacity is known well enough for a start request."""
        return self.capacity_known_for(row) > CAPACITY_MARGIN_S

    def capacity_known_for(self, row: VmRow) -> float:
        """Return for how many seconds start requests may rely on a VM's known capacity.

        Only its entry shows that a VM has shrunk. A VM that guards its capacity refuses what does
        not fit.
        """
        state = self._state
        if state.entries_read_at is None or row.info.pool in state.configuration.guarded_pools:
            return inf
        known_at = state.entries_read_at
        restored_for = state.now - state.entries_readable_since
        if row.described_at < state.entries_readable_since and restored_for < RELIST_TIMEOUT_S:
            # Entries read after an outage were written before it: the VM could not write its own
            # meanwhile.
            known_at = state.entries_read_before_gap
        return known_at + CAPACITY_VALID_S + CAPACITY_MARGIN_S - state.now

    def entries_read(self, asked_at: float) -> None:
        """Record that entries were read, in answer to a request made at a local time."""
        state = self._state
        previous = state.entries_read_at
        if previous is not None and asked_at - previous > MAX_READ_GAP_S:
            state.entries_read_before_gap = previous
            state.entries_readable_since = state.now
            extra = {"seconds": round(asked_at - previous, 3)}
            state.logger.info("VMs' entries read again", extra=extra)
        state.entries_read_at = asked_at if previous is None else max(previous, asked_at)
        # Starts that waited for a read of the entries may go ahead.
        state.capacity_version += 1

    def entry_removed(self, entry: str) -> None:
        """Record that a VM's entry was removed; the VM may still run what is leased there."""
        row = self._incarnations.current(entry)
        if row is not None:
            self._mark_unlisted(row)

    def _mark_unlisted(self, row: VmRow) -> None:
        row.listed = False
        if row.entry_pending:
            return
        if row.unlisted_at is None:
            row.unlisted_at = self._state.now
            self._log("VM not listed", row)

    def is_entry_missing(self, row: VmRow) -> bool:
        """Return whether a VM's entry has been missing too long, so that it gets no new work."""
        since = row.unlisted_at
        return since is not None and self._state.now - since > RELIST_TIMEOUT_S

    # -- Incarnations ------------------------------------------------------------------------

    def is_up(self, entry: str) -> bool:
        """Return whether an incarnation of an entry is known to be up."""
        return self._incarnations.current(entry) is not None

    def other_incarnation_answered(self, row: VmRow, name: str, born: int) -> VmRow | None:
        """Record that a call to a VM was answered by a later incarnation; return its row if new."""
        if row.terminated:
            return None
        later = self._state.vms.get(name)
        if later is not None and not later.terminated:
            self._handle_succession(row, later)
            return None
        # The rack belongs to the machine; the capacity and all else have to wait for the entry.
        info = msgspec.structs.replace(
            row.info,
            name=name,
            born=born,
            instance=row.info.entry_key,
            capacity=Shape(),
            draining=False,
        )
        new = VmRow(info, listed=False, entry_pending=True)
        self._add(new)
        self._log("later incarnation of VM answers", new, after=row.name)
        return new

    def _handle_succession(self, previous: VmRow, row: VmRow) -> None:
        """Record that an incarnation has followed another one that was believed to be up."""
        self.on_next_incarnation()
        # Runs requested of the previous incarnation may still arrive here, until this one reports.
        row.earlier_runs_possible = True
        row.earlier_tasks = _earlier_tasks(previous, row)
        self._leases.extend_by_others(row, LeaseSource.PREVIOUS_INCARNATION)
        self._leases.log_succession(previous, row)
        if self._acks.may_reach_next_incarnation(previous) or previous.earlier_runs_possible:
            # An acknowledgement for the previous one may reach this one, also under another
            # leader's fence.
            self.mark_unverified(row, previous.last_recorded_completion)
        if previous.info.born:
            self.incarnation_ended(previous.name, Ending.NEXT_INCARNATION, row)
            return
        # Recorded before incarnations were told apart, it may be this very one.
        uncertain_tasks = self._state.recorded_suspects.pop(previous.name, None)
        if uncertain_tasks is not None:
            self._state.recorded_suspects[row.name] = uncertain_tasks
        previous.terminated = True
        previous.listed = False
        for run in list(previous.runs.values()):
            self._state.move_run(run, row)

    def mark_unverified(self, row: VmRow, acked: int) -> None:
        """Record that an incarnation may have been told to forget its predecessor's completions.

        It then forgets its own as well, and nothing is started on it until it has listed a
        completion.
        """
        if row.completions_unreliable:
            return
        row.completions_unreliable = row.unverified = True
        self._state.unverified_vms[row.name] = row
        extra = {"vm": row.name, "acked": acked}
        self._state.logger.info("VM may not list its completions", extra=extra)
        self.on_completions_unreliable(row)

    def mark_unreliable(self, name: str, acked: int) -> None:
        """Record that an incarnation does not list completions up to a number; it gets no new work.

        It was told to forget those of the previous incarnation, and forgets its own.
        """
        row = self._state.vms.get(name)
        if row is None or (row.completions_unreliable and not row.unverified):
            return
        row.completions_unreliable = True
        row.unverified = False
        self._state.unverified_vms.pop(name, None)
        self._state.logger.warning(
            "VM does not list its completions", extra={"vm": name, "acked": acked}
        )
        self.on_completions_unreliable(row)

    # -- Leases ------------------------------------------------------------------------------

    def lease_extended(self, name: str) -> None:
        """Record that a call for the previous incarnation has extended the lease of this one.

        Until that lease is over, a probe there could complete its work.
        """
        row = self._state.vms.get(name)
        if row is not None:
            self._leases.extend_next_incarnation(row)
            if row.completions_unreliable:
                self.on_completions_unreliable(row)

    def poll_ended(self, row: VmRow, may_have_extended: bool) -> None:
        """Record that a poll that extends a lease has ended, and whether it may have done so.

        If another incarnation has become known meanwhile, the poll may have reached that one.
        """
        self._leases.poll_ended(row)
        if may_have_extended:
            self._leases.call_ended(row)
        current = self._incarnations.current(row.info.entry_key)
        if current is None or current is row:
            return
        current.earlier_poll_in_flight = self._leases.has_earlier_poll(current)
        if may_have_extended:
            self.lease_extended(current.name)

    def has_reported_recently(self, row: VmRow) -> bool:
        """Return whether a VM has reported recently."""
        return self._state.now - row.last_report_at < self._state.settings.max_report_age_s

    def silent_for(self, row: VmRow) -> float:
        """Return for how many seconds a VM has not reported."""
        return self._state.now - max(row.last_report_at, self._state.elected_at)

    def remove_expired(self) -> list[VmRow]:
        """Drop the runs on VMs whose leases are over; return the rows that were removed."""
        now = self._state.now
        removed = []
        for row in list(self._state.vms.values()):
            silent = now - row.last_report_at > self._state.settings.max_report_age_s
            may_be_used = bool(row.runs) or row.name in self._state.recorded_suspects
            if row.terminated or (silent and may_be_used and self._leases.are_over(row)):
                self._free_runs(row)
            # A VM that reports is kept without an entry, with all that is known of it.
            is_gone = row.terminated or (silent and not row.listed)
            if is_gone and not row.runs and self._leases.are_over(row):
                removed.append(row)
                del self._state.vms[row.name]
                self._state.unverified_vms.pop(row.name, None)
                self._incarnations.remove(row)
                self._log("VM removed", row)
        return removed

    def _free_runs(self, row: VmRow) -> None:
        """Drop the runs that are over on a silent VM; its crash counts once, for all of them."""
        runs = [
            run for run in row.runs.values() if row.terminated or self._leases.is_over(row, run)
        ]
        if runs:
            self._leases.log_runs_free(row, LEASE_OVER)
        if row.crashed_at < row.last_report_at and self._counts_as_crashed(row):
            row.crashed_at = self._state.now
            self.on_crash(row)
        self._drop_runs(row, runs)

    def drained_or_expired(self) -> list[VmRow]:
        """Return the VMs in use on which nothing can run any more.

        They are silent and the leases there are over, or they drain, so that nothing is started
        there again. A later leader then need not wait for them.
        """
        return [
            row
            for row in self._state.vms.values()
            if row.recorded and not row.runs and (self._has_drained(row) or self._is_forgotten(row))
        ]

    def _has_drained(self, row: VmRow) -> bool:
        return row.info.draining and row.first_report_at > 0 and not row.terminated

    def _is_forgotten(self, row: VmRow) -> bool:
        """Return whether a later leader needs no record of a silent VM.

        It must not give work to a VM whose completions are unreliable.
        """
        if row.completions_unreliable and row.listed:
            return False
        return not self.has_reported_recently(row) and self._leases.are_over(row)

    def unrecorded(self) -> list[VmRow]:
        """Return the VMs that report, and that no record shows to be in use."""
        return [
            row
            for row in self._state.vms.values()
            if not row.recorded
            and not row.terminated
            and not row.info.draining
            and self.has_reported_recently(row)
        ]

    def connection_refused(self, row: VmRow) -> None:
        """Record that a VM's address refuses connections; the VM may run on behind a cut.

        It gets no new work until it reports again.
        """
        if row.connections_refused_since < row.last_report_at:
            row.connections_refused_since = self._state.now
            self._log("VM refuses connections", row)

    def incarnation_ended(
        self, name: str, why: Ending = Ending.OTHER_AT_ADDRESS, successor: VmRow | None = None
    ) -> None:
        """Record that an incarnation has certainly ended, and how that is known.

        Start requests that it has not shown to have received may have reached ``successor``, the
        next incarnation.
        """
        row = self._state.vms.get(name)
        if row is None or row.terminated:
            return
        row.terminated = True
        row.listed = False
        self._log("VM terminated", row, why=why.value)
        if successor is not None:
            self._move_unlisted_runs(row, successor)
        self._leases.log_runs_free(row, why.value)
        if not self._ended_as_planned(row):
            self.on_crash(row)
        self._drop_runs(row, list(row.runs.values()))

    @staticmethod
    def _ended_as_planned(row: VmRow) -> bool:
        """Return whether a VM ended as planned: it drained, or outlived its entry.

        A VM has outlived its entry if it reported after the entry was found missing.
        """
        unlisted_at = row.unlisted_at
        return row.info.draining or (unlisted_at is not None and row.last_report_at > unlisted_at)

    def _counts_as_crashed(self, row: VmRow) -> bool:
        """Return whether a silent VM whose leases are over has crashed rather than been cut off."""
        if row.terminated or self._ended_as_planned(row):
            return False
        has_gone = not row.listed and row.connections_refused_since > row.last_report_at
        return has_gone or self._has_successor(row)

    def _has_successor(self, row: VmRow) -> bool:
        """Return whether the machine of a VM has another incarnation."""
        machine = row.info.machine
        if not machine:
            return False
        others = self._state.vms.values()
        return any(other.listed and other.info.machine == machine for other in others)

    def _move_unlisted_runs(self, row: VmRow, successor: VmRow) -> None:
        """Move runs to the next incarnation if their start requests may have reached it."""
        is_planned = self._ended_as_planned(row)
        if not is_planned:
            successor.follows_crash_at = self._state.now
        for run in list(row.runs.values()):
            may_follow = run.may_start_again(self._state.now - MAX_CALL_DELAY_S)
            if not may_follow or run.state is RunState.RECORDING:
                continue
            if not is_planned:
                self._mark_lost(run)
            self._state.move_run(run, successor)
            if is_planned:
                run.previous_vm = ""

    def _drop_runs(self, row: VmRow, runs: list[RunRow]) -> None:
        if runs:
            log_lost_runs(self._state.logger, row, runs, self._state.now)
        is_planned = self._ended_as_planned(row)
        for run in runs:
            if not is_planned:
                self._mark_lost(run)
            if run.previous_vm:
                self.on_run_lost(run)
            self._state.remove_run(run, LOST)

    def _mark_lost(self, run: RunRow) -> None:
        """Record that a run may have ended its VM, unless it was not requested yet."""
        if run.owner is not None and run.state is not RunState.RECORDING:
            run.owner.run_lost = True

    def _log(self, text: str, row: VmRow, **more: object) -> None:
        now = self._state.now
        extra = {"vm": row.name, "heard_ago": row.report_age(now), "runs": len(row.runs), **more}
        self._state.logger.info(text, extra=extra)

    # -- After a change of leader ------------------------------------------------------------

    def load(self, info: VmInfo) -> VmRow:
        """Create the row of an incarnation that a previous leader recorded as in use."""
        row = VmRow(info, listed=False)
        row.earlier_runs_possible = row.recorded = row.in_use = True
        self._state.vms[row.name] = row
        self._log("VM in use according to its record", row)
        return row

    def finish_loading(self) -> None:
        """Handle the end of loading: of incarnations that share an entry, the last one is up."""
        for row in sorted(self._state.vms.values(), key=lambda row: row.info.born):
            self._add(row)


def _earlier_tasks(previous: VmRow, row: VmRow) -> frozenset[str] | None:
    """Return the tasks of which previous leaders' runs may be on the incarnation that follows.

    Start requests for the one before may have reached it; ``None`` stands for any task.
    """
    inherited = previous.earlier_tasks if previous.first_report_at < 0 else None
    if not row.recorded:
        # No previous leader knew it.
        return inherited
    if inherited is None or row.earlier_tasks is None:
        return None
    return inherited | row.earlier_tasks


def _earliest(first: float | None, second: float | None) -> float | None:
    """Return the earlier of two times, since an outdated list announces more time than is left."""
    given = [time for time in (first, second) if time is not None]
    return min(given, default=None)
