"""Carries out the leader's orders and keeps looking at each VM."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeAlias

from sablemount.control.background import Background, error_logger
from sablemount.control.clock import monotonic
from sablemount.control.ports import CallError, HoldCall, Started, VmPort
from sablemount.control.turns import Turns
from sablemount.jobs.actions import Heard, LookAt, OtherLife, PaceRun, StartRun, StopRun
from sablemount.jobs.scheduler import JobScheduler, StartRefusal
from sablemount.jobs.tables import RunRow, VmRow

__all__ = ["VmCalls"]

HOLD_WAIT = 0.7
"""Seconds that a look waits for an end."""
LOOKS_A_SECOND = 1_500
"""Looks at idle VMs that all together may take, a third of a processor core."""
MOST_WAIT = 1.7
"""Seconds that a look at an idle VM waits at most: with its slack it is over before the VM counts
as silent."""
SHORT_WAIT = 0.1
"""The same while a start has no answer yet."""
HOLD_SLACK = 0.35
"""Seconds beyond its wait that a look may take, before its VM counts as not answering."""
LINKED_AT_ONCE = 64
"""Looks at once that open a connection: each takes processor time before it is sent and as its
answer comes, and what comes of all else waits behind them."""
LINK_TURN = 0.02
"""Seconds after which a look that opens a connection no longer keeps others back: a VM that answers
takes a few ms, and many may be silent."""
STARTED_AT_ONCE = 64
"""Starts under way at once: each opens a connection too, for a look waits over the one there is."""
FIRST_HOLD_TIMEOUT = 0.5
"""Seconds that the first look at a VM may take; it does not wait for an end."""
ACK_TIMEOUT = 0.2
"""Seconds that a look which acknowledges ends may take."""
SILENT_HOLD_TIMEOUT = 0.8
"""Seconds that a look at a silent VM may take."""
RETRY_PAUSE = 0.1
"""Seconds after a failed look until the next one; half as long again after each further one."""
MAX_PAUSE = 0.6
"""Seconds between looks at a VM that does not answer at most."""
NO_AUTHORITY_PAUSE = 0.1
"""Seconds between looks at whether orders may be given again."""
STOP_EXTENDING = 2.0
"""Seconds of silence after which leases are not extended, so that what runs there ends in time."""
UNNOTED_PAUSE = 0.3
"""Seconds between looks while listed ends can't be noted."""
UNSETTLED_PAUSE = 0.03
"""Seconds between looks while orders keep listed ends from being acknowledged: such a look does not
wait, and an order takes less."""
UNANSWERED_PAUSE = 0.1
"""The same while one that was given up may come late: this lasts for long."""
START_TIMEOUT = 0.3
"""Seconds that a VM has to answer a start: 100 times a usual answer."""
START_TRIES = 3
"""How often a start without an answer is ordered within its validity of 1.5 s."""
PROOF_LEASE = 0.04
"""Seconds of lease of a run that is to show whether its VM lists ends: enough for its order to
arrive, too short for work to end. It grows with each try, as far as an order may take."""
CALL_MARGIN = 0.05
"""Seconds of a start's validity below which it is not worth another try."""
NOTHING_SENT = (CallError.NOT_SENT, CallError.REFUSED)
EPOCH_SHIFT = 32
"""Bits of a fence that rise under one leader: with one more for each life of a VM, and each call
that may come late, they last for years."""
ORDER_TIMEOUT = 0.5
"""Seconds that a VM has to answer a stop, which takes 0.4 s at most, or a pace."""
MS = 1000.0

_logger = logging.getLogger("sablemount.control.vms")

OrderCall: TypeAlias = Callable[[str, int, float], Awaitable[CallError | None]]
"""Sends an order to an address, under a fence, within some seconds."""


class VmCalls:
    """Talks to the VMs for one leadership.

    ``authority`` tells whether orders may be given now, ``fenced`` is called once a VM has
    refused the fence, ``kick`` after anything that may let the scheduler decide anew.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        port: VmPort,
        epoch: int,
        authority: Callable[[], bool],
        fenced: Callable[[str], None],
        kick: Callable[[], None],
        noted: Callable[[], "asyncio.Future[None]"],
    ) -> None:
        self._scheduler = scheduler
        self._port = port
        self._epoch = epoch
        self._authority = authority
        self._fenced = fenced
        self._kick = kick
        self._noted = noted
        self._followed: dict[str, asyncio.Task[None]] = {}
        self._links = Turns(LINKED_AT_ONCE, LINK_TURN)
        self._starts = Turns(STARTED_AT_ONCE, LINK_TURN)
        self._background = Background(error_logger(_logger))

    # -- Looks -------------------------------------------------------------------------------

    def follow_new(self) -> None:
        """Begin to look at the VMs that are not looked at yet."""
        for name, row in self._scheduler.state.vms.items():
            if name not in self._followed:
                self._followed[name] = self._background.spawn(self._follow(row))

    async def _follow(self, row: VmRow) -> None:
        pause = RETRY_PAUSE
        linked = False
        try:
            while not row.gone and self._scheduler.state.vms.get(row.name) is row:
                if not self._authority():
                    await asyncio.sleep(NO_AUTHORITY_PAUSE)
                    continue
                linked = await self._look(row) if linked else await self._link(row)
                if linked:
                    pause = RETRY_PAUSE
                    continue
                await asyncio.sleep(pause)
                pause = min(MAX_PAUSE, pause * 1.5)
        finally:
            self._followed.pop(row.name, None)

    async def _link(self, row: VmRow) -> bool:
        """Look over what may be a new connection, once it is its turn."""
        async with self._links.turn():
            # Others may have led for long while it was waited for.
            return self._authority() and await self._look(row)

    def look_at_once(self, action: LookAt) -> None:
        """Look at a VM without waiting for an end there."""
        row = self._scheduler.state.vms.get(action.vm)
        if row is not None and self._authority():
            self._background.spawn(self._look_at_once(row))

    async def _look_at_once(self, row: VmRow) -> None:
        await self._look(row, at_once=True)

    async def _look(self, row: VmRow, at_once: bool = False) -> bool:
        """Look once; return whether the VM answered."""
        scheduler = self._scheduler
        scheduler.now()
        known = row.first_heard_at > 0
        silent = known and scheduler.vms.silent_for(row) > STOP_EXTENDING
        leased = known and not silent and not row.unproven
        until = scheduler.vms.lease_until(row) if leased else 0
        # One look at a time carries a number, so that its answer is for it.
        acked = 0 if at_once else scheduler.acks.due(row)
        wait = self._wait(row, acked) if known and not silent and not at_once else 0.0
        if acked:
            # Should it come to a next life, that is not to keep what shows whether it did.
            until = 0
        fence = self._fence(row)
        call = HoldCall(row.name, row.info.address, fence, until, acked, wait)
        timeout = self._timeout(known, silent, wait)
        if acked:
            # Nothing is started there meanwhile, so it is not waited for as long as for others.
            timeout = ACK_TIMEOUT
            scheduler.acks.sent(row)
        sent_at = monotonic()
        result = await self._port.hold(call, timeout)
        scheduler.now()
        if isinstance(result, Heard):
            if acked:
                scheduler.acks.answered(row, acked)
            await self._heard(row, result)
            return True
        if acked:
            scheduler.acks.unanswered(row, result not in NOTHING_SENT)
        if isinstance(result, OtherLife):
            scheduler.other_life(row, result, acked)
            self._kick()
            return False
        if result is CallError.FENCED:
            self._refused_fence(row, fence)
        elif result is CallError.OTHER_LIFE:
            scheduler.vms.died(row.name)
            self._kick()
        elif result is CallError.REFUSED:
            scheduler.vms.refused(row)
            scheduler.vms.unanswered(row)
        else:
            scheduler.vms.unanswered(row)
        _logger.debug("no look", extra={"vm": row.name, "why": result.value})
        # A look that had to wait need not be followed by a pause.
        return (acked > 0 or monotonic() - sent_at > HOLD_WAIT) and not silent

    def _fence(self, row: VmRow) -> int:
        return (self._epoch << EPOCH_SHIFT) + row.fence

    def _refused_fence(self, row: VmRow, fence: int) -> None:
        """Take that a fence was refused: by a later leader, unless a later call went higher."""
        if not row.gone and fence == self._fence(row):
            self._fenced(row.name)

    def _wait(self, row: VmRow, acked: int) -> float:
        if acked or row.seen_end > row.acked_end:
            return 0.0
        if row.runs:
            return SHORT_WAIT if self._scheduler.uncertain_on(row.name) else HOLD_WAIT
        return min(MOST_WAIT, max(HOLD_WAIT, len(self._scheduler.state.vms) / LOOKS_A_SECOND))

    @staticmethod
    def _timeout(known: bool, silent: bool, wait: float) -> float:
        if not known:
            return FIRST_HOLD_TIMEOUT
        return SILENT_HOLD_TIMEOUT if silent else wait + HOLD_SLACK

    async def _heard(self, row: VmRow, heard: Heard) -> None:
        self._scheduler.heard(heard)
        self._kick()
        if row.seen_end <= row.acked_end:
            if self._scheduler.acks.pending(row) and not self._scheduler.acks.due(row):
                # An order is on its way there; the next word shows what became of it.
                late = self._scheduler.acks.may_come_late(row)
                await asyncio.sleep(UNANSWERED_PAUSE if late else UNSETTLED_PAUSE)
            return
        # The next look acknowledges these ends, so it waits until they are in the store.
        noted = self._noted()
        await asyncio.wait([noted], timeout=UNNOTED_PAUSE)

    # -- Orders ------------------------------------------------------------------------------

    def start(self, action: StartRun) -> None:
        """Give the order to start a run."""
        self._background.spawn(self._start(action))

    def stop(self, action: StopRun) -> None:
        """Give the order to stop a run."""
        self._background.spawn(self._stop(action))

    async def _start(self, action: StartRun) -> None:
        """Order a start, and again while it has no answer: the same run is started once only."""
        row = self._scheduler.state.vms.get(action.vm)
        run = None if row is None else row.runs.get((action.task, action.run))
        if row is None or run is None:
            # Given up meanwhile: its room and its task may have been given to others.
            return
        # After its settle time a run that its VM does not list is taken never to come.
        until = int(
            min(
                row.clock_after(monotonic()) + self._length(action, row, run) * MS, run.settle_clock
            )
        )
        row.ordering += 1
        try:
            await self._try_start(row, run, action, until)
        finally:
            row.ordering -= 1

    async def _try_start(self, row: VmRow, run: RunRow, action: StartRun, until: int) -> None:
        certain = True
        for _ in range(START_TRIES):
            async with self._starts.turn():
                left = self._left(action)
                if row.gone or left < CALL_MARGIN or not self._authority():
                    break
                if run.listed:
                    # One order more could start it at the next life, once it has ended here.
                    return
                timeout = min(START_TIMEOUT, left)
                fence = self._fence(row)
                result = await self._port.start(action, row.info.address, fence, until, timeout)
            self._scheduler.now()
            if isinstance(result, Started):
                self._scheduler.reconcile.started(
                    action.vm, action.task, action.run, result.clock_ms
                )
                return
            if isinstance(result, StartRefusal):
                self._refused(action, result, certain)
                return
            if result is CallError.FENCED:
                self._refused_fence(row, fence)
                continue
            if result is CallError.OTHER_LIFE:
                self._scheduler.vms.died(action.vm)
                self._kick()
                return
            if result is CallError.REFUSED:
                self._scheduler.vms.refused(row)
            if result not in NOTHING_SENT:
                certain = False
                self._scheduler.acks.unsettled(row)
        if certain:
            self._scheduler.reconcile.not_started(action.vm, action.task, action.run)
            self._kick()

    def _refused(self, action: StartRun, why: StartRefusal, certain: bool) -> None:
        self._scheduler.start_refused(action.vm, action.task, action.run, why, certain)
        self._kick()

    def _length(self, action: StartRun, row: VmRow, run: RunRow) -> float:
        """Return for how many seconds a start is valid, and what it starts leased."""
        left = self._left(action)
        return min(left, PROOF_LEASE * 2 ** (row.proofs - 1)) if run.proof else left

    @staticmethod
    def _left(action: StartRun) -> float:
        return action.not_after - monotonic()

    async def _stop(self, action: StopRun) -> None:
        await self._order(action.vm, partial(self._port.stop, action))

    def pace(self, action: PaceRun) -> None:
        """Give the order to pace a run."""
        self._background.spawn(self._pace(action))

    async def _pace(self, action: PaceRun) -> None:
        if await self._order(action.vm, partial(self._port.pace, action)) is not None:
            self._scheduler.pacing.failed(action.vm, action.task, action.run)

    async def _order(self, vm: str, send: OrderCall) -> CallError | None:
        """Give an order if that may be done now; return what went wrong at the VM."""
        row = self._scheduler.state.vms.get(vm)
        if row is None or not self._authority():
            return None
        fence = self._fence(row)
        result = await send(row.info.address, fence, ORDER_TIMEOUT)
        if result is CallError.FENCED:
            self._refused_fence(row, fence)
        return result

    def close(self) -> None:
        """Stop looking and ordering."""
        self._background.close()
