"""Tests steps that bound how many of their tasks the scheduler may take away at once."""

import msgspec

from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import Rig, queue, spec

THIRD = Shape(5_000, 1_000)
HALF = Shape(8_000, 1_000)
URGENT = queue("fast", 0)
CHEAP = queue("slow", 2)
NOTICE_S = 30.0
SHORT_NOTICE_S = 0.6
SETTLE_S = 1.0


def _running_rig(step: StepSpec, percent: float = 100.0) -> Rig:
    """Return a rig with one VM that runs all tasks of a step; at 100 percent they are at work."""
    rig = Rig(vms=1, queues=(URGENT, CHEAP))
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("serves", spec(step), CHEAP)
    rig.tick()
    rig.hold_all(percent)
    return rig


def _drain(rig: Rig, notice: float) -> None:
    info = rig.scheduler.state.vms["w0"].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, draining=True, leaves_in=notice))


LONG_RUNNING = StepSpec(3, THIRD, lasting=True, may_miss=1)


def test_tasks_leave_a_vm_that_drains_one_at_a_time() -> None:
    rig = _running_rig(LONG_RUNNING)
    _drain(rig, NOTICE_S)
    rig.tick(0.2)
    assert len(rig.stopped()) == 1
    rig.tick(0.2)
    assert len(rig.stopped()) == 1


def test_the_next_one_leaves_once_the_one_before_is_at_work_elsewhere() -> None:
    rig = _running_rig(LONG_RUNNING)
    rig.add_vms(1)
    rig.commit()
    _drain(rig, NOTICE_S)
    rig.tick(0.2)
    (stop,) = rig.stopped()
    rig.complete(next(start for start in rig.started() if start.task == stop.task), "stopped")
    rig.report_all()
    rig.tick(0.2)
    restarted = rig.started()[-1]
    assert (restarted.task, restarted.vm) == (stop.task, "w1")
    rig.hold(restarted, 100.0)
    rig.report_all()
    rig.tick(0.2)
    assert len(rig.stopped()) == 2


def test_the_remaining_tasks_are_stopped_at_the_last_moment() -> None:
    rig = _running_rig(LONG_RUNNING)
    _drain(rig, SHORT_NOTICE_S)
    rig.tick(0.2)
    assert len(rig.stopped()) == 3


def test_runs_that_may_not_be_missed_are_not_preempted() -> None:
    # None of the tasks is at work yet, so one more would be missing.
    rig = _running_rig(StepSpec(2, HALF, expected_ms=5000.0, saves=True, may_miss=1), 20.0)
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.wait(0.7)
    assert rig.stopped() == []


def test_tasks_are_not_stopped_at_once_on_a_vm_that_has_not_listed_an_end() -> None:
    rig = _running_rig(LONG_RUNNING)
    rig.wait(SETTLE_S)
    rig.running["w0"].pop()
    rig.wait(SETTLE_S)
    assert rig.scheduler.state.vms["w0"].completions_unreliable
    # The task that is no longer listed is away, and the step may miss no other.
    assert [stop.task for stop in rig.stopped()] == []
