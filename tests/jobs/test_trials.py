"""Where tasks under which VMs have crashed are started."""

from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.systems.trials import ISOLATION_TIME_S, ISOLATION_WAIT_S
from sablemount.jobs.tables import JobRow
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

HALF = Shape(8_000, 1_000)


def _submit_suspect(rig: Rig, name: str, crashes: int, step: StepSpec | None = None) -> JobRow:
    """Submit a job under whose tasks some VMs have crashed."""
    rig.scheduler.state.released_at = rig.clock.time
    row = rig.accept(name, spec(step or StepSpec(1, CORE)))
    rig.scheduler.state.suspected_jobs[name] = row
    for task in row.steps[(0, 0)].tasks:
        task.crashes = [f"gone{number}" for number in range(crashes)]
    return row


def _vms_of(row: JobRow) -> list[str]:
    return [run.vm for step in row.steps.values() for task in step.tasks for run in task.runs]


def test_suspects_of_different_jobs_start_on_different_vms() -> None:
    rig = Rig(vms=4)
    jobs = [_submit_suspect(rig, name, 1) for name in ("a", "b", "c")]
    rig.tick()
    assert len({vm for job in jobs for vm in _vms_of(job)}) == 3


def test_suspects_of_one_job_may_start_together() -> None:
    rig = Rig(vms=1)
    job = _submit_suspect(rig, "a", 1, StepSpec(3, CORE))
    rig.tick()
    assert _vms_of(job) == ["w0"] * 3


def test_a_suspect_starts_beside_another_that_has_been_at_work_for_a_while() -> None:
    rig = Rig(vms=1)
    _submit_suspect(rig, "a", 1)
    rig.start_and_hold_all()
    second = _submit_suspect(rig, "b", 1)
    rig.tick()
    assert _vms_of(second) == []
    for _ in range(3):
        rig.wait(0.3)
    assert _vms_of(second) == ["w0"]


def test_an_isolated_vm_takes_nothing_of_other_jobs_until_the_run_has_ended() -> None:
    rig = Rig(vms=2)
    isolated = _submit_suspect(rig, "a", 2)
    rig.start_and_hold_all()
    (vm,) = _vms_of(isolated)
    others = rig.accept("b", spec(StepSpec(40, CORE)))
    rig.start_and_hold_all()
    assert vm not in _vms_of(others)
    rig.complete(next(start for start in rig.started() if start.task == "a.0.0.0"), "done")
    rig.wait(0.3)
    rig.wait(0.3)
    assert vm in _vms_of(others)


def test_isolation_waits_until_other_runs_have_been_at_work_for_a_while() -> None:
    rig = Rig(vms=1)
    rig.accept("b", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    isolated = _submit_suspect(rig, "a", 2)
    rig.tick()
    assert _vms_of(isolated) == []
    for _ in range(3):
        rig.wait(0.3)
    assert _vms_of(isolated) == ["w0"]


def test_a_task_that_finds_no_vm_for_isolation_starts_without() -> None:
    rig = Rig(vms=1)
    _submit_suspect(rig, "a", 2, StepSpec(1, HALF))
    rig.start_and_hold_all()
    second = _submit_suspect(rig, "b", 2, StepSpec(1, HALF))
    rig.wait(0.6)
    assert _vms_of(second) == []
    rig.complete(next(start for start in rig.started() if start.task == "a.0.0.0"), "done")
    for _ in range(int(ISOLATION_WAIT_S / 0.3) + 1):
        rig.wait(0.3)
    assert _vms_of(second) == ["w0"]


def test_only_a_share_of_the_vms_is_isolated_at_once() -> None:
    rig = Rig(vms=8)
    for number in range(6):
        _submit_suspect(rig, f"a{number}", 2)
    rig.tick()
    assert sum(1 for row in rig.scheduler.state.vms.values() if row.isolated_job) == 2


def test_a_gang_gets_isolated_vms_for_all_its_members() -> None:
    rig = Rig(vms=16)
    step = StepSpec(4, Shape(CAPACITY.cores // 2, 1_000), gang=True)
    job = _submit_suspect(rig, "a", 2, step)
    rig.tick()
    assert len(_vms_of(job)) == 4
    assert len(set(_vms_of(job))) == 2


def test_nothing_is_started_where_nothing_listens() -> None:
    rig = Rig(vms=2)
    state = rig.scheduler.state
    rig.scheduler.vms.connection_refused(state.vms["w0"])
    job = rig.accept("a", spec(StepSpec(20, CORE)))
    rig.tick()
    assert set(_vms_of(job)) == {"w1"}
    rig.wait(0.3)
    assert "w0" in _vms_of(job)


def test_a_task_that_has_long_been_at_work_does_not_isolate_its_vm() -> None:
    rig = Rig(vms=1)
    isolated = _submit_suspect(rig, "a", 2, StepSpec(1, CORE, lasting=True))
    rig.start_and_hold_all()
    others = rig.accept("b", spec(StepSpec(1, CORE)))
    rig.wait(ISOLATION_TIME_S / 2)
    assert (_vms_of(isolated), _vms_of(others)) == (["w0"], [])
    rig.wait(ISOLATION_TIME_S / 2)
    rig.wait(0.3)
    assert _vms_of(others) == ["w0"]
