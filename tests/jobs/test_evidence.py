"""What a crash tells of the tasks on its VM, beside what becomes of the other VMs."""

import msgspec
import pytest

from sablemount.jobs.model import Shape, StepSpec, VmInfo
from sablemount.jobs.records import PROGRESS_PREFIX, decode_progress
from sablemount.jobs.systems.evidence import CONVICTING, KEPT_FOR, MOST_LOOKS, OPEN_FOR
from sablemount.jobs.tables import CLEAR, JobState, TaskRow
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

VMS = 8
WHOLE = Shape(CAPACITY.cores, 1_000)


def _running(rig: Rig, name: str, shape: Shape = CORE) -> TaskRow:
    row = rig.accept(name, spec(StepSpec(1, shape)))
    rig.run_all()
    return row.steps[(0, 0)].tasks[0]


def _crash(rig: Rig, *vms: str) -> None:
    """End the lives of VMs in one moment, and hear the others after it."""
    for vm in vms:
        rig.listed.remove(vm)
        rig.scheduler.vms.died(vm)
    rig.wait(0.4)


def _vm(task: TaskRow) -> str:
    return task.runs[0].vm


def test_a_crash_beside_vms_that_live_on_tells_the_most() -> None:
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    vm = _vm(task)
    _crash(rig, vm)
    assert task.weight(vm) == CLEAR


@pytest.mark.parametrize("count", [2, 4, VMS - 1])
def test_a_crash_tells_less_the_more_vms_crash_with_it(count: int) -> None:
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    vm = _vm(task)
    others = [name for name in rig.listed if name != vm]
    _crash(rig, vm, *others[: count - 1])
    assert task.weight(vm) < {2: 2.1, 4: 1.1, VMS - 1: 0.4}[count]


def test_it_counts_in_the_end_that_others_fell_silent_in_the_same_moment() -> None:
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    vm = _vm(task)
    silent = [name for name in rig.listed if name != vm][:4]
    for name in silent:
        rig.listed.remove(name)
    _crash(rig, vm)
    rig.wait(OPEN_FOR)
    rig.wait(0.4)
    assert task.weight(vm) < 1.0


def test_a_crash_does_not_count_as_that_of_another_suspect_is_known_to() -> None:
    """Where many tasks crash VMs at a time, each would clear the others."""
    rig = Rig(vms=VMS)
    bad, other = _running(rig, "bad", WHOLE), _running(rig, "other", WHOLE)
    _crash(rig, _vm(bad))
    rig.run_all()
    rig.wait(4.0)
    vms = _vm(bad), _vm(other)
    assert vms[0] != vms[1]
    _crash(rig, *vms)
    assert other.weight(vms[1]) == CLEAR


def test_a_task_is_cleared_by_a_worse_one_beside_it() -> None:
    rig = Rig(vms=VMS)
    bad, beside = _running(rig, "bad"), _running(rig, "beside")
    vm = _vm(bad)
    assert _vm(beside) == vm
    bad.crashes = ["gone0", "gone1"]
    _crash(rig, vm)
    assert beside.weight(vm) < bad.weight(vm)


def test_a_vm_that_crashes_again_tells_nothing_more() -> None:
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    task.crashes = ["w0/1", "w0/2", "w1/1"]
    task.weights = {"w0/1": 1.0, "w0/2": 2.0}
    assert task.evidence() == 2.0 + CLEAR
    assert task.evidence(but="w0/2") == 1.0 + CLEAR


def test_many_crashes_at_once_are_weighed_in_several_rounds() -> None:
    """With all VMs of a large cell gone at once a round would take minutes."""
    rig = Rig(vms=600)
    rig.accept("a", spec(StepSpec(600, WHOLE)))
    rig.run_all()
    evidence = rig.scheduler.crashes._evidence
    for vm in list(rig.listed):
        rig.scheduler.vms.died(vm)
    rig.listed.clear()
    evidence.weigh()
    weighed = [crash for crash in evidence._crashes.values() if crash.weighed_at > 0]
    assert 0 < len(weighed) <= MOST_LOOKS // 600
    for _ in range(3 * 600 // len(weighed)):
        evidence.weigh()
    assert all(crash.weighed_at > 0 for crash in evidence._crashes.values())


def test_a_crash_that_was_never_weighed_tells_nothing_in_the_end() -> None:
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    vm = _vm(task)
    rig.listed.remove(vm)
    rig.scheduler.vms.died(vm)
    rig.clock.time += KEPT_FOR + 0.1
    rig.scheduler.now()
    rig.scheduler.crashes._evidence.weigh()
    assert task.weight(vm) == 0.0


def test_a_trial_that_ends_beside_many_crashes_convicts_nobody() -> None:
    """A soak gave a job without fault up for crashes that told 2.6, 1.7 and, on trial, 0.7."""
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    vm = _vm(task)
    task.crashes = ["gone0", "gone1"]
    task.weights = {"gone0": 2.6, "gone1": 1.7}
    rig.scheduler.state.vms[vm].trial = "a"
    _crash(rig, vm, *[name for name in rig.listed if name != vm][:3])
    rig.wait(OPEN_FOR)
    assert 0.5 < task.weight(vm) < 1.1
    assert task.step.job.state is not JobState.FAILED


def test_what_crashes_tell_lasts_over_leaders() -> None:
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    vm = _vm(task)
    _crash(rig, vm, *[name for name in rig.listed if name != vm][:4])
    rig.commit()
    noted = decode_progress(rig.store[PROGRESS_PREFIX + "a"])
    assert noted.weights == {"0.0.0": (task.weight(vm),)}
    later = rig.successor()
    found = later.scheduler.state.jobs["a"].steps[(0, 0)].tasks[0]
    assert found.weight(vm) == task.weight(vm) < CLEAR


def test_a_record_without_what_crashes_tell_has_them_count_in_full() -> None:
    noted = msgspec.msgpack.encode({"state": 1, "crashes": {"0.0.0": ("w0",)}})
    rig = Rig(vms=VMS)
    row = rig.accept("a", spec(StepSpec(1, CORE)))
    rig.scheduler.crashes.restore(row, decode_progress(noted))
    assert row.steps[(0, 0)].tasks[0].evidence() == CLEAR


def _add(rig: Rig, names: list[str]) -> None:
    for name in names:
        rig.listed.append(name)
        rig.scheduler.told(VmInfo(name, f"at-{name}", "pool", CAPACITY))
    rig.hear_all()
    rig.tick(1.0)
    rig.commit()


def _until_running(rig: Rig, task: TaskRow) -> None:
    for _ in range(40):
        rig.run_all()
        if task.runs:
            return
        rig.wait(0.3)
    raise AssertionError(f"{task.key} does not start")


def test_vms_that_restart_four_at_a_time_convict_nobody() -> None:
    """Four such restarts in a row under one task; each tells less than a clear crash."""
    rig = Rig(vms=VMS)
    task = _running(rig, "a")
    for number in range(4):
        vm = _vm(task)
        others = [name for name in rig.listed if name != vm]
        _crash(rig, vm, *others[:3])
        _add(rig, [f"v{number}{each}" for each in range(4)])
        _until_running(rig, task)
    assert len(task.crashes) == 4
    assert task.evidence() < CONVICTING
    assert task.step.job.state is not JobState.FAILED
