"""Which cheaper work yields to a step that has waited too long for room.

Only work of a lower priority yields, and only where what is thrown away is small beside the work
that gets its room. The room is kept for the step until what yields has stopped.
"""

from dataclasses import dataclass

from sablemount.jobs.model import Shape
from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.every import Every
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.systems.urgency import Urgency
from sablemount.jobs.tables import NEVER, RunRow, StepRow, VmRow

__all__ = ["Preemption"]

INTERVAL = 0.03
"""Seconds between two rounds."""
MOST_WEIGHED = 10_000
"""VMs weighed in a round, each as often as room is sought on it, after which the rest of the steps
is left to the next round: some 40 ms of a processor core, in which nothing else is done."""
MS = 1000.0
PATIENCE_SHARE = 0.1
"""Share of its spare time that a step waits before others yield to it."""
MOST_PATIENCE = 1.5
"""Seconds that a step waits at most."""
LOSS_SHARE = 0.6
"""Work thrown away at most, as a share of the work that gets the room. A render that comes in time
earns ten times what the work thrown away for it costs; 0.25 left a third more of them late."""
LEAST_AT_ONCE = 2
"""Steps that have room made for them at once in the smallest cell."""
FULL_LOSS_AT = 0.5
"""Share of its spare time that a step waits until the whole loss may be taken for it."""
VMS_A_STEP = 64
"""VMs for each such step in a larger cell. With 270 VMs, 33 at once served no more jobs in time
than two, and gangs waited 10.3 s at the 99th percentile in place of 5.1 s: each takes what another
would have had by waiting a little (one simulated day with bursts of both kinds)."""
KEEP_MARGIN = 1.0
"""Seconds for which room is kept beyond a stop and two calls for advice."""
WORTH_KEEPING = 0.85
"""A run that is further than this yields to nobody: it ends soon."""


@dataclass(slots=True)
class _Offer:
    """Slots of one VM: those that are free, or one more that its victims' room makes."""

    row: VmRow
    slots: int
    victims: list[RunRow]
    loss: float


class Preemption:
    """Makes room for steps that are worth it."""

    def __init__(
        self,
        state: State,
        placement: Placement,
        advice: Advice,
        reconcile: Reconcile,
        caps: Caps,
    ) -> None:
        self._state = state
        self._caps = caps
        self._placement = placement
        self._advice = advice
        self._reconcile = reconcile
        self._urgency = Urgency(state)
        self._every = Every(INTERVAL)
        self._sought: set[str] = set()
        """Steps for which room was sought since the first one, in as many rounds as that takes."""
        self._made: dict[str, float] = {}
        """Steps for which room is being made, until when."""

    def run(self) -> None:
        """Make room for the most urgent steps that wait."""
        now = self._state.now
        if not self._every.due(now) or not self._state.noting:
            return
        self._forget_made()
        usable: list[VmRow] | None = None
        weighed = 0
        for step in self._placement.in_order():
            if len(self._made) >= self._at_once():
                self._sought.clear()
                return
            if weighed > MOST_WEIGHED:
                return
            if step.key in self._made or not self._due(step):
                continue
            if step.key in self._sought and weighed > MOST_WEIGHED // 2:
                # It gives way to the rest; the most urgent ones are looked at in each round.
                continue
            if usable is None:
                usable = self._placement.usable_rows()
            weighed += len(usable)
            self._sought.add(step.key)
            self._make_room(step, self._placement.allowed(step, usable))
        self._sought.clear()

    def _at_once(self) -> int:
        """Return for how many steps room may be made at once."""
        return max(LEAST_AT_ONCE, len(self._state.vms) // VMS_A_STEP)

    def _forget_made(self) -> None:
        """Give free what is kept for steps that have taken their room, or have not in time."""
        over = {key for key, until in self._made.items() if not self._making(key, until)}
        if not over:
            return
        for key in over:
            del self._made[key]
        for row in self._state.vms.values():
            if row.kept_for in over:
                row.kept_for = ""
                row.kept_until = NEVER

    def _making(self, key: str, until: float) -> bool:
        """Tell whether room that is being made for a step has not been taken yet."""
        step = self._state.open_steps.get(key)
        return step is not None and step.waiting > 0 and until > self._state.now

    def _due(self, step: StepRow) -> bool:
        """Tell whether a step has waited long enough; what waits for tickets does not count."""
        if not step.waiting or step.booked or not self._placement.ready(step):
            return False
        if step.tried_at_freed < 0:
            # It has not had its turn of placement yet, and may find room without.
            return False
        if step.spec.lasting:
            return False
        if step.job.watched and any(task.on_trial for task in step.tasks):
            # What is on trial waits for its VM, and room on another is of no use to it.
            return False
        patience = min(MOST_PATIENCE, PATIENCE_SHARE * self._urgency.spare(step))
        return self._urgency.waited(step) > patience

    # -- Offers ------------------------------------------------------------------------------

    def _make_room(self, step: StepRow, rows: list[VmRow]) -> None:
        wanted = min(step.waiting, self._caps.places(step))
        if not wanted or (step.spec.gang and wanted < step.waiting):
            # Room that its organisation may not use is of no use to it.
            return
        # Room beside a suspect is of no use to another, and would be kept from all others.
        open_rows = [row for row in rows if self._placement.allows_start(step, row)]
        offers = [offer for row in open_rows for offer in self._offers(step, row)]
        # Sorting keeps the order of one VM's offers, each of which builds on those before.
        offers.sort(key=lambda offer: offer.loss)
        chosen: list[_Offer] = []
        found = 0
        for offer in offers:
            if found >= wanted:
                break
            chosen.append(offer)
            found += offer.slots
        if not any(offer.victims for offer in chosen):
            return
        if found < wanted and step.spec.gang:
            return
        loss = sum(offer.loss for offer in chosen)
        work = wanted * step.spec.shape.cores / MS * step.spec.expected_ms / MS
        if loss <= LOSS_SHARE * self._pressing(step) * work:
            self._take(step, chosen, loss)

    def _offers(self, step: StepRow, row: VmRow) -> list[_Offer]:
        """Return the free slots of a VM, then each further one with what has to yield for it.

        The losses of one VM's offers rise.
        """
        charge = step.spec.charge
        room = row.room
        have = charge.times_in(room)
        offers = [_Offer(row, have, [], 0.0)] if have else []
        victims: list[tuple[float, RunRow]] = []
        highest = 0.0
        for victim in sorted(self._victims(row, step), key=_cost):
            room = room.plus(victim[1].charge)
            victims.append(victim)
            made = charge.times_in(room) - have
            if made > 0:
                room = _spare_needless(room, charge, have + made, victims)
                highest = max(highest, sum(cost for cost, _ in victims))
                offers.append(_Offer(row, made, [run for _, run in victims], highest))
                have += made
                victims = []
        return offers

    def _victims(self, row: VmRow, step: StepRow) -> list[tuple[float, RunRow]]:
        """Return the runs of a VM that may yield, with the core seconds that are lost."""
        priority = self._state.terms_of(step.job).priority
        found = []
        for run, task in self._state.running_on(row):
            spec = task.step.spec
            if spec.gang or spec.lasting or run.percent > 100 * WORTH_KEEPING:
                continue
            if self._state.terms_of(task.step.job).priority <= priority:
                continue
            if not self._state.may_be_stopped(task):
                continue
            found.append((self._loss(run, spec.saves), run))
        return found

    def _loss(self, run: RunRow, saves: bool) -> float:
        """Return the core seconds that a stop throws away: a stop saves what can be saved."""
        elapsed = max(0.0, self._state.now - run.started_at)
        lost = self._state.settings.restore if saves else elapsed
        return run.charge.cores / MS * (lost + self._state.settings.stop_time)

    def _pressing(self, step: StepRow) -> float:
        """Return by how much of the usual share a loss is worth it now: it rises as time goes by.

        A small loss pays at once; a larger one waits, for room may come by itself.
        """
        return min(1.0, self._urgency.share_gone(step) / FULL_LOSS_AT)

    # -- Taking ------------------------------------------------------------------------------

    def _take(self, step: StepRow, offers: list[_Offer], loss: float) -> None:
        state = self._state
        names = sorted({offer.row.name for offer in offers})
        cost = self._advice.cost(step, len(names))
        until = state.now + state.settings.stop_time + 2 * cost + KEEP_MARGIN
        self._made[step.key] = until
        priority = state.terms_of(step.job).priority
        stopped = [run for offer in offers for run in offer.victims]
        for offer in offers:
            offer.row.kept_priority = priority
            offer.row.kept_until = until
            # A part of a gang's room is of no use to it: others of its kind would take turns.
            offer.row.kept_for = step.key if step.spec.gang else ""
        for run in stopped:
            self._reconcile.stop(run)
        if step.advice is not None:
            self._advice.want(step, names)
        state.logger.info(
            "room made",
            extra={
                "step": step.key,
                "waits": step.waiting,
                "stopped": [(run.task, run.number, run.vm) for run in stopped],
                "vms": len(names),
                "lost_core_seconds": round(loss, 2),
            },
        )


def _cost(victim: tuple[float, RunRow]) -> float:
    return victim[0]


def _spare_needless(
    room: Shape, charge: Shape, wanted: int, victims: list[tuple[float, RunRow]]
) -> Shape:
    """Take out the victims without which there is room all the same, the dearest first."""
    for victim in sorted(victims, key=_cost, reverse=True):
        left = room.plus(victim[1].charge, -1)
        if charge.times_in(left) >= wanted:
            victims.remove(victim)
            room = left
    return room
