"""The next incarnation of a VM under its id: what it inherits, what it ends, and what shows it."""

import msgspec

from sablemount.jobs.actions import LaterIncarnation, PollVm, StartRun, StopRun
from sablemount.jobs.model import Shape, StepSpec, VmInfo
from sablemount.jobs.records import Record, VmRecord, encode
from sablemount.jobs.run_row import RunState
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.tables import JobState
from sablemount.jobs.vm_row import VmRow
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

BORN = 1_780_000_000_000


def _info(incarnation: int, vm: str = "w0") -> VmInfo:
    """Return the entry of an incarnation of a VM; incarnations are numbered from 1."""
    born = BORN + incarnation
    name = f"{vm}/{born}"
    return VmInfo(
        name, f"a-{vm}", "pool", CAPACITY, ("a", "r0"), machine=vm, instance=vm, born=born
    )


def _rig(*vms: str) -> Rig:
    rig = Rig(vms=0)
    for vm in vms:
        _add_vm(rig, _info(1, vm))
    return rig


def _add_vm(rig: Rig, info: VmInfo) -> None:
    rig.scheduler.update_vm(info)
    rig.vm_names.append(info.name)
    rig.report(info.name)
    rig.commit()


def _row(rig: Rig, incarnation: int, vm: str = "w0") -> VmRow:
    return rig.scheduler.state.vms[_info(incarnation, vm).name]


def _start_task(incarnation: int = 1) -> tuple[Rig, StartRun]:
    """Return a rig whose only VM was requested to start a task, and the request."""
    rig = _rig("w0")
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    (start,) = rig.started()
    return rig, start


def _answer_from(rig: Rig, incarnation: int, acked: int = 0) -> None:
    """Let a later incarnation answer a call meant for the current one."""
    row = rig.scheduler.vms._incarnations.current("w0")
    assert row is not None
    info = _info(incarnation)
    rig.scheduler.update_time()
    rig.scheduler.incarnation_replaced(row, LaterIncarnation(info.name, info.born), acked)


def test_listed_runs_are_lost_with_their_incarnation_and_started_again() -> None:
    rig, start = _start_task()
    rig.hold(start)
    rig.report_all()
    _add_vm(rig, _info(2))
    rig.wait(0.3)
    assert rig.started()[-1].vm == _info(2).name
    assert rig.started()[-1].run > start.run
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]


def test_completions_of_the_next_incarnation_are_numbered_from_one() -> None:
    rig, start = _start_task()
    rig.complete(start, "done")
    rig.report_all()
    rig.commit()
    rig.accept("more", spec(StepSpec(1, CORE)))
    _add_vm(rig, _info(2))
    rig.wait(0.3)
    rig.complete(rig.started()[-1], "done")
    rig.report(_info(2).name)
    assert _row(rig, 2).last_seen_completion == 1
    rig.commit()
    assert rig.scheduler.state.jobs["more"].visible_state.name == "SUCCEEDED"


def test_a_start_request_that_may_have_reached_the_next_incarnation_is_expected_there() -> None:
    rig, start = _start_task()
    _answer_from(rig, 2)
    assert _row(rig, 2).runs[(start.task, start.run)].state is RunState.SENT
    rig.tick()
    assert len(rig.started()) == 1
    name = _info(2).name
    rig.hold(msgspec.structs.replace(start, vm=name))
    rig.report(name)
    rig.tick()
    assert len(rig.started()) == 1
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == []
    assert task.runs[0].vm == name


def test_a_start_request_missing_on_the_next_incarnation_counts_for_the_previous_one() -> None:
    rig, start = _start_task()
    _answer_from(rig, 2)
    _add_vm(rig, _info(2))
    rig.wait(0.3)
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]
    assert rig.started()[-1].vm == _info(2).name


def test_a_start_request_counts_once_across_several_incarnations() -> None:
    rig, start = _start_task()
    for incarnation in (2, 3, 4):
        _answer_from(rig, incarnation)
    _add_vm(rig, _info(4))
    rig.tick()
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]


def test_a_stop_is_passed_on_to_the_next_incarnation() -> None:
    rig, start = _start_task()
    rig.scheduler.cancel("job")
    rig.tick()
    _answer_from(rig, 2)
    name = _info(2).name
    rig.hold(msgspec.structs.replace(start, vm=name))
    rig.report(name)
    rig.tick()
    assert rig.stopped()[-1] == StopRun(name, start.task, start.run)


def test_an_incarnation_known_only_by_an_answer_waits_for_its_entry() -> None:
    rig = _rig("w0")
    _answer_from(rig, 2)
    rig.report(_info(2).name)
    rig.commit()
    rig.accept("job", spec(StepSpec(1, Shape())))
    rig.tick()
    assert rig.started() == []
    rig.scheduler.update_vm(_info(2))
    rig.wait(0.3)
    assert [start.vm for start in rig.started()] == [_info(2).name]


def test_an_outdated_list_does_not_restore_an_earlier_incarnation() -> None:
    rig = _rig("w0")
    _add_vm(rig, _info(2))
    rig.scheduler.update_vm_list([_info(1)])
    assert not _row(rig, 2).terminated
    assert _row(rig, 2).fence > 0


def test_an_outdated_list_does_not_restore_one_after_clocks_were_set_back() -> None:
    rig = _rig("w0")
    successor = msgspec.structs.replace(_info(2), name=f"w0/{BORN - 5}", born=BORN - 5)
    row = _row(rig, 1)
    rig.scheduler.incarnation_replaced(row, LaterIncarnation(successor.name, successor.born), 0)
    rig.tick(1.0)
    rig.tick(1.0)
    rig.scheduler.update_vm_list([_info(1)])
    assert not rig.scheduler.state.vms[successor.name].terminated


def test_each_incarnation_is_called_with_a_higher_fence() -> None:
    rig = _rig("w0", "w1")
    fences = [_row(rig, 1).fence]
    for incarnation in (2, 3):
        _answer_from(rig, incarnation)
        fences.append(_row(rig, incarnation).fence)
    assert fences == sorted(set(fences))


def test_the_crash_of_a_recorded_incarnation_counts_once_jobs_are_loaded() -> None:
    rig, start = _start_task()
    rig.hold(start)
    rig.report_all()
    rig.commit()
    later = Rig(0, 2)
    second = VmRecord("a-w0", "pool", instance="w0", born=BORN + 2)
    store = {f"w/{_info(2).name}": encode(second), **rig.store}
    later.scheduler.load([Record(key, value) for key, value in store.items()])
    task = later.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]
    assert not _row(later, 2).terminated


def test_a_later_leader_waits_for_the_successor_of_a_recorded_incarnation() -> None:
    rig, start = _start_task()
    rig.commit()
    later = Rig(0, 2)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    _add_vm(later, _info(1, "w1"))
    later.scheduler.update_vm(_info(2))
    later.commit()
    later.wait(0.3)
    assert later.started() == []
    # Only the start request has reached the next incarnation.
    name = _info(2).name
    later.hold(msgspec.structs.replace(start, vm=name))
    later.report(name)
    later.wait(0.3)
    assert later.started() == []
    assert [run.vm for run in later.scheduler.state.task(start.task).runs] == [name]


def test_a_record_without_an_incarnation_may_describe_the_current_one() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    (start,) = rig.started()
    rig.hold(start)
    rig.report_all()
    rig.commit()
    later = Rig(0, 2)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    later.scheduler.update_vm(_info(1))
    name = _info(1).name
    later.hold(msgspec.structs.replace(start, vm=name))
    later.report(name)
    later.wait(0.3)
    assert later.started() == []
    task = later.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == []


def test_a_task_goes_to_another_vm_than_the_one_that_has_crashed_under_it() -> None:
    rig, start = _start_task()
    rig.hold(start)
    rig.report_all()
    _add_vm(rig, _info(1, "w1"))
    _add_vm(rig, _info(2))
    rig.wait(0.3)
    assert rig.started()[-1].vm == _info(1, "w1").name


def test_a_vm_whose_id_begins_like_another_one_has_not_crashed() -> None:
    rig, start = _start_task()
    rig.hold(start)
    rig.report_all()
    _add_vm(rig, _info(1, "w01"))
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    task.crashes.append(_info(1, "w01").name)
    assert not task.crashed_before(_row(rig, 1))
    assert not task.crashed_before(_row(rig, 1, "w01"))


def test_a_late_start_causes_a_poll_of_its_vm() -> None:
    rig, start = _start_task()
    rig.scheduler.start_refused(start.vm, start.task, start.run, StartRefusal.LATE, True)
    assert PollVm(start.vm) in rig.scheduler.tick()
    rig.tick(0.05)
    assert len(rig.started()) == 1
    rig.wait(0.3)
    assert len(rig.started()) == 2


def test_a_task_is_not_blamed_where_all_vms_start_again_together() -> None:
    """Jobs without fault failed permanently after three or four restarts beside their tasks.

    Here all VMs restart at once, four times, which no task can have caused.
    """
    vms = ("w0", "w1", "w2", "w3")
    rig = _rig(*vms)
    rig.accept("job", spec(StepSpec(1, CORE)))
    for incarnation in range(2, 6):
        rig.wait(2.5)
        rig.hold(rig.started()[-1])
        rig.report_all()
        for vm in vms:
            _add_vm(rig, _info(incarnation, vm))
    assert rig.scheduler.state.jobs["job"].state is not JobState.FAILED
