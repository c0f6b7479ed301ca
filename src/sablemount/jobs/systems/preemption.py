"""Preemption: which less urgent runs are stopped for a step that has waited too long.

Only runs of a lower priority are stopped, and only where the work lost is small beside the work of
the step that gets their capacity. The capacity is reserved for the step until the runs have
stopped.
"""

from dataclasses import dataclass

from sablemount.jobs.model import Shape
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.systems.reconcile import Reconcile
from sablemount.jobs.systems.urgency import Urgency
from sablemount.jobs.tables import StepRow, TaskRow
from sablemount.jobs.times import NEVER
from sablemount.jobs.vm_row import VmRow

__all__ = ["Preemption"]

INTERVAL_S = 0.03
"""Interval between two rounds."""
MAX_VM_EVALUATIONS = 10_000
"""Maximum number of VMs evaluated in a round, where a VM counts once for each step that seeks
capacity on it; the remaining steps are left to the next round. This is some 40 ms of a processor
core, in which the process does nothing else."""
MILLI = 1000.0
"""Milliseconds per second, and thousandths of a core per core."""
WAIT_SHARE = 0.1
"""Share of its spare time that a step waits before runs are stopped for it."""
MAX_WAIT_S = 1.5
"""Upper bound of that wait."""
MAX_LOSS_SHARE = 0.6
"""Maximum work lost, as a share of the work of the step that gets the capacity. A render that ends
in time earns ten times what the work lost for it costs; a share of 0.25 made a third more of them
late."""
MIN_CONCURRENT_STEPS = 2
"""Number of steps that capacity is freed for at the same time in the smallest cell."""
FULL_LOSS_AT_SHARE = 0.5
"""Share of its spare time after which the whole of ``MAX_LOSS_SHARE`` may be lost for a step."""
VMS_PER_STEP = 64
"""VMs for each such step in a larger cell. In a simulated day with 270 VMs and bursts of gangs
and of other work, 33 steps at the same time met no more objectives than two, and gangs waited
10.3 s instead of 5.1 s at the 99th percentile: each step takes capacity that another would have had
after a short wait."""
RESERVATION_MARGIN_S = 1.0
"""Time for which capacity stays reserved beyond a stop and two calls for advice."""
NEARLY_DONE_SHARE = 0.85
"""Progress beyond which a run is not stopped, since it ends soon."""


@dataclass(slots=True)
class _Offer:
    """Slots for tasks on a VM: free, or soon to be, or more that stopping ``victims`` frees."""

    row: VmRow
    slots: int
    victims: list[RunRow]
    loss: float


class Preemption:
    """Frees capacity for waiting steps that are worth the work lost."""

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
        self._timer = IntervalTimer(INTERVAL_S)
        self._tried: set[str] = set()
        """Steps tried in this pass over all open steps, which may take several rounds."""
        self._reserved_until: dict[str, float] = {}
        """Steps that capacity is being freed for, and until when it is reserved."""
        self._expected: dict[str, Shape] = {}
        """What more urgent steps will use of the capacity soon free, by VM, in this round."""
        self._stoppable: dict[str, list[tuple[int, RunRow, TaskRow]]] = {}
        """Runs that may be stopped for some step, with their priorities, by VM, in this round."""

    def run(self) -> None:
        """Free capacity for the most urgent waiting steps."""
        now = self._state.now
        if not self._timer.due(now) or not self._state.store_answers:
            return
        self._release_reservations()
        self._expected.clear()
        self._stoppable.clear()
        usable: list[VmRow] | None = None
        evaluated = 0
        for step in self._placement.steps_by_urgency():
            if len(self._reserved_until) >= self._max_concurrent_steps():
                self._tried.clear()
                return
            if evaluated > MAX_VM_EVALUATIONS:
                return
            if step.key in self._reserved_until or not self._is_due(step):
                continue
            if step.key in self._tried and evaluated > MAX_VM_EVALUATIONS // 2:
                # Skipped in favour of the rest; the most urgent steps are tried in each round.
                continue
            if usable is None:
                usable = self._placement.usable_rows()
            evaluated += len(usable)
            self._tried.add(step.key)
            self._preempt_for(step, self._placement.allowed_rows(step, usable))
        self._tried.clear()

    def _max_concurrent_steps(self) -> int:
        """Return for how many steps capacity may be freed at the same time."""
        return max(MIN_CONCURRENT_STEPS, len(self._state.vms) // VMS_PER_STEP)

    def _release_reservations(self) -> None:
        """Release the reservations of steps that have started there, or not in time."""
        expired = {
            key for key, until in self._reserved_until.items() if not self._is_pending(key, until)
        }
        if not expired:
            return
        for key in expired:
            del self._reserved_until[key]
        for row in self._state.vms.values():
            if row.preemptor_step in expired:
                row.preemptor_step = ""
                row.reserved_for_preemptor_until = NEVER

    def _is_pending(self, key: str, until: float) -> bool:
        """Return whether capacity is being freed for a step that has not taken it yet."""
        step = self._state.open_steps.get(key)
        return step is not None and step.waiting > 0 and until > self._state.now

    def _is_due(self, step: StepRow) -> bool:
        """Return whether a step has waited long enough; a wait for tickets does not count."""
        if not step.waiting or step.awaiting_tickets or not self._placement.is_ready(step):
            return False
        if step.tried_at_capacity_version < 0:
            # Placement has not tried the step yet, and may find capacity without preemption.
            return False
        if step.spec.lasting:
            return False
        if step.job.has_crashes and any(task.needs_isolation for task in step.tasks.rows()):
            # Isolated tasks wait for their own VM, so that capacity on another is of no use to
            # them.
            return False
        max_wait = min(MAX_WAIT_S, WAIT_SHARE * self._urgency.spare_s(step))
        return self._urgency.waited_s(step) > max_wait

    # -- Choice of runs ----------------------------------------------------------------------

    def _preempt_for(self, step: StepRow, rows: list[VmRow]) -> None:
        wanted = min(step.waiting, self._caps.places(step))
        if not wanted or (step.spec.gang and wanted < step.waiting):
            # Capacity beyond the organisation's cap is of no use to the step.
            return
        # A VM beside whose suspect the step may not start is of no use to it, and its capacity
        # would be withheld from all others.
        open_rows = [row for row in rows if self._placement.allows_start(step, row)]
        offers = [offer for row in open_rows for offer in self._offers(step, row)]
        # The stable sort keeps the order of one VM's offers, each of which builds on those before.
        offers.sort(key=lambda offer: offer.loss)
        chosen: list[_Offer] = []
        slots = 0
        for offer in offers:
            if slots >= wanted:
                break
            chosen.append(offer)
            slots += offer.slots
        if not any(offer.victims for offer in chosen):
            self._expect(step, chosen)
            return
        if slots < wanted and step.spec.gang:
            return
        loss = sum(offer.loss for offer in chosen)
        work = wanted * step.spec.shape.cores / MILLI * step.spec.expected_ms / MILLI
        if loss <= MAX_LOSS_SHARE * self._loss_fraction(step) * work:
            self._preempt(step, chosen, loss)

    def _offers(self, step: StepRow, row: VmRow) -> list[_Offer]:
        """Return the free slots of a VM, then each further slot with the runs to be stopped for it.

        The losses of one VM's offers increase.
        """
        charge = step.spec.charge
        capacity = row.free_capacity.plus(self._soon_free(row))
        most = max(0, row.spread_left(step))
        slots = min(most, charge.copies_in(capacity))
        offers = [_Offer(row, slots, [], 0.0)] if slots else []
        victims: list[tuple[float, RunRow]] = []
        max_loss = 0.0
        for victim in sorted(self._victims(row, step), key=_victim_loss):
            if slots >= most:
                break
            capacity = capacity.plus(victim[1].charge)
            victims.append(victim)
            gained = min(most, charge.copies_in(capacity)) - slots
            if gained > 0:
                capacity = _drop_needless(capacity, charge, slots + gained, victims)
                max_loss = max(max_loss, sum(loss for loss, _ in victims))
                offers.append(_Offer(row, gained, [run for _, run in victims], max_loss))
                slots += gained
                victims = []
        return offers

    def _soon_free(self, row: VmRow) -> Shape:
        """Return what stops on a VM will free, less what is reserved or others will use."""
        found = Shape()
        if row.reserved_for_preemptor_until <= self._state.now:
            for run in row.runs.values():
                if run.state is RunState.STOPPING:
                    found = found.plus(run.charge)
        expected = self._expected.get(row.name)
        return found if expected is None else found.less(expected)

    def _expect(self, step: StepRow, chosen: list[_Offer]) -> None:
        """Leave to a step what is free or soon free on some VMs."""
        for offer in chosen:
            expected = self._expected.get(offer.row.name, Shape())
            self._expected[offer.row.name] = expected.plus(step.spec.charge, offer.slots)

    def _victims(self, row: VmRow, step: StepRow) -> list[tuple[float, RunRow]]:
        """Return the runs of a VM that may be stopped, each with the core seconds lost."""
        priority = self._state.terms_of(step.job).priority
        found = []
        for run_priority, run, task in self._stoppable_runs(row):
            if run_priority <= priority or run.state is not RunState.RUNNING:
                continue
            if not self._state.may_be_stopped(task):
                continue
            found.append((self._loss(run, task.step.spec.saves), run))
        return found

    def _stoppable_runs(self, row: VmRow) -> list[tuple[int, RunRow, TaskRow]]:
        """Return the runs of a VM that may be stopped for some step, with their priorities.

        They are looked up once a round: there may be thousands of steps that seek capacity.
        """
        found = self._stoppable.get(row.name)
        if found is not None:
            return found
        found = self._stoppable[row.name] = []
        for run, task in self._state.running_on(row):
            spec = task.step.spec
            if not (spec.gang or spec.lasting or run.percent > 100 * NEARLY_DONE_SHARE):
                found.append((self._state.terms_of(task.step.job).priority, run, task))
        return found

    def _loss(self, run: RunRow, saves: bool) -> float:
        """Return the core seconds lost by stopping a run, which saves what can be saved."""
        elapsed = max(0.0, self._state.now - run.started_at)
        lost = self._state.settings.restore_s if saves else elapsed
        return run.charge.cores / MILLI * (lost + self._state.settings.stop_time_s)

    def _loss_fraction(self, step: StepRow) -> float:
        """Return the fraction of the maximum loss that is acceptable for a step now.

        It rises with time: a small loss pays at once, while a larger one waits, since capacity may
        become free by itself.
        """
        return min(1.0, self._urgency.spare_share_used(step) / FULL_LOSS_AT_SHARE)

    # -- Stopping runs -----------------------------------------------------------------------

    def _preempt(self, step: StepRow, offers: list[_Offer], loss: float) -> None:
        state = self._state
        names = sorted({offer.row.name for offer in offers})
        expected_call_s = self._advice.expected_call_s(step, len(names))
        until = state.now + state.settings.stop_time_s + 2 * expected_call_s + RESERVATION_MARGIN_S
        self._reserved_until[step.key] = until
        priority = state.terms_of(step.job).priority
        stopped = [run for offer in offers for run in offer.victims]
        for offer in offers:
            offer.row.preemptor_priority = priority
            offer.row.reserved_for_preemptor_until = until
            # Part of a gang's capacity is of no use to it, and other gangs would take such parts in
            # turn. So it is reserved for this gang alone.
            offer.row.preemptor_step = step.key if step.spec.gang else ""
        for run in stopped:
            self._reconcile.stop(run)
        if step.advice is not None:
            self._advice.request(step, names)
        state.logger.info(
            "runs preempted",
            extra={
                "step": step.key,
                "waits": step.waiting,
                "stopped": [(run.task, run.number, run.vm) for run in stopped],
                "vms": len(names),
                "lost_core_seconds": round(loss, 2),
            },
        )


def _victim_loss(victim: tuple[float, RunRow]) -> float:
    return victim[0]


def _drop_needless(
    capacity: Shape, charge: Shape, wanted: int, victims: list[tuple[float, RunRow]]
) -> Shape:
    """Remove the victims that need not be stopped to free the wanted slots, the costliest first."""
    for victim in sorted(victims, key=_victim_loss, reverse=True):
        remaining = capacity.plus(victim[1].charge, -1)
        if charge.copies_in(remaining) >= wanted:
            victims.remove(victim)
            capacity = remaining
    return capacity
