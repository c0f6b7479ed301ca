"""Advice: which VMs may run a step, asked for over lanes.

Each machine is a lane that works on one call at a time. A call may take from a few milliseconds to
nearly a second, so slow calls leave some lanes to quick ones. A question about many VMs is divided
over lanes that are free, since its time grows with the VMs that it names.
"""

import math
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
OVERDUE_AFTER = 1.0
"""Seconds after which a wish that has found no lane is overdue: with the call and the start that
follow, below the 3 s for which nothing of a job may run while there is room for it."""
OVERDUE_SHARE = 4
"""One lane of this many works for overdue wishes first. Where VMs start again faster than all that
waits can ask for them, urgent work would take every lane for as long as that goes on."""
MAX_NAMED = 100
"""VMs named in one call at most, as the platform's pages say."""
CROWDED_FOR = 0.1
"""Seconds for which lanes count as short after a wish that found none: a few quick calls."""
MOST_SOUGHT = 3.0
"""Times that quick questions may seek a VM's room at once: a good part of the answers is no, but
all that waits would ask for each VM that has just come, of which the first ones fill it."""
LEAST_SHARE = 1e-6
"""A sum of shares below this is none: it is left over by the way that such numbers add up."""
SPLIT_SHARE = 0.4
"""A call is divided where naming its VMs takes more than this share of the time that it takes to
decide: about 100 VMs were answered in 1.2 s in one call, in 0.7 s in four. Smaller parts cost lanes
and win little."""
SPLIT_LEAST = 0.15
"""Seconds below which a call is not divided: calls cost processor time too."""
LEAST_NAMED = 30
"""VMs that are asked for at first at least, of which the most urgent work finds room on some."""
PLACES_A_TASK = 2.0
"""Places for each waiting task that the first question is expected to find."""
FIRST_GOOD = 0.5
"""Share of VMs that may run a step of a queue, before an answer has told."""
GOOD_SMOOTHING = 0.1
"""Share of the newest answer in the usual one."""
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
    step: StepRow | None = None
    """The step that it asks for."""
    overdue: bool = False
    """Whether it does so since the step's wish was overdue."""
    vms: tuple[str, ...] = ()
    share: float = 0.0
    """Share of each VM's room that the step seeks."""


class Advice:
    """Keeps the lanes busy with the calls that are worth most."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._lanes: dict[str, _Lane] = {}
        self._wanted: dict[str, tuple[StepRow, tuple[str, ...], float]] = {}
        """Wishes: a step, VMs, and the share of the room of each that it seeks there."""
        self._wished: dict[str, float] = {}
        """Sum of the shares that are wished for, by VM."""
        self._sought: dict[str, float] = {}
        """The same for the calls that are on their way."""
        self._put_off: dict[str, StepRow] = {}
        """Steps that do not ask while others seek the same room."""
        self._unmet: dict[str, float] = {}
        """Steps whose wishes find no lane, and since when."""
        self._crowded_until = NEVER
        self._good: dict[str, float] = {}
        """Share of the VMs that may run a step, by queue, as answers have told."""
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
        row = self._over(lane)
        if row is not None:
            row.failures += 1
            row.asked_at = self._state.now

    def _over(self, lane: _Lane) -> AdviceRow | None:
        """Take that a lane's call is over, and return what is known of its step."""
        step = lane.step
        lane.step = None
        self._seek(lane, -1)
        if step is None or step.advice is None:
            return None
        row = step.advice
        row.asking -= 1
        if not row.asking:
            row.asked_for += self._state.now - row.asked_at
        self._state.touch(step)
        return row

    # -- Wishes ------------------------------------------------------------------------------

    def want(self, step: StepRow, vms: list[str], share: float = 0.0) -> None:
        """Ask for some VMs as soon as a lane is free, seeking a share of the room of each."""
        row = step.advice
        if row is None or row.asking or not vms:
            return
        if row.failures and self._state.now < row.asked_at + RETRY_AFTER * row.failures:
            return
        self._wanted[step.key] = (step, tuple(vms), share)
        if share:
            for vm in vms:
                self._wished[vm] = self._wished.get(vm, 0.0) + share

    def sought(self, vm: str) -> bool:
        """Tell whether as many ask for a VM as could find room there."""
        return self._wished.get(vm, 0.0) + self._sought.get(vm, 0.0) >= MOST_SOUGHT

    def put_off(self, step: StepRow) -> None:
        """Let a step be looked at again once some call that seeks room is over."""
        self._put_off[step.key] = step

    def _seek(self, lane: _Lane, sign: int) -> None:
        """Count what a lane's call seeks, or seeks no more."""
        if not lane.share:
            return
        for vm in lane.vms:
            left = self._sought.get(vm, 0.0) + sign * lane.share
            if left > LEAST_SHARE:
                self._sought[vm] = left
            else:
                self._sought.pop(vm, None)
        if sign < 0:
            lane.share = 0.0
            for step in self._put_off.values():
                self._state.touch(step)
            self._put_off.clear()

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

    def takes_long(self, step: StepRow) -> bool:
        """Tell whether room that is kept through a question of a step would be missed."""
        return self.cost(step, 1) >= RENEW_COST

    def enough(self, step: StepRow) -> int:
        """Return how many VMs to ask for, so that some may run a step and have room for it.

        A step whose questions take long asks for all at once, over several lanes: it looks for many
        places, and another question would keep it waiting as long again.
        """
        every = len(self._state.vms)
        if self.cost(step, every) >= SPLIT_LEAST:
            return every
        share = self._good.get(step.job.record.terms.name, FIRST_GOOD)
        return max(LEAST_NAMED, math.ceil(PLACES_A_TASK * step.waiting / share))

    def _learn(self, step: StepRow, good: int, asked: int) -> None:
        queue = step.job.record.terms.name
        usual = self._good.get(queue, FIRST_GOOD)
        self._good[queue] = max(0.05, usual + GOOD_SMOOTHING * (good / asked - usual))

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
        self._answer_overdue()
        for key in sorted(self._wanted, key=self._urgency):
            if self._ask(*self._wanted[key]):
                del self._wanted[key]
        self._unmet = {key: self._unmet.get(key, self._state.now) for key in self._wanted}
        if self._unmet:
            self._crowded_until = self._state.now + CROWDED_FOR
        # What found no lane is wished for again when placement still needs it.
        for step, _, _ in self._wanted.values():
            self._state.touch(step)
        self._wanted.clear()
        self._wished.clear()

    def _answer_overdue(self) -> None:
        """Hand some lanes to the wishes that have found none for longest, urgent or not."""
        overdue = [key for key in self._wanted if self._overdue(key)]
        if not overdue:
            return
        busy = sum(1 for lane in self._lanes.values() if lane.step and lane.overdue)
        # The only lane is left to what is most urgent.
        most = min(len(self._lanes) - 1, max(1, len(self._lanes) // OVERDUE_SHARE)) - busy
        free = self._free_lanes()[: max(0, most)]
        overdue.sort(key=self._unmet.__getitem__)
        for key, name in zip(overdue, free, strict=False):
            step, vms, share = self._wanted.pop(key)
            self._send(name, step, vms[:MAX_NAMED], share)
            self._lanes[name].overdue = True

    def _overdue(self, key: str) -> bool:
        now = self._state.now
        return now - self._unmet.get(key, now) >= OVERDUE_AFTER

    @property
    def crowded(self) -> bool:
        """Tell whether some wish has found no lane of late."""
        return self._state.now < self._crowded_until

    def unmet_for(self, step: StepRow) -> float:
        """Return the seconds for which a step's wish has found no lane."""
        return self._state.now - self._unmet.get(step.key, self._state.now)

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
            self._ask(step, tuple(step.advice.good))

    def _lapses(self, step: StepRow) -> bool:
        """Tell whether a step waits for room with tickets that end before new ones could come."""
        row = step.advice
        if row is None or not step.waiting or row.asking or row.failures:
            return False
        # The ticket of a life that is over would ask for all the others again and again.
        for vm in [vm for vm in row.good if vm not in self._state.vms]:
            del row.good[vm]
        if not row.good:
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

    def _ask(self, step: StepRow, vms: tuple[str, ...], share: float = 0.0) -> bool:
        """Ask for some VMs over as many lanes as it is worth, and tell whether one was free."""
        free = self._free_lanes()
        kept = len(self._lanes) // KEPT_SHARE
        if not free or (self.cost(step, len(vms)) > SLOW_CALL and len(free) <= kept):
            return False
        parts = min(self._parts(step, len(vms)), max(1, (len(free) - kept) // 2))
        for number, name in zip(range(parts), free, strict=False):
            self._send(name, step, vms[number::parts][:MAX_NAMED], share)
        return True

    def _parts(self, step: StepRow, count: int) -> int:
        """Return over how many lanes a question about some VMs is best divided."""
        terms = self._state.terms_of(step.job).advice
        if terms is None or not terms.each_ms or self.cost(step, count) < SPLIT_LEAST:
            return 1
        return max(1, math.ceil(count * terms.each_ms / (SPLIT_SHARE * terms.decide_ms + 1.0)))

    def _send(self, name: str, step: StepRow, vms: tuple[str, ...], share: float) -> None:
        state = self._state
        row = step.advice
        assert row is not None
        lane = self._lanes[name]
        cost = self.cost(step, len(vms))
        lane.step = step
        lane.overdue = False
        lane.vms = vms
        lane.share = share
        self._seek(lane, 1)
        lane.busy_until = state.now + 2 * cost + CALL_SLACK
        if not row.asking:
            row.asked_at = state.now
        row.asking += 1
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
        lane = self._asking(lane_name, step_key)
        if lane is None or lane.step is None:
            return
        if asked:
            self._learn(lane.step, len(good), len(asked))
        row = self._over(lane)
        if row is None:
            return
        row.failures = 0
        until = self._state.now + valid_ms / MS
        for vm in asked:
            if vm in good:
                row.good[vm] = Ticket(good[vm], until)
            else:
                row.bad.add(vm)
                row.good.pop(vm, None)

    def failed(self, lane_name: str, step_key: str) -> None:
        """Take that a call got no usable answer; its lane rests a little."""
        lane = self._asking(lane_name, step_key)
        if lane is None:
            return
        lane.pause_until = self._state.now + FAILED_LANE_PAUSE
        row = self._over(lane)
        if row is not None:
            row.failures += 1

    def _asking(self, lane_name: str, step_key: str) -> _Lane | None:
        """Return a lane if its call for a step has not been given up."""
        lane = self._lanes.get(lane_name)
        if lane is None or lane.step is None or lane.step.key != step_key:
            return None
        return lane

    def refused(self, step: StepRow, vm: str) -> None:
        """Take that a VM refused a ticket."""
        row: AdviceRow | None = step.advice
        if row is not None and vm in row.good:
            row.good[vm].until = NEVER
            self._state.touch(step)
