"""VMs are judged by their tasks."""

from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import CORE, Rig, spec

WHOLE = Shape(8_000, 1_000)


def _running(rig: Rig, jobs: int) -> None:
    for number in range(jobs):
        rig.accept(f"job{number}", spec(StepSpec(1, WHOLE, expected_ms=8000.0)))
    rig.tick()
    rig.hold_all()


def _advance(rig: Rig, percents: dict[str, float]) -> None:
    """Let half a second go by, in which each VM's runs come some percent further."""
    rig.clock.time += 0.5
    for vm, step in percents.items():
        for row in list(rig.running.get(vm, [])):
            rows = rig.running[vm]
            rows[rows.index(row)] = type(row)(row.task, row.run, "", row.percent + step)
    rig.hear_all()
    rig.tick()


def test_a_vm_whose_tasks_fail_is_quarantined() -> None:
    rig = Rig(vms=1)
    for number in range(2):
        rig.accept(f"job{number}", spec(StepSpec(1, CORE)))
    rig.tick()
    for start in rig.started():
        rig.end(start, "failed")
    rig.hear_all()
    assert rig.tick() == []
    assert rig.scheduler.state.vms["w0"].avoid_until > rig.clock.time
    rig.wait(1.5)
    assert len(rig.started()) == 4


def test_a_job_that_fails_everywhere_puts_no_vm_out() -> None:
    rig = Rig(vms=3)
    rig.accept("job", spec(StepSpec(3, WHOLE)))
    rig.tick()
    for start in rig.started():
        rig.end(start, "failed")
    rig.hear_all()
    rows = rig.scheduler.state.vms.values()
    assert all(row.avoid_until < rig.clock.time for row in rows)


def test_tasks_that_stand_still_are_started_elsewhere() -> None:
    rig = Rig(vms=2)
    _running(rig, 4)
    for _ in range(4):
        _advance(rig, {"w0": 0.0, "w1": 5.0})
    assert {stop.vm for stop in rig.stopped()} == {"w0"}
    assert rig.scheduler.state.vms["w0"].avoid_until > rig.clock.time


def test_a_vm_that_turns_slow_is_told_by_its_tasks_own_pace() -> None:
    rig = Rig(vms=2)
    _running(rig, 4)
    for _ in range(4):
        _advance(rig, {"w0": 5.0, "w1": 5.0})
    for _ in range(4):
        _advance(rig, {"w0": 1.0, "w1": 5.0})
    assert rig.scheduler.state.vms["w0"].avoid_until > rig.clock.time
    assert rig.scheduler.state.vms["w1"].avoid_until < rig.clock.time


def test_long_tasks_alone_make_no_vm_slow() -> None:
    rig = Rig(vms=2)
    _running(rig, 4)
    for _ in range(10):
        _advance(rig, {"w0": 1.0, "w1": 9.0})
    assert rig.scheduler.state.vms["w0"].avoid_until < rig.clock.time
