"""A VM counts exactly the runs that may be there and the places that are reserved there.

Seeded random events are played; after each of them the counts are compared with a recount.
"""

import random
from collections import Counter
from collections.abc import Callable

import msgspec
import pytest

from sablemount.jobs.actions import Action, LaterIncarnation, RunReport, StartRun, StopRun
from sablemount.jobs.model import AdviceTerms, JobSpec, Shape, StepSpec, VmInfo, step_key_of
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.vm_row import VmRow
from tests.jobs.rig import CAPACITY, CORE, WALL_MS, Rig, queue

URGENT = queue("fast", 0)
ADVISED = queue("advised", 1, AdviceTerms(9.0, 0.1, 2000.0))
CHEAP = queue("slow", 2)
QUEUES = (URGENT, ADVISED, CHEAP)
SHAPES = (CORE, Shape(8_000, 1_000), Shape(4_000, 16_000, 1))
CAPACITIES = (CAPACITY, Shape(8_000, 64_000, 0), Shape(2_000, 8_000, 2), Shape(32_000, 99_000, 4))
VMS = 3
SPREADS = (0, 1, 1, 2, 3)
STEPS_S = (0.01, 0.1, 0.3, 1.0)
LONG_S = 0.5
LONG_STEPS = 20
FOUND_RUN = 5
FIRST_LIFE = 1
COURSES = 300
COURSES_PER_TEST = 50
EVENTS_PER_COURSE = 60
OTHER_TASKS = ("gone.0.0.1", "gone.0.0.2", "gone", "", "a.b.c.d", "j0.0.0", "j0.0.9.1", "j0.x.0.1")
"""Tasks of jobs that are not known, and names that are no tasks."""


def _info(number: int) -> VmInfo:
    """Return how a VM of the rig describes itself in its first life."""
    labels = ("b", f"r{number}")
    return VmInfo(f"w{number}", f"a{number}", "pool", CAPACITY, labels, revision=1, born=FIRST_LIFE)


class Play:
    """Plays events with a rig whose VMs carry out some of the starts and stops."""

    def __init__(self) -> None:
        self.beyond: list[str] = []
        """Starts that were requested where no place was left."""
        self.rig = self._watched(Rig(VMS, queues=QUEUES))
        for number in range(VMS):
            self.rig.scheduler.update_vm(_info(number))
        self._next_job = 0
        self._lives = FIRST_LIFE
        self._seen = 0
        self._open_starts: list[StartRun] = []
        self._open_stops: list[StopRun] = []

    def _watched(self, rig: Rig) -> Rig:
        rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
        rig.scheduler.advice.set_call_slots({"one", "two"})
        state = rig.scheduler.state
        emit = state.emit

        def emit_checked(action: Action) -> None:
            if isinstance(action, StartRun):
                self._check_start(rig, action)
            emit(action)

        state.emit = emit_checked  # type: ignore[method-assign]
        return rig

    def _check_start(self, rig: Rig, start: StartRun) -> None:
        row = rig.scheduler.state.vms[start.vm]
        task = rig.scheduler.state.task(start.task)
        assert task is not None
        if row.spread_left(task.step) < 0 or not Shape().fits(row.free_capacity):
            self.beyond.append(f"{start.task} on {start.vm}")

    @property
    def rows(self) -> dict[str, VmRow]:
        return self.rig.scheduler.state.vms

    def run(self, event: str, rng: random.Random) -> None:
        EVENTS[event](self, rng)
        self._collect()

    def _collect(self) -> None:
        """Take the starts and stops that were requested, and check what the starts join."""
        for action in self.rig.actions[self._seen :]:
            if isinstance(action, StartRun):
                self._open_starts.append(action)
            elif isinstance(action, StopRun):
                self._open_stops.append(action)
        self._seen = len(self.rig.actions)

    # -- Jobs --------------------------------------------------------------------------------

    def accept(self, rng: random.Random) -> None:
        self._next_job += 1
        steps = (self._step(rng), self._step(rng, (0,)))[: rng.randint(1, 2)]
        times = rng.choice((0, 0, 2))
        job = JobSpec("payload", steps, times, WALL_MS if times else 0.0, 500.0 if times else 0.0)
        self.rig.accept(f"j{self._next_job}", job, rng.choice((*QUEUES, ADVISED)))

    @staticmethod
    def _step(rng: random.Random, after: tuple[int, ...] = ()) -> StepSpec:
        return StepSpec(
            rng.randint(1, 6),
            rng.choice(SHAPES),
            rng.choice((1_000.0, 30_000.0)),
            after,
            gang=rng.random() < 0.2,
            spread=rng.choice(SPREADS),
            saves=rng.random() < 0.5,
            fills=rng.random() < 0.1,
        )

    def cancel(self, rng: random.Random) -> None:
        self.rig.scheduler.cancel(f"j{rng.randint(0, self._next_job)}")

    # -- Time and answers --------------------------------------------------------------------

    def tick(self, rng: random.Random) -> None:
        self.rig.tick(rng.choice(STEPS_S))

    def wait(self, rng: random.Random) -> None:
        self.rig.commit()
        self.rig.wait(rng.choice(STEPS_S))

    def wait_long(self, rng: random.Random) -> None:
        for _ in range(rng.randint(1, LONG_STEPS)):
            self.rig.commit()
            self.rig.wait(LONG_S)

    def toggle_store(self, rng: random.Random) -> None:
        self.rig.records_at_once = not self.rig.records_at_once

    def carry_out(self, rng: random.Random) -> None:
        """Let VMs carry out some of the requests, and lose others."""
        for start in self._open_starts:
            if rng.random() < 0.7:
                self.rig.hold(start)
        for stop in self._open_stops:
            self._end(stop.vm, stop.task, "stopped")
        self._open_starts, self._open_stops = [], []

    def answer(self, rng: random.Random) -> None:
        """Answer some of the starts, and drop the others."""
        for start in self._open_starts:
            how = rng.randrange(4)
            if how == 0:
                self.rig.hold(start)
                clock_ms = self.rig.clock.time * 1000.0
                self.rig.scheduler.reconcile.run_started(start.vm, start.task, start.run, clock_ms)
            elif how == 1:
                why = rng.choice(list(StartRefusal))
                certain = rng.random() < 0.8
                self.rig.scheduler.start_refused(start.vm, start.task, start.run, why, certain)
        self._open_starts = []

    def advise(self, rng: random.Random) -> None:
        advice = self.rig.scheduler.advice
        for call in self.rig.advice_calls()[-4:]:
            if rng.random() < 0.2:
                advice.call_failed(call.call_slot, call.step)
            else:
                good = {vm: "ticket" for vm in call.vms if rng.random() < 0.8}
                valid_ms = rng.choice((200.0, 2_000.0))
                advice.answered(call.call_slot, call.step, call.vms, good, valid_ms)

    def end(self, rng: random.Random) -> None:
        """Let some runs end."""
        for vm in sorted(self.rig.running):
            for run in list(self.rig.running[vm]):
                if rng.random() < 0.4:
                    self._end(vm, run.task, rng.choice(("done", "done", "failed", "stopped")))

    def _end(self, vm: str, task: str, outcome: str) -> None:
        for run in self.rig.running.get(vm, ()):
            if run.task == task:
                self.rig.complete(StartRun(vm, task, run.run, "", 0.0), outcome)
                return

    def find(self, rng: random.Random) -> None:
        """Let a VM hold a run that it was not requested to start."""
        if not self.rows:
            return
        vm = rng.choice(sorted(self.rows))
        tasks = [*OTHER_TASKS]
        for job in self.rig.scheduler.state.open_jobs.values():
            tasks += [task.key for step in job.steps.values() for task in step.tasks]
        runs = self.rig.running.setdefault(vm, [])
        task = rng.choice(tasks)
        if all(run.task != task for run in runs):
            runs.append(RunReport(task, FOUND_RUN, "", 0.0))

    # -- VMs ---------------------------------------------------------------------------------

    def silence(self, rng: random.Random) -> None:
        """Let a VM fall silent, or be heard again."""
        names = sorted(self.rows)
        if names:
            vm = rng.choice(names)
            if vm in self.rig.vm_names:
                self.rig.vm_names.remove(vm)
            else:
                self.rig.vm_names.append(vm)

    def describe(self, rng: random.Random) -> None:
        """Let a VM shrink, grow or drain."""
        if not self.rows:
            return
        row = self.rows[rng.choice(sorted(self.rows))]
        info = msgspec.structs.replace(
            row.info,
            capacity=rng.choice(CAPACITIES),
            draining=rng.random() < 0.1,
            revision=row.revision + 1,
        )
        self.rig.scheduler.update_vm(info)

    def list_anew(self, rng: random.Random) -> None:
        """Let an entry be removed, or be written again."""
        number = rng.randrange(VMS)
        if rng.random() < 0.5:
            self.rig.scheduler.entry_removed(f"w{number}")
            return
        self.rig.scheduler.update_vm(_info(number))

    def restart(self, rng: random.Random) -> None:
        """Let a VM restart under its id, which its entry shows or its answer."""
        rows = [row for row in self.rows.values() if not row.terminated]
        if not rows:
            return
        row = rng.choice(sorted(rows, key=lambda row: row.name))
        self._lives += 1
        entry = row.info.entry_key
        name, born = f"{entry}/{self._lives}", self._lives
        before = self.rig.running.pop(row.name, [])
        if rng.random() < 0.3:
            # Requests that were on their way reach the next incarnation.
            self.rig.running[name] = [RunReport(run.task, run.run, "", 0.0) for run in before]
        if rng.random() < 0.5:
            self.rig.scheduler.incarnation_replaced(row, LaterIncarnation(name, born), 0)
        if rng.random() < 0.8:
            info = msgspec.structs.replace(
                row.info, name=name, instance=entry, born=born, capacity=rng.choice(CAPACITIES)
            )
            self.rig.scheduler.update_vm(info)
        self.rig.vm_names = [vm for vm in self.rig.vm_names if vm != row.name]
        self.rig.vm_names.append(name)

    def end_incarnation(self, rng: random.Random) -> None:
        names = sorted(self.rows)
        if names and rng.random() < 0.3:
            self.rig.scheduler.vms.incarnation_ended(rng.choice(names))

    def lead_anew(self, rng: random.Random) -> None:
        """Let a later leader take over."""
        if rng.random() < 0.3:
            self.rig = self._watched(self.rig.successor())
            self._seen = 0


EVENTS: dict[str, Callable[[Play, random.Random], None]] = {
    "accept": Play.accept,
    "cancel": Play.cancel,
    "tick": Play.tick,
    "wait": Play.wait,
    "wait long": Play.wait_long,
    "store": Play.toggle_store,
    "carry out": Play.carry_out,
    "answer": Play.answer,
    "advise": Play.advise,
    "end": Play.end,
    "find": Play.find,
    "silence": Play.silence,
    "describe": Play.describe,
    "list anew": Play.list_anew,
    "restart": Play.restart,
    "end incarnation": Play.end_incarnation,
    "lead anew": Play.lead_anew,
}
OFTEN = ("accept", "tick", "wait", "wait", "carry out", "answer", "advise", "end", "silence")
DRAWN = (*OFTEN, *EVENTS)


def _check_row(play: Play, row: VmRow) -> None:
    state = play.rig.scheduler.state
    counts = Counter(step_key_of(task) for task, _ in row.runs)
    charged = Shape()
    for run in row.runs.values():
        charged = charged.plus(run.charge)
    steps = {step.key: step for job in state.open_jobs.values() for step in job.steps.values()}
    for key, places in row.reserved.items():
        assert places > 0
        assert key in state.open_steps
        counts[key] += places
        charged = charged.plus(steps[key].spec.charge, places)
    assert row.tasks_by_step == dict(counts)
    assert row.free_capacity == row.info.capacity.plus(charged, -1)
    for (task, number), run in row.runs.items():
        assert (run.task, run.number, run.vm) == (task, number, row.name)


def _check_steps(play: Play) -> None:
    state = play.rig.scheduler.state
    for job in state.open_jobs.values():
        for step in job.steps.values():
            for vm, places in step.awaiting_tickets.items():
                row = state.vms.get(vm)
                assert row is None or row.reserved.get(step.key, 0) in (0, places)
            for task in step.tasks:
                for run in task.runs:
                    assert state.vms[run.vm].runs[run.task, run.number] is run


def _check_orphans(play: Play) -> None:
    state = play.rig.scheduler.state
    for key, run in state.orphans.items():
        assert state.vms[run.vm].runs[run.task, run.number] is run
        assert key == (run.vm, run.task, run.number)


def _play(seed: int) -> None:
    rng = random.Random(seed)
    play = Play()
    for _ in range(EVENTS_PER_COURSE):
        play.run(rng.choice(DRAWN), random.Random(rng.random()))
        for row in play.rows.values():
            _check_row(play, row)
        _check_steps(play)
        _check_orphans(play)
        assert play.beyond == []


@pytest.mark.parametrize("first", range(0, COURSES, COURSES_PER_TEST))
def test_places_are_what_may_run_and_what_is_reserved(first: int) -> None:
    for seed in range(first, first + COURSES_PER_TEST):
        try:
            _play(seed)
        except AssertionError as error:
            raise AssertionError(f"in the course of seed {seed}") from error


def test_places_reserved_at_a_row_are_not_released_at_another_of_its_name() -> None:
    rig = Rig(1, queues=QUEUES)
    rig.scheduler.advice.set_call_slots({"one"})
    job = rig.accept("job", JobSpec("payload", (StepSpec(1, CORE, spread=1),)), ADVISED)
    rig.tick()
    (call,) = rig.advice_calls()
    tickets = dict.fromkeys(call.vms, "ticket")
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, tickets, 1.0)
    rig.tick()
    step = job.steps[(0, 0)]
    assert step.awaiting_tickets == {"w0": 1}
    state = rig.scheduler.state
    assert state.vms["w0"].spread_left(step) == 0
    again = state.vms["w0"] = VmRow(state.vms["w0"].info, free_capacity=CAPACITY)
    rig.scheduler.cancel("job")
    assert (again.free_capacity, again.tasks_by_step) == (CAPACITY, {})
