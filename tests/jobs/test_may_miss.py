"""A step may bound how many of its tasks are away at once by our doing."""

import msgspec

from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import Rig, queue, spec

THIRD = Shape(5_000, 1_000)
HALF = Shape(8_000, 1_000)
URGENT = queue("fast", 0)
CHEAP = queue("slow", 2)
NOTICE = 30.0
SHORT_NOTICE = 0.6


def _served(step: StepSpec, percent: float = 100.0) -> Rig:
    """Return a rig on whose only VM all tasks of a step run; at 100 percent they are at work."""
    rig = Rig(vms=1, queues=(URGENT, CHEAP))
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    rig.accept("serves", spec(step), CHEAP)
    rig.tick()
    rig.hold_all(percent)
    return rig


def _drain(rig: Rig, notice: float) -> None:
    info = rig.scheduler.state.vms["w0"].info
    rig.scheduler.told(msgspec.structs.replace(info, draining=True, leaves_in=notice))


LASTS = StepSpec(3, THIRD, lasting=True, may_miss=1)


def test_tasks_leave_a_vm_that_drains_one_at_a_time() -> None:
    rig = _served(LASTS)
    _drain(rig, NOTICE)
    rig.tick(0.2)
    assert len(rig.stopped()) == 1
    rig.tick(0.2)
    assert len(rig.stopped()) == 1


def test_the_next_one_leaves_once_the_one_before_is_at_work_elsewhere() -> None:
    rig = _served(LASTS)
    rig.add_vms(1)
    rig.commit()
    _drain(rig, NOTICE)
    rig.tick(0.2)
    (stop,) = rig.stopped()
    rig.end(next(start for start in rig.started() if start.task == stop.task), "stopped")
    rig.hear_all()
    rig.tick(0.2)
    again = rig.started()[-1]
    assert (again.task, again.vm) == (stop.task, "w1")
    rig.run(again, 100.0)
    rig.hear_all()
    rig.tick(0.2)
    assert len(rig.stopped()) == 2


def test_what_is_left_goes_at_the_last_moment() -> None:
    rig = _served(LASTS)
    _drain(rig, SHORT_NOTICE)
    rig.tick(0.2)
    assert len(rig.stopped()) == 3


def test_cheaper_work_that_may_not_be_missed_does_not_yield() -> None:
    # None of them is at work yet, so that one more would be missed.
    rig = _served(StepSpec(2, HALF, expected_ms=5000.0, saves=True, may_miss=1), 20.0)
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.wait(0.7)
    assert rig.stopped() == []
