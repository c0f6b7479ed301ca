"""Tests that VMs are reserved for waiting gangs without excluding others from them for long."""

from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import Rig, queue, spec

HALF = Shape(8_000, 1_000)
URGENT = queue("fast", 0)
GANGS = queue("gangs", 1)
CHEAP = queue("slow", 2)
QUEUES = (URGENT, GANGS, CHEAP)


def _busy_rig(vms: int, running: int) -> Rig:
    """Return a rig whose VMs run tasks of half a VM that are never preempted."""
    rig = Rig(vms=vms, queues=QUEUES)
    for number in range(running):
        rig.accept(f"batch{number}", spec(StepSpec(1, HALF, expected_ms=900_000.0)), GANGS)
    rig.start_and_hold_all()
    return rig


def _jobs_started(rig: Rig, since: int) -> list[str]:
    return [start.task.partition(".")[0] for start in rig.started()[since:]]


def _complete_first(rig: Rig, count: int) -> None:
    """Complete some of the first tasks."""
    for start in rig.started()[:count]:
        rig.complete(start, "done")
    rig.report_all()
    rig.tick()


def test_room_that_comes_free_is_held_for_a_gang_that_waits() -> None:
    rig = _busy_rig(vms=8, running=16)
    rig.accept("gang", spec(StepSpec(3, HALF, expected_ms=6000.0, gang=True)), GANGS)
    rig.accept("cheap", spec(StepSpec(16, HALF, expected_ms=6000.0)), CHEAP)
    rig.tick()
    _complete_first(rig, 2)
    assert "gang" not in _jobs_started(rig, 16)
    _complete_first(rig, 5)
    assert _jobs_started(rig, 16).count("gang") == 3


def test_the_reservation_of_a_gang_ends_with_its_start() -> None:
    rig = _busy_rig(vms=8, running=16)
    rig.accept("gang", spec(StepSpec(2, HALF, expected_ms=6000.0, gang=True)), GANGS)
    rig.tick()
    rig.accept("cheap", spec(StepSpec(4, HALF, expected_ms=6000.0)), CHEAP)
    _complete_first(rig, 2)
    assert _jobs_started(rig, 16) == ["gang", "gang"]
    _complete_first(rig, 6)
    assert _jobs_started(rig, 16).count("cheap") == 4


def test_a_gang_that_no_vm_could_take_holds_nothing() -> None:
    rig = _busy_rig(vms=4, running=8)
    rig.accept("gang", spec(StepSpec(9, HALF, expected_ms=6000.0, gang=True)), GANGS)
    rig.accept("cheap", spec(StepSpec(1, HALF, expected_ms=6000.0)), CHEAP)
    rig.tick()
    _complete_first(rig, 1)
    assert _jobs_started(rig, 8) == ["cheap"]


def test_half_of_the_vms_that_a_step_may_use_are_left_to_it() -> None:
    rig = _busy_rig(vms=2, running=4)
    rig.accept("gang", spec(StepSpec(4, HALF, expected_ms=6000.0, gang=True)), GANGS)
    rig.accept("cheap", spec(StepSpec(1, HALF, expected_ms=6000.0, label="a")), CHEAP)
    rig.tick()
    rig.complete(next(start for start in rig.started() if start.vm == "w1"), "done")
    rig.report_all()
    rig.tick()
    assert _jobs_started(rig, 4) == ["cheap"]
