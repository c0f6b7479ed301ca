"""When a VM is sent the number up to which it may forget completions.

A VM keeps the highest number it was sent and never again lists a completion up to that number. Its
next incarnation counts from 1 again and answers under the same id, so an acknowledgement that
reaches the next incarnation makes it forget completions of its own. An acknowledgement is therefore
sent only once, right after a report from the incarnation it is meant for and while no start request
is on its way there, and nothing is started there until it has been answered. An incarnation that
receives an acknowledgement meant for another one has then started nothing that counts.
"""

from sablemount.jobs.lease import MAX_CALL_DELAY_S
from sablemount.jobs.run_row import RunState
from sablemount.jobs.state import State
from sablemount.jobs.vm_row import VmRow

__all__ = ["Acks"]

MAX_ACK_REPORT_AGE_S = 0.1
"""Maximum age of a VM's last report when an acknowledgement is sent: shorter than a restart of the
VM, and longer than the store usually takes to record its completions."""
LATE_START_WINDOW_S = 0.75
"""Time after an unanswered start request during which it may still arrive. Requests time out after
half of it."""
MAX_ACK_DELAY_S = 1.0
"""Longest time for which start requests to a VM may delay its acknowledgement: the VM lists at most
500 completions."""


class Acks:
    """Decides which completions a poll acknowledges."""

    def __init__(self, state: State) -> None:
        self._state = state

    def has_unacknowledged(self, row: VmRow) -> bool:
        """Return whether the store has completions that are not acknowledged to the VM yet."""
        if row.last_recorded_completion <= row.last_acknowledged_completion:
            row.unacknowledged_since = None
            return False
        if row.unacknowledged_since is None:
            row.unacknowledged_since = self._state.now
        return True

    def due_number(self, row: VmRow) -> int:
        """Return the number that a poll may acknowledge now; 0 if none."""
        recent = self._state.now - row.last_report_at <= MAX_ACK_REPORT_AGE_S
        return (
            row.last_recorded_completion
            if self.has_unacknowledged(row) and recent and self._no_start_in_flight(row)
            else 0
        )

    def _no_start_in_flight(self, row: VmRow) -> bool:
        """Return whether no start request, however old, can still arrive at a VM.

        A request that timed out is waited for only as long as this does not delay other starts.
        """
        if row.starts_in_flight or (self.start_may_arrive_late(row) and not self._overdue(row)):
            return False
        return all(run.listed or run.state is RunState.RECORDING for run in row.runs.values())

    def start_may_arrive_late(self, row: VmRow) -> bool:
        """Return whether a start request that timed out may still arrive at a VM."""
        return self._state.now - row.start_timed_out_at < LATE_START_WINDOW_S

    def start_timed_out(self, row: VmRow) -> None:
        """Record that a start request timed out without an answer."""
        row.start_timed_out_at = self._state.now

    def delays_starts(self, row: VmRow) -> bool:
        """Return whether starts on a VM must wait until it has received its acknowledgement."""
        delays = row.ack_in_flight or self._overdue(row)
        row.delayed_by_ack = row.delayed_by_ack or delays
        return delays

    def _overdue(self, row: VmRow) -> bool:
        since = row.unacknowledged_since
        return since is not None and self._state.now - since > MAX_ACK_DELAY_S

    def may_reach_next_incarnation(self, row: VmRow) -> bool:
        """Return whether an acknowledgement may still reach the incarnation that follows.

        A report shows only that it cannot reach this one any more.
        """
        recent = self._state.now - row.ack_unanswered_at < MAX_CALL_DELAY_S
        return row.ack_in_flight or recent

    @staticmethod
    def ack_sent(row: VmRow) -> None:
        """Record that an acknowledgement is on its way."""
        row.ack_in_flight = True

    def ack_answered(self, row: VmRow, number: int) -> None:
        """Record that the incarnation an acknowledgement is meant for has received it."""
        row.unacknowledged_since = None
        row.last_acknowledged_completion = max(row.last_acknowledged_completion, number)
        self.report_received(row)

    def report_received(self, row: VmRow) -> None:
        """Handle a report from the current incarnation: delayed starts may go ahead."""
        row.ack_in_flight = False
        if row.delayed_by_ack:
            row.delayed_by_ack = False
            self._state.capacity_version += 1

    def ack_unanswered(self, row: VmRow, arrives: bool) -> None:
        """Record that an acknowledgement got no answer, and whether it may still arrive.

        It may then reach a later incarnation. Nothing is started on the VM until the incarnation
        that it was meant for reports again, and then only with a higher fence; a next incarnation
        is assumed to have received it.
        """
        row.ack_in_flight = arrives
        if arrives:
            row.ack_unanswered_at = self._state.now
        row.fence = self._state.next_fence()
