"""Which VMs there are, what leases they have, and when what ran on a silent one is over."""

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
"""Share of the longest lease that is asked for, so that it is never cut."""
RELISTED_WITHIN = 2.5
"""Seconds within which an entry that lapsed while the store was away is back, if its VM lives.

The platform says about two; a VM that is still missing then is taken as gone."""
LEFT_AFTER = 1.5
"""Seconds for which nothing listens where a VM was that has no entry any more."""
LEFT_AS_TOLD_AFTER = 0.3
"""The same for one that drained and is past the time that it told: two tries at its address. Its
entry goes up to 4.5 s later, and a gang with a member there can't start again before."""
ROOM_FRESH = 4.0
"""Seconds after its entry was read for which a VM that does not guard its room may be told to start
something: one that has shrunk may not be started over it 4.5 s later."""
ROOM_GAP = 1.5
"""Seconds without a reading of entries after which VMs may not have been able to write theirs: they
are asked for each second."""
ROOM_MARGIN = 0.3
"""Seconds by which such an order may come later."""
LOST = "lost"
"""How a run ended of which nothing can be heard any more."""
ANOTHER_LIFE = "another life answers at its address"
NEXT_LIFE = "its next life is there"
MS = 1000.0


def _nobody(row: VmRow) -> None:
    """Take a crash, and do nothing."""


def _nothing(run: RunRow) -> None:
    """Take a run, and do nothing."""


def _ignore() -> None:
    """Take a next life, and do nothing."""


class Vms:
    """Keeps the rows of the VMs."""

    def __init__(self, state: State, acks: Acks) -> None:
        self._state = state
        self._lives = Lives(state)
        self._acks = acks
        self.on_crash: Callable[[VmRow], None] = _nobody
        """Takes a VM whose life has ended unplanned, with its runs still entered."""
        self.on_left: Callable[[RunRow], None] = _nothing
        """Takes a run that may have ended its VM's life, and has not come to the next one."""
        self.on_next_life: Callable[[], None] = _ignore
        """Takes that a VM has started again under its id."""
        self.on_deaf: Callable[[VmRow], None] = _nobody
        """Takes a VM that does not list its ends any more."""

    # -- The list ----------------------------------------------------------------------------

    def listed(self, infos: Sequence[VmInfo]) -> list[VmRow]:
        """Take the present list and return the rows that are new."""
        names = {info.name for info in infos}
        new = [row for info in infos if (row := self.told(info)) is not None]
        for row in self._state.vms.values():
            if row.name not in names:
                self._unlist(row)
        return new

    def told(self, info: VmInfo) -> VmRow | None:
        """Take what a VM says of itself; return its row if it is new."""
        leaves_at = self._state.now + info.leaves_in if info.leaves_in > 0 else None
        revision = info.revision
        # Told anew with each heartbeat, these are no change of the VM.
        info = msgspec.structs.replace(info, leaves_in=0.0, revision=0)
        row = self._state.vms.get(info.name)
        if row is None and self._lives.is_over(info):
            # An old list would take the room of the present life for that of the last one.
            return None
        if row is not None and revision < row.revision:
            # An old list would give back the room that a VM has lost since.
            return None
        if row is not None:
            if revision > row.revision:
                row.told_at = self._state.now
            row.revision = revision
            self._changed(row, info)
            row.leaves_at = _earlier(row.leaves_at, leaves_at)
            return None
        row = VmRow(info, room=info.capacity, leaves_at=leaves_at, revision=revision)
        self._enter(row)
        self._log("VM listed", row)
        return row

    def _enter(self, row: VmRow) -> None:
        self._state.vms[row.name] = row
        self._state.vms_changed += 1
        before = self._lives.begin(row)
        if before is not None:
            self._follows(before, row)

    def _changed(self, row: VmRow, info: VmInfo) -> None:
        if row.info.draining and not info.draining:
            # A list may be some seconds old; a life that drains never gets well again.
            info = msgspec.structs.replace(info, draining=True)
        if info.capacity != row.info.capacity:
            # It has shrunk or grown, or was known only from a record that does not tell.
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
        """Tell whether a VM may get new work at all."""
        return not row.deaf and self._sound(row)

    def provable(self, row: VmRow) -> bool:
        """Tell whether a VM may be started something on that shows whether it lists its ends."""
        return row.deaf and row.unproven and not row.runs and self._sound(row)

    def _sound(self, row: VmRow) -> bool:
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
        """Tell whether a VM's room is known so well that an order may rest on it."""
        return self.room_known_for(row) > ROOM_MARGIN

    def room_known_for(self, row: VmRow) -> float:
        """Return for how many seconds an order may yet rest on what is known of a VM's room.

        Only its entry tells that it has shrunk. One that guards its room refuses what does not fit.
        """
        state = self._state
        if state.rooms_at is None or row.info.pool in state.configuration.guarded_pools:
            return inf
        known_at = state.rooms_at
        back_for = state.now - state.rooms_back_at
        if row.told_at < state.rooms_back_at and back_for < RELISTED_WITHIN:
            # What is read again was written before: it could not tell of itself meanwhile.
            known_at = state.rooms_before
        return known_at + ROOM_FRESH + ROOM_MARGIN - state.now

    def rooms_known(self, asked_at: float) -> None:
        """Take that entries were read, by a question of some local time."""
        state = self._state
        before = state.rooms_at
        if before is not None and asked_at - before > ROOM_GAP:
            state.rooms_before = before
            state.rooms_back_at = state.now
            extra = {"seconds": round(asked_at - before, 3)}
            state.logger.info("VMs' entries read again", extra=extra)
        state.rooms_at = asked_at if before is None else max(before, asked_at)
        # What had to wait for that may start.
        state.freed += 1

    def left_list(self, entry: str) -> None:
        """Take that a VM's entry is gone; it may still run what is leased there."""
        row = self._lives.present(entry)
        if row is not None:
            self._unlist(row)

    def _unlist(self, row: VmRow) -> None:
        row.listed = False
        if row.awaited:
            return
        if row.unlisted_at is None:
            row.unlisted_at = self._state.now
            self._log("VM not listed", row)

    def missing(self, row: VmRow) -> bool:
        """Tell whether a VM's entry has been gone for too long, so that it gets no new work."""
        since = row.unlisted_at
        return since is not None and self._state.now - since > RELISTED_WITHIN

    # -- Lives -------------------------------------------------------------------------------

    def known(self, entry: str) -> bool:
        """Tell whether a life of an entry is known to be up."""
        return self._lives.present(entry) is not None

    def another_life(self, row: VmRow, name: str, born: int) -> VmRow | None:
        """Take that a call for a VM's life was answered by a later one; return its row if new."""
        if row.gone:
            return None
        later = self._state.vms.get(name)
        if later is not None and not later.gone:
            self._follows(row, later)
            return None
        # The rack stays with the machine; the room and all else wait for the entry.
        info = msgspec.structs.replace(
            row.info,
            name=name,
            born=born,
            instance=row.info.entry,
            capacity=Shape(),
            draining=False,
        )
        new = VmRow(info, listed=False, awaited=True)
        self._enter(new)
        self._log("VM answers", new, after=row.name)
        return new

    def _follows(self, before: VmRow, row: VmRow) -> None:
        """Take that a life has followed another one that was taken to be up."""
        self.on_next_life()
        # What was ordered of the last life may come to be here until this one is heard.
        row.loaded = True
        row.lease_end = max(row.lease_end, self._state.longest_lease_end())
        if before.telling or before.loaded:
            # A number for that one may come to this one, under another leader's fence too.
            self.doubted(row, before.acked_end)
        if before.info.born:
            self.died(before.name, NEXT_LIFE, row)
            return
        # Recorded before lives were told apart, it may be this very one.
        doubted = self._state.doubts.pop(before.name, None)
        if doubted is not None:
            self._state.doubts[row.name] = doubted
        before.gone = True
        before.listed = False
        for run in list(before.runs.values()):
            self._state.move_run(run, row)

    def doubted(self, row: VmRow, acked: int) -> None:
        """Take that a life may have been told to forget the ends of the life before, and its own.

        It starts nothing before it has shown that it lists its ends.
        """
        if row.deaf:
            return
        row.deaf = row.unproven = True
        self._state.unproven[row.name] = row
        extra = {"vm": row.name, "acked": acked}
        self._state.logger.info("VM may not list its ends", extra=extra)
        self.on_deaf(row)

    def deafened(self, name: str, acked: int) -> None:
        """Take that a life does not list its ends up to some number, and starts nothing more.

        It was told to forget those of the life before, and forgets its own.
        """
        row = self._state.vms.get(name)
        if row is None or (row.deaf and not row.unproven):
            return
        row.deaf = True
        row.unproven = False
        self._state.unproven.pop(name, None)
        self._state.logger.warning("VM does not list its ends", extra={"vm": name, "acked": acked})
        self.on_deaf(row)

    # -- Leases ------------------------------------------------------------------------------

    def lease_until(self, row: VmRow) -> int:
        """Return the end of a new lease on the VM's clock (ms) and note how long it lasts."""
        state = self._state
        length = state.settings.lease * LEASE_SHARE
        row.lease_end = max(row.lease_end, state.longest_lease_end())
        return int(row.clock_after(state.now) + length * MS)

    def fresh(self, row: VmRow) -> bool:
        """Tell whether a VM was heard of late."""
        return self._state.now - row.heard_at < self._state.settings.fresh

    def silent_for(self, row: VmRow) -> float:
        """Return for how many seconds a VM has not been heard."""
        return self._state.now - max(row.heard_at, self._state.elected_at)

    def expire(self) -> list[VmRow]:
        """Give up what ran on VMs whose leases are over; return the rows taken out."""
        now = self._state.now
        out = []
        for row in list(self._state.vms.values()):
            silent = now - row.heard_at > self._state.settings.fresh
            used = bool(row.runs) or row.name in self._state.doubts
            if row.gone or (silent and used and self._leases_over(row)):
                if self._reborn(row):
                    self.on_crash(row)
                self._drop_runs(row)
            if (row.gone or not row.listed) and not row.runs and self._leases_over(row):
                out.append(row)
                del self._state.vms[row.name]
                self._state.unproven.pop(row.name, None)
                self._lives.forget(row)
                self._log("VM forgotten", row)
        return out

    def idle(self) -> list[VmRow]:
        """Return the VMs in use on which nothing can run any more.

        They are silent and what was leased there is over, or they drain, so that nothing is started
        there again. A later leader then need not wait for them.
        """
        return [
            row
            for row in self._state.vms.values()
            if row.recorded and not row.runs and (self._drained(row) or self._over(row))
        ]

    def _drained(self, row: VmRow) -> bool:
        return row.info.draining and row.first_heard_at > 0 and not row.gone

    def _over(self, row: VmRow) -> bool:
        return not self.fresh(row) and self._leases_over(row)

    def unrecorded(self) -> list[VmRow]:
        """Return the VMs that are heard, and that no record says to be in use."""
        return [
            row
            for row in self._state.vms.values()
            if not row.recorded and not row.gone and not row.info.draining and self.fresh(row)
        ]

    def _leases_over(self, row: VmRow) -> bool:
        """Tell whether all that may run on a silent VM is over.

        A leader that is cut off may not say so: another one may have extended the leases.
        """
        if row.gone or not (row.loaded or row.first_heard_at > 0):
            return True
        return self._state.confirmed_at > self._over_at(row)

    def _over_at(self, row: VmRow) -> float:
        """Return when the leases of a silent VM are over (local time)."""
        if row.first_heard_at > 0:
            return row.lease_end
        return max(row.lease_end, self._state.unheard_until)

    def refused(self, row: VmRow) -> None:
        """Take that nothing listens at a VM's address.

        That, and that its entry is gone or that it has told of its leave, for a while: then it has
        left, and what ran there is over.
        """
        now = self._state.now
        if row.refused_since < row.heard_at:
            row.refused_since = now
        refused_for = now - row.refused_since
        as_told = self._past_its_time(row) and refused_for > LEFT_AS_TOLD_AFTER
        if as_told or (not row.listed and refused_for > LEFT_AFTER):
            self.died(row.name, "nothing listens at its address")

    def _past_its_time(self, row: VmRow) -> bool:
        """Tell whether a VM that drains need not be there any more, by what it has told itself."""
        leaves_at = row.leaves_at
        return row.info.draining and leaves_at is not None and self._state.now > leaves_at

    def unanswered(self, row: VmRow) -> None:
        """Take that a look got no answer.

        A VM that drained, whose entry is gone and that does not answer for a while has left.
        """
        left = row.info.draining and not row.listed
        if left and self._state.confirmed_at - row.heard_at > LEFT_AFTER:
            self.died(row.name, "it drained and does not answer")

    def died(self, name: str, why: str = ANOTHER_LIFE, heir: VmRow | None = None) -> None:
        """Take that a life of a VM is over for certain, and by what that is known.

        Orders that it has not shown to have got may have reached ``heir``, its next life.
        """
        row = self._state.vms.get(name)
        if row is None or row.gone:
            return
        row.gone = True
        row.listed = False
        self._log("VM's life over", row, why=why)
        if heir is not None:
            self._pass_on(row, heir)
        if not self._planned(row):
            self.on_crash(row)
        self._drop_runs(row)

    @staticmethod
    def _planned(row: VmRow) -> bool:
        """Tell whether a life ended as planned: it drained, or was heard without its entry."""
        unlisted_at = row.unlisted_at
        return row.info.draining or (unlisted_at is not None and row.heard_at > unlisted_at)

    def _reborn(self, row: VmRow) -> bool:
        """Tell whether a silent VM's machine has another life, so that it was not just cut off."""
        machine = row.info.machine
        if row.gone or not machine or self._planned(row):
            return False
        others = self._state.vms.values()
        return any(other.listed and other.info.machine == machine for other in others)

    def _pass_on(self, row: VmRow, heir: VmRow) -> None:
        """Look for what a life has not listed at the next one, which the order may have reached."""
        planned = self._planned(row)
        if not planned:
            heir.follows_at = self._state.now
        for run in list(row.runs.values()):
            if run.listed or run.state is RunState.NOTING:
                continue
            if not planned:
                self._lost(run)
            self._state.move_run(run, heir)
            if planned:
                run.left = ""

    def _drop_runs(self, row: VmRow) -> None:
        runs: list[RunRow] = list(row.runs.values())
        if runs:
            runs_lost(self._state.logger, row, self._state.now)
        planned = self._planned(row)
        for run in runs:
            if not planned:
                self._lost(run)
            if run.left:
                self.on_left(run)
            self._state.drop_run(run, LOST)

    def _lost(self, run: RunRow) -> None:
        """Take that a run may have ended its VM's life; one that was not ordered has not."""
        task = self._state.task(run.task)
        if task is not None and run.state is not RunState.NOTING:
            task.lost = True

    def _log(self, text: str, row: VmRow, **more: object) -> None:
        now = self._state.now
        extra = {"vm": row.name, "heard_ago": row.heard_ago(now), "runs": len(row.runs), **more}
        self._state.logger.info(text, extra=extra)

    # -- After a change of leader ------------------------------------------------------------

    def load(self, info: VmInfo) -> VmRow:
        """Enter a life that a former leader has recorded to be in use."""
        row = VmRow(info, listed=False)
        row.loaded = row.recorded = row.in_use = True
        self._state.vms[row.name] = row
        self._log("VM in use by its record", row)
        return row

    def loaded(self) -> None:
        """Take that all records are loaded: of lives that share an entry, the last one is up."""
        for row in sorted(self._state.vms.values(), key=lambda row: row.info.born):
            self._enter(row)

    def former_may_order(self) -> None:
        """Take that a former leader may have extended leases up to this moment."""
        state = self._state
        settings = state.settings
        over = state.now + settings.takeover_margin + settings.lease / SLOW_CLOCK
        state.unheard_until = max(state.unheard_until, over)

    def all_heard(self) -> bool:
        """Tell whether no run of a former leader can be unseen any more."""
        state = self._state
        if state.confirmed_at > state.unheard_until:
            return True
        loaded = [row for row in state.vms.values() if row.loaded]
        return all(row.first_heard_at > 0 or row.gone for row in loaded)


def _earlier(first: float | None, second: float | None) -> float | None:
    """Return the earlier of two times: an old list tells of more time than is left."""
    given = [time for time in (first, second) if time is not None]
    return min(given, default=None)
