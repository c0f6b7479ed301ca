"""Placement: which waiting tasks start on which VMs.

Steps are placed by priority and then by when their job's objective ends. A gang is placed entirely
or not at all. Where advice is needed, the capacity of an assignment is reserved while tickets are
requested.
"""

from dataclasses import dataclass

from sablemount.jobs.job_lines import log_placement
from sablemount.jobs.model import Shape, step_key_of
from sablemount.jobs.state import State
from sablemount.jobs.systems.advice import Advice
from sablemount.jobs.systems.caps import Caps
from sablemount.jobs.systems.choice import Assignment, Choice
from sablemount.jobs.systems.every import IntervalTimer
from sablemount.jobs.systems.held_back import BlockingAnalysis
from sablemount.jobs.systems.reservation import GangReservations
from sablemount.jobs.systems.speeds import Speeds
from sablemount.jobs.systems.starts import Starts
from sablemount.jobs.systems.trials import Isolation
from sablemount.jobs.systems.vms import Vms
from sablemount.jobs.tables import StepRow, TaskRow, TaskState
from sablemount.jobs.vm_row import VmRow

__all__ = ["Placement"]

LOG_WAIT_AFTER_S = 3.0
"""Time after which a waiting step is logged, repeated for as long as it waits."""
LOG_WAIT_INTERVAL_S = 0.5
"""Interval between two searches for steps to log."""
MAX_LOGGED_STEPS = 4
"""Maximum number of steps logged per search: finding what blocks one takes a pass over all VMs."""
NO_CAPACITY = Shape()
MAX_VM_EVALUATIONS = 20_000
"""Maximum number of VMs evaluated in a round, where a VM counts once for each step that is matched
against it; the remaining steps are left to the next round. This is some 40 ms of a processor core,
in which the process does nothing else."""
MAX_STARTS_PER_STEP = 1_000
"""Maximum number of tasks of a step that are matched in one round, except for a gang's."""
MAX_SMALL_STEP = 64
"""Number of waiting tasks up to which all of a step are matched: to make their rows takes less time
than to count the places of all VMs."""
EVALUATIONS_PER_START = 20
"""Number of evaluations for which a start counts in a round: it takes some 40 us."""
RETRY_INTERVAL_S = 0.25
"""Time after which a step that found no capacity is tried again in any case."""


@dataclass(slots=True)
class _Selection:
    """Tasks of a step that are matched against some VMs."""

    tasks: list[TaskRow]
    is_partial: bool
    """Whether there are more that may be started."""
    takes_all_room: bool
    """Whether the VMs have no room for more."""


class Placement:
    """Assigns waiting tasks to VMs and requests their starts."""

    def __init__(
        self,
        state: State,
        vms: Vms,
        advice: Advice,
        gang_reservations: GangReservations,
        caps: Caps,
        starts: Starts,
        speeds: Speeds,
    ) -> None:
        self._state = state
        self._caps = caps
        self._gang_reservations = gang_reservations
        self._vms = vms
        self._advice = advice
        self._starts = starts
        self._speeds = speeds
        self._isolation = Isolation(state)
        self._choice = Choice(state, advice, self._isolation, speeds)
        self._blocking = BlockingAnalysis(state, vms, advice, gang_reservations, self._isolation)
        self._wait_log_timer = IntervalTimer(LOG_WAIT_INTERVAL_S)
        self._last_round_at = -RETRY_INTERVAL_S
        self._max_free = Shape()
        """An upper bound of the cores, memory and accelerators that are free on any one usable
        VM."""
        self._evaluated = 0
        """VMs evaluated in this round, counted as for ``MAX_VM_EVALUATIONS``."""
        self._has_unmatched = False
        """Whether a step has more tasks than were matched at once, and capacity may be left."""
        self._tried: set[str] = set()
        """Steps tried in this pass over all open steps, which may take several rounds."""
        self._pass_capacity_version = -1
        """Capacity version when this pass began."""
        self._candidates_source: list[VmRow] = []
        self._candidates_by_kind: dict[tuple[str, str], list[VmRow]] = {}

    # -- Placement round ---------------------------------------------------------------------

    def run(self) -> None:
        """Run a placement round if something has changed since the last pass."""
        state = self._state
        if state.now - self._last_round_at > RETRY_INTERVAL_S or self._has_unmatched:
            state.capacity_version += 1
        self._has_unmatched = False
        if self._wait_log_timer.due(state.now):
            self._log_waiting()
        if (
            state.capacity_version == state.placed_at_capacity_version
            and not state.steps_marked_for_placement
        ):
            return
        self._last_round_at = state.now
        if not self._tried:
            self._pass_capacity_version = state.capacity_version
        usable = self.usable_rows()
        self._max_free = _max_free_capacity(usable)
        self._isolation.begin_round(usable)
        self._gang_reservations.begin_round()
        self._caps.begin_round()
        before = set(self._tried)
        if self._round(usable):
            # A step that was tried in an earlier round and marked since is tried again.
            state.steps_marked_for_placement &= before & state.open_steps.keys()
            self._tried.clear()
            state.placed_at_capacity_version = self._pass_capacity_version
        else:
            state.steps_marked_for_placement -= self._tried - before

    @property
    def has_untried_steps(self) -> bool:
        """Whether some steps, or tasks of them, were left to the next round."""
        return bool(self._tried) or self._has_unmatched

    def _round(self, usable: list[VmRow]) -> bool:
        """Try steps until enough VMs were evaluated; return whether every step was tried.

        The most urgent steps are tried in each round, since capacity that has become free meanwhile
        is theirs first. Beyond half of the round's limit, steps already tried in this pass are
        skipped in favour of the rest.
        """
        state = self._state
        current_version = state.capacity_version
        self._evaluated = 0
        for step in self.steps_by_urgency():
            if not step.waiting:
                state.close_step(step)
            elif step.key in self._tried and self._evaluated > MAX_VM_EVALUATIONS // 2:
                continue
            elif (
                step.tried_at_capacity_version != current_version
                or step.key in state.steps_marked_for_placement
            ):
                if self._evaluated > MAX_VM_EVALUATIONS:
                    return False
                self._tried.add(step.key)
                self._place(step, usable)
        return True

    def steps_by_urgency(self) -> list[StepRow]:
        """Return the open steps, the most urgent first."""
        return sorted(self._state.open_steps.values(), key=self._state.urgency_of)

    def usable_rows(self) -> list[VmRow]:
        """Return the VMs that may get new work at all."""
        return [row for row in self._state.vms.values() if self._vms.is_usable(row)]

    def is_ready(self, step: StepRow) -> bool:
        """Return whether a step may be started at all."""
        job = step.job
        if not job.durable or _gang_may_run(step) or self._state.now < step.paused_until:
            return False
        if not job.from_previous_leader or step.opened_here:
            return True
        # What a previous leader accepted may still run on a VM that was not polled yet.
        held = self._state.held_tasks
        if held is None:
            return False
        return not step.spec.gang or not any(step_key_of(task) == step.key for task in held)

    def _place(self, step: StepRow, usable: list[VmRow]) -> None:
        if step.awaiting_tickets and step.advice is not None and step.advice.calls_in_flight:
            return
        self._release_ticket_reservations(step)
        step.tried_at_capacity_version = self._state.capacity_version
        if not self.is_ready(step):
            self._request_unknown(step, usable)
            return
        self._gang_reservations.release(step)
        self._caps.release_reservation(step)
        places = self._caps.places(step)
        step.update_capped(places < step.waiting, self._state.now)
        if places < step.waiting:
            self._caps.reserve_for_gang(step)
            if step.spec.gang or not places:
                return
        if not self._has_startable(step):
            return
        if self._fits_nowhere(step):
            self._request_unknown(step, usable)
            return
        rows = self.allowed_rows(step, usable)
        self._evaluated += len(usable)
        self._isolation.isolate_for(step, rows)
        available = self._gang_reservations.available_to(step, rows)
        made: list[TaskRow] = []
        selected = self._select(step, places, available, made)
        if not step.spec.gang or selected.is_partial or len(selected.tasks) == step.waiting:
            self._match(step, usable, rows, available, selected)
        step.tasks.release(made)

    def _has_startable(self, step: StepRow) -> bool:
        """Return whether a task may be started, or all tasks of a gang.

        A task without a row is taken for one that may.
        """
        if step.job.from_previous_leader and not self._state.store_answers:
            # Each start has to be recorded first.
            return False
        known = step.tasks.waiting_rows()
        if step.spec.gang:
            return all(map(self.is_startable, known))
        return len(known) < step.waiting or any(map(self.is_startable, known))

    def _select(
        self, step: StepRow, places: int, rows: list[VmRow], made: list[TaskRow]
    ) -> _Selection:
        """Return the tasks to be matched against some VMs, at most ``places``.

        Of a wide step these are no more than the VMs have room for, beside those with
        failures or crashes, which may not start on any VM. ``made`` gets the rows made for them.
        """
        room = step.waiting
        if room > MAX_SMALL_STEP:
            room = _places_up_to(step, rows, room)
        if step.spec.gang and room < step.waiting:
            return _Selection([], True, True)
        limit = room if step.spec.gang else min(room, MAX_STARTS_PER_STEP)
        tasks: list[TaskRow] = []
        unhampered = 0
        for task in step.tasks.waiting(made):
            if unhampered >= limit or len(tasks) >= places:
                break
            if self.is_startable(task):
                tasks.append(task)
                unhampered += not (task.failed_on or task.crashes)
        is_partial = unhampered >= limit and len(tasks) < min(places, step.waiting)
        return _Selection(tasks, is_partial, room <= limit)

    def _match(
        self,
        step: StepRow,
        usable: list[VmRow],
        rows: list[VmRow],
        available: list[VmRow],
        selected: _Selection,
    ) -> None:
        """Start the selected tasks of a step on the available ones of its VMs."""
        tasks = selected.tasks
        chosen = self._choice.assign(step, tasks, available)
        lacks_room = len(chosen) < len(tasks) or (selected.is_partial and selected.takes_all_room)
        if lacks_room:
            self._max_free = _max_free_capacity(usable)
            self._request_unknown(step, usable)
            if step.spec.gang:
                self._gang_reservations.reserve_vms(step, rows)
                return
        elif selected.is_partial:
            self._has_unmatched = True
        self._evaluated += EVALUATIONS_PER_START * len(chosen)
        self._start_or_request(step, chosen)

    def _release_ticket_reservations(self, step: StepRow) -> None:
        names = list(step.awaiting_tickets)
        self._state.release_ticket_reservations(step)
        rows = (self._state.vms.get(name) for name in names)
        self._max_free = _max_free_capacity(
            [row for row in rows if row is not None], self._max_free
        )

    def _fits_nowhere(self, step: StepRow) -> bool:
        """Return whether no VM has capacity for a task of a step, without checking each VM.

        In a full cell every waiting step would otherwise be matched against all VMs in each round.
        Gangs are matched in any case, to reserve VMs, and so are jobs whose tasks are suspected of
        crashes and may wait for isolation.
        """
        exhaustive = step.spec.gang or step.job.name in self._state.suspected_jobs
        return not exhaustive and not step.spec.charge.fits(self._max_free)

    def is_startable(self, task: TaskRow) -> bool:
        """Return whether a waiting task may be started now.

        While the store does not answer, tasks whose start has to be recorded first may not. Nor
        may a task of which a run that is not wanted works until it has been stopped.
        """
        return (
            task.state is TaskState.WAITING
            and task.key not in self._state.unwanted_runs
            and not self._is_held(task)
            and task.awaits_verdict_until <= self._state.now
            and (self._state.store_answers or not task.must_record_first)
        )

    def _is_held(self, task: TaskRow) -> bool:
        """Return whether a task may run on a VM that has not reported to this leader."""
        if not task.step.job.from_previous_leader or task.step.opened_here:
            return False
        held = self._state.held_tasks
        return held is None or task.key in held

    def allowed_rows(self, step: StepRow, usable: list[VmRow]) -> list[VmRow]:
        """Return the VMs on which a step may run, whether they have free capacity or not."""
        now = self._state.now
        priority = self._state.terms_of(step.job).priority
        permitted = None if step.advice is None else step.advice.tickets
        return [
            row
            for row in self._candidates(step, usable)
            if (permitted is None or row.name in permitted)
            and not row.is_reserved_against(step, priority, now)
            and row.isolated_job in ("", step.job.name)
        ]

    def is_candidate(self, step: StepRow, row: VmRow) -> bool:
        """Return whether a VM is of a step's pool and label."""
        return _matches(row, self._state.terms_of(step.job).pool, step.spec.label)

    def allows_start(self, step: StepRow, row: VmRow) -> bool:
        """Return whether earlier crashes let one of a step's tasks start on a VM.

        The VM is one that the step may use in other respects.
        """
        if not step.job.has_crashes:
            return True
        known = step.tasks.waiting_rows()
        if len(known) < step.waiting:
            return True
        return any(self._isolation.may_start(task, row) for task in known)

    def _candidates(self, step: StepRow, usable: list[VmRow]) -> list[VmRow]:
        """Return the usable VMs of a step's pool and label, computed once a round."""
        kind = (self._state.terms_of(step.job).pool, step.spec.label)
        if self._candidates_source is not usable:
            self._candidates_source = usable
            self._candidates_by_kind = {}
        found = self._candidates_by_kind.get(kind)
        if found is None:
            found = self._candidates_by_kind[kind] = [row for row in usable if _matches(row, *kind)]
        return found

    def _log_waiting(self) -> None:
        """Log some of the steps that have waited for long, with the reasons."""
        now = self._state.now
        late = [
            step
            for step in self._state.open_steps.values()
            if step.waiting and now - max(step.opened_at, step.wait_logged_at) >= LOG_WAIT_AFTER_S
        ]
        late.sort(key=lambda step: (step.wait_logged_at, step.opened_at))
        for step in late[:MAX_LOGGED_STEPS]:
            step.wait_logged_at = now
            self._log_wait(step, len(late))

    def _log_wait(self, step: StepRow, late: int) -> None:
        state = self._state
        advice = step.advice
        organisation = self._caps.organisation(step)
        capped = organisation is not None and self._caps.places(step) < step.waiting
        state.logger.info(
            "step is waiting",
            extra={
                "organisation": step.job.organisation,
                "cap": organisation.cap if organisation is not None and capped else None,
                "in_use": state.usage.of(step.job.organisation) if capped else None,
                "version": state.configuration.version,
                "step": step.key,
                "waits": step.waiting,
                "of": step.open_tasks,
                "ready": self.is_ready(step),
                "noting": state.store_answers,
                "crashes": max((len(task.crashes) for task in step.tasks.rows()), default=0),
                "booked": len(step.awaiting_tickets),
                "asking": 0 if advice is None else advice.calls_in_flight,
                "unasked_for": round(self._advice.slot_wait_s(step), 3),
                "good": -1 if advice is None else len(advice.tickets),
                "bad": -1 if advice is None else len(advice.denied_vms),
                "held": self._blocking.count_reasons(step),
                "late": late,
            },
        )

    # -- Advice ------------------------------------------------------------------------------

    def _request_unknown(self, step: StepRow, usable: list[VmRow]) -> None:
        """Request advice on the VMs without any, fast enough ones and most free cores first."""
        advice = step.advice
        if (
            advice is None
            or advice.calls_in_flight
            or advice.known_at_vms_version == self._state.vms_version
        ):
            return
        charge = step.spec.charge
        candidates = self._candidates(step, usable)
        self._evaluated += len(candidates)
        unknown = [
            row
            for row in candidates
            if self._advice.lacks_advice(step, row) and charge.fits(row.info.capacity)
        ]
        if not unknown:
            # A VM that is silent or avoided now may lack advice, and may be usable again at any
            # time.
            if len(usable) == len(self._state.vms):
                advice.known_at_vms_version = self._state.vms_version
            return
        unknown = [row for row in unknown if self._is_worth_requesting(step, row)]
        if not unknown:
            return
        required_speed = self._speeds.required_speed(step)
        unknown.sort(
            key=lambda row: (
                not self._speeds.is_fast_enough(required_speed, row),
                -row.free_capacity.cores,
            )
        )
        requested = unknown[: self._advice.request_size(step)]
        self._advice.request(
            step, [row.name for row in requested], self._demand_share(step, requested)
        )

    def _is_worth_requesting(self, step: StepRow, row: VmRow) -> bool:
        """Return whether an answer for a VM could be used soon.

        While call slots are congested, only a step with slow calls requests advice ahead of free
        capacity. Others would prevent each other, and all less urgent steps, from requesting it
        where there is some.
        """
        if row.isolated_job not in ("", step.job.name):
            return False
        if self._advice.has_slow_calls(step) or not self._advice.is_congested:
            return True
        if not row.has_place_for(step):
            return False
        if self._advice.in_demand(row.name):
            self._advice.defer(step)
            return False
        return True

    def _demand_share(self, step: StepRow, rows: list[VmRow]) -> float:
        """Return the share of some VMs' free capacity that a step demands by a quick call."""
        if self._advice.has_slow_calls(step):
            return 0.0
        places = sum(row.places_for(step) for row in rows)
        return min(1.0, step.waiting / places) if places else 0.0

    def _start_or_request(self, step: StepRow, chosen: Assignment) -> None:
        if not chosen:
            return
        stale = {row.name for _, row in chosen if not self._advice.permits(step, row)}
        if stale and step.spec.gang:
            self._reserve(step, chosen)
            self._advice.request(step, sorted({row.name for _, row in chosen}))
            return
        permitted = [pair for pair in chosen if pair[1].name not in stale]
        self._start(step, permitted)
        if stale:
            self._reserve(step, [pair for pair in chosen if pair[1].name in stale])
            self._advice.request(step, sorted(stale))

    def _reserve(self, step: StepRow, chosen: Assignment) -> None:
        """Reserve the capacity of an assignment until its tickets have arrived."""
        for _, row in chosen:
            step.awaiting_tickets[row.name] = step.awaiting_tickets.get(row.name, 0) + 1
            row.reserve(step)

    # -- Starts ------------------------------------------------------------------------------

    def _start(self, step: StepRow, chosen: Assignment) -> None:
        if not chosen:
            return
        if step.spec.gang:
            self._starts.create_runs(step, chosen)
        else:
            for pair in chosen:
                self._starts.create_runs(step, [pair])
        log_placement(self._state.logger, step, chosen, self._state.now)


def _places_up_to(step: StepRow, rows: list[VmRow], most: int) -> int:
    """Return how many tasks of a step some VMs have room for, counted up to ``most``."""
    places = 0
    for row in rows:
        places += row.places_for(step)
        if places >= most:
            return most
    return places


def _max_free_capacity(rows: list[VmRow], least: Shape = NO_CAPACITY) -> Shape:
    """Return the most of each resource that is free on any one VM, and at least ``least``."""
    capacities = [least, *(row.free_capacity for row in rows)]
    return Shape(
        max(capacity.cores for capacity in capacities),
        max(capacity.memory for capacity in capacities),
        max(capacity.accelerators for capacity in capacities),
    )


def _matches(row: VmRow, pool: str, label: str) -> bool:
    return row.info.pool == pool and (not label or label in row.info.labels)


def _gang_may_run(step: StepRow) -> bool:
    """Return whether a member of a gang may still run, so that none can be started yet."""
    return step.spec.gang and step.waiting < step.open_tasks
