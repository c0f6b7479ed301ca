"""A run that is being stopped may crash its VM until it is over, whatever became of its job."""

import gc
import weakref

import pytest

from sablemount.jobs.actions import RunReport, StartRun
from sablemount.jobs.model import StepSpec
from sablemount.jobs.records import PROGRESS_PREFIX, Progress, decode_progress
from sablemount.jobs.settings import RETENTION_FACTOR, JobSettings
from sablemount.jobs.sizes import progress_record
from sablemount.jobs.tables import MAX_CRASH_WEIGHT, JobRow, JobState, TaskRow
from tests.jobs.rig import CORE, Rig, spec

GONE = ["gone0", "gone1"]


def _task(job: JobRow) -> TaskRow:
    return job.steps[(0, 0)].tasks[0]


def _accept(rig: Rig, name: str, crashes: list[str]) -> JobRow:
    job = rig.accept(name, spec(StepSpec(1, CORE)))
    if crashes:
        _task(job).crashes = list(crashes)
        job.has_crashes = True
        rig.scheduler.state.suspected_jobs[name] = job
    return job


def _suspect_beside(rig: Rig) -> tuple[JobRow, JobRow, str]:
    """Run two jobs on a VM, the first under suspicion; return them and the VM."""
    suspect, beside = (_accept(rig, name, []) for name in ("bad", "beside"))
    rig.start_and_hold_all()
    _task(suspect).crashes = list(GONE)
    suspect.has_crashes = True
    rig.scheduler.state.mark_dirty(suspect)
    rig.commit()
    (run,) = _task(beside).runs
    return suspect, beside, run.vm


def _cancel(rig: Rig, name: str) -> None:
    rig.scheduler.cancel(name)
    rig.commit()


def _crash(rig: Rig, vm: str) -> None:
    rig.vm_names.remove(vm)
    rig.scheduler.vms.incarnation_ended(vm)
    rig.wait(0.4)


def _vms_of(job: JobRow) -> list[str]:
    return [run.vm for run in _task(job).runs]


def _forget_ended(rig: Rig) -> None:
    """Let so much time pass by the time of day that ended jobs are removed."""
    state = rig.scheduler.state
    state.wall_ms += JobSettings().state_retention_s * RETENTION_FACTOR * 1000.0 + 1000.0
    rig.scheduler._run_slow_systems()
    assert "bad" not in state.jobs


# -- Causes of a crash -----------------------------------------------------------------------


def test_a_crash_counts_less_beside_a_suspect_that_a_later_leader_finds_unwanted() -> None:
    rig = Rig(vms=8)
    _, _, vm = _suspect_beside(rig)
    _cancel(rig, "bad")
    later = rig.successor()
    later.report_all()
    later.tick()
    _crash(later, vm)
    beside = _task(later.scheduler.state.jobs["beside"])
    assert beside.crashes == [vm]
    assert beside.crash_weight(vm) < MAX_CRASH_WEIGHT


def test_a_crash_before_the_first_report_counts_for_a_recorded_suspect_of_an_ended_job() -> None:
    rig = Rig(vms=8)
    _, _, vm = _suspect_beside(rig)
    rig.scheduler.journal.update_vm_record(rig.scheduler.state.vms[vm])
    _cancel(rig, "bad")
    later = rig.successor()
    later.vm_names.remove(vm)
    later.report_all()
    later.tick()
    later.scheduler.vms.incarnation_ended(vm)
    later.wait(0.4)
    crash = later.scheduler.crashes._evidence.crash(vm)
    assert crash is not None
    assert sorted(crash.tasks) == ["bad.0.0.0", "beside.0.0.0"]
    assert crash.tasks["bad.0.0.0"].crashes == [*GONE, vm]


def test_a_crash_counts_less_beside_a_suspect_whose_job_was_removed() -> None:
    rig = Rig(vms=8)
    _, beside, vm = _suspect_beside(rig)
    _cancel(rig, "bad")
    _forget_ended(rig)
    _crash(rig, vm)
    assert _task(beside).crash_weight(vm) < MAX_CRASH_WEIGHT


def test_a_crash_does_not_count_for_a_job_accepted_under_the_id_of_what_is_being_stopped() -> None:
    rig = Rig(vms=8)
    _, beside, vm = _suspect_beside(rig)
    _cancel(rig, "bad")
    _forget_ended(rig)
    again = rig.accept("bad", spec(StepSpec(1, CORE)))
    _crash(rig, vm)
    assert _task(again).crashes == []
    assert _task(beside).crash_weight(vm) < MAX_CRASH_WEIGHT
    rig.commit()
    later = rig.successor()
    assert not later.scheduler.state.jobs["bad"].state.is_final


def test_a_crash_counts_in_full_once_the_suspect_beside_is_over() -> None:
    rig = Rig(vms=8)
    _, beside, vm = _suspect_beside(rig)
    _cancel(rig, "bad")
    rig.complete(next(start for start in rig.started() if start.task == "bad.0.0.0"), "stopped")
    rig.wait(0.1)
    _crash(rig, vm)
    assert _task(beside).crash_weight(vm) == MAX_CRASH_WEIGHT


def test_a_run_of_a_succeeded_job_that_is_being_stopped_is_no_cause() -> None:
    rig = Rig(vms=8)
    _, beside, vm = _suspect_beside(rig)
    late = StartRun(vm, "bad.0.0.0", 7, "", 0.0)
    rig.complete(next(start for start in rig.started() if start.task == "bad.0.0.0"), "done")
    rig.running[vm].append(RunReport(late.task, late.run, "", 0.0))
    rig.report(vm)
    assert ("bad.0.0.0", 7) in rig.scheduler.state.vms[vm].runs
    _crash(rig, vm)
    assert _task(beside).crash_weight(vm) == MAX_CRASH_WEIGHT


# -- Neighbours ------------------------------------------------------------------------------


def test_a_suspect_is_not_started_beside_one_that_a_later_leader_finds_unwanted() -> None:
    rig = Rig(vms=1)
    _accept(rig, "first", GONE[:1])
    rig.start_and_hold_all()
    (start,) = rig.started()
    _cancel(rig, "first")
    later = rig.successor()
    later.report_all()
    second = _accept(later, "second", GONE[:1])
    later.tick()
    assert _vms_of(second) == []
    later.complete(start, "stopped")
    later.wait(0.1)
    assert _vms_of(second) == ["w0"]


@pytest.mark.parametrize("changes_leader", [False, True])
def test_nothing_is_started_beside_an_isolated_run_that_is_being_stopped(
    changes_leader: bool,
) -> None:
    rig = Rig(vms=1)
    _accept(rig, "first", GONE)
    rig.start_and_hold_all()
    (start,) = rig.started()
    _cancel(rig, "first")
    if changes_leader:
        rig = rig.successor()
        rig.report_all()
    calm = rig.accept("calm", spec(StepSpec(1, CORE)))
    rig.tick()
    assert _vms_of(calm) == []
    rig.complete(start, "stopped")
    rig.wait(0.1)
    rig.wait(0.1)
    assert _vms_of(calm) == ["w0"]


# -- What is recorded and kept ---------------------------------------------------------------


def test_a_crash_after_the_end_of_its_job_is_known_to_a_later_leader_with_its_weight() -> None:
    """The task has another run, which a later leader finds."""
    rig = Rig(vms=8)
    suspect, _, vm = _suspect_beside(rig)
    task = _task(suspect)
    other = next(name for name in rig.vm_names if name != vm)
    rig.running.setdefault(other, []).append(RunReport(task.key, 7, "", 0.0))
    rig.report(other)
    _cancel(rig, "bad")
    _crash(rig, vm)
    rig.commit()
    recorded = decode_progress(rig.store[PROGRESS_PREFIX + "bad"])
    assert recorded.state == JobState.CANCELLED
    assert recorded.crashes == {"0.0.0": (*GONE, vm)}
    later = rig.successor()
    later.report(other)
    (run,) = later.scheduler.state.vms[other].runs.values()
    assert run.owner is not None
    assert run.owner.crashes == task.crashes
    assert run.owner.evidence() == task.evidence()


def test_runs_of_one_ended_task_share_what_is_known_of_it() -> None:
    rig = Rig(vms=3)
    _, _, vm = _suspect_beside(rig)
    others = sorted(set(rig.vm_names) - {vm})
    _cancel(rig, "bad")
    later = rig.successor()
    for other in others:
        later.running.setdefault(other, []).append(RunReport("bad.0.0.0", 7, "", 0.0))
    later.report_all()
    runs = [run for row in later.scheduler.state.vms.values() for run in row.runs.values()]
    owners = {id(run.owner) for run in runs if run.task == "bad.0.0.0"}
    assert len(owners) == 1


def test_nothing_is_kept_of_an_ended_task_once_its_run_is_over() -> None:
    rig = Rig(vms=8)
    suspect, _, _ = _suspect_beside(rig)
    task = weakref.ref(_task(suspect))
    _cancel(rig, "bad")
    rig.complete(next(start for start in rig.started() if start.task == "bad.0.0.0"), "stopped")
    rig.wait(0.1)
    rig.wait(0.1)
    del suspect
    gc.collect()
    assert task() is None


def test_the_end_of_a_job_stays_recorded_if_its_crashes_do_not_fit() -> None:
    crashes = {f"0.0.{index}": ("a" * 30,) * 4 for index in range(1000)}
    progress = Progress(int(JobState.FAILED), {}, 5.0, "org", True, crashes)
    limit = 20_000
    record = progress_record("job", progress, limit)
    assert len(record.key) + len(record.value) <= limit
    kept = decode_progress(record.value)
    assert (kept.state, kept.ended_ms, kept.organisation, kept.public) == (3, 5.0, "org", True)
    assert 0 < len(kept.crashes) < len(crashes)
