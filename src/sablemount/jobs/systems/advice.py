"""Advice: which VMs may run a step, asked for over lanes.

Each machine is a lane that works on one call at a time. A call may take from a few milliseconds to
nearly a second, so slow calls leave some lanes to quick ones.
"""

from dataclasses import dataclass

from sablemount.jobs.actions import AskAdvice
from sablemount.jobs.state import State
from sablemount.jobs.systems.every import Every
from sablemount.jobs.tables import NEVER, AdviceRow, StepRow, Ticket, VmRow

__all__ = ["Advice"]

MS = 1000.0
SLOW_CALL = 0.3
"""Calls expected to take longer than this (seconds) leave some lanes to others."""
KEPT_SHARE = 3
"""One lane of this many is kept for quick calls."""
MAX_NAMED = 100
"""VMs named in one call at most, as the platform's pages say."""
TICKET_MARGIN = 0.15
"""Seconds before its end in which a ticket is not used any more."""
CALL_SLACK = 1.0
"""Seconds beyond its expected time after which a call is given up."""
FAILED_LANE_PAUSE = 0.5
"""Seconds for which a lane rests whose call failed: its machine may be cut off."""
RETRY_AFTER = 0.1
"""Seconds after a failed call until the step is asked for again, times its failures."""
RENEW_INTERVAL = 0.1
"""Seconds between looks at the tickets of steps that wait for room."""
RENEW_COST = 0.1
"""Seconds that a call takes at least for its tickets to be renewed ahead of need: room that is kept
through a shorter call is hardly missed."""
RENEW_MARGIN = 0.3
"""Seconds before which the new tickets are to be there, for what a call takes beyond its cost."""


@dataclass(slots=True)
class _Lane:
    """A machine that can ask; ``busy_until`` is when its call is given up."""

    busy_until: float = NEVER
    pause_until: float = NEVER
    step: str = ""


class Advice:
    """Keeps the lanes busy with the calls that are worth most."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._lanes: dict[str, _Lane] = {}
        self._wanted: dict[str, tuple[StepRow, tuple[str, ...]]] = {}
        self._renewing = Every(RENEW_INTERVAL)

    # -- Lanes -------------------------------------------------------------------------------

    def set_lanes(self, names: set[str]) -> None:
        """Take the machines that can ask at present."""
        for name in sorted(names - self._lanes.keys()):
            self._lanes[name] = _Lane()
        for name in self._lanes.keys() - names:
            lane = self._lanes.pop(name)
            self._give_up(lane)

    def _give_up(self, lane: _Lane) -> None:
        step = self._state.steps_asked.pop(lane.step, None)
        lane.step = ""
        if step is not None and step.advice is not None:
            step.advice.asking = False
            step.advice.failures += 1
            step.advice.asked_for += self._state.now - step.advice.asked_at
            step.advice.asked_at = self._state.now
            self._state.touch(step)

    # -- Wishes ------------------------------------------------------------------------------

    def want(self, step: StepRow, vms: list[str]) -> None:
        """Ask for some VMs as soon as a lane is free."""
        row = step.advice
        if row is None or row.asking or not vms:
            return
        if row.failures and self._state.now < row.asked_at + RETRY_AFTER * row.failures:
            return
        self._wanted[step.key] = (step, tuple(vms[:MAX_NAMED]))

    def valid(self, step: StepRow, vm: VmRow) -> bool:
        """Tell whether a step may be started on a VM now."""
        row = step.advice
        if row is None:
            return True
        ticket = row.good.get(vm.name)
        return ticket is not None and self._state.now < ticket.until - TICKET_MARGIN

    def unknown(self, step: StepRow, vm: VmRow) -> bool:
        """Tell whether nothing is known of a VM for a step."""
        row = step.advice
        return row is not None and vm.name not in row.good and vm.name not in row.bad

    def cost(self, step: StepRow, count: int) -> float:
        """Return the expected time of a call in seconds."""
        terms = self._state.terms_of(step.job).advice
        return 0.0 if terms is None else (terms.decide_ms + terms.each_ms * count) / MS

    # -- Running -----------------------------------------------------------------------------

    def run(self) -> None:
        """Hand wishes to free lanes, the most urgent first."""
        now = self._state.now
        for lane in self._lanes.values():
            if lane.step and now > lane.busy_until:
                self._give_up(lane)
                lane.pause_until = now + FAILED_LANE_PAUSE
        self._answer_wishes()
        if self._renewing.due(now):
            self._renew()

    def _answer_wishes(self) -> None:
        if not self._wanted:
            return
        for key in sorted(self._wanted, key=self._urgency):
            step, vms = self._wanted[key]
            name = self._lane_for(self.cost(step, len(vms)))
            if name is not None:
                self._send(name, step, vms)
                del self._wanted[key]
        # What found no lane is wished for again when placement still needs it.
        for step, _ in self._wanted.values():
            self._state.touch(step)
        self._wanted.clear()

    def _renew(self) -> None:
        """Renew, over lanes that nobody needs, the tickets of the most urgent steps that wait.

        A step that finds room only after its tickets have lapsed would keep that room idle through
        another call.
        """
        steps = [step for step in self._state.open_steps.values() if self._lapses(step)]
        for step in sorted(steps, key=self._step_urgency):
            free = self._free_lanes()
            if len(free) <= len(self._lanes) // KEPT_SHARE + 1:
                return
            assert step.advice is not None
            self._send(free[0], step, tuple(step.advice.good)[:MAX_NAMED])

    def _lapses(self, step: StepRow) -> bool:
        """Tell whether a step waits for room with tickets that end before new ones could come."""
        row = step.advice
        if row is None or not step.waiting or row.asking or not row.good or row.failures:
            return False
        cost = self.cost(step, len(row.good))
        if cost < RENEW_COST or not step.job.durable:
            return False
        last = min(ticket.until for ticket in row.good.values())
        return last - TICKET_MARGIN < self._state.now + cost + RENEW_MARGIN

    def _free_lanes(self) -> list[str]:
        now = self._state.now
        return [
            name for name, lane in self._lanes.items() if not lane.step and now >= lane.pause_until
        ]

    def _urgency(self, key: str) -> tuple[int, float]:
        return self._step_urgency(self._wanted[key][0])

    def _step_urgency(self, step: StepRow) -> tuple[int, float]:
        return (self._state.terms_of(step.job).priority, step.job.objective_at)

    def _lane_for(self, cost: float) -> str | None:
        free = self._free_lanes()
        kept = len(self._lanes) // KEPT_SHARE
        if cost > SLOW_CALL and len(free) <= kept:
            return None
        return free[0] if free else None

    def _send(self, name: str, step: StepRow, vms: tuple[str, ...]) -> None:
        state = self._state
        row = step.advice
        assert row is not None
        lane = self._lanes[name]
        cost = self.cost(step, len(vms))
        lane.step = step.key
        lane.busy_until = state.now + 2 * cost + CALL_SLACK
        row.asking = True
        row.asked_at = state.now
        state.steps_asked[step.key] = step
        state.emit(AskAdvice(name, step.key, vms, cost))

    # -- Answers -----------------------------------------------------------------------------

    def answered(
        self,
        lane_name: str,
        step_key: str,
        asked: tuple[str, ...],
        good: dict[str, str],
        valid_ms: float,
    ) -> None:
        """Take an answer: tickets by VM, valid for some milliseconds from now."""
        step = self._free(lane_name, step_key)
        if step is None or step.advice is None:
            return
        row = step.advice
        row.asking = False
        row.failures = 0
        row.asked_for += self._state.now - row.asked_at
        until = self._state.now + valid_ms / MS
        for vm in asked:
            if vm in good:
                row.good[vm] = Ticket(good[vm], until)
            else:
                row.bad.add(vm)
                row.good.pop(vm, None)
        self._state.touch(step)

    def failed(self, lane_name: str, step_key: str) -> None:
        """Take that a call got no usable answer; its lane rests a little."""
        lane = self._lanes.get(lane_name)
        if lane is not None and lane.step == step_key:
            lane.pause_until = self._state.now + FAILED_LANE_PAUSE
        step = self._free(lane_name, step_key)
        if step is not None and step.advice is not None:
            row = step.advice
            row.asking = False
            row.failures += 1
            row.asked_for += self._state.now - row.asked_at
            self._state.touch(step)

    def _free(self, lane_name: str, step_key: str) -> StepRow | None:
        lane = self._lanes.get(lane_name)
        if lane is not None and lane.step == step_key:
            lane.step = ""
        return self._state.steps_asked.pop(step_key, None)

    def refused(self, step: StepRow, vm: str) -> None:
        """Take that a VM refused a ticket."""
        row: AdviceRow | None = step.advice
        if row is not None and vm in row.good:
            row.good[vm].until = NEVER
            self._state.touch(step)
