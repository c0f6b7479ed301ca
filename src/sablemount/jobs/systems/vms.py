"""Which VMs there are, which leases they hold, and when what ran on a silent one is over."""

from collections.abc import Callable, Sequence
from math import inf

import msgspec

from sablemount.jobs.job_lines import runs_lost
from sablemount.jobs.model import Shape, VmInfo
from sablemount.jobs.state import State
from sablemount.jobs.systems.acks import Acks
from sablemount.jobs.systems.lives import Lives
from sablemount.jobs.tables import SLOW_CLOCK, RunRow, RunState, VmRow

__all__ = ["Vms"]

LEASE_SHARE = 0.97
"""Share of the longest lease that is requested, so that it is never cut short."""
RELISTED_WITHIN = 2.5
"""Seconds within which an entry that lapsed during a store outage returns, if its VM is up.

The platform states about two; a VM that is still missing after this counts as terminated."""
LEFT_AFTER_S = 1.5
"""Seconds after which a VM without an entry, at whose address nothing listens, has left."""
LEFT_AS_ANNOUNCED_AFTER_S = 0.3
"""The same for a VM that drained and is past its announced time: two attempts at its address. Its
entry is removed up to 4.5 s later, and until then a gang with a member there cannot restart."""
ROOM_FRESH = 4.0
"""Seconds after the read of its entry in which a start may be requested of a VM that does not guard
its capacity: 4.5 s after a VM has shrunk, nothing may be started beyond its new capacity."""
MAX_READ_GAP_S = 1.5
"""Seconds without a read of entries after which VMs may have been unable to write theirs: entries
are requested every second."""
ROOM_MARGIN = 0.3
"""Seconds by which such a start request may arrive later."""
LOST = "lost"
"""Outcome of a run about which nothing can be learnt any more."""
ANOTHER_INCARNATION = "another life answers at its address"
NEXT_INCARNATION = "its next life is there"
MS_PER_S = 1000.0


def _ignore_vm(row: VmRow) -> None:
    """Ignore a VM."""


def _ignore_run(run: RunRow) -> None:
    """Ignore a run."""


def _ignore_next_incarnation() -> None:
    """Ignore a next incarnation."""


class Vms:
    """Keeps the rows of the VMs."""

    def __init__(self, state: State, acks: Acks) -> None:
        self._state = state
        self._incarnations = Lives(state)
        self._acks = acks
        self.on_crash: Callable[[VmRow], None] = _ignore_vm
        """Called with a VM that has ended unplanned, before its runs are removed."""
        self.on_left: Callable[[RunRow], None] = _ignore_run
        """Called with a run that may have ended its VM and has not reached the next incarnation."""
        self.on_next_life: Callable[[], None] = _ignore_next_incarnation
        """Called after a VM has restarted under its id."""
        self.on_deaf: Callable[[VmRow], None] = _ignore_vm
        """Called with a VM that no longer lists its completions."""

    # -- The list ----------------------------------------------------------------------------

    def listed(self, infos: Sequence[VmInfo]) -> list[VmRow]:
        """Apply the complete list of VMs and return the rows that are new."""
        names = {info.name for info in infos}
        new = [row for info in infos if (row := self.told(info)) is not None]
        for row in self._state.vms.values():
            if row.name not in names:
                self._mark_unlisted(row)
        return new

    def told(self, info: VmInfo) -> VmRow | None:
        """Apply a VM's entry; return its row if it is new."""
        leaves_at = self._state.now + info.leaves_in if info.leaves_in > 0 else None
        revision = info.revision
        # These change with each heartbeat, without any change of the VM.
        info = msgspec.structs.replace(info, leaves_in=0.0, revision=0)
        row = self._state.vms.get(info.name)
        if row is None and self._incarnations.is_over(info):
            # An outdated list must not give the current incarnation's capacity to the previous one.
            return None
        if row is not None and revision < row.revision:
            # An outdated list must not give back the capacity that a VM has lost since.
            return None
        if row is not None:
            if revision > row.revision:
                row.told_at = self._state.now
            row.revision = revision
            self._update(row, info)
            row.leaves_at = _earliest(row.leaves_at, leaves_at)
            return None
        row = VmRow(info, room=info.capacity, leaves_at=leaves_at, revision=revision)
        self._add(row)
        self._log("VM listed", row)
        return row

    def _add(self, row: VmRow) -> None:
        self._state.vms[row.name] = row
        self._state.vms_changed += 1
        previous = self._incarnations.begin(row)
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
            self._state.resize(row, info.capacity)
        if info.draining and not row.info.draining:
            self._log("VM drains", row)
        if info != row.info:
            self._state.vms_changed += 1
            self._state.freed += 1
        row.info = info
        row.listed = True
        row.awaited = False
        row.unlisted_at = None

    def usable(self, row: VmRow) -> bool:
        """Return whether a VM may get new work at all."""
        return not row.deaf and self._is_healthy(row)

    def provable(self, row: VmRow) -> bool:
        """Return whether a probe may be started on a VM to show if it lists completions."""
        return row.deaf and row.unproven and not row.runs and self._is_healthy(row)

    def _is_healthy(self, row: VmRow) -> bool:
        return (
            row.in_use
            and self.room_known(row)
            and not row.gone
            and not row.awaited
            and not self._acks.hold_up(row)
            and row.refused_since < row.heard_at
            and not row.info.draining
            and row.avoid_until <= self._state.now
            and self.fresh(row)
            and not self.missing(row)
        )

    def room_known(self, row: VmRow) -> bool:
        """Return whether a VM's capacity is known well enough for a start request."""
        return self.room_known_for(row) > ROOM_MARGIN

    def room_known_for(self, row: VmRow) -> float:
        """Return for how many seconds start requests may rely on a VM's known capacity.

        Only its entry shows that a VM has shrunk. A VM that guards its capacity refuses what does
        not fit.
        """
        state = self._state
        if state.rooms_at is None or row.info.pool in state.configuration.guarded_pools:
            return inf
        known_at = state.rooms_at
        restored_for = state.now - state.rooms_back_at
        if row.told_at < state.rooms_back_at and restored_for < RELISTED_WITHIN:
            # Entries read after an outage were written before it: the VM could not write its own
            # meanwhile.
            known_at = state.rooms_before
        return known_at + ROOM_FRESH + ROOM_MARGIN - state.now

    def rooms_known(self, asked_at: float) -> None:
        """Record that entries were read, in answer to a request made at a local time."""
        state = self._state
        previous = state.rooms_at
        if previous is not None and asked_at - previous > MAX_READ_GAP_S:
            state.rooms_before = previous
            state.rooms_back_at = state.now
            extra = {"seconds": round(asked_at - previous, 3)}
            state.logger.info("VMs' entries read again", extra=extra)
        state.rooms_at = asked_at if previous is None else max(previous, asked_at)
        # Starts that waited for a read of the entries may go ahead.
        state.freed += 1

    def left_list(self, entry: str) -> None:
        """Record that a VM's entry was removed; the VM may still run what is leased there."""
        row = self._incarnations.present(entry)
        if row is not None:
            self._mark_unlisted(row)

    def _mark_unlisted(self, row: VmRow) -> None:
        row.listed = False
        if row.awaited:
            return
        if row.unlisted_at is None:
            row.unlisted_at = self._state.now
            self._log("VM not listed", row)

    def missing(self, row: VmRow) -> bool:
        """Return whether a VM's entry has been missing too long, so that it gets no new work."""
        since = row.unlisted_at
        return since is not None and self._state.now - since > RELISTED_WITHIN

    # -- Incarnations ------------------------------------------------------------------------

    def known(self, entry: str) -> bool:
        """Return whether an incarnation of an entry is known to be up."""
        return self._incarnations.present(entry) is not None

    def another_life(self, row: VmRow, name: str, born: int) -> VmRow | None:
        """Record that a call to a VM was answered by a later incarnation; return its row if new."""
        if row.gone:
            return None
        later = self._state.vms.get(name)
        if later is not None and not later.gone:
            self._handle_succession(row, later)
            return None
        # The rack belongs to the machine; the capacity and all else have to wait for the entry.
        info = msgspec.structs.replace(
            row.info,
            name=name,
            born=born,
            instance=row.info.entry,
            capacity=Shape(),
            draining=False,
        )
        new = VmRow(info, listed=False, awaited=True)
        self._add(new)
        self._log("later incarnation of VM answers", new, after=row.name)
        return new

    def _handle_succession(self, previous: VmRow, row: VmRow) -> None:
        """Record that an incarnation has followed another one that was believed to be up."""
        self.on_next_life()
        # Runs requested of the previous incarnation may still arrive here, until this one reports.
        row.loaded = True
        row.lease_end = max(row.lease_end, self._state.longest_lease_end())
        if previous.telling or previous.loaded:
            # An acknowledgement for the previous one may reach this one, also under another
            # leader's fence.
            self.doubted(row, previous.acked_end)
        if previous.info.born:
            self.died(previous.name, NEXT_INCARNATION, row)
            return
        # Recorded before incarnations were told apart, it may be this very one.
        uncertain_tasks = self._state.doubts.pop(previous.name, None)
        if uncertain_tasks is not None:
            self._state.doubts[row.name] = uncertain_tasks
        previous.gone = True
        previous.listed = False
        for run in list(previous.runs.values()):
            self._state.move_run(run, row)

    def doubted(self, row: VmRow, acked: int) -> None:
        """Record that an incarnation may have been told to forget its predecessor's completions.

        It then forgets its own as well, and nothing is started on it until it has listed a
        completion.
        """
        if row.deaf:
            return
        row.deaf = row.unproven = True
        self._state.unproven[row.name] = row
        extra = {"vm": row.name, "acked": acked}
        self._state.logger.info("VM may not list its completions", extra=extra)
        self.on_deaf(row)

    def deafened(self, name: str, acked: int) -> None:
        """Record that an incarnation does not list completions up to a number; it gets no new work.

        It was told to forget those of the previous incarnation, and forgets its own.
        """
        row = self._state.vms.get(name)
        if row is None or (row.deaf and not row.unproven):
            return
        row.deaf = True
        row.unproven = False
        self._state.unproven.pop(name, None)
        self._state.logger.warning(
            "VM does not list its completions", extra={"vm": name, "acked": acked}
        )
        self.on_deaf(row)

    # -- Leases ------------------------------------------------------------------------------

    def lease_until(self, row: VmRow) -> int:
        """Return the end of a new lease on the VM's clock (ms), and remember how long it lasts."""
        state = self._state
        length = state.settings.lease * LEASE_SHARE
        row.lease_end = max(row.lease_end, state.longest_lease_end())
        return int(row.clock_after(state.now) + length * MS_PER_S)

    def fresh(self, row: VmRow) -> bool:
        """Return whether a VM has reported recently."""
        return self._state.now - row.heard_at < self._state.settings.fresh

    def silent_for(self, row: VmRow) -> float:
        """Return for how many seconds a VM has not reported."""
        return self._state.now - max(row.heard_at, self._state.elected_at)

    def expire(self) -> list[VmRow]:
        """Drop the runs on VMs whose leases are over; return the rows that were removed."""
        now = self._state.now
        removed = []
        for row in list(self._state.vms.values()):
            silent = now - row.heard_at > self._state.settings.fresh
            may_be_used = bool(row.runs) or row.name in self._state.doubts
            if row.gone or (silent and may_be_used and self._leases_over(row)):
                if self._has_successor(row):
                    self.on_crash(row)
                self._drop_runs(row)
            if (row.gone or not row.listed) and not row.runs and self._leases_over(row):
                removed.append(row)
                del self._state.vms[row.name]
                self._state.unproven.pop(row.name, None)
                self._incarnations.forget(row)
                self._log("VM removed", row)
        return removed

    def idle(self) -> list[VmRow]:
        """Return the VMs in use on which nothing can run any more.

        They are silent and the leases there are over, or they drain, so that nothing is started
        there again. A later leader then need not wait for them.
        """
        return [
            row
            for row in self._state.vms.values()
            if row.recorded and not row.runs and (self._has_drained(row) or self._has_expired(row))
        ]

    def _has_drained(self, row: VmRow) -> bool:
        return row.info.draining and row.first_heard_at > 0 and not row.gone

    def _has_expired(self, row: VmRow) -> bool:
        return not self.fresh(row) and self._leases_over(row)

    def unrecorded(self) -> list[VmRow]:
        """Return the VMs that report, and that no record shows to be in use."""
        return [
            row
            for row in self._state.vms.values()
            if not row.recorded and not row.gone and not row.info.draining and self.fresh(row)
        ]

    def _leases_over(self, row: VmRow) -> bool:
        """Return whether everything that may run on a silent VM is over.

        A leader that is cut off cannot tell: another leader may have extended the leases.
        """
        if row.gone or not (row.loaded or row.first_heard_at > 0):
            return True
        return self._state.confirmed_at > self._leases_end_at(row)

    def _leases_end_at(self, row: VmRow) -> float:
        """Return when the leases of a silent VM are over (local time)."""
        if row.first_heard_at > 0:
            return row.lease_end
        return max(row.lease_end, self._state.unheard_until)

    def refused(self, row: VmRow) -> None:
        """Record that nothing listens at a VM's address.

        If this lasts, and the entry of the VM is missing or the VM has announced that it leaves,
        then it has left, and what ran there is over.
        """
        now = self._state.now
        if row.refused_since < row.heard_at:
            row.refused_since = now
        refused_for = now - row.refused_since
        left_as_announced = (
            self._is_past_announced_end(row) and refused_for > LEFT_AS_ANNOUNCED_AFTER_S
        )
        if left_as_announced or (not row.listed and refused_for > LEFT_AFTER_S):
            self.died(row.name, "nothing listens at its address")

    def _is_past_announced_end(self, row: VmRow) -> bool:
        """Return whether a draining VM has passed the time that it announced to stay until."""
        leaves_at = row.leaves_at
        return row.info.draining and leaves_at is not None and self._state.now > leaves_at

    def unanswered(self, row: VmRow) -> None:
        """Record that a poll got no answer.

        A VM that drained, whose entry is missing and that has not answered for a while has left.
        """
        may_have_left = row.info.draining and not row.listed
        if may_have_left and self._state.confirmed_at - row.heard_at > LEFT_AFTER_S:
            self.died(row.name, "it drained and does not answer")

    def died(self, name: str, why: str = ANOTHER_INCARNATION, heir: VmRow | None = None) -> None:
        """Record that an incarnation has certainly ended, and how that is known.

        Start requests that it has not shown to have received may have reached ``successor``, the
        next incarnation.
        """
        row = self._state.vms.get(name)
        if row is None or row.gone:
            return
        row.gone = True
        row.listed = False
        self._log("VM terminated", row, why=why)
        if heir is not None:
            self._move_unlisted_runs(row, heir)
        if not self._ended_as_planned(row):
            self.on_crash(row)
        self._drop_runs(row)

    @staticmethod
    def _ended_as_planned(row: VmRow) -> bool:
        """Return whether a VM ended as planned: it drained, or reported when its entry was gone."""
        unlisted_at = row.unlisted_at
        return row.info.draining or (unlisted_at is not None and row.heard_at > unlisted_at)

    def _has_successor(self, row: VmRow) -> bool:
        """Return whether a silent VM's machine has another VM, so that it was not just cut off."""
        machine = row.info.machine
        if row.gone or not machine or self._ended_as_planned(row):
            return False
        others = self._state.vms.values()
        return any(other.listed and other.info.machine == machine for other in others)

    def _move_unlisted_runs(self, row: VmRow, successor: VmRow) -> None:
        """Move runs to the next incarnation if their start requests may have reached it."""
        is_planned = self._ended_as_planned(row)
        if not is_planned:
            successor.follows_at = self._state.now
        for run in list(row.runs.values()):
            if run.listed or run.state is RunState.NOTING:
                continue
            if not is_planned:
                self._mark_lost(run)
            self._state.move_run(run, successor)
            if is_planned:
                run.left = ""

    def _drop_runs(self, row: VmRow) -> None:
        runs: list[RunRow] = list(row.runs.values())
        if runs:
            runs_lost(self._state.logger, row, self._state.now)
        is_planned = self._ended_as_planned(row)
        for run in runs:
            if not is_planned:
                self._mark_lost(run)
            if run.left:
                self.on_left(run)
            self._state.drop_run(run, LOST)

    def _mark_lost(self, run: RunRow) -> None:
        """Record that a run may have ended its VM, unless it was not requested yet."""
        task = self._state.task(run.task)
        if task is not None and run.state is not RunState.NOTING:
            task.lost = True

    def _log(self, text: str, row: VmRow, **more: object) -> None:
        now = self._state.now
        extra = {"vm": row.name, "heard_ago": row.heard_ago(now), "runs": len(row.runs), **more}
        self._state.logger.info(text, extra=extra)

    # -- After a change of leader ------------------------------------------------------------

    def load(self, info: VmInfo) -> VmRow:
        """Create the row of an incarnation that a previous leader recorded as in use."""
        row = VmRow(info, listed=False)
        row.loaded = row.recorded = row.in_use = True
        self._state.vms[row.name] = row
        self._log("VM in use according to its record", row)
        return row

    def loaded(self) -> None:
        """Handle the end of loading: of incarnations that share an entry, the last one is up."""
        for row in sorted(self._state.vms.values(), key=lambda row: row.info.born):
            self._add(row)

    def former_may_order(self) -> None:
        """Record that a previous leader may have extended leases up to this moment."""
        state = self._state
        settings = state.settings
        leases_end_at = state.now + settings.takeover_margin + settings.lease / SLOW_CLOCK
        state.unheard_until = max(state.unheard_until, leases_end_at)

    def all_heard(self) -> bool:
        """Return whether every run of a previous leader has been seen."""
        state = self._state
        if state.confirmed_at > state.unheard_until:
            return True
        loaded = [row for row in state.vms.values() if row.loaded]
        return all(row.first_heard_at > 0 or row.gone for row in loaded)


def _earliest(first: float | None, second: float | None) -> float | None:
    """Return the earlier of two times, since an outdated list announces more time than is left."""
    given = [time for time in (first, second) if time is not None]
    return min(given, default=None)
