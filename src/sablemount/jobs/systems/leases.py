"""How long what runs on each VM is leased, as far as this leader can know.

A lease only grows: each call that may extend it counts from the moment at which it is made, and is
taken back only if it was certainly not sent. What runs on a VM that cannot be reached may start
elsewhere once the lease is over, and the store has confirmed the leadership since.

A call names the end of a lease on the clock of the incarnation that it is meant for. If that one
carries it out, the lease is as long as requested. Any other incarnation under the same id reads
this time on its own clock and may grant its longest lease. It carries out such calls until it
answers one with its own fence, so that its first report to a leader bounds them.
"""

from collections.abc import Callable

from sablemount.jobs.lease import MAX_CALL_DELAY_S, Lease, LeaseSource
from sablemount.jobs.run_row import RunRow
from sablemount.jobs.state import State
from sablemount.jobs.times import NEVER
from sablemount.jobs.vm_row import MIN_CLOCK_RATE, VmRow

__all__ = ["Leases"]

LEASE_SHARE = 0.97
"""Share of the longest lease that is requested, so that it is never cut short."""
LEASE_SLACK_S = 0.1
"""Time beyond the end of a lease until what ran under it counts as over."""
MS_PER_S = 1000.0
MAX_VMS_PER_LINE = 20
"""Largest number of VMs named in one log line."""


def _ignore_event(event: str) -> None:
    """Ignore what happened to a lease."""


class Leases:
    """Extends the leases of VMs, and decides when they are over."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._polls: dict[str, list[VmRow]] = {}
        """By entry, the incarnation of each poll in flight that extends a lease."""
        self.on_event: Callable[[str], None] = _ignore_event
        """Called with the name of what happened to a lease."""

    # -- Lengths -----------------------------------------------------------------------------

    @staticmethod
    def _end_after(since: float, seconds: float) -> float:
        """Return the latest local end of a lease of some seconds on a VM's clock."""
        return since + seconds / MIN_CLOCK_RATE + LEASE_SLACK_S

    def _requested_end(self) -> float:
        """Return the latest end of a lease that a call for the VM's own incarnation gives now."""
        return self._end_after(self._state.now, self._state.settings.lease_s)

    def _granted_end(self, since: float) -> float:
        """Return the latest end of a lease that any call has given up to a local time."""
        return self._end_after(since, self._state.settings.max_lease_s)

    # -- Extensions --------------------------------------------------------------------------

    def extend(self, row: VmRow) -> int:
        """Return the end of a new lease on the VM's clock (ms), and remember how long it lasts.

        The lease counts from the time last read, not from now: the process may have stood still
        since the authority for the call was checked.
        """
        state = self._state
        length = state.settings.lease_s * LEASE_SHARE
        until_ms = int(row.min_clock_ms(state.now) + length * MS_PER_S)
        self._extend_to(row, self._requested_end(), LeaseSource.POLL, until_ms)
        return until_ms

    def extend_by_start(self, row: VmRow, seconds: float) -> None:
        """Record that a start request extends a VM's lease, also where polls do not."""
        end = self._end_after(self._state.now, seconds)
        until_ms = int(row.min_clock_ms(self._state.now) + seconds * MS_PER_S)
        self._extend_to(row, end, LeaseSource.START, until_ms)

    def extend_by_others(self, row: VmRow, source: LeaseSource) -> None:
        """Record that any calls up to now may have extended a VM's lease.

        Another leader made them, or this one for an earlier incarnation.
        """
        self._extend_to(row, self._granted_end(self._state.now), source, 0)

    def _extend_to(self, row: VmRow, end: float, source: LeaseSource, until_ms: int) -> None:
        if end < row.lease.end:
            end, source, until_ms = row.lease.end, row.lease.source, row.lease.until_ms
        row.lease = Lease(end, source, until_ms)

    def not_extended(self, row: VmRow, previous: Lease, requested: Lease, why: str) -> None:
        """Record that the call to extend a VM's lease was certainly not sent.

        The previous lease holds again, unless another call may have extended it since.
        """
        is_latest = row.lease is requested
        if is_latest:
            row.lease = previous
        if previous is requested or row.lease_returned_at > row.last_report_at:
            return
        row.lease_returned_at = self._state.now
        self.on_event("returned" if is_latest else "kept")
        self._log("lease not extended", row, why=why, returned=is_latest)

    def reported_first(self, row: VmRow) -> None:
        """Record the first report of a VM: it has refused all earlier calls since it answered."""
        self.extend_by_others(row, LeaseSource.PREVIOUS_LEADER)
        if row.lease_extended_until > NEVER:
            row.lease_extended_until = self._granted_end(self._state.now)

    def extend_next_incarnation(self, row: VmRow) -> None:
        """Record that a call for the previous incarnation may have extended the lease of this one.

        Until that lease is over, a probe there could complete its work. Such a call has no effect
        after the first report.
        """
        now = self._state.now
        reported_for = None
        if row.first_report_at > 0:
            reported_for = now - row.first_report_at
            row.lease_extended_until = self._granted_end(row.first_report_at)
        else:
            row.lease_extended_until = self._granted_end(now)
            self.extend_by_others(row, LeaseSource.PREVIOUS_INCARNATION)
        self._log("lease may be extended by an earlier call", row, reported_for=reported_for)

    def log_succession(self, previous: VmRow, row: VmRow) -> None:
        """Log which calls for an earlier incarnation may have extended the lease of this one."""
        now = self._state.now
        polls = self._polls.get(row.info.entry_key, ())
        extra = {
            "after": previous.name,
            "earlier_clock_ms": previous.clock_ms,
            "polls": sum(polled is not row for polled in polls),
            "starts": previous.starts_in_flight,
            "called_ago": round(now - previous.call_ended_at, 3)
            if previous.call_ended_at > NEVER
            else None,
        }
        self._log("VM follows an earlier incarnation", row, **extra)

    def call_ended(self, row: VmRow) -> None:
        """Record the end of a call that extends leases and may have reached a next incarnation."""
        row.call_ended_at = self._state.now

    def poll_sent(self, row: VmRow) -> None:
        """Record that a poll that extends a VM's lease is on its way."""
        self._polls.setdefault(row.info.entry_key, []).append(row)

    def poll_ended(self, row: VmRow) -> None:
        """Record that such a poll was answered, or is not waited for any more."""
        polls = self._polls[row.info.entry_key]
        polls.remove(row)
        if not polls:
            del self._polls[row.info.entry_key]

    def has_earlier_poll(self, row: VmRow) -> bool:
        """Return whether such a poll for an earlier incarnation is on its way."""
        return any(polled is not row for polled in self._polls.get(row.info.entry_key, ()))

    # -- Ends --------------------------------------------------------------------------------

    def are_over(self, row: VmRow) -> bool:
        """Return whether everything that may run on a silent VM is over.

        A leader that is cut off cannot tell: another leader may have extended the leases.
        """
        if row.terminated or not (row.earlier_runs_possible or row.first_report_at > 0):
            return True
        return self._state.leadership_confirmed_at > self.end(row)

    def end(self, row: VmRow) -> float:
        """Return when the leases of a silent VM are over (local time)."""
        if row.first_report_at > 0:
            return row.lease.end
        return max(row.lease.end, self._state.unreported_leases_end)

    def is_over(self, row: VmRow, run: RunRow) -> bool:
        """Return whether a run cannot be on a next incarnation of its silent VM either.

        One that is not known may have carried out the request of a run that the VM has not listed,
        and later calls: an answer does not show which incarnation has.
        """
        if not run.may_start_again(row.last_report_at - MAX_CALL_DELAY_S):
            return True
        end = self._granted_end(max(run.requested_until, row.call_ended_at))
        return self._state.leadership_confirmed_at > end

    def log_runs_free(self, row: VmRow, why: str) -> None:
        """Log why what ran on a VM may start elsewhere; to be called before that is dropped."""
        if not row.runs:
            return
        self.on_event("over" if self.are_over(row) and not row.terminated else "ended early")
        confirmed_ago = self._state.now - self._state.leadership_confirmed_at
        self._log("runs may start elsewhere", row, why=why, confirmed_ago=round(confirmed_ago, 3))

    # -- Silence -----------------------------------------------------------------------------

    def log_silent(self) -> None:
        """Log the lease of each VM with runs that has fallen silent, once for each silence."""
        now = self._state.now
        for row in self._state.vms.values():
            if not row.runs or row.terminated or row.first_report_at < 0:
                continue
            silent = now - row.last_report_at > self._state.settings.max_report_age_s
            if silent and row.lease_logged_at < row.last_report_at:
                row.lease_logged_at = now
                self.on_event("silent")
                self._log("VM is silent under its lease", row)

    def _log(self, text: str, row: VmRow, **more: object) -> None:
        now = self._state.now
        extra = {
            "vm": row.name,
            "epoch": self._state.epoch,
            "heard_ago": row.report_age(now),
            "vm_clock_ms": row.clock_ms,
            "runs": len(row.runs),
            "lease_left": round(self.end(row) - now, 3),
            "lease_until_ms": row.lease.until_ms,
            "unlisted": sum(not run.listed for run in row.runs.values()),
            "lease_by": row.lease.source.value,
            **more,
        }
        self._state.logger.info(text, extra=extra)

    # -- Previous leaders --------------------------------------------------------------------

    def previous_leader_may_extend(self) -> None:
        """Record that a previous leader may have extended leases up to this moment."""
        state = self._state
        settings = state.settings
        end = self._granted_end(state.now + settings.takeover_margin_s)
        state.unreported_leases_end = max(state.unreported_leases_end, end)

    def are_previous_over(self) -> bool:
        """Return whether the leases of VMs that have not reported are over."""
        return self._state.leadership_confirmed_at > self._state.unreported_leases_end

    def are_previous_runs_settled(self) -> bool:
        """Return whether all runs of previous leaders are known or over."""
        return self.are_previous_over() or not self.unreported()

    def unreported(self) -> list[VmRow]:
        """Return the VMs on which previous leaders' runs are possible and not known yet."""
        return [
            row
            for row in self._state.vms.values()
            if row.earlier_runs_possible and row.first_report_at < 0 and not row.terminated
        ]

    def log_settled(self) -> None:
        """Log why no run of a previous leader is waited for any more."""
        state = self._state
        unreported = [row.name for row in self.unreported()]
        extra = {
            "epoch": state.epoch,
            "vms": len(state.vms),
            "why": "their leases are over" if unreported else "all VMs have reported",
            "unreported": unreported[:MAX_VMS_PER_LINE],
            "leases_left": round(state.unreported_leases_end - state.now, 3),
            "confirmed_ago": round(state.now - state.leadership_confirmed_at, 3),
        }
        state.logger.info("runs of previous leaders settled", extra=extra)
