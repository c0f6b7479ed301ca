"""Room is made by the slack of what waits, and no more of it than is needed."""

from sablemount.jobs.actions import StopRun
from sablemount.jobs.model import Queue, QueueTerms, Shape, StepSpec
from sablemount.jobs.systems.urgency import Urgency
from sablemount.jobs.tables import JobRow
from tests.jobs.rig import Rig, queue, spec

HALF = Shape(8_000, 1_000)
URGENT = queue("fast", 0)
GANGS = queue("gangs", 1)
CHEAP = queue("slow", 2)
QUEUES = (URGENT, GANGS, CHEAP)
TIGHT = Queue(URGENT.host, URGENT.prefix, QueueTerms("fast", "pool", 0, 3, 1.1, 100.0))
"""Urgent work without slack, which others yield to at once."""


def _full() -> Rig:
    """Return a rig whose VMs are full of cheap work."""
    rig = Rig(vms=2, queues=QUEUES)
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("batch", spec(StepSpec(4, HALF, expected_ms=5000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    return rig


def test_the_slack_is_what_the_objective_leaves_beyond_the_chain() -> None:
    rig = Rig(vms=2, queues=QUEUES)
    first = StepSpec(1, HALF, expected_ms=2000.0)
    job = rig.accept("a", spec(first, StepSpec(1, HALF, expected_ms=1000.0, after=(0,))), URGENT)
    urgency = Urgency(rig.scheduler.state)
    assert [step.chain for step in job.steps.values()] == [3.0, 1.0]
    # The stretch is 2 and the target 1 s.
    assert round(urgency.slack(job.steps[(0, 0)]), 6) == 4.0


def test_work_without_slack_has_room_made_for_it_at_once() -> None:
    rig = _full()
    terms = QueueTerms("fast", "pool", 0, 3, stretch=1.1, target_latency_ms=100.0)
    tight = Queue(URGENT.host, URGENT.prefix, terms)
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), tight)
    rig.tick(0.05)
    assert len(rig.stopped()) == 1


def test_no_room_is_made_while_the_store_is_silent() -> None:
    rig = _full()
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.clock.time += 1.0
    rig.hear_all()
    rig.scheduler.now()
    actions = rig.scheduler.tick(noting=False)
    assert not any(isinstance(action, StopRun) for action in actions)
    rig.tick(0.05)
    assert len(rig.stopped()) == 1


def test_a_victim_that_turns_out_needless_is_spared() -> None:
    rig = Rig(vms=1, queues=QUEUES)
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    small, large = Shape(2_000, 1_000), Shape(12_000, 1_000)
    rig.accept("small", spec(StepSpec(2, small, expected_ms=9000.0, saves=True)), CHEAP)
    rig.accept("large", spec(StepSpec(1, large, expected_ms=9000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    rig.tick(1.0)
    rig.accept("quote", spec(StepSpec(1, large, expected_ms=30_000.0)), URGENT)
    for _ in range(40):
        rig.wait(0.1)
    assert {stop.task.partition(".")[0] for stop in rig.stopped()} == {"large"}


def _beside_young_suspects(rig: Rig) -> None:
    """Fill one VM with cheap work, and have another suspect's first moments on the other."""
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("batch", spec(StepSpec(2, HALF, expected_ms=5000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    suspect = rig.accept("other", spec(StepSpec(1, HALF)), URGENT)
    _blame(rig, suspect)
    rig.tick()
    assert [start.vm for start in rig.started() if start.task == "other.0.0.0"] == ["w1"]


def _blame(rig: Rig, job: JobRow) -> None:
    """Have one VM crash under a job's tasks."""
    job.watched = True
    rig.scheduler.state.suspected[job.name] = job
    for step in job.steps.values():
        for task in step.tasks:
            task.crashes = ["gone"]


def test_no_room_is_kept_where_what_waits_may_not_start_beside_a_suspect() -> None:
    """Calm work was kept from room that the step for which it was kept could not use."""
    rig = Rig(vms=2, queues=QUEUES)
    _beside_young_suspects(rig)
    waits = rig.accept("waits", spec(StepSpec(4, HALF, expected_ms=9000.0)), TIGHT)
    _blame(rig, waits)
    for _ in range(5):
        rig.tick(0.05)
    vms = rig.scheduler.state.vms
    assert vms["w1"].kept_until < rig.clock.time
    calm = rig.accept("calm", spec(StepSpec(1, HALF)), CHEAP)
    rig.tick()
    assert [run.vm for task in calm.steps[(0, 0)].tasks for run in task.runs] == ["w1"]


def test_cheaper_work_does_not_yield_to_what_may_not_start_there() -> None:
    rig = Rig(vms=1, queues=QUEUES)
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("batch", spec(StepSpec(1, HALF, expected_ms=5000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    _blame(rig, rig.accept("other", spec(StepSpec(1, HALF)), URGENT))
    rig.tick()
    waits = rig.accept("waits", spec(StepSpec(2, HALF, expected_ms=9000.0)), TIGHT)
    _blame(rig, waits)
    for _ in range(5):
        rig.tick(0.05)
    assert not rig.stopped()
