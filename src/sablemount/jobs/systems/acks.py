"""When a VM is sent the number up to which it may forget completions.

A VM keeps the highest number it was sent and never again lists a completion up to that number. Its
next incarnation counts from 1 again and answers under the same id, so an acknowledgement that
reaches the next incarnation makes it forget completions of its own. An acknowledgement is therefore
sent only once, right after a report from the incarnation it is meant for and while no start request
is on its way there, and nothing is started there until it has been answered. An incarnation that
receives an acknowledgement meant for another one has then started nothing that counts.
"""

from sablemount.jobs.state import State
from sablemount.jobs.tables import RunState, VmRow

__all__ = ["Acks"]

HEARD_WITHIN = 0.1
"""Maximum age of a VM's last report when an acknowledgement is sent: shorter than a restart of the
VM, and longer than the store usually takes to record its completions."""
LATE_START_WINDOW_S = 0.75
"""Time after an unanswered start request during which it may still arrive. Requests time out after
half of it."""
PATIENCE = 1.0
"""Longest time for which start requests to a VM may delay its acknowledgement: the VM lists at most
500 completions."""


class Acks:
    """Decides which completions a poll acknowledges."""

    def __init__(self, state: State) -> None:
        self._state = state

    def pending(self, row: VmRow) -> bool:
        """Return whether the store has completions that the VM has not been told to forget."""
        if row.acked_end <= row.told_end:
            row.untold_since = None
            return False
        if row.untold_since is None:
            row.untold_since = self._state.now
        return True

    def due(self, row: VmRow) -> int:
        """Return the number that a poll may acknowledge now; 0 if none."""
        recent = self._state.now - row.heard_at <= HEARD_WITHIN
        return (
            row.acked_end if self.pending(row) and recent and self._no_start_in_flight(row) else 0
        )

    def _no_start_in_flight(self, row: VmRow) -> bool:
        """Return whether no start request, however old, can still arrive at a VM.

        A request that timed out is waited for only as long as this does not delay other starts.
        """
        if row.ordering or (self.may_come_late(row) and not self._overdue(row)):
            return False
        return all(run.listed or run.state is RunState.NOTING for run in row.runs.values())

    def may_come_late(self, row: VmRow) -> bool:
        """Return whether a start request that timed out may still arrive at a VM."""
        return self._state.now - row.unanswered_at < LATE_START_WINDOW_S

    def unsettled(self, row: VmRow) -> None:
        """Record that a start request timed out without an answer."""
        row.unanswered_at = self._state.now

    def hold_up(self, row: VmRow) -> bool:
        """Return whether starts on a VM must wait until it has received its acknowledgement."""
        delays = row.telling or self._overdue(row)
        row.held_up = row.held_up or delays
        return delays

    def _overdue(self, row: VmRow) -> bool:
        since = row.untold_since
        return since is not None and self._state.now - since > PATIENCE

    @staticmethod
    def sent(row: VmRow) -> None:
        """Record that an acknowledgement is on its way."""
        row.telling = True

    def answered(self, row: VmRow, number: int) -> None:
        """Record that the incarnation an acknowledgement is meant for has received it."""
        row.untold_since = None
        row.told_end = max(row.told_end, number)
        self.heard(row)

    def heard(self, row: VmRow) -> None:
        """Handle a report from the current incarnation: delayed starts may go ahead."""
        row.telling = False
        if row.held_up:
            row.held_up = False
            self._state.freed += 1

    def unanswered(self, row: VmRow, arrives: bool) -> None:
        """Record that an acknowledgement got no answer, and whether it may still arrive.

        It may then reach a later incarnation. Nothing is started on the VM until the incarnation
        that it was meant for reports again, and then only with a higher fence; a next incarnation
        is assumed to have received it.
        """
        row.telling = arrives
        row.fence = self._state.next_fence()
