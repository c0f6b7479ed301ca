"""A VM's next life under its id: what it takes over, what it ends, and what tells of it."""

import msgspec

from sablemount.jobs.actions import LookAt, OtherLife, StartRun, StopRun
from sablemount.jobs.model import Shape, StepSpec, VmInfo
from sablemount.jobs.records import Record, VmRecord, encode
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.tables import JobState, RunState, VmRow
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

BORN = 1_780_000_000_000


def _info(life: int, vm: str = "w0") -> VmInfo:
    """Return the entry of a life of a VM; lives are numbered from 1."""
    born = BORN + life
    name = f"{vm}/{born}"
    return VmInfo(
        name, f"a-{vm}", "pool", CAPACITY, ("a", "r0"), machine=vm, instance=vm, born=born
    )


def _rig(*vms: str) -> Rig:
    rig = Rig(vms=0)
    for vm in vms:
        _told(rig, _info(1, vm))
    return rig


def _told(rig: Rig, info: VmInfo) -> None:
    rig.scheduler.told(info)
    rig.listed.append(info.name)
    rig.hear(info.name)
    rig.commit()


def _row(rig: Rig, life: int, vm: str = "w0") -> VmRow:
    return rig.scheduler.state.vms[_info(life, vm).name]


def _started_on(life: int = 1) -> tuple[Rig, StartRun]:
    """Return a rig whose only VM was ordered to start a task, and the order."""
    rig = _rig("w0")
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    (start,) = rig.started()
    return rig, start


def _answers(rig: Rig, life: int, acked: int = 0) -> None:
    """Let a later life answer a call that was meant for the present one."""
    row = rig.scheduler.vms._incarnations.present("w0")
    assert row is not None
    info = _info(life)
    rig.scheduler.now()
    rig.scheduler.other_life(row, OtherLife(info.name, info.born), acked)


def test_what_a_life_had_listed_is_lost_with_it_and_started_again() -> None:
    rig, start = _started_on()
    rig.run(start)
    rig.hear_all()
    _told(rig, _info(2))
    rig.wait(0.3)
    assert rig.started()[-1].vm == _info(2).name
    assert rig.started()[-1].run > start.run
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]


def test_the_ends_of_the_next_life_are_counted_from_one_again() -> None:
    rig, start = _started_on()
    rig.end(start, "done")
    rig.hear_all()
    rig.commit()
    rig.accept("more", spec(StepSpec(1, CORE)))
    _told(rig, _info(2))
    rig.wait(0.3)
    rig.end(rig.started()[-1], "done")
    rig.hear(_info(2).name)
    assert _row(rig, 2).seen_end == 1
    rig.commit()
    assert rig.scheduler.state.jobs["more"].shown.name == "SUCCEEDED"


def test_an_order_that_may_have_reached_the_next_life_is_looked_for_there() -> None:
    rig, start = _started_on()
    _answers(rig, 2)
    assert _row(rig, 2).runs[(start.task, start.run)].state is RunState.SENT
    rig.tick()
    assert len(rig.started()) == 1
    name = _info(2).name
    rig.run(msgspec.structs.replace(start, vm=name))
    rig.hear(name)
    rig.tick()
    assert len(rig.started()) == 1
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == []
    assert task.runs[0].vm == name


def test_an_order_that_is_not_found_there_counts_for_the_life_before() -> None:
    rig, start = _started_on()
    _answers(rig, 2)
    _told(rig, _info(2))
    rig.wait(0.3)
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]
    assert rig.started()[-1].vm == _info(2).name


def test_an_order_counts_once_through_several_lives() -> None:
    rig, start = _started_on()
    for life in (2, 3, 4):
        _answers(rig, life)
    _told(rig, _info(4))
    rig.tick()
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]


def test_a_stop_goes_on_to_the_next_life() -> None:
    rig, start = _started_on()
    rig.scheduler.cancel("job")
    rig.tick()
    _answers(rig, 2)
    name = _info(2).name
    rig.run(msgspec.structs.replace(start, vm=name))
    rig.hear(name)
    rig.tick()
    assert rig.stopped()[-1] == StopRun(name, start.task, start.run)


def test_a_life_that_is_known_by_its_answer_alone_waits_for_its_entry() -> None:
    rig = _rig("w0")
    _answers(rig, 2)
    rig.hear(_info(2).name)
    rig.commit()
    rig.accept("job", spec(StepSpec(1, Shape())))
    rig.tick()
    assert rig.started() == []
    rig.scheduler.told(_info(2))
    rig.wait(0.3)
    assert [start.vm for start in rig.started()] == [_info(2).name]


def test_an_old_list_does_not_bring_a_former_life_back() -> None:
    rig = _rig("w0")
    _told(rig, _info(2))
    rig.scheduler.listed([_info(1)])
    assert not _row(rig, 2).gone
    assert _row(rig, 2).fence > 0


def test_nor_does_one_once_the_clocks_were_set_back() -> None:
    rig = _rig("w0")
    earlier = msgspec.structs.replace(_info(2), name=f"w0/{BORN - 5}", born=BORN - 5)
    row = _row(rig, 1)
    rig.scheduler.other_life(row, OtherLife(earlier.name, earlier.born), 0)
    rig.tick(1.0)
    rig.tick(1.0)
    rig.scheduler.listed([_info(1)])
    assert not rig.scheduler.state.vms[earlier.name].gone


def test_each_life_is_called_by_a_higher_fence() -> None:
    rig = _rig("w0", "w1")
    fences = [_row(rig, 1).fence]
    for life in (2, 3):
        _answers(rig, life)
        fences.append(_row(rig, life).fence)
    assert fences == sorted(set(fences))


def test_the_crash_of_a_recorded_life_counts_once_jobs_are_loaded() -> None:
    rig, start = _started_on()
    rig.run(start)
    rig.hear_all()
    rig.commit()
    later = Rig(0, 2)
    second = VmRecord("a-w0", "pool", instance="w0", born=BORN + 2)
    store = {f"w/{_info(2).name}": encode(second), **rig.store}
    later.scheduler.load([Record(key, value) for key, value in store.items()])
    task = later.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == [_info(1).name]
    assert not _row(later, 2).gone


def test_a_later_leader_waits_for_the_life_that_follows_a_recorded_one() -> None:
    rig, start = _started_on()
    rig.commit()
    later = Rig(0, 2)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    _told(later, _info(1, "w1"))
    later.scheduler.told(_info(2))
    later.commit()
    later.wait(0.3)
    assert later.started() == []
    # The order has reached the next life, and nothing else.
    name = _info(2).name
    later.run(msgspec.structs.replace(start, vm=name))
    later.hear(name)
    later.wait(0.3)
    assert later.started() == []
    assert [run.vm for run in later.scheduler.state.task(start.task).runs] == [name]


def test_a_record_from_before_lives_were_told_apart_may_be_of_the_present_one() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    (start,) = rig.started()
    rig.run(start)
    rig.hear_all()
    rig.commit()
    later = Rig(0, 2)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    later.scheduler.told(_info(1))
    name = _info(1).name
    later.run(msgspec.structs.replace(start, vm=name))
    later.hear(name)
    later.wait(0.3)
    assert later.started() == []
    task = later.scheduler.state.task(start.task)
    assert task is not None
    assert task.crashes == []


def test_a_task_goes_to_another_vm_than_the_one_that_has_crashed_under_it() -> None:
    rig, start = _started_on()
    rig.run(start)
    rig.hear_all()
    _told(rig, _info(1, "w1"))
    _told(rig, _info(2))
    rig.wait(0.3)
    assert rig.started()[-1].vm == _info(1, "w1").name


def test_a_vm_whose_id_begins_like_another_one_has_not_crashed() -> None:
    rig, start = _started_on()
    rig.run(start)
    rig.hear_all()
    _told(rig, _info(1, "w01"))
    task = rig.scheduler.state.task(start.task)
    assert task is not None
    task.crashes.append(_info(1, "w01").name)
    assert not task.crashed_before(_row(rig, 1))
    assert not task.crashed_before(_row(rig, 1, "w01"))


def test_a_start_that_is_late_has_its_vm_looked_at() -> None:
    rig, start = _started_on()
    rig.scheduler.start_refused(start.vm, start.task, start.run, StartRefusal.LATE, True)
    assert LookAt(start.vm) in rig.scheduler.tick()
    rig.tick(0.05)
    assert len(rig.started()) == 1
    rig.wait(0.3)
    assert len(rig.started()) == 2


def test_a_task_is_not_blamed_where_all_vms_start_again_together() -> None:
    """Mixes and soaks gave jobs without fault up, after three or four restarts beside their tasks.

    Here all VMs start again at once, four times, which no task can have caused.
    """
    vms = ("w0", "w1", "w2", "w3")
    rig = _rig(*vms)
    rig.accept("job", spec(StepSpec(1, CORE)))
    for life in range(2, 6):
        rig.wait(2.5)
        rig.run(rig.started()[-1])
        rig.hear_all()
        for vm in vms:
            _told(rig, _info(life, vm))
    assert rig.scheduler.state.jobs["job"].state is not JobState.FAILED
