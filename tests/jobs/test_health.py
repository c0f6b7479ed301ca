"""VMs are quarantined by the failures and the progress of their tasks."""

from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import CORE, Rig, spec

WHOLE = Shape(8_000, 1_000)


def _run_jobs(rig: Rig, jobs: int) -> None:
    for number in range(jobs):
        rig.accept(f"job{number}", spec(StepSpec(1, WHOLE, expected_ms=8000.0)))
    rig.tick()
    rig.hold_all()


def _advance(rig: Rig, percents: dict[str, float]) -> None:
    """Let half a second pass in which the runs of each VM progress by some percent."""
    rig.clock.time += 0.5
    for vm, progress in percents.items():
        for row in list(rig.running.get(vm, [])):
            rows = rig.running[vm]
            rows[rows.index(row)] = type(row)(row.task, row.run, "", row.percent + progress)
    rig.report_all()
    rig.tick()


def test_a_vm_whose_tasks_fail_is_quarantined() -> None:
    rig = Rig(vms=1)
    for number in range(2):
        rig.accept(f"job{number}", spec(StepSpec(1, CORE)))
    rig.tick()
    for start in rig.started():
        rig.complete(start, "failed")
    rig.report_all()
    assert rig.tick() == []
    assert rig.scheduler.state.vms["w0"].avoid_until > rig.clock.time
    rig.wait(1.5)
    assert len(rig.started()) == 4


def test_a_job_that_fails_everywhere_quarantines_no_vm() -> None:
    rig = Rig(vms=3)
    rig.accept("job", spec(StepSpec(3, WHOLE)))
    rig.tick()
    for start in rig.started():
        rig.complete(start, "failed")
    rig.report_all()
    rows = rig.scheduler.state.vms.values()
    assert all(row.avoid_until < rig.clock.time for row in rows)


def test_stalled_tasks_are_started_elsewhere() -> None:
    rig = Rig(vms=2)
    _run_jobs(rig, 4)
    for _ in range(4):
        _advance(rig, {"w0": 0.0, "w1": 5.0})
    assert {stop.vm for stop in rig.stopped()} == {"w0"}
    assert rig.scheduler.state.vms["w0"].avoid_until > rig.clock.time


def test_a_slow_vm_is_detected_by_the_speed_of_its_own_tasks() -> None:
    rig = Rig(vms=2)
    _run_jobs(rig, 4)
    for _ in range(4):
        _advance(rig, {"w0": 5.0, "w1": 5.0})
    for _ in range(4):
        _advance(rig, {"w0": 1.0, "w1": 5.0})
    assert rig.scheduler.state.vms["w0"].avoid_until > rig.clock.time
    assert rig.scheduler.state.vms["w1"].avoid_until < rig.clock.time


def test_long_tasks_alone_do_not_make_a_vm_slow() -> None:
    rig = Rig(vms=2)
    _run_jobs(rig, 4)
    for _ in range(10):
        _advance(rig, {"w0": 1.0, "w1": 9.0})
    assert rig.scheduler.state.vms["w0"].avoid_until < rig.clock.time
