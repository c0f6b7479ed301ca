"""Requests to the advice service, which decides on which VMs a step may run.

Each machine of the cell provides one call slot, which carries one call at a time. A call takes from
a few milliseconds to nearly a second, so slow calls leave some slots to quick ones. The time of a
call grows with the number of VMs that it names, so a request about many VMs is divided over several
free slots.
"""

import math
from dataclasses import dataclass

from sablemount.jobs.actions import AskAdvice
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.tables import AdviceRow, StepRow, Ticket
from sablemount.jobs.times import NEVER
from sablemount.jobs.vm_row import VmRow

__all__ = ["Advice"]

MS_PER_S = 1000.0
SLOW_CALL_S = 0.3
"""Calls that are expected to take longer than this leave some slots to quick calls."""
QUICK_SLOT_DIVISOR = 3
"""One slot in this many is reserved for quick calls."""
OVERDUE_AFTER_S = 1.0
"""Time after which a request that has found no free slot is overdue. Together with the call and the
start that follow, it stays below the 3 s for which a job may have nothing running while there is
free capacity for it."""
OVERDUE_SLOT_DIVISOR = 4
"""One slot in this many serves overdue requests first. Where VMs restart faster than all waiting
steps can ask about them, urgent steps would otherwise occupy every slot for as long as the restarts
continue."""
MAX_VMS_PER_CALL = 100
"""Maximum number of VMs named in one call, as documented by the platform."""
CONGESTED_FOR_S = 0.1
"""Time for which slots count as congested after a request that found none: the time of a few quick
calls."""
MAX_DEMAND = 3.0
"""Maximum demand for a VM's free capacity by concurrent quick calls, as a multiple of that
capacity. It is above 1 because many answers are negative, and bounded because otherwise all waiting
steps would ask about each new VM, which the first of them fill."""
MIN_DEMAND = 1e-6
"""Demand below this counts as zero: it is a rounding error of adding and subtracting shares."""
SPLIT_SHARE = 0.4
"""A call is divided where naming its VMs takes more than this share of the time of the decision
itself. About 100 VMs are answered in 1.2 s in one call and in 0.7 s in four; smaller parts occupy
more slots and gain little."""
MIN_SPLIT_CALL_S = 0.15
"""Calls that are expected to be shorter than this are not divided, since each call costs processor
time too."""
MIN_VMS_REQUESTED = 30
"""Minimum number of VMs in a step's first request, enough for the most urgent steps to find free
capacity on some of them."""
PLACES_PER_TASK = 2.0
"""Places that the first request is expected to find, for each waiting task."""
INITIAL_GOOD_SHARE = 0.5
"""Assumed share of VMs that may run a step of a queue, until an answer for the queue has
arrived."""
GOOD_SMOOTHING = 0.1
"""Weight of the latest answer in the moving average of a queue's share of permitted VMs."""
TICKET_MARGIN_S = 0.15
"""Time before its expiry from which a ticket is no longer used."""
CALL_SLACK_S = 1.0
"""Time beyond twice its expected duration after which a call is abandoned."""
FAILED_SLOT_PAUSE_S = 0.5
"""Time for which a slot is not used after a failed call, since its machine may be cut off."""
RETRY_AFTER_S = 0.1
"""Delay before a step's next call after a failed one, multiplied by its number of failures."""
RENEW_INTERVAL_S = 0.1
"""Interval between checks for tickets to renew."""
SLOW_RENEWAL_S = 0.1
"""Minimum expected duration of a call for its tickets to be renewed ahead of need: capacity that
stays idle during a shorter call is no noticeable loss."""
MIN_REFUSED_PAUSE_S = 0.1
MAX_REFUSED_PAUSE_S = 0.8
"""Bounds of the pause of a step whose starts are refused for tickets that its terms do not require;
it is doubled for each refusal after a pause. The longest is far below the 3 s for which a job may
have nothing running while there is capacity for it."""
MAX_COUNTED_REFUSALS = 8
RENEW_MARGIN_S = 0.3
"""Time by which renewed tickets have to arrive early, to allow for calls that take longer than
expected."""


@dataclass(slots=True)
class _CallSlot:
    """A machine that makes one call at a time; the call is abandoned at ``busy_until``."""

    busy_until: float = NEVER
    pause_until: float = NEVER
    step: StepRow | None = None
    """The step that the current call is for; ``None`` if the slot is free."""
    advice: AdviceRow | None = None
    """The advice that the current call is to complete."""
    overdue: bool = False
    """Whether the call was sent because the step's request was overdue."""
    vms: tuple[str, ...] = ()
    share: float = 0.0
    """Share of each VM's free capacity that the step demands."""


class Advice:
    """Assigns requests for advice to call slots, the most urgent first."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._slots: dict[str, _CallSlot] = {}
        self._pending: dict[str, tuple[StepRow, tuple[str, ...], float]] = {}
        """Requests without a slot, by step: the step, the VMs, and the share of each VM's free
        capacity that it demands."""
        self._pending_demand: dict[str, float] = {}
        """Sum of the shares that pending requests demand, by VM."""
        self._demand_in_flight: dict[str, float] = {}
        """Sum of the shares that calls in flight demand, by VM."""
        self._deferred: dict[str, StepRow] = {}
        """Steps that make no request while others demand the same capacity."""
        self._waiting_since: dict[str, float] = {}
        """Steps whose requests find no free slot, and since when."""
        self._congested_until = NEVER
        self._good_share: dict[str, float] = {}
        """Share of the VMs that may run a step, by queue: a moving average over the answers."""
        self._renewal_timer = IntervalTimer(RENEW_INTERVAL_S)

    # -- Call slots --------------------------------------------------------------------------

    def set_call_slots(self, names: set[str]) -> None:
        """Set the machines that can make calls at present."""
        for name in sorted(names - self._slots.keys()):
            self._slots[name] = _CallSlot()
        for name in self._slots.keys() - names:
            slot = self._slots.pop(name)
            self._abandon(slot)

    def _abandon(self, slot: _CallSlot) -> None:
        row = self._finish(slot)
        if row is not None:
            row.failures += 1
            row.calls_sent_or_abandoned_at = self._state.now

    def _finish(self, slot: _CallSlot) -> AdviceRow | None:
        """Mark a slot's call as finished, and return the advice of its step."""
        step, row = slot.step, slot.advice
        slot.step = slot.advice = None
        self._add_demand(slot, -1)
        if step is None or row is None or step.advice is not row:
            # The terms have changed meanwhile: the answer is for those before.
            return None
        row.calls_in_flight -= 1
        if not row.calls_in_flight:
            row.waited_s += self._state.now - row.calls_sent_or_abandoned_at
        self._state.mark_for_placement(step)
        return row

    # -- Requests ----------------------------------------------------------------------------

    def request(self, step: StepRow, vms: list[str], share: float = 0.0) -> None:
        """Request advice on some VMs as soon as a slot is free.

        ``share`` is the share of each VM's free capacity that the step demands.
        """
        row = step.advice
        if row is None or row.calls_in_flight or not vms:
            return
        if (
            row.failures
            and self._state.now < row.calls_sent_or_abandoned_at + RETRY_AFTER_S * row.failures
        ):
            return
        self._pending[step.key] = (step, tuple(vms), share)
        if share:
            for vm in vms:
                self._pending_demand[vm] = self._pending_demand.get(vm, 0.0) + share

    def in_demand(self, vm: str) -> bool:
        """Return whether requests already demand as much of a VM as ``MAX_DEMAND`` allows."""
        return self._pending_demand.get(vm, 0.0) + self._demand_in_flight.get(vm, 0.0) >= MAX_DEMAND

    def defer(self, step: StepRow) -> None:
        """Defer a step's request until some call that demands capacity is finished."""
        self._deferred[step.key] = step

    def _add_demand(self, slot: _CallSlot, sign: int) -> None:
        """Add (``sign`` 1) or subtract (-1) the demand of a slot's call."""
        if not slot.share:
            return
        for vm in slot.vms:
            demand = self._demand_in_flight.get(vm, 0.0) + sign * slot.share
            if demand > MIN_DEMAND:
                self._demand_in_flight[vm] = demand
            else:
                self._demand_in_flight.pop(vm, None)
        if sign < 0:
            slot.share = 0.0
            for step in self._deferred.values():
                self._state.mark_for_placement(step)
            self._deferred.clear()

    def permits(self, step: StepRow, vm: VmRow) -> bool:
        """Return whether a step may be started on a VM now.

        A step that needs advice requires a ticket for the VM that does not expire too soon.
        """
        row = step.advice
        if row is None:
            return True
        ticket = row.tickets.get(vm.name)
        return ticket is not None and self._state.now < ticket.until - TICKET_MARGIN_S

    def lacks_advice(self, step: StepRow, vm: VmRow) -> bool:
        """Return whether there is no advice yet on a VM for a step."""
        row = step.advice
        return row is not None and vm.name not in row.tickets and vm.name not in row.denied_vms

    def expected_call_s(self, step: StepRow, count: int) -> float:
        """Return the expected duration in seconds of a call that names some number of VMs."""
        terms = self._state.terms_of(step.job).advice
        return 0.0 if terms is None else (terms.decide_ms + terms.each_ms * count) / MS_PER_S

    def has_slow_calls(self, step: StepRow) -> bool:
        """Return whether capacity that stays idle during a call for a step is a noticeable loss."""
        return self.expected_call_s(step, 1) >= SLOW_RENEWAL_S

    def request_size(self, step: StepRow) -> int:
        """Return on how many VMs to request advice, so that enough are permitted and have capacity.

        A step with slow calls asks about all VMs at once, over several slots: it needs many places,
        and a second call would delay it as long again.
        """
        all_vms = len(self._state.vms)
        if self.expected_call_s(step, all_vms) >= MIN_SPLIT_CALL_S:
            return all_vms
        share = self._good_share.get(step.job.queue, INITIAL_GOOD_SHARE)
        return max(MIN_VMS_REQUESTED, math.ceil(PLACES_PER_TASK * step.waiting / share))

    def _update_good_share(self, step: StepRow, good: int, asked: int) -> None:
        queue = step.job.queue
        average = self._good_share.get(queue, INITIAL_GOOD_SHARE)
        self._good_share[queue] = max(0.05, average + GOOD_SMOOTHING * (good / asked - average))

    # -- Assignment --------------------------------------------------------------------------

    def run(self) -> None:
        """Assign pending requests to free slots, the most urgent first."""
        now = self._state.now
        for slot in self._slots.values():
            if slot.step and now > slot.busy_until:
                self._abandon(slot)
                slot.pause_until = now + FAILED_SLOT_PAUSE_S
        self._assign_slots()
        if self._renewal_timer.due(now):
            self._renew()

    def _assign_slots(self) -> None:
        self._assign_overdue()
        for key in sorted(self._pending, key=self._request_urgency):
            if self._try_send(*self._pending[key]):
                del self._pending[key]
        self._waiting_since = {
            key: self._waiting_since.get(key, self._state.now) for key in self._pending
        }
        if self._waiting_since:
            self._congested_until = self._state.now + CONGESTED_FOR_S
        # Placement repeats the requests that found no slot, if they are still needed.
        for step, _, _ in self._pending.values():
            self._state.mark_for_placement(step)
        self._pending.clear()
        self._pending_demand.clear()

    def _assign_overdue(self) -> None:
        """Assign some slots to the requests that have waited longest, regardless of urgency."""
        overdue = [key for key in self._pending if self._is_overdue(key)]
        if not overdue:
            return
        busy = sum(1 for slot in self._slots.values() if slot.step and slot.overdue)
        # A single slot is left to the most urgent requests.
        limit = min(len(self._slots) - 1, max(1, len(self._slots) // OVERDUE_SLOT_DIVISOR)) - busy
        free = self._free_slots()[: max(0, limit)]
        overdue.sort(key=self._waiting_since.__getitem__)
        for key, name in zip(overdue, free, strict=False):
            step, vms, share = self._pending.pop(key)
            self._send(name, step, vms[:MAX_VMS_PER_CALL], share)
            self._slots[name].overdue = True

    def _is_overdue(self, key: str) -> bool:
        now = self._state.now
        return now - self._waiting_since.get(key, now) >= OVERDUE_AFTER_S

    @property
    def is_congested(self) -> bool:
        """Whether some request has found no free slot recently."""
        return self._state.now < self._congested_until

    def slot_wait_s(self, step: StepRow) -> float:
        """Return the seconds for which a step's request has found no free slot."""
        return self._state.now - self._waiting_since.get(step.key, self._state.now)

    def _renew(self) -> None:
        """Renew the tickets of the most urgent waiting steps, over slots that no request needs.

        A step that finds capacity only after its tickets have expired would leave it idle during
        another call.
        """
        steps = [step for step in self._state.open_steps.values() if self._needs_renewal(step)]
        for step in sorted(steps, key=self._step_urgency):
            free = self._free_slots()
            if len(free) <= len(self._slots) // QUICK_SLOT_DIVISOR + 1:
                return
            assert step.advice is not None
            self._try_send(step, tuple(step.advice.tickets))

    def _needs_renewal(self, step: StepRow) -> bool:
        """Return whether a step waits and a ticket of it expires before new ones could arrive."""
        row = step.advice
        if row is None or not step.waiting or row.calls_in_flight or row.failures:
            return False
        # The ticket of a terminated VM is never renewed; once it has expired, it would cause all
        # others to be renewed again and again.
        for vm in [vm for vm in row.tickets if vm not in self._state.vms]:
            del row.tickets[vm]
        if not row.tickets:
            return False
        expected_call_s = self.expected_call_s(step, len(row.tickets))
        if expected_call_s < SLOW_RENEWAL_S or not step.job.durable:
            return False
        first_expiry = min(ticket.until for ticket in row.tickets.values())
        return first_expiry - TICKET_MARGIN_S < self._state.now + expected_call_s + RENEW_MARGIN_S

    def _free_slots(self) -> list[str]:
        now = self._state.now
        return [
            name for name, slot in self._slots.items() if not slot.step and now >= slot.pause_until
        ]

    def _request_urgency(self, key: str) -> tuple[int, float]:
        return self._step_urgency(self._pending[key][0])

    def _step_urgency(self, step: StepRow) -> tuple[int, float]:
        return (self._state.terms_of(step.job).priority, step.job.objective_at)

    def _try_send(self, step: StepRow, vms: tuple[str, ...], share: float = 0.0) -> bool:
        """Send a request over as many slots as are worthwhile; return whether a slot was free."""
        free = self._free_slots()
        reserved = len(self._slots) // QUICK_SLOT_DIVISOR
        if not free or (
            self.expected_call_s(step, len(vms)) > SLOW_CALL_S and len(free) <= reserved
        ):
            return False
        parts = min(self._part_count(step, len(vms)), max(1, (len(free) - reserved) // 2))
        for number, name in zip(range(parts), free, strict=False):
            self._send(name, step, vms[number::parts][:MAX_VMS_PER_CALL], share)
        return True

    def _part_count(self, step: StepRow, count: int) -> int:
        """Return over how many slots a request for some number of VMs is best divided."""
        terms = self._state.terms_of(step.job).advice
        if (
            terms is None
            or not terms.each_ms
            or self.expected_call_s(step, count) < MIN_SPLIT_CALL_S
        ):
            return 1
        return max(1, math.ceil(count * terms.each_ms / (SPLIT_SHARE * terms.decide_ms + 1.0)))

    def _send(self, name: str, step: StepRow, vms: tuple[str, ...], share: float) -> None:
        state = self._state
        row = step.advice
        assert row is not None
        slot = self._slots[name]
        expected_call_s = self.expected_call_s(step, len(vms))
        slot.step = step
        slot.advice = row
        slot.overdue = False
        slot.vms = vms
        slot.share = share
        self._add_demand(slot, 1)
        slot.busy_until = state.now + 2 * expected_call_s + CALL_SLACK_S
        if not row.calls_in_flight:
            row.calls_sent_or_abandoned_at = state.now
        row.calls_in_flight += 1
        state.emit(AskAdvice(name, step.key, vms, expected_call_s))

    # -- Answers -----------------------------------------------------------------------------

    def answered(
        self,
        slot_name: str,
        step_key: str,
        asked: tuple[str, ...],
        good: dict[str, str],
        valid_ms: float,
    ) -> None:
        """Handle an answer: tickets by VM, valid for ``valid_ms`` milliseconds from now."""
        slot = self._slot_with_call(slot_name, step_key)
        if slot is None or slot.step is None:
            return
        if asked:
            self._update_good_share(slot.step, len(good), len(asked))
        row = self._finish(slot)
        if row is None:
            return
        row.failures = 0
        until = self._state.now + valid_ms / MS_PER_S
        for vm in asked:
            if vm in good:
                row.tickets[vm] = Ticket(good[vm], until)
            else:
                row.denied_vms.add(vm)
                row.tickets.pop(vm, None)

    def call_failed(self, slot_name: str, step_key: str) -> None:
        """Record that a call got no usable answer; its slot is not used for a short time."""
        slot = self._slot_with_call(slot_name, step_key)
        if slot is None:
            return
        slot.pause_until = self._state.now + FAILED_SLOT_PAUSE_S
        row = self._finish(slot)
        if row is not None:
            row.failures += 1

    def _slot_with_call(self, slot_name: str, step_key: str) -> _CallSlot | None:
        """Return a slot if it still carries a call for a step, or ``None``."""
        slot = self._slots.get(slot_name)
        if slot is None or slot.step is None or slot.step.key != step_key:
            return None
        return slot

    def ticket_refused(self, step: StepRow, vm: str) -> None:
        """Record that a VM refused a step's ticket, or a start without one."""
        row: AdviceRow | None = step.advice
        if row is None:
            self._pause(step)
        elif vm in row.tickets:
            row.tickets[vm].until = NEVER
            self._state.mark_for_placement(step)

    def _pause(self, step: StepRow) -> None:
        """Pause a step that needs no advice by the terms known here, but does by a VM's.

        The configuration that says so is on its way; until it comes, each start would be refused.
        """
        now = self._state.now
        if now < step.paused_until:
            return
        pause_s = min(MAX_REFUSED_PAUSE_S, MIN_REFUSED_PAUSE_S * 2**step.refused_tickets)
        step.refused_tickets = min(step.refused_tickets + 1, MAX_COUNTED_REFUSALS)
        step.paused_until = now + pause_s
        extra = {"step": step.key, "seconds": pause_s, "version": self._state.configuration.version}
        self._state.logger.info("ticket wanted against the terms", extra=extra)
