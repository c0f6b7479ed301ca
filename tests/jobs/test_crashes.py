"""A crash counts for the tasks on its VM, is kept across leaders, and is not a planned end."""

import msgspec
import pytest

from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.records import VM_PREFIX, VmRecord, decode_progress, decode_vm
from sablemount.jobs.sizes import progress_record, record_size
from sablemount.jobs.systems.crashes import MAX_CRASHES
from sablemount.jobs.tables import JobState, TaskRow
from tests.jobs.rig import CORE, Rig, spec
from tests.jobs.test_lease_ends import pass_lease_of_earlier_calls

TASK = (0, 0)


def _run_task(rig: Rig, name: str, step: StepSpec | None = None) -> TaskRow:
    """Submit a job and return its first task, running."""
    row = rig.accept(name, spec(step or StepSpec(1, CORE)))
    rig.start_and_hold_all()
    return row.steps[TASK].tasks[0]


def _crash(rig: Rig, vm: str) -> None:
    """Terminate a VM whose entry has been removed."""
    rig.vm_names.remove(vm)
    rig.scheduler.vms.incarnation_ended(vm)


def test_a_crash_counts_for_all_that_ran_on_the_vm_and_for_nothing_else() -> None:
    rig = Rig(vms=2)
    tasks = [_run_task(rig, name) for name in ("a", "b")]
    (vm,) = {run.vm for task in tasks for run in task.runs}
    other = _run_task(rig, "c", StepSpec(1, Shape(15_500, 1_000)))
    _crash(rig, vm)
    assert [task.crashes for task in tasks] == [[vm], [vm]]
    assert other.crashes == []


@pytest.mark.parametrize("how", ["drained", "left without a word"])
def test_a_planned_end_is_no_crash(how: str) -> None:
    rig = Rig(vms=1)
    task = _run_task(rig, "a")
    info = rig.scheduler.state.vms["w0"].info
    if how == "drained":
        rig.scheduler.update_vm(msgspec.structs.replace(info, draining=True))
    else:
        rig.scheduler.vms.entry_removed("w0")
        rig.wait(0.3)
    _crash(rig, "w0")
    assert task.crashes == []


@pytest.mark.parametrize("refuses", [True, False])
def test_a_vm_that_is_gone_has_crashed_once_its_lease_is_over(refuses: bool) -> None:
    # Guards against a task that crashes VM after VM where none of them comes back.
    rig = Rig()
    task = _run_task(rig, "a")
    (vm,) = {run.vm for run in task.runs}
    pass_lease_of_earlier_calls(rig)
    rig.scheduler.leases.extend(rig.scheduler.state.vms[vm])
    rig.vm_names.remove(vm)
    rig.scheduler.vms.entry_removed(vm)
    for _ in range(60):
        rig.report_all()
        rig.tick(0.1)
        if refuses:
            rig.scheduler.vms.connection_refused(rig.scheduler.state.vms[vm])
    assert task.crashes == []
    rig.tick(0.8)
    assert task.crashes == ([vm] if refuses else [])


def test_a_vm_that_is_cut_off_is_no_crash_and_one_whose_machine_is_back_is() -> None:
    for machine, expected in (("", []), ("m1", ["w0"])):
        rig = Rig(vms=1)
        info = rig.scheduler.state.vms["w0"].info
        rig.scheduler.update_vm(msgspec.structs.replace(info, machine="m1"))
        task = _run_task(rig, "a")
        rig.scheduler.vms.entry_removed("w0")
        rig.vm_names.remove("w0")
        rig.scheduler.update_vm(msgspec.structs.replace(info, name="w0b", machine=machine))
        rig.tick(11.0)
        rig.tick(0.6)
        assert task.crashes == expected


def test_a_crash_is_known_to_later_leaders() -> None:
    rig = Rig(vms=2)
    vm = _run_task(rig, "a").runs[0].vm
    _crash(rig, vm)
    rig.tick()
    rig.commit()
    later = rig.successor()
    assert later.scheduler.state.jobs["a"].steps[TASK].tasks[0].crashes == [vm]


def test_a_crash_that_no_leader_was_sure_of_counts_under_the_next_one() -> None:
    rig = Rig(vms=2)
    vm = _run_task(rig, "a").runs[0].vm
    rig.commit()
    later = rig.successor()
    later.vm_names.remove(vm)
    later.scheduler.vms.incarnation_ended(vm)
    assert later.scheduler.state.jobs["a"].steps[TASK].tasks[0].crashes == [vm]


@pytest.mark.parametrize("seals", [False, True])
def test_a_crash_counts_though_leaders_in_between_wrote_the_record_of_its_vm(seals: bool) -> None:
    """The record named no suspects from the second leader on, which had not heard of the VM."""
    rig = Rig(vms=4)
    vm = _run_task(rig, "a").runs[0].vm
    rig.vm_names.remove(vm)
    for _ in range(8 if seals else 4):
        rig.wait(0.5)
        rig.commit()
    for _ in range(2):
        store = rig.store
        rig = rig.successor()
        rig.store = store
        rig.report_all()
        if not seals:
            rig.scheduler.journal.update_vm_record(rig.scheduler.state.vms[vm])
        rig.tick()
        rig.commit()
    later = rig.successor()
    later.report_all()
    later.scheduler.vms.incarnation_ended(vm)
    assert later.scheduler.state.jobs["a"].steps[TASK].tasks[0].crashes == [vm]


def test_runs_missing_from_a_report_to_a_later_leader_are_not_suspected() -> None:
    rig = Rig(vms=2)
    task = _run_task(rig, "a")
    vm = task.runs[0].vm
    rig.commit()
    rig.running[vm].clear()
    later = rig.successor()
    later.report(vm)
    later.scheduler.vms.incarnation_ended(vm)
    assert later.scheduler.state.jobs["a"].steps[TASK].tasks[0].crashes == []


def test_what_runs_on_a_vm_that_falls_silent_is_recorded_with_it() -> None:
    rig = Rig(vms=4)
    vm = _run_task(rig, "a").runs[0].vm
    rig.wait(3.0)
    rig.scheduler.journal.update_vm_record(rig.scheduler.state.vms[vm])
    rig.commit()
    assert decode_vm(rig.store[VM_PREFIX + vm]).suspects == ()
    rig.vm_names.remove(vm)
    for _ in range(4):
        rig.wait(0.5)
    rig.commit()
    assert decode_vm(rig.store[VM_PREFIX + vm]).suspects == ("a.0.0.0",)


def test_the_suspects_of_a_vm_with_many_runs_fit_into_its_record() -> None:
    rig = Rig(vms=1)
    rig.accept("a", spec(StepSpec(600, Shape(10, 10))))
    rig.tick()
    rig.commit()
    record = rig.store[VM_PREFIX + "w0"]
    assert 0 < len(decode_vm(record).suspects) <= 60
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(VmRecord("a", "p")), type=VmRecord)


def test_a_task_that_crashes_vms_fails_and_tasks_beside_it_do_not() -> None:
    rig = Rig(vms=12)
    beside = _run_task(rig, "beside")
    bad = _run_task(rig, "bad")
    for _ in range(MAX_CRASHES):
        run = next(iter(bad.runs), None)
        if run is None or rig.scheduler.state.jobs["bad"].state.is_final:
            break
        _crash(rig, run.vm)
        for _ in range(12):
            rig.wait(0.3)
            rig.hold_all()
    assert rig.scheduler.state.jobs["bad"].state is JobState.FAILED
    assert len(bad.crashes) <= MAX_CRASHES
    assert beside.step.job.state is JobState.RUNNING


def _crash_in_place(rig: Rig, task: TaskRow) -> None:
    """Crash the VM of a task, and tick before the crash is weighed."""
    _crash(rig, task.runs[0].vm)
    rig.report_all()
    for _ in range(5):
        rig.tick()


def test_a_task_is_not_started_before_its_last_crash_is_weighed() -> None:
    """It was started a sixth time 0.2 s before its job was failed for the fifth crash."""
    rig = Rig(vms=12)
    task = _run_task(rig, "bad")
    task.crashes = ["gone0", "gone1", "gone2"]
    starts = len(rig.started())
    _crash_in_place(rig, task)
    assert len(rig.started()) == starts
    rig.wait(0.4)
    assert task.step.job.state is JobState.FAILED


def test_a_task_whose_crashes_do_not_fail_it_is_started_once_they_are_weighed() -> None:
    rig = Rig(vms=12)
    task = _run_task(rig, "calm")
    task.crashes = ["gone0", "gone1", "gone2"]
    task.crash_weights = dict.fromkeys(task.crashes, 0.5)
    starts = len(rig.started())
    _crash_in_place(rig, task)
    assert len(rig.started()) == starts
    for _ in range(3):
        rig.wait(0.4)
    assert task.step.job.state is not JobState.FAILED
    assert len(rig.started()) > starts


def test_crashes_are_not_attributed_to_a_long_running_task() -> None:
    rig = Rig(vms=8)
    task = _run_task(rig, "a", StepSpec(1, CORE, lasting=True))
    for _ in range(6):
        rig.wait(30.0)
        _crash(rig, task.runs[0].vm)
        rig.tick()
        rig.hold_all()
        rig.wait(0.3)
    assert task.crashes == []
    assert not task.step.job.state.is_final


def test_crashes_take_precedence_over_failures_in_a_full_record() -> None:
    rig = Rig(vms=1)
    row = rig.accept("a", spec(StepSpec(4_000, CORE, saves=True)))
    row.has_crashes = True
    for task in row.steps[TASK].tasks:
        task.failed_runs = {4_000_070_001}
        task.crashes = ["i-0123456789"]
    progress = rig.scheduler.lifecycle.progress(row)
    record = progress_record("a", progress, 120_000)
    kept = decode_progress(record.value)
    assert record_size(record) <= 120_000
    assert kept.crashes == progress.crashes
    assert 0 < len(kept.steps["0.0"].failures) < 4_000


def test_a_noted_start_counts_once_its_machine_has_another_life_at_another_address() -> None:
    """Nothing answers at the VM's address, and its entry is gone before the later leader comes."""
    rig = Rig(vms=2)
    for number, vm in enumerate(rig.vm_names):
        info = rig.scheduler.state.vms[vm].info
        rig.scheduler.update_vm(msgspec.structs.replace(info, machine=f"m{number}"))
    run = _run_task(rig, "a").runs[0]
    rig.commit()
    info = rig.scheduler.state.vms.pop(run.vm).info
    later = rig.successor()
    later.vm_names.remove(run.vm)
    later.scheduler.update_vm(msgspec.structs.replace(info, name="again", address="elsewhere"))
    later.vm_names.append("again")
    for _ in range(24):
        later.wait(0.6)
    assert later.scheduler.state.jobs["a"].steps[TASK].tasks[0].crashes == [run.vm]
