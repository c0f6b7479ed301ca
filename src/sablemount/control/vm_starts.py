"""Sends requests to start runs to their VMs, again until they are answered."""

import asyncio
from dataclasses import dataclass

from sablemount.control.clock import monotonic
from sablemount.control.ports import CallError, Started, StartResult
from sablemount.control.turns import MAX_SLOT_S, TimedSemaphore
from sablemount.control.vm_call_context import (
    NOT_CARRIED_OUT,
    NOTHING_SENT,
    RESETS,
    RETRY_PAUSE_S,
    VmCallContext,
)
from sablemount.control.vm_connections import VmConnections
from sablemount.control.vm_turns import CallKind, TurnExpired
from sablemount.jobs.actions import StartRun
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.vm_row import VmRow

__all__ = ["MAX_START_ATTEMPTS", "PROBE_LEASE_S", "SHORT_PROBES", "VmStarts"]

MAX_STARTS = 64
"""Maximum number of concurrent start requests: each may open a connection."""
START_TIMEOUT_S = 0.3
"""Time-out of a start request: 100 times the usual response time."""
MAX_START_ATTEMPTS = 3
"""Maximum number of attempts of a start request within its validity of 1.5 s."""
PROBE_LEASE_S = 0.04
"""Lease of a probe run, which shows whether its VM lists completions: long enough for the start
request to arrive, too short for the work to complete."""
SHORT_PROBES = 4
"""Number of probes with that lease. From then on it doubles with each probe, up to the validity of
a start request: the requests to this VM seem to take longer."""
MIN_REMAINING_S = 0.05
"""Remaining validity of a start request below which it is not sent again."""
NO_CALL = "no call was made"
"""Why a start request was not sent, unless a call failed."""
MS_PER_S = 1000.0


@dataclass(slots=True)
class _Request:
    """A start request and what its attempts have shown so far.

    ``until`` is when its run's lease ends, on the VM's clock in ms; ``certain`` is whether no
    attempt can have started the run, and ``why`` names the last error.
    """

    row: VmRow
    run: RunRow
    action: StartRun
    until: int
    certain: bool = True
    why: str = NO_CALL

    @property
    def remaining(self) -> float:
        """Return for how many seconds the request is valid still."""
        return self.action.not_after - monotonic()

    @property
    def is_wanted(self) -> bool:
        """Return whether the run should be started still.

        If it was listed, or is over, another request could start it on the VM's next incarnation
        after it has completed on this one. If it is stopping, it was given up: its job has ended,
        say, or its gang has lost a member.
        """
        run = self.run
        is_there = self.row.runs.get((run.task, run.number)) is run
        return is_there and not run.listed and run.state is not RunState.STOPPING


class VmStarts:
    """Requests starts; a VM starts a run only once."""

    def __init__(self, context: VmCallContext, connections: VmConnections) -> None:
        self._context = context
        self._connections = connections
        self._slots = TimedSemaphore(MAX_STARTS, MAX_SLOT_S)

    async def start(self, action: StartRun) -> None:
        """Request a start, with retries until it is answered."""
        row = self._context.scheduler.state.vms.get(action.vm)
        run = None if row is None else row.runs.get((action.task, action.run))
        if row is None or run is None:
            # Abandoned meanwhile: its capacity and its task may have been reassigned.
            return
        request = _Request(row, run, action, _lease_end_ms(row, run, action))
        row.starts_in_flight += 1
        try:
            await self._send(request)
        finally:
            row.starts_in_flight -= 1

    async def _send(self, request: _Request) -> None:
        for _ in range(MAX_START_ATTEMPTS):
            try:
                attempt = await self._attempt(request)
            except TurnExpired:
                break
            if attempt is None:
                break
            fence, result = attempt
            if self._settles(request, fence, result):
                return
            if result in RESETS:
                await asyncio.sleep(RETRY_PAUSE_S)
        self._give_up(request)

    async def _attempt(self, request: _Request) -> tuple[int, StartResult] | None:
        """Send a start request once; return its fence and its result, ``None`` if given up."""
        context, row = self._context, request.row
        link = self._connections.link(row)
        patience = request.remaining - MIN_REMAINING_S
        async with link.turn(CallKind.START, patience) as turn, self._slots.slot():
            remaining = request.remaining
            if row.terminated or remaining < MIN_REMAINING_S or not context.has_authority():
                return None
            if not request.is_wanted:
                return None
            fence = context.fence(row)
            call = context.port.start(
                request.action,
                row.info.address,
                fence,
                request.until,
                min(START_TIMEOUT_S, remaining),
            )
            result = await link.send(turn, call)
            context.scheduler.update_time()
            if result not in NOT_CARRIED_OUT:
                context.scheduler.leases.call_ended(row)
            return fence, result

    def _settles(self, request: _Request, fence: int, result: StartResult) -> bool:
        """Handle the result of an attempt, and return whether it settles the request."""
        scheduler, action = self._context.scheduler, request.action
        if isinstance(result, Started):
            scheduler.reconcile.run_started(action.vm, action.task, action.run, result.clock_ms)
            return True
        if isinstance(result, StartRefusal):
            certain = request.certain
            scheduler.start_refused(action.vm, action.task, action.run, result, certain)
            self._context.wake()
            return True
        if result is CallError.FENCED:
            self._context.fence_refused(request.row, fence)
            return False
        if result is CallError.OTHER_INCARNATION:
            self._context.incarnation_ended(action.vm)
            return True
        self._note_failure(request, result)
        return False

    def _note_failure(self, request: _Request, error: CallError) -> None:
        scheduler = self._context.scheduler
        request.why = error.value
        if error is CallError.REFUSED:
            scheduler.vms.connection_refused(request.row)
        if error not in NOTHING_SENT:
            request.certain = False
            request.run.attempt_unanswered_at = scheduler.state.now
            scheduler.acks.start_timed_out(request.row)

    def _give_up(self, request: _Request) -> None:
        """End a request that was not answered; its run was not started if that is certain."""
        if not request.certain or request.run.listed:
            return
        scheduler, action = self._context.scheduler, request.action
        extra = {"task": action.task, "run": action.run, "vm": action.vm, "why": request.why}
        scheduler.state.run_logger.info("start not sent", extra=extra)
        scheduler.reconcile.run_not_started(action.vm, action.task, action.run)
        self._context.wake()


def _lease_end_ms(row: VmRow, run: RunRow, action: StartRun) -> int:
    """Return when a start request and the lease of its run end, on the VM's clock in ms.

    A run that its VM does not list after the settle time is assumed never to start.
    """
    now = monotonic()
    end = row.min_clock_ms(now) + _validity(row, run, action.not_after - now) * MS_PER_S
    return int(min(end, run.settle_clock_ms))


def _validity(row: VmRow, run: RunRow, remaining: float) -> float:
    """Return for how many seconds a start request is valid and its run is leased."""
    if not run.is_probe:
        return remaining
    return min(remaining, PROBE_LEASE_S * 2 ** max(0, row.probes - SHORT_PROBES))
