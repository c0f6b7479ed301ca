"""Sends the leader's requests to the VMs and polls each VM continuously."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from typing import TypeAlias

import msgspec

from sablemount.control.background import Background, error_logger
from sablemount.control.clock import monotonic
from sablemount.control.figures import Metrics
from sablemount.control.ports import CallError, HoldCall, HoldResult, Started, StartResult, VmPort
from sablemount.control.turns import TimedSemaphore
from sablemount.control.vm_room import RESERVED_CONNECTIONS, Room
from sablemount.control.vm_turns import CallKind, Turn, TurnExpired, VmTurns, connection_limit
from sablemount.jobs.actions import (
    LaterIncarnation,
    PollVm,
    StartRun,
    StopRun,
    ThrottleRun,
    VmReport,
)
from sablemount.jobs.scheduler import JobScheduler, StartRefusal
from sablemount.jobs.tables import RunRow, RunState, VmRow

__all__ = ["VmCalls"]

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
MAX_NEW_CONNECTIONS = 64
"""Maximum number of concurrent polls that open a connection: each takes processor time when it is
sent and when its answer arrives, which delays all other work of the process."""
MAX_SLOT_S = 0.02
"""Time after which a poll or start request that opens a connection no longer delays others: a VM
that answers takes a few ms, and many VMs may be silent."""
MAX_STARTS = 64
"""Maximum number of concurrent start requests: each may open a connection as well."""
MAX_ROOM_CHECKS = 4
"""Maximum number of VMs that are checked for the connections that they have left at once."""
SCARCE_POLL_PAUSE_S = 0.25
"""Pause between polls of a VM that may have few connections left: each opens one."""
MAX_REOPENING_POLLS_PER_S = 500
"""Maximum rate of such polls of all VMs together; in a larger cell the connections stay open."""
FIRST_HOLD_TIMEOUT_S = 0.5
"""Time-out of the first poll of a VM, which does not wait for a completion."""
ACK_TIMEOUT_S = 0.2
"""Time-out of a poll that acknowledges completions."""
SILENT_HOLD_TIMEOUT_S = 0.8
"""Time-out of a poll of a silent VM."""
RETRY_PAUSE_S = 0.1
"""Pause after a failed poll; it grows by half with each further failure."""
MAX_RETRY_PAUSE_S = 0.6
"""Longest pause between polls of a VM that does not answer."""
NO_AUTHORITY_PAUSE_S = 0.1
"""Interval of checking whether the leader has the authority to send requests again."""
STOP_EXTENDING_AFTER_S = 2.0
"""Silence after which a VM's leases are no longer extended, so that its runs end in time."""
UNRECORDED_PAUSE_S = 0.3
"""Pause between polls while listed completions cannot be recorded in the store."""
UNSETTLED_PAUSE_S = 0.03
"""Pause between polls while requests in flight prevent the acknowledgement of listed completions:
such a poll does not wait, and a request takes less time than this."""
UNANSWERED_PAUSE_S = 0.1
"""Same while a timed-out request may still arrive, which can last for a long time."""
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
NOTHING_SENT = (CallError.NOT_SENT, CallError.REFUSED, CallError.RESET_UNSENT)
NOT_CARRIED_OUT = (*NOTHING_SENT, CallError.FENCED, CallError.OTHER_INCARNATION)
NO_CALL = "no call was made"
"""Why a start request was not sent, unless a call failed."""
RESETS = (CallError.RESET_ON_OPEN, CallError.RESET_UNSENT)
EPOCH_SHIFT = 32
"""Number of low bits of a fence. They increase under one leader, by one for each incarnation of a
VM and for each request that may arrive late, so that they last for years."""
REQUEST_TIMEOUT_S = 0.5
"""Time-out of a throttle request, or of a stop request, which takes 0.4 s at most."""
MS_PER_S = 1000.0

_logger = logging.getLogger("sablemount.control.vms")


class _Poll(msgspec.Struct, frozen=True):
    """A poll that was sent, what it asked for, and its result.

    ``acked`` is the number that it acknowledged, or 0. ``silent`` is whether the VM had been silent
    for long, and ``seconds`` how long the poll took.
    """

    fence: int
    acked: int
    lease_extended: bool
    silent: bool
    seconds: float
    result: HoldResult


RequestCall: TypeAlias = Callable[[str, int, float], Awaitable[CallError | None]]
"""Sends a request to an address under a fence, with a time-out in seconds."""


class VmCalls:
    """Communicates with the VMs for the duration of one leadership.

    ``has_authority`` returns whether requests may be sent now. ``on_fenced`` is called with the
    name of a VM that has refused the fence, and ``wake`` after any event that may allow new
    decisions of the scheduler. ``when_recorded`` returns a future that is done once all pending
    records are stored. Calls that have to wait for a connection are counted in ``metrics``.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        port: VmPort,
        epoch: int,
        has_authority: Callable[[], bool],
        on_fenced: Callable[[str], None],
        wake: Callable[[], None],
        when_recorded: Callable[[], "asyncio.Future[None]"],
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or Metrics()
        self._turns = VmTurns(self._count_wait, self._on_unused)
        self._rooms: dict[str, Room] = {}
        """Estimates of the connections that VMs have left, by address."""
        self._room_checks = asyncio.Semaphore(MAX_ROOM_CHECKS)
        self._scarcity_logged = False
        self._scheduler = scheduler
        self._port = port
        self._epoch = epoch
        self._has_authority = has_authority
        self._on_fenced = on_fenced
        self._wake = wake
        self._when_recorded = when_recorded
        self._polling: dict[str, asyncio.Task[None]] = {}
        self._link_slots = TimedSemaphore(MAX_NEW_CONNECTIONS, MAX_SLOT_S)
        self._start_slots = TimedSemaphore(MAX_STARTS, MAX_SLOT_S)
        self._background = Background(error_logger(_logger))

    # -- Polls -------------------------------------------------------------------------------

    def poll_new_vms(self) -> None:
        """Start polling the VMs that are not polled yet."""
        for name, row in self._scheduler.state.vms.items():
            if name not in self._polling:
                self._polling[name] = self._background.spawn(self._poll_continuously(row))

    async def _poll_continuously(self, row: VmRow) -> None:
        pause = RETRY_PAUSE_S
        connected = False
        try:
            while not row.terminated and self._scheduler.state.vms.get(row.name) is row:
                if not self._has_authority():
                    await asyncio.sleep(NO_AUTHORITY_PAUSE_S)
                    continue
                connected = (
                    await self._poll(row) if connected else await self._poll_new_connection(row)
                )
                if connected:
                    pause = RETRY_PAUSE_S
                    await self._follow_room(row)
                    continue
                await asyncio.sleep(pause)
                pause = min(MAX_RETRY_PAUSE_S, pause * 1.5)
        finally:
            self._polling.pop(row.name, None)

    async def _poll_new_connection(self, row: VmRow) -> bool:
        """Poll over a possibly new connection, once a slot is free."""
        async with self._link_slots.slot():
            return await self._poll(row)

    def poll_now(self, action: PollVm) -> None:
        """Poll a VM now, without waiting for a completion."""
        row = self._scheduler.state.vms.get(action.vm)
        if row is not None and self._has_authority():
            self._background.spawn(self._poll_now(row))

    async def _poll_now(self, row: VmRow) -> None:
        await self._poll(row, at_once=True)

    async def _poll(self, row: VmRow, at_once: bool = False) -> bool:
        """Poll once, unless another leader may have taken over.

        Return whether to poll again over the connection without a pause.
        """
        async with self._turn(row, CallKind.POLL) as turn:
            poll = await self._send_poll(row, at_once, turn)
        if poll is None:
            return False
        if isinstance(poll.result, VmReport):
            await self._handle_report(row, poll.result)
            return True
        self._handle_failed_poll(row, poll)
        if isinstance(poll.result, LaterIncarnation):
            return False
        # No pause is needed after a poll that acknowledged completions or took long.
        return (poll.acked > 0 or poll.seconds > HOLD_WAIT_S) and not poll.silent

    async def _send_poll(self, row: VmRow, at_once: bool, turn: Turn) -> _Poll | None:
        """Send a poll and return it with its result; ``None`` if it may not be sent any more."""
        scheduler = self._scheduler
        scheduler.update_time()
        # Checked after the clock is read: if the process stands still in between, the lease counts
        # from before, and a later leader waits for it.
        if row.terminated or not self._has_authority():
            return None
        known = row.first_report_at > 0
        silent = known and scheduler.vms.silent_for(row) > STOP_EXTENDING_AFTER_S
        # Probes rely on leases that are too short for any work, under later leaders too.
        leased = known and not silent and not row.completions_unreliable
        previous_lease = row.lease
        until = scheduler.leases.extend(row) if leased else 0
        lease = row.lease
        # Only one poll at a time acknowledges completions, so that its answer can be matched.
        acked = 0 if at_once else scheduler.acks.due_number(row)
        wait = self._wait(row, acked) if known and not silent and not at_once else 0.0
        if acked:
            # If the poll reaches the VM's next incarnation, it must not extend the leases of the
            # runs by which that is detected.
            until = 0
        fence = self._fence(row)
        call = HoldCall(row.name, row.info.address, fence, until, acked, wait)
        timeout = self._timeout(known, silent, wait)
        if acked:
            # No run is started on the VM meanwhile, so this poll gets a shorter time-out.
            timeout = ACK_TIMEOUT_S
            scheduler.acks.ack_sent(row)
        sent_at = monotonic()
        result = await self._hold(row, call, timeout)
        scheduler.update_time()
        self._check_connection(row, turn, result)
        if result in NOTHING_SENT:
            scheduler.leases.not_extended(row, previous_lease, lease, result.value)
        if acked and isinstance(result, VmReport):
            scheduler.acks.ack_answered(row, acked)
        elif acked:
            scheduler.acks.ack_unanswered(row, result not in NOTHING_SENT)
        return _Poll(fence, acked, until > 0, silent, monotonic() - sent_at, result)

    async def _hold(self, row: VmRow, call: HoldCall, timeout: float) -> HoldResult:
        """Send a poll; until its end, it may extend the lease of the VM's next incarnation."""
        if not call.until_ms:
            return await self._port.hold(call, timeout)
        scheduler = self._scheduler
        scheduler.leases.poll_sent(row)
        may_have_extended = True
        try:
            result = await self._port.hold(call, timeout)
            may_have_extended = not (isinstance(result, VmReport) or result in NOT_CARRIED_OUT)
        finally:
            scheduler.update_time()
            scheduler.vms.poll_ended(row, may_have_extended)
        return result

    def _handle_failed_poll(self, row: VmRow, poll: _Poll) -> None:
        scheduler, result = self._scheduler, poll.result
        if isinstance(result, LaterIncarnation):
            scheduler.incarnation_replaced(row, result, poll.acked, poll.lease_extended)
            self._wake()
            return
        assert isinstance(result, CallError)
        if result is CallError.FENCED:
            self._handle_refused_fence(row, poll.fence)
        elif result is CallError.OTHER_INCARNATION:
            scheduler.vms.incarnation_ended(row.name)
            self._wake()
        elif result is CallError.REFUSED:
            scheduler.vms.connection_refused(row)
        _logger.debug("poll failed", extra={"vm": row.name, "why": result.value})

    def _fence(self, row: VmRow) -> int:
        return (self._epoch << EPOCH_SHIFT) + row.fence

    def _handle_refused_fence(self, row: VmRow, fence: int) -> None:
        """Handle a refused fence: a later leader has sent a higher one, unless ours has risen."""
        if not row.terminated and fence == self._fence(row):
            self._on_fenced(row.name)

    def _wait(self, row: VmRow, acked: int) -> float:
        if acked or row.last_seen_completion > row.last_recorded_completion:
            return 0.0
        if self._turns.is_single(row.info.address, self._connection_limit(row)):
            return self._wait_on_single_connection(row)
        if row.runs:
            return SHORT_WAIT_S if self._scheduler.has_uncertain_start(row.name) else HOLD_WAIT_S
        return min(
            MAX_HOLD_WAIT_S, max(HOLD_WAIT_S, len(self._scheduler.state.vms) / IDLE_POLLS_PER_S)
        )

    def _wait_on_single_connection(self, row: VmRow) -> float:
        """Return how long a poll may occupy the only connection to a VM."""
        reopens = self._is_scarce(row) and self._reopens_connections()
        if reopens or self._turns.has_waiting(row.info.address):
            return 0.0
        wait = max(SHORT_WAIT_S, len(self._scheduler.state.vms) / IDLE_POLLS_PER_S)
        return min(MAX_HOLD_WAIT_S, wait)

    @staticmethod
    def _timeout(known: bool, silent: bool, wait: float) -> float:
        if not known:
            return FIRST_HOLD_TIMEOUT_S
        return SILENT_HOLD_TIMEOUT_S if silent else wait + HOLD_SLACK_S

    async def _handle_report(self, row: VmRow, report: VmReport) -> None:
        self._scheduler.vm_reported(report)
        self._wake()
        if row.last_seen_completion <= row.last_recorded_completion:
            if self._scheduler.acks.has_unacknowledged(row) and not self._scheduler.acks.due_number(
                row
            ):
                # A request to the VM is in flight; the next report shows its outcome.
                late = self._scheduler.acks.start_may_arrive_late(row)
                await asyncio.sleep(UNANSWERED_PAUSE_S if late else UNSETTLED_PAUSE_S)
            return
        # The next poll acknowledges these completions, so it waits until they are stored.
        recorded = self._when_recorded()
        await asyncio.wait([recorded], timeout=UNRECORDED_PAUSE_S)

    # -- Connections -------------------------------------------------------------------------

    def _turn(self, row: VmRow, kind: CallKind, patience: float = inf) -> Turn:
        """Return a context manager for a call, which waits for a connection to the VM."""
        limit = self._connection_limit(row)
        return self._turns.turn(row.info.address, limit, kind, patience)

    def _accepted_connections(self, row: VmRow) -> int:
        """Return how many connections a VM takes from all; 0 if unknown."""
        return self._scheduler.state.configuration.accepted_connections.get(row.info.pool, 0)

    def _connection_limit(self, row: VmRow) -> int:
        return 1 if self._is_scarce(row) else connection_limit(self._accepted_connections(row))

    def _is_scarce(self, row: VmRow) -> bool:
        """Return whether a VM may have few connections left."""
        room = self._room(row)
        return room is not None and room.is_scarce

    def _reopens_connections(self) -> bool:
        """Return whether VMs may be called over a new connection each time."""
        polls_per_s = len(self._scheduler.state.vms) / SCARCE_POLL_PAUSE_S
        return polls_per_s <= MAX_REOPENING_POLLS_PER_S

    async def _follow_room(self, row: VmRow) -> None:
        """Check whether a VM has connections left, if due, and pause if it may have few."""
        room = self._room(row)
        if room is None:
            return
        if room.is_check_due(monotonic()):
            room.check_begins(monotonic())
            self._background.spawn(self._check_room(row, room))
        acknowledges = self._scheduler.acks.has_unacknowledged(row)
        if room.is_scarce and self._reopens_connections() and not acknowledges:
            await asyncio.sleep(SCARCE_POLL_PAUSE_S)

    def _room(self, row: VmRow) -> Room | None:
        """Return the estimate for a VM; ``None`` if it is unknown how many connections it takes.

        Each earlier leader may have left as many as this one may open.
        """
        accepted = self._accepted_connections(row)
        if not accepted:
            return None
        room = self._rooms.get(row.info.address)
        if room is None:
            room = Room(accepted - self._epoch * connection_limit(accepted), monotonic())
            self._rooms[row.info.address] = room
            self._log_scarcity(row, room)
        return room

    def _log_scarcity(self, row: VmRow, room: Room) -> None:
        """Log once that earlier leaders may have left few connections."""
        if room.is_scarce and not self._scarcity_logged:
            self._scarcity_logged = True
            accepted = self._accepted_connections(row)
            extra = {"epoch": self._epoch, "vm": row.name, "accepted": accepted}
            _logger.info("VMs may have few connections left", extra=extra)

    async def _check_room(self, row: VmRow, room: Room) -> None:
        async with self._room_checks, self._turn(row, CallKind.POLL):
            if not self._has_authority():
                return
            takes = await self._port.takes_connections(row.info.address, RESERVED_CONNECTIONS)
        if takes is None or not room.checked(takes):
            return
        self._metrics.count("vm_room", "enough" if takes else "scarce")
        text = "VM has connections left again" if takes else "VM has few connections left"
        _logger.warning(text, extra={"vm": row.name, "accepted": self._accepted_connections(row)})

    def _on_unused(self, address: str) -> None:
        """Close the connection to a VM that may have few left, unless another call follows."""
        room = self._rooms.get(address)
        if room is not None and room.is_scarce and self._reopens_connections():
            self._port.close_connections(address)

    def _count_wait(self, kind: CallKind, seconds: float) -> None:
        self._metrics.count("vm_call_waited", kind.name.lower())
        self._metrics.observe("vm_call_wait", seconds)

    def _check_connection(self, row: VmRow, turn: Turn, result: object) -> None:
        """Note whether a VM takes or resets new connections, as the result of a call shows.

        It is up in both cases. Other errors show nothing of this.
        """
        if result in RESETS:
            resets = turn.reset_on_open()
            self._metrics.count("vm_connection", "reset_on_open")
            if resets.count & (resets.count - 1) == 0:
                extra = {"vm": row.name, "open": resets.open, "resets": resets.count}
                _logger.warning("VM resets new connections", extra=extra)
        elif result is CallError.NO_ANSWER:
            room = self._rooms.get(row.info.address)
            if room is not None:
                room.connection_abandoned()
        elif not isinstance(result, CallError) and turn.answered():
            _logger.info("VM takes new connections again", extra={"vm": row.name})

    # -- Requests ----------------------------------------------------------------------------

    def start(self, action: StartRun) -> None:
        """Send a request to start a run, in the background."""
        self._background.spawn(self._start(action))

    def stop(self, action: StopRun) -> None:
        """Send a request to stop a run, in the background."""
        self._background.spawn(self._stop(action))

    async def _start(self, action: StartRun) -> None:
        """Request a start, with retries until it is answered; the VM starts a run only once."""
        row = self._scheduler.state.vms.get(action.vm)
        run = None if row is None else row.runs.get((action.task, action.run))
        if row is None or run is None:
            # Abandoned meanwhile: its capacity and its task may have been reassigned.
            return
        # A run that its VM does not list after the settle time is assumed never to start.
        until = int(
            min(
                row.min_clock_ms(monotonic()) + self._validity(action, row, run) * MS_PER_S,
                run.settle_clock_ms,
            )
        )
        row.starts_in_flight += 1
        try:
            await self._send_start(row, run, action, until)
        finally:
            row.starts_in_flight -= 1

    async def _send_start(self, row: VmRow, run: RunRow, action: StartRun, until: int) -> None:
        certain = True
        why = NO_CALL
        for _ in range(MAX_START_ATTEMPTS):
            try:
                attempt = await self._attempt_start(row, run, action, until)
            except TurnExpired:
                break
            if attempt is None:
                break
            fence, result = attempt
            if isinstance(result, Started):
                self._scheduler.reconcile.run_started(
                    action.vm, action.task, action.run, result.clock_ms
                )
                return
            if isinstance(result, StartRefusal):
                self._handle_refusal(action, result, certain)
                return
            if result is CallError.FENCED:
                self._handle_refused_fence(row, fence)
                continue
            if result is CallError.OTHER_INCARNATION:
                self._scheduler.vms.incarnation_ended(action.vm)
                self._wake()
                return
            why = result.value
            if result is CallError.REFUSED:
                self._scheduler.vms.connection_refused(row)
            if result not in NOTHING_SENT:
                certain = False
                self._scheduler.acks.start_timed_out(row)
            if result in RESETS:
                await asyncio.sleep(RETRY_PAUSE_S)
        if certain and not run.listed:
            extra = {"task": action.task, "run": action.run, "vm": action.vm, "why": why}
            self._scheduler.state.run_logger.info("start not sent", extra=extra)
            self._scheduler.reconcile.run_not_started(action.vm, action.task, action.run)
            self._wake()

    async def _attempt_start(
        self, row: VmRow, run: RunRow, action: StartRun, until: int
    ) -> tuple[int, StartResult] | None:
        """Send a start request once; return its fence and its result, ``None`` if given up."""
        patience = self._remaining(action) - MIN_REMAINING_S
        async with (
            self._turn(row, CallKind.START, patience) as turn,
            self._start_slots.slot(),
        ):
            remaining = self._remaining(action)
            if row.terminated or remaining < MIN_REMAINING_S or not self._has_authority():
                return None
            if not _still_to_start(row, run):
                return None
            timeout = min(START_TIMEOUT_S, remaining)
            fence = self._fence(row)
            result = await self._port.start(action, row.info.address, fence, until, timeout)
            self._scheduler.update_time()
            self._check_connection(row, turn, result)
            return fence, result

    def _handle_refusal(self, action: StartRun, why: StartRefusal, certain: bool) -> None:
        self._scheduler.start_refused(action.vm, action.task, action.run, why, certain)
        self._wake()

    def _validity(self, action: StartRun, row: VmRow, run: RunRow) -> float:
        """Return for how many seconds a start request is valid and its run is leased."""
        remaining = self._remaining(action)
        if not run.is_probe:
            return remaining
        return min(remaining, PROBE_LEASE_S * 2 ** max(0, row.probes - SHORT_PROBES))

    @staticmethod
    def _remaining(action: StartRun) -> float:
        return action.not_after - monotonic()

    async def _stop(self, action: StopRun) -> None:
        await self._request(action.vm, CallKind.STOP, partial(self._port.stop, action))

    def throttle(self, action: ThrottleRun) -> None:
        """Send a request to throttle a run, in the background."""
        self._background.spawn(self._throttle(action))

    async def _throttle(self, action: ThrottleRun) -> None:
        send = partial(self._port.pace, action)
        if await self._request(action.vm, CallKind.THROTTLE, send) is not None:
            self._scheduler.throttling.throttle_failed(action.vm, action.task, action.run)

    async def _request(self, vm: str, kind: CallKind, send: RequestCall) -> CallError | None:
        """Send a request if the leader has the authority; return the error of the call, if any."""
        row = self._scheduler.state.vms.get(vm)
        if row is None:
            return None
        async with self._turn(row, kind) as turn:
            if not self._has_authority():
                return None
            fence = self._fence(row)
            result = await send(row.info.address, fence, REQUEST_TIMEOUT_S)
            self._check_connection(row, turn, result)
        if result is CallError.FENCED:
            self._handle_refused_fence(row, fence)
        return result

    def close(self) -> None:
        """Stop polling and cancel the requests in flight."""
        self._background.close()


def _still_to_start(row: VmRow, run: RunRow) -> bool:
    """Return whether a start request for a run may be sent to a VM.

    If the run was listed, or is over, another request could start it on the VM's next incarnation
    after it has completed on this one. If it is stopping, it was given up: its job has ended, say,
    or its gang has lost a member.
    """
    is_there = row.runs.get((run.task, run.number)) is run
    return is_there and not run.listed and run.state is not RunState.STOPPING
