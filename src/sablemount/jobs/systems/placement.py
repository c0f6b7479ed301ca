"""Which waiting tasks start on which VMs.

Steps are taken by priority and then by when their job's objective ends. A gang is placed whole or
not at all. Where advice is needed, the room of an assignment is booked while tickets are asked for.
"""

from sablemount.jobs.job_lines import runs_placed
from sablemount.jobs.model import Shape
from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.choice import Assignment, Choice
from sablemount.jobs.systems.every import Every
from sablemount.jobs.systems.held_back import HeldBack
from sablemount.jobs.systems.reservation import Reservation
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.systems.starts import Starts
from sablemount.jobs.systems.trials import Trials
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow, TaskRow, TaskState, VmRow

__all__ = ["Placement"]

TELL_AFTER = 3.0
"""Seconds after which a step that waits is logged, again and again."""
TELL_INTERVAL = 0.5
"""Seconds between two looks for such steps."""
TOLD_AT_ONCE = 4
"""Steps that are logged at each look at most: what holds one back takes a look at all VMs."""
NO_ROOM = Shape()
MOST_WEIGHED = 20_000
"""VMs weighed in a round, each as often as a step is held against it, after which the rest of the
steps is left to the next round: some 40 ms of a processor core, in which nothing else is done."""
RETRY_INTERVAL = 0.25
"""Seconds after which a step that found no room is looked at again in any case."""


class Placement:
    """Places waiting tasks."""

    def __init__(
        self,
        state: State,
        vms: Vms,
        advice: Advice,
        reservation: Reservation,
        caps: Caps,
        starts: Starts,
        speeds: Speeds,
    ) -> None:
        self._state = state
        self._caps = caps
        self._reservation = reservation
        self._vms = vms
        self._advice = advice
        self._starts = starts
        self._speeds = speeds
        self._trials = Trials(state)
        self._choice = Choice(state, advice, self._trials, speeds)
        self._held_back = HeldBack(state, vms, advice, reservation, self._trials)
        self._telling = Every(TELL_INTERVAL)
        self._looked_at = -RETRY_INTERVAL
        self._most = Shape()
        """The most cores, memory and accelerators that are free on any one usable VM, or more."""
        self._weighed = 0
        """VMs weighed in this round."""
        self._tried: set[str] = set()
        """Steps tried since the first one was, in as many rounds as that takes."""
        self._tried_from = -1
        """What had been freed when the first one was."""
        self._round_of: list[VmRow] = []
        self._by_kind: dict[tuple[str, str], list[VmRow]] = {}

    # -- The round -----------------------------------------------------------------------------

    def run(self) -> None:
        """Look at the steps for which something has changed."""
        state = self._state
        if state.now - self._looked_at > RETRY_INTERVAL:
            state.freed += 1
        if self._telling.due(state.now):
            self._tell_of_waiting()
        if state.freed == state.placed_at_freed and not state.touched:
            return
        self._looked_at = state.now
        if not self._tried:
            self._tried_from = state.freed
        usable = self.usable_rows()
        self._most = _most_room(usable)
        self._trials.begin(usable)
        self._reservation.begin()
        self._caps.begin()
        before = set(self._tried)
        if self._round(usable):
            # What was tried in an earlier round, and has been touched since, has another turn.
            state.touched &= before & state.open_steps.keys()
            self._tried.clear()
            state.placed_at_freed = self._tried_from
        else:
            state.touched -= self._tried - before

    @property
    def unfinished(self) -> bool:
        """Tell whether some steps were left to the next round."""
        return bool(self._tried)

    def _round(self, usable: list[VmRow]) -> bool:
        """Try steps until enough VMs were weighed; return whether all have had their turn.

        The most urgent ones are tried in each round, for what has become free meanwhile is theirs
        first. Then those that were tried give way to the rest.
        """
        state = self._state
        freed = state.freed
        self._weighed = 0
        for step in self.in_order():
            if not step.waiting:
                state.open_steps.pop(step.key, None)
            elif step.key in self._tried and self._weighed > MOST_WEIGHED // 2:
                continue
            elif step.tried_at_freed != freed or step.key in state.touched:
                if self._weighed > MOST_WEIGHED:
                    return False
                self._tried.add(step.key)
                self._place(step, usable)
        return True

    def in_order(self) -> list[StepRow]:
        """Return the open steps, the most urgent first."""
        return sorted(self._state.open_steps.values(), key=self._order)

    def _order(self, step: StepRow) -> tuple[int, float]:
        return (self._state.terms_of(step.job).priority, step.job.objective_at)

    def usable_rows(self) -> list[VmRow]:
        """Return the VMs that may get new work at all."""
        return [row for row in self._state.vms.values() if self._vms.usable(row)]

    def ready(self, step: StepRow) -> bool:
        """Tell whether a step may be started at all."""
        job = step.job
        if not job.durable or _gang_runs(step):
            return False
        # What a former leader accepted may still run where nobody has looked yet.
        return not job.former or self._state.former_settled

    def _place(self, step: StepRow, usable: list[VmRow]) -> None:
        if step.booked and step.advice is not None and step.advice.asking:
            return
        self._release_booked(step)
        step.tried_at_freed = self._state.freed
        if not self.ready(step):
            self._ask_unknown(step, usable)
            return
        self._reservation.release(step)
        self._caps.release(step)
        places = self._caps.places(step)
        step.note_cap(places < step.waiting, self._state.now)
        if places < step.waiting:
            self._caps.short(step)
            if step.spec.gang or not places:
                return
        tasks = [task for task in step.tasks if self.startable(task)][:places]
        if len(tasks) < step.waiting and (step.spec.gang or not tasks):
            return
        if self._finds_none(step):
            self._ask_unknown(step, usable)
            return
        rows = self.allowed(step, usable)
        self._weighed += len(usable)
        self._trials.prepare(step, rows)
        chosen = self._choice.assign(step, tasks, self._reservation.left_to(step, rows))
        if len(chosen) < len(tasks):
            self._most = _most_room(usable)
            self._ask_unknown(step, usable)
            if step.spec.gang:
                self._reservation.hold(step, rows)
                return
        self._start_or_ask(step, chosen)

    def _release_booked(self, step: StepRow) -> None:
        names = list(step.booked)
        self._state.release_booked(step)
        rows = (self._state.vms.get(name) for name in names)
        self._most = _most_room([row for row in rows if row is not None], self._most)

    def _finds_none(self, step: StepRow) -> bool:
        """Tell whether no VM has room for a task of a step, without a look at each.

        In a full cell each step that waits would be held against all VMs in each round. A gang
        looks at them all the same, to hold some, and so does what waits for a trial.
        """
        looks = step.spec.gang or step.job.name in self._state.suspected
        return not looks and not step.spec.charge.fits(self._most)

    def startable(self, task: TaskRow) -> bool:
        """Tell whether a task waits for a start, and not for the store to note that first."""
        return task.state is TaskState.WAITING and (self._state.noting or not task.noted_first)

    def allowed(self, step: StepRow, usable: list[VmRow]) -> list[VmRow]:
        """Return the VMs on which a step may run, whether they have room or not."""
        now = self._state.now
        priority = self._state.terms_of(step.job).priority
        good = None if step.advice is None else step.advice.good
        return [
            row
            for row in self._candidates(step, usable)
            if (good is None or row.name in good)
            and not row.kept_from(step, priority, now)
            and row.trial in ("", step.job.name)
        ]

    def is_candidate(self, step: StepRow, row: VmRow) -> bool:
        """Tell whether a VM is of a step's pool and label."""
        return _is_of(row, self._state.terms_of(step.job).pool, step.spec.label)

    def lets_start(self, step: StepRow, row: VmRow) -> bool:
        """Tell whether a VM that a step may use takes one of its tasks, as far as crashes tell."""
        if not step.job.watched:
            return True
        return any(self._trials.may_start(task, row) for task in step.tasks if _waits(task))

    def _candidates(self, step: StepRow, usable: list[VmRow]) -> list[VmRow]:
        """Return the usable VMs of a step's pool and label, found once a round."""
        kind = (self._state.terms_of(step.job).pool, step.spec.label)
        if self._round_of is not usable:
            self._round_of = usable
            self._by_kind = {}
        found = self._by_kind.get(kind)
        if found is None:
            found = self._by_kind[kind] = [row for row in usable if _is_of(row, *kind)]
        return found

    def _tell_of_waiting(self) -> None:
        """Log some of the steps that have waited for long, with what they wait for."""
        now = self._state.now
        late = [
            step
            for step in self._state.open_steps.values()
            if step.waiting and now - max(step.opened_at, step.told_at) >= TELL_AFTER
        ]
        late.sort(key=lambda step: (step.told_at, step.opened_at))
        for step in late[:TOLD_AT_ONCE]:
            step.told_at = now
            self._tell_of(step, len(late))

    def _tell_of(self, step: StepRow, late: int) -> None:
        state = self._state
        advice = step.advice
        organisation = self._caps.organisation(step)
        capped = organisation is not None and self._caps.places(step) < step.waiting
        state.logger.info(
            "step waits",
            extra={
                "organisation": step.job.organisation,
                "cap": organisation.cap if organisation is not None and capped else None,
                "in_use": state.usage.of(step.job.organisation) if capped else None,
                "version": state.configuration.version,
                "step": step.key,
                "waits": step.waiting,
                "of": step.open_tasks,
                "ready": self.ready(step),
                "noting": state.noting,
                "crashes": max(len(task.crashes) for task in step.tasks),
                "booked": len(step.booked),
                "asking": 0 if advice is None else advice.asking,
                "unasked_for": round(self._advice.slot_wait(step), 3),
                "good": -1 if advice is None else len(advice.good),
                "bad": -1 if advice is None else len(advice.bad),
                "held": self._held_back.by(step),
                "late": late,
            },
        )

    # -- Advice --------------------------------------------------------------------------------

    def _ask_unknown(self, step: StepRow, usable: list[VmRow]) -> None:
        """Ask for the VMs of which nothing is known, those with most room first."""
        advice = step.advice
        if advice is None or advice.asking or advice.known_at == self._state.vms_changed:
            return
        charge = step.spec.charge
        candidates = self._candidates(step, usable)
        self._weighed += len(candidates)
        unknown = [
            row
            for row in candidates
            if self._advice.unknown(step, row) and charge.fits(row.info.capacity)
        ]
        if not unknown:
            # One that is silent or avoided now may be unknown, and usable again at any time.
            if len(usable) == len(self._state.vms):
                advice.known_at = self._state.vms_changed
            return
        unknown = [row for row in unknown if self._worth_asking(step, row)]
        if not unknown:
            return
        needed = self._speeds.needed(step)
        unknown.sort(key=lambda row: (not self._speeds.enough(needed, row), -row.room.cores))
        asked = unknown[: self._advice.request_size(step)]
        self._advice.want(step, [row.name for row in asked], self._share_sought(step, asked))

    def _worth_asking(self, step: StepRow, row: VmRow) -> bool:
        """Tell whether an answer for a VM could be used soon.

        While lanes are short, only a step whose questions take long asks ahead of room. Others
        would keep each other, and all that is less urgent, from asking where there is some.
        """
        if row.trial not in ("", step.job.name):
            return False
        if self._advice.has_slow_calls(step) or not self._advice.congested:
            return True
        if not step.spec.charge.fits(row.room):
            return False
        if self._advice.in_demand(row.name):
            self._advice.defer(step)
            return False
        return True

    def _share_sought(self, step: StepRow, rows: list[VmRow]) -> float:
        """Return which share of the room of some VMs a step seeks by a quick question."""
        if self._advice.has_slow_calls(step):
            return 0.0
        places = sum(step.spec.charge.times_in(row.room) for row in rows)
        return min(1.0, step.waiting / places) if places else 0.0

    def _start_or_ask(self, step: StepRow, chosen: Assignment) -> None:
        if not chosen:
            return
        stale = {row.name for _, row in chosen if not self._advice.valid(step, row)}
        if stale and step.spec.gang:
            self._book(step, chosen)
            self._advice.want(step, sorted({row.name for _, row in chosen}))
            return
        good = [pair for pair in chosen if pair[1].name not in stale]
        self._start(step, good)
        if stale:
            self._book(step, [pair for pair in chosen if pair[1].name in stale])
            self._advice.want(step, sorted(stale))

    def _book(self, step: StepRow, chosen: Assignment) -> None:
        """Keep the room of an assignment until its tickets are there."""
        for _, row in chosen:
            step.booked[row.name] = step.booked.get(row.name, 0) + 1
            row.room = row.room.plus(step.spec.charge, -1)

    # -- Starts --------------------------------------------------------------------------------

    def _start(self, step: StepRow, chosen: Assignment) -> None:
        if not chosen:
            return
        if step.spec.gang:
            self._starts.enter(step, chosen)
        else:
            for pair in chosen:
                self._starts.enter(step, [pair])
        runs_placed(self._state.logger, step, chosen, self._state.now)


def _most_room(rows: list[VmRow], least: Shape = NO_ROOM) -> Shape:
    """Return the most of each kind that is free on any one of some VMs, and ``least`` at least."""
    rooms = [least, *(row.room for row in rows)]
    return Shape(
        max(room.cores for room in rooms),
        max(room.memory for room in rooms),
        max(room.accelerators for room in rooms),
    )


def _is_of(row: VmRow, pool: str, label: str) -> bool:
    return row.info.pool == pool and (not label or label in row.info.labels)


def _waits(task: TaskRow) -> bool:
    return task.state is TaskState.WAITING


def _gang_runs(step: StepRow) -> bool:
    """Tell whether some member of a gang may still run, so that none can be started yet."""
    return step.spec.gang and step.waiting < step.open_tasks
