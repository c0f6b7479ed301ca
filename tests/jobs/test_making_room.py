"""Tests that preemption goes by the slack of the waiting steps and stops no more than is needed."""

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
NO_SLACK = Queue(URGENT.host, URGENT.prefix, QueueTerms("fast", "pool", 0, 3, 1.1, 100.0))
"""Urgent jobs without slack, for which runs are stopped at once."""


def _full_rig() -> Rig:
    """Return a rig whose VMs are full of low-priority runs."""
    rig = Rig(vms=2, queues=QUEUES)
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("batch", spec(StepSpec(4, HALF, expected_ms=5000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    return rig


def test_the_slack_is_the_time_to_the_objective_beyond_the_expected_duration() -> None:
    rig = Rig(vms=2, queues=QUEUES)
    first = StepSpec(1, HALF, expected_ms=2000.0)
    job = rig.accept("a", spec(first, StepSpec(1, HALF, expected_ms=1000.0, after=(0,))), URGENT)
    urgency = Urgency(rig.scheduler.state)
    assert [step.critical_path_s for step in job.steps.values()] == [3.0, 1.0]
    # The stretch is 2 and the target 1 s.
    assert round(urgency.slack_s(job.steps[(0, 0)]), 6) == 4.0


def test_runs_are_stopped_at_once_for_a_step_without_slack() -> None:
    rig = _full_rig()
    terms = QueueTerms("fast", "pool", 0, 3, stretch=1.1, target_latency_ms=100.0)
    tight = Queue(URGENT.host, URGENT.prefix, terms)
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), tight)
    rig.tick(0.05)
    assert len(rig.stopped()) == 1


def test_nothing_is_preempted_while_the_store_does_not_answer() -> None:
    rig = _full_rig()
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.clock.time += 1.0
    rig.report_all()
    rig.scheduler.update_time()
    actions = rig.scheduler.tick(store_answers=False)
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


def _start_beside_new_suspect(rig: Rig) -> None:
    """Fill one VM with low-priority runs, and start another job's suspect on the other."""
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("batch", spec(StepSpec(2, HALF, expected_ms=5000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    suspect = rig.accept("other", spec(StepSpec(1, HALF)), URGENT)
    _suspect(rig, suspect)
    rig.tick()
    assert [start.vm for start in rig.started() if start.task == "other.0.0.0"] == ["w1"]


def _suspect(rig: Rig, job: JobRow) -> None:
    """Make a job's tasks suspects, as after the crash of a VM that they ran on."""
    job.has_crashes = True
    rig.scheduler.state.suspected_jobs[job.name] = job
    for step in job.steps.values():
        for task in step.tasks:
            task.crashes = ["gone"]


def test_no_capacity_is_reserved_where_a_step_may_not_start_beside_a_suspect() -> None:
    """Capacity was reserved for a step that could not use it, and withheld from other jobs."""
    rig = Rig(vms=2, queues=QUEUES)
    _start_beside_new_suspect(rig)
    waits = rig.accept("waits", spec(StepSpec(4, HALF, expected_ms=9000.0)), NO_SLACK)
    _suspect(rig, waits)
    for _ in range(5):
        rig.tick(0.05)
    vms = rig.scheduler.state.vms
    assert vms["w1"].reserved_for_preemptor_until < rig.clock.time
    calm = rig.accept("calm", spec(StepSpec(1, HALF)), CHEAP)
    rig.tick()
    assert [run.vm for task in calm.steps[(0, 0)].tasks for run in task.runs] == ["w1"]


def test_runs_are_not_stopped_for_a_step_that_may_not_start_there() -> None:
    rig = Rig(vms=1, queues=QUEUES)
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("batch", spec(StepSpec(1, HALF, expected_ms=5000.0, saves=True)), CHEAP)
    rig.tick()
    rig.hold_all()
    _suspect(rig, rig.accept("other", spec(StepSpec(1, HALF)), URGENT))
    rig.tick()
    waits = rig.accept("waits", spec(StepSpec(2, HALF, expected_ms=9000.0)), NO_SLACK)
    _suspect(rig, waits)
    for _ in range(5):
        rig.tick(0.05)
    assert not rig.stopped()
