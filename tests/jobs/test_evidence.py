"""The weight of a crash for the tasks on its VM, given what happens to the other VMs."""

import msgspec
import pytest

from sablemount.jobs.model import Shape, StepSpec, VmInfo
from sablemount.jobs.records import PROGRESS_PREFIX, decode_progress
from sablemount.jobs.systems.evidence import (
    ATTRIBUTION_THRESHOLD,
    CRASH_RETENTION_S,
    MAX_COMPARISONS,
    MAX_SILENCE_S,
)
from sablemount.jobs.tables import MAX_CRASH_WEIGHT, JobState, TaskRow
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

VMS = 8
WHOLE = Shape(CAPACITY.cores, 1_000)


def _run_task(rig: Rig, name: str, shape: Shape = CORE) -> TaskRow:
    row = rig.accept(name, spec(StepSpec(1, shape)))
    rig.start_and_hold_all()
    return row.steps[(0, 0)].tasks[0]


def _crash(rig: Rig, *vms: str) -> None:
    """Terminate VMs at the same moment, and have the others report after it."""
    for vm in vms:
        rig.vm_names.remove(vm)
        rig.scheduler.vms.incarnation_ended(vm)
    rig.wait(0.4)


def _vm_of(task: TaskRow) -> str:
    return task.runs[0].vm


def test_a_crash_has_full_weight_if_all_other_vms_stay_up() -> None:
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    _crash(rig, vm)
    assert task.crash_weight(vm) == MAX_CRASH_WEIGHT


@pytest.mark.parametrize("count", [2, 4, VMS - 1])
def test_a_crash_weighs_less_the_more_vms_crash_with_it(count: int) -> None:
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    others = [name for name in rig.vm_names if name != vm]
    _crash(rig, vm, *others[: count - 1])
    assert task.crash_weight(vm) < {2: 2.1, 4: 1.1, VMS - 1: 0.4}[count]


def test_vms_that_fall_silent_at_the_same_moment_count_as_crashed_in_the_end() -> None:
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    silent = [name for name in rig.vm_names if name != vm][:4]
    for name in silent:
        rig.vm_names.remove(name)
    _crash(rig, vm)
    rig.wait(MAX_SILENCE_S)
    rig.wait(0.4)
    assert task.crash_weight(vm) < 1.0


def test_a_concurrent_crash_with_a_known_cause_does_not_lower_the_weight() -> None:
    """Otherwise many tasks that crash VMs at the same time would clear one another."""
    rig = Rig(vms=VMS)
    suspect, other = _run_task(rig, "bad", WHOLE), _run_task(rig, "other", WHOLE)
    _crash(rig, _vm_of(suspect))
    rig.start_and_hold_all()
    rig.wait(4.0)
    vms = _vm_of(suspect), _vm_of(other)
    assert vms[0] != vms[1]
    _crash(rig, *vms)
    assert other.crash_weight(vms[1]) == MAX_CRASH_WEIGHT


def test_a_crash_weighs_less_for_a_task_beside_one_with_more_evidence() -> None:
    rig = Rig(vms=VMS)
    suspect, neighbour = _run_task(rig, "bad"), _run_task(rig, "beside")
    vm = _vm_of(suspect)
    assert _vm_of(neighbour) == vm
    suspect.crashes = ["gone0", "gone1"]
    _crash(rig, vm)
    assert neighbour.crash_weight(vm) < suspect.crash_weight(vm)


def test_repeated_crashes_of_one_vm_count_once_in_the_evidence() -> None:
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    task.crashes = ["w0/1", "w0/2", "w1/1"]
    task.crash_weights = {"w0/1": 1.0, "w0/2": 2.0}
    assert task.evidence() == 2.0 + MAX_CRASH_WEIGHT
    assert task.evidence(excluded_vm="w0/2") == 1.0 + MAX_CRASH_WEIGHT


def test_many_crashes_at_once_are_weighed_in_several_rounds() -> None:
    """If all VMs of a large cell are lost at once, a single round would take minutes."""
    rig = Rig(vms=600)
    rig.accept("a", spec(StepSpec(600, WHOLE)))
    rig.start_and_hold_all()
    evidence = rig.scheduler.crashes._evidence
    for vm in list(rig.vm_names):
        rig.scheduler.vms.incarnation_ended(vm)
    rig.vm_names.clear()
    evidence.weigh()
    weighed = [crash for crash in evidence._crashes.values() if crash.weighed_at > 0]
    assert 0 < len(weighed) <= MAX_COMPARISONS // 600
    for _ in range(3 * 600 // len(weighed)):
        evidence.weigh()
    assert all(crash.weighed_at > 0 for crash in evidence._crashes.values())


def test_a_crash_that_was_never_weighed_has_no_weight_in_the_end() -> None:
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    rig.vm_names.remove(vm)
    rig.scheduler.vms.incarnation_ended(vm)
    rig.clock.time += CRASH_RETENTION_S + 0.1
    rig.scheduler.update_time()
    rig.scheduler.crashes._evidence.weigh()
    assert task.crash_weight(vm) == 0.0


def test_an_isolated_crash_beside_many_others_does_not_fail_the_job() -> None:
    """A job failed permanently for crashes of weights 2.6, 1.7 and, while isolated, 0.7."""
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    task.crashes = ["gone0", "gone1"]
    task.crash_weights = {"gone0": 2.6, "gone1": 1.7}
    rig.scheduler.state.vms[vm].isolated_job = "a"
    _crash(rig, vm, *[name for name in rig.vm_names if name != vm][:3])
    rig.wait(MAX_SILENCE_S)
    assert 0.5 < task.crash_weight(vm) < 1.1
    assert task.step.job.state is not JobState.FAILED


def test_the_weights_of_crashes_are_kept_across_leaders() -> None:
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    _crash(rig, vm, *[name for name in rig.vm_names if name != vm][:4])
    rig.commit()
    recorded = decode_progress(rig.store[PROGRESS_PREFIX + "a"])
    assert recorded.weights == {"0.0.0": (task.crash_weight(vm),)}
    later = rig.successor()
    restored = later.scheduler.state.jobs["a"].steps[(0, 0)].tasks[0]
    assert restored.crash_weight(vm) == task.crash_weight(vm) < MAX_CRASH_WEIGHT


def test_crashes_in_a_record_without_weights_count_in_full() -> None:
    recorded = msgspec.msgpack.encode({"state": 1, "crashes": {"0.0.0": ("w0",)}})
    rig = Rig(vms=VMS)
    row = rig.accept("a", spec(StepSpec(1, CORE)))
    rig.scheduler.crashes.restore(row, decode_progress(recorded))
    assert row.steps[(0, 0)].tasks[0].evidence() == MAX_CRASH_WEIGHT


def _add_vms(rig: Rig, names: list[str]) -> None:
    for name in names:
        rig.vm_names.append(name)
        rig.scheduler.update_vm(VmInfo(name, f"at-{name}", "pool", CAPACITY))
    rig.report_all()
    rig.tick(1.0)
    rig.commit()


def _wait_until_running(rig: Rig, task: TaskRow) -> None:
    for _ in range(40):
        rig.start_and_hold_all()
        if task.runs:
            return
        rig.wait(0.3)
    raise AssertionError(f"{task.key} does not start")


def test_vms_that_restart_four_at_a_time_do_not_fail_the_job() -> None:
    """Four such restarts in a row under one task: each weighs less than a clear crash."""
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    for number in range(4):
        vm = _vm_of(task)
        others = [name for name in rig.vm_names if name != vm]
        _crash(rig, vm, *others[:3])
        _add_vms(rig, [f"v{number}{each}" for each in range(4)])
        _wait_until_running(rig, task)
    assert len(task.crashes) == 4
    assert task.evidence() < ATTRIBUTION_THRESHOLD
    assert task.step.job.state is not JobState.FAILED


def _restart_one_by_one(rig: Rig, spared: str, count: int) -> None:
    """Crash some VMs one after the other, each followed by a new one."""
    others = [name for name in rig.vm_names if name != spared]
    for number, vm in enumerate(others[:count]):
        _crash(rig, vm)
        _add_vms(rig, [f"s{number}"])


def test_a_crash_weighs_little_after_a_long_run_while_other_vms_restart_often() -> None:
    """A job without a fault was failed for three restarts; each seemed rare at its moment."""
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    _restart_one_by_one(rig, vm, 3)
    _crash(rig, vm)
    assert task.crash_weight(vm) < 1.5


def test_a_crash_right_after_a_start_weighs_much_though_other_vms_restart_often() -> None:
    rig = Rig(vms=VMS)
    _restart_one_by_one(rig, "", 3)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    _crash(rig, vm)
    assert task.crash_weight(vm) > 2.0


def _crash_vms_of(rig: Rig, task: TaskRow, count: int) -> None:
    """Crash the VMs that a task is started on, one after the other."""
    for _ in range(count):
        _wait_until_running(rig, task)
        _crash(rig, _vm_of(task))
        rig.wait(1.5)


def _crash_beside(rig: Rig) -> tuple[TaskRow, TaskRow, str]:
    """Crash a VM with two tasks of different jobs on it; return the tasks and the VM."""
    suspect, neighbour = _run_task(rig, "bad"), _run_task(rig, "beside")
    vm = _vm_of(suspect)
    assert _vm_of(neighbour) == vm
    _crash(rig, vm)
    return suspect, neighbour, vm


def test_the_weight_of_a_crash_falls_when_a_neighbour_crashes_further_vms() -> None:
    """A job without a fault was failed for crashes that its neighbours had turned out to cause."""
    rig = Rig(vms=VMS)
    suspect, neighbour, vm = _crash_beside(rig)
    assert neighbour.crash_weight(vm) > 2.0
    _crash_vms_of(rig, suspect, 2)
    assert neighbour.crash_weight(vm) < 1.0
    assert suspect.crash_weight(vm) > 2.0


def test_a_job_that_has_failed_for_crashes_still_explains_them() -> None:
    rig = Rig(vms=VMS)
    suspect, neighbour, vm = _crash_beside(rig)
    _crash_vms_of(rig, suspect, 2)
    assert suspect.step.job.state is JobState.FAILED
    _crash_vms_of(rig, neighbour, 1)
    assert neighbour.crash_weight(vm) < 0.5


def test_a_task_that_has_completed_explains_no_crash() -> None:
    rig = Rig(vms=VMS)
    cleared, neighbour, vm = _crash_beside(rig)
    _crash_vms_of(rig, cleared, 1)
    assert neighbour.crash_weight(vm) < 2.5
    _wait_until_running(rig, cleared)
    start = next(start for start in reversed(rig.started()) if start.task == cleared.key)
    rig.complete(start, "done")
    rig.wait(0.4)
    _crash_vms_of(rig, neighbour, 1)
    assert neighbour.crash_weight(vm) > 2.5


def test_a_completed_task_is_not_failed_by_a_revised_weight() -> None:
    rig = Rig(vms=VMS)
    task = rig.accept("a", spec(StepSpec(1, CORE), StepSpec(1, CORE, after=(0,))))
    rig.start_and_hold_all()
    first = task.steps[(0, 0)].tasks[0]
    vm = _vm_of(first)
    first.crashes = ["gone0", "gone1", "gone2"]
    first.crash_weights = dict.fromkeys(first.crashes, 0.1)
    _crash(rig, vm, *[name for name in rig.vm_names if name != vm][:4])
    _wait_until_running(rig, first)
    start = next(start for start in reversed(rig.started()) if start.task == first.key)
    rig.complete(start, "done")
    rig.wait(0.4)
    first.crash_weights = {}
    rig.scheduler.crashes._evidence._is_revision_due = True
    rig.wait(1.5)
    assert task.state is not JobState.FAILED


def test_a_silent_vm_that_turns_out_to_have_crashed_for_a_known_cause_clears_no_task() -> None:
    rig = Rig(vms=VMS)
    tasks = [_run_task(rig, name, WHOLE) for name in ("a", "bad0", "bad1")]
    for suspect in tasks[1:]:
        suspect.crashes = ["gone0", "gone1"]
    vms = [_vm_of(task) for task in tasks]
    for vm in vms[1:]:
        rig.vm_names.remove(vm)
    _crash(rig, vms[0])
    rig.wait(MAX_SILENCE_S)
    assert tasks[0].crash_weight(vms[0]) < 1.5
    for vm in vms[1:]:
        rig.scheduler.vms.incarnation_ended(vm)
    rig.wait(1.5)
    rig.wait(1.5)
    assert tasks[0].crash_weight(vms[0]) == MAX_CRASH_WEIGHT


def test_a_later_leader_revises_the_weights_of_crashes_before_its_election() -> None:
    rig = Rig(vms=VMS)
    _, neighbour, vm = _crash_beside(rig)
    rig.commit()
    later = rig.successor()
    later.report_all()
    tasks = [later.scheduler.state.jobs[name].steps[(0, 0)].tasks[0] for name in ("bad", "beside")]
    later.wait(0.4)
    assert tasks[1].crash_weight(vm) == neighbour.crash_weight(vm) > 2.0
    _crash_vms_of(later, tasks[0], 2)
    assert tasks[1].crash_weight(vm) < 1.0
    assert tasks[0].crash_weight(vm) > 2.0


def _crash_beside_five(rig: Rig) -> float:
    """Return the weight of a crash against a task with five of other jobs beside it."""
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    neighbours = [_run_task(rig, f"n{number}") for number in range(5)]
    assert {_vm_of(neighbour) for neighbour in neighbours} == {vm}
    _crash(rig, vm)
    return task.crash_weight(vm)


def test_a_crash_beside_others_weighs_less_where_many_jobs_crash_vms() -> None:
    """A job was failed for four crashes, each of which one of its many neighbours had caused."""
    calm = Rig(vms=VMS)
    weight = _crash_beside_five(calm)
    rig = Rig(vms=VMS)
    for number in range(3):
        suspect = _run_task(rig, f"bad{number}", WHOLE)
        suspect.crashes = ["gone0", "gone1"]
        _crash(rig, _vm_of(suspect))
        rig.wait(12.0)
    _add_vms(rig, ["v0", "v1", "v2"])
    assert _crash_beside_five(rig) < weight - 1.0
    evidence = rig.scheduler.crashes._evidence
    assert evidence.threshold(isolated=False) < ATTRIBUTION_THRESHOLD - 1.0
    assert calm.scheduler.crashes._evidence.threshold(isolated=False) == ATTRIBUTION_THRESHOLD


def test_vms_that_restart_at_once_do_not_look_like_many_jobs_that_crash_vms() -> None:
    rig = Rig(vms=VMS)
    tasks = [_run_task(rig, f"a{number}", WHOLE) for number in range(VMS)]
    for task in tasks:
        task.crashes = ["gone0"]
        task.crash_weights = {"gone0": 2.0}
    evidence = rig.scheduler.crashes._evidence
    for vm in list(rig.vm_names):
        rig.vm_names.remove(vm)
        rig.scheduler.vms.incarnation_ended(vm)
    evidence.weigh()
    assert evidence.threshold(isolated=False) == ATTRIBUTION_THRESHOLD


def test_a_task_that_a_later_leader_adds_to_a_recorded_crash_is_weighed() -> None:
    """The revision of recorded weights failed in each tick for a task that had none."""
    rig = Rig(vms=VMS)
    task = _run_task(rig, "a")
    vm = _vm_of(task)
    _crash(rig, vm)
    rig.commit()
    later = rig.successor()
    later.wait(0.1)
    added = _run_task(later, "b")
    (run,) = added.runs
    run.previous_vm = vm
    later.scheduler.crashes.run_lost(run)
    later.wait(0.4)
    assert vm in later.scheduler.state.jobs["a"].steps[(0, 0)].tasks[0].crashes
    assert 0.0 <= added.crash_weight(vm) <= MAX_CRASH_WEIGHT
