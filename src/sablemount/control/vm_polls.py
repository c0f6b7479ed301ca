"""Polls a VM: extends its lease, acknowledges its completions and handles its report."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from sablemount.control.clock import monotonic
from sablemount.control.ports import CallError, HoldCall, HoldResult
from sablemount.control.vm_call_context import NOT_CARRIED_OUT, NOTHING_SENT, VmCallContext
from sablemount.control.vm_connections import VmConnections, VmLink
from sablemount.control.vm_turns import CallKind, Turn
from sablemount.jobs.actions import LaterIncarnation, VmReport
from sablemount.jobs.vm_row import VmRow

__all__ = ["HOLD_WAIT_S", "IDLE_POLLS_PER_S", "MAX_HOLD_WAIT_S", "SHORT_WAIT_S", "VmPolls"]

HOLD_WAIT_S = 0.7
"""How long a poll waits for a completion."""
IDLE_POLLS_PER_S = 1_500
"""Maximum rate of polls of all idle VMs together, which takes a third of a processor core."""
MAX_HOLD_WAIT_S = 1.7
"""Longest wait of a poll of an idle VM: with its slack it ends before the VM counts as silent."""
SHORT_WAIT_S = 0.1
"""How long a poll waits for a completion while a start request to its VM is unanswered, or while
other calls have to use the same connection."""
HOLD_SLACK_S = 0.35
"""Time beyond its wait that a poll may take before the VM counts as not answering."""
FIRST_HOLD_TIMEOUT_S = 0.5
"""Time-out of the first poll of a VM, which does not wait for a completion."""
ACK_TIMEOUT_S = 0.2
"""Time-out of a poll that acknowledges completions: no run is started on the VM meanwhile."""
SILENT_HOLD_TIMEOUT_S = 0.8
"""Time-out of a poll of a silent VM."""
STOP_EXTENDING_AFTER_S = 2.0
"""Silence after which a VM's leases are no longer extended, so that its runs end in time."""
UNRECORDED_PAUSE_S = 0.3
"""Pause between polls while listed completions cannot be recorded in the store."""
UNSETTLED_PAUSE_S = 0.03
"""Pause between polls while requests in flight prevent the acknowledgement of listed completions:
such a poll does not wait, and a request takes less time than this."""
UNANSWERED_PAUSE_S = 0.1
"""Same while a timed-out request may still arrive, which can last for a long time."""

_logger = logging.getLogger("sablemount.control.vms")


class _Standing(msgspec.Struct, frozen=True):
    """Whether a VM has reported to this leader, and whether it has been silent for long since."""

    known: bool
    silent: bool

    @property
    def answers(self) -> bool:
        """Return whether the VM has reported lately."""
        return self.known and not self.silent

    def timeout(self, call: HoldCall) -> float:
        """Return the time-out of a poll in seconds."""
        if call.acked_completion:
            return ACK_TIMEOUT_S
        if not self.known:
            return FIRST_HOLD_TIMEOUT_S
        return SILENT_HOLD_TIMEOUT_S if self.silent else call.wait + HOLD_SLACK_S


class _Poll(msgspec.Struct, frozen=True):
    """A poll that was sent, with its result.

    ``silent`` is whether the VM had been silent for long, and ``seconds`` how long the poll took.
    """

    call: HoldCall
    silent: bool
    seconds: float
    result: HoldResult

    @property
    def may_repeat_at_once(self) -> bool:
        """Return whether no pause is needed after the poll, though it has failed."""
        if self.silent or isinstance(self.result, LaterIncarnation):
            return False
        return self.call.acked_completion > 0 or self.seconds > HOLD_WAIT_S


class VmPolls:
    """Sends single polls.

    ``when_recorded`` returns a future that is done once all pending records are stored.
    """

    def __init__(
        self,
        context: VmCallContext,
        connections: VmConnections,
        when_recorded: Callable[[], "asyncio.Future[None]"],
    ) -> None:
        self._context = context
        self._scheduler = context.scheduler
        self._connections = connections
        self._when_recorded = when_recorded

    async def poll(self, row: VmRow, at_once: bool = False) -> bool:
        """Poll once, unless another leader may have taken over.

        Return whether to poll again over the connection without a pause.
        """
        link = self._connections.link(row)
        async with link.turn(CallKind.POLL) as turn:
            poll = await self._send(row, at_once, link, turn)
        if poll is None:
            return False
        if isinstance(poll.result, VmReport):
            await self._handle_report(row, poll.result)
            return True
        self._handle_failure(row, poll)
        return poll.may_repeat_at_once

    # -- Sending -----------------------------------------------------------------------------

    async def _send(self, row: VmRow, at_once: bool, link: VmLink, turn: Turn) -> _Poll | None:
        """Send a poll and return it with its result; ``None`` if it may not be sent any more."""
        scheduler = self._scheduler
        scheduler.update_time()
        # Checked after the clock is read: if the process stands still in between, the lease counts
        # from before, and a later leader waits for it.
        if row.terminated or not self._context.has_authority():
            return None
        standing = self._standing(row)
        previous_lease = row.lease
        call = self._make_call(row, standing, at_once, link)
        lease = row.lease
        if call.acked_completion:
            scheduler.acks.ack_sent(row)
        sent_at = monotonic()
        result = await link.send(turn, self._hold(row, call, standing.timeout(call)))
        scheduler.update_time()
        if result in NOTHING_SENT:
            scheduler.leases.not_extended(row, previous_lease, lease, result.value)
        self._settle_ack(row, call.acked_completion, result)
        return _Poll(call, standing.silent, monotonic() - sent_at, result)

    def _standing(self, row: VmRow) -> _Standing:
        known = row.first_report_at > 0
        silent = known and self._scheduler.vms.silent_for(row) > STOP_EXTENDING_AFTER_S
        return _Standing(known, silent)

    def _make_call(self, row: VmRow, standing: _Standing, at_once: bool, link: VmLink) -> HoldCall:
        # Probes rely on leases that are too short for any work, under later leaders too.
        leased = standing.answers and not row.completions_unreliable
        until = self._scheduler.leases.extend(row) if leased else 0
        # Only one poll at a time acknowledges completions, so that its answer can be matched.
        acked = 0 if at_once else self._scheduler.acks.due_number(row)
        wait = self._wait(row, acked, link) if standing.answers and not at_once else 0.0
        if acked:
            # If the poll reaches the VM's next incarnation, it must not extend the leases of the
            # runs by which that is detected.
            until = 0
        fence = self._context.fence(row)
        return HoldCall(row.name, row.info.address, fence, until, acked, wait)

    async def _hold(self, row: VmRow, call: HoldCall, timeout: float) -> HoldResult:
        """Send a poll; until its end, it may extend the lease of the VM's next incarnation."""
        if not call.until_ms:
            return await self._context.port.hold(call, timeout)
        scheduler = self._scheduler
        scheduler.leases.poll_sent(row)
        may_have_extended = True
        try:
            result = await self._context.port.hold(call, timeout)
            may_have_extended = not (isinstance(result, VmReport) or result in NOT_CARRIED_OUT)
        finally:
            scheduler.update_time()
            scheduler.vms.poll_ended(row, may_have_extended)
        return result

    def _settle_ack(self, row: VmRow, acked: int, result: HoldResult) -> None:
        """Handle the end of a poll that acknowledged completions, if any."""
        if not acked:
            return
        if isinstance(result, VmReport):
            self._scheduler.acks.ack_answered(row, acked)
        else:
            self._scheduler.acks.ack_unanswered(row, result not in NOTHING_SENT)

    # -- Waits -------------------------------------------------------------------------------

    def _wait(self, row: VmRow, acked: int, link: VmLink) -> float:
        """Return how long a poll may wait at the VM for a completion."""
        if acked or row.last_seen_completion > row.last_recorded_completion:
            return 0.0
        if link.is_single:
            occupied = link.reopens or link.has_waiting
            return 0.0 if occupied else self._idle_wait(SHORT_WAIT_S)
        if row.runs:
            return SHORT_WAIT_S if self._scheduler.has_uncertain_start(row.name) else HOLD_WAIT_S
        return self._idle_wait(HOLD_WAIT_S)

    def _idle_wait(self, shortest: float) -> float:
        """Return the wait by which polls of all VMs together keep to their rate."""
        wait = len(self._scheduler.state.vms) / IDLE_POLLS_PER_S
        return min(MAX_HOLD_WAIT_S, max(shortest, wait))

    # -- Results -----------------------------------------------------------------------------

    async def _handle_report(self, row: VmRow, report: VmReport) -> None:
        self._scheduler.vm_reported(report)
        self._context.wake()
        if row.last_seen_completion > row.last_recorded_completion:
            # The next poll acknowledges these completions, so it waits until they are stored.
            recorded = self._when_recorded()
            await asyncio.wait([recorded], timeout=UNRECORDED_PAUSE_S)
            return
        acks = self._scheduler.acks
        if acks.has_unacknowledged(row) and not acks.due_number(row):
            # A request to the VM is in flight; the next report shows its outcome.
            late = acks.start_may_arrive_late(row)
            await asyncio.sleep(UNANSWERED_PAUSE_S if late else UNSETTLED_PAUSE_S)

    def _handle_failure(self, row: VmRow, poll: _Poll) -> None:
        call, result = poll.call, poll.result
        if isinstance(result, LaterIncarnation):
            self._scheduler.incarnation_replaced(
                row, result, call.acked_completion, call.until_ms > 0
            )
            self._context.wake()
            return
        assert isinstance(result, CallError)
        if result is CallError.FENCED:
            self._context.fence_refused(row, call.fence)
        elif result is CallError.OTHER_INCARNATION:
            self._context.incarnation_ended(row.name)
        elif result is CallError.REFUSED:
            self._scheduler.vms.connection_refused(row)
        _logger.debug("poll failed", extra={"vm": row.name, "why": result.value})
