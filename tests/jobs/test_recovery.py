"""What a later leader makes of what is recorded and of what the VMs say."""

from sablemount.jobs.model import JobSpec, Shape, StepSpec, VmInfo
from sablemount.jobs.records import Record
from sablemount.jobs.tables import JobState
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

HALF = Shape(8_000, 1_000)


def test_a_running_task_is_kept_and_not_started_again() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.run(rig.started()[0])
    later = rig.successor()
    later.hear_all()
    later.tick()
    assert later.started() == []
    assert later.scheduler.state.jobs["job"].state is JobState.RUNNING


def test_nothing_former_starts_before_every_vm_is_heard_or_its_lease_is_over() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    later = rig.successor()
    later.hear("w0")
    later.tick()
    assert later.started() == []
    for _ in range(9):
        later.clock.time += 1.0
        later.hear("w0")
        later.tick()
    assert [start.vm for start in later.started()] == ["w0"]


def test_what_is_accepted_after_a_take_over_need_not_wait() -> None:
    rig = Rig()
    rig.accept("old", spec(StepSpec(1, CORE)))
    later = rig.successor()
    later.hear("w0")
    later.accept("new", spec(StepSpec(1, CORE)))
    later.tick()
    assert [start.task for start in later.started()] == ["new.0.0.0"]


def test_a_failure_that_is_listed_again_counts_once() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.end(rig.started()[0], "failed")
    rig.hear_all()
    rig.commit()
    later = rig.successor()
    later.hear_all()
    task = later.scheduler.state.jobs["job"].steps[(0, 0)].tasks[0]
    assert len(task.failed_runs) == 1


def test_run_numbers_rise_from_leader_to_leader() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    later = rig.successor()
    later.hear_all()
    later.tick()
    assert later.started()[0].run > rig.started()[0].run


def test_a_noted_end_is_kept_and_acknowledged_only_then() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(2, CORE)))
    rig.tick()
    rig.end(rig.started()[0], "done")
    rig.hear_all()
    row = rig.scheduler.state.vms[rig.started()[0].vm]
    assert row.acked_end == 0
    rig.commit()
    assert row.acked_end == 1
    later = rig.successor()
    later.ends = {}
    later.hear_all()
    later.tick()
    assert [start.task for start in later.started()] == [rig.started()[1].task]


def test_the_end_of_a_job_is_told_after_its_records_are_gone() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.end(rig.started()[0], "done")
    rig.hear_all()
    rig.commit()
    assert "j/job" not in rig.store
    later = rig.successor()
    assert later.scheduler.state.jobs["job"].shown is JobState.SUCCEEDED


def test_an_ended_job_is_forgotten_in_time() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.scheduler.cancel("job")
    rig.commit()
    rig.tick(100.0)
    assert "job" in rig.scheduler.state.jobs
    rig.tick(100.0)
    rig.commit()
    assert "job" not in rig.scheduler.state.jobs
    assert "p/job" not in rig.store


def test_a_run_of_a_cancelled_job_is_stopped_by_a_later_leader() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, HALF)))
    rig.tick()
    rig.run(rig.started()[0])
    rig.scheduler.cancel("job")
    rig.commit()
    later = rig.successor()
    later.hear_all()
    later.tick(0.1)
    assert [stop.task for stop in later.stopped()] == ["job.0.0.0"]


def test_a_vm_that_has_left_does_not_hold_up_a_later_leader() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    later = rig.successor()
    later.scheduler.vms.left_list("w1")
    later.hear("w0")
    gone = later.scheduler.state.vms["w1"]
    for _ in range(4):
        later.clock.time += 0.5
        later.hear("w0")
        later.scheduler.vms.refused(gone)
        later.tick()
    assert [start.vm for start in later.started()] == ["w0"]


def test_a_silent_vms_tasks_start_again_only_after_its_lease() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    first = rig.started()[0]
    rig.run(first)
    rig.hear_all()
    row = rig.scheduler.state.vms[first.vm]
    rig.scheduler.vms.lease_until(row)
    other = next(name for name in rig.listed if name != first.vm)
    for _ in range(12):
        rig.clock.time += 0.5
        rig.hear(other)
        rig.tick()
    assert len(rig.started()) == 1
    for _ in range(3):
        rig.clock.time += 0.5
        rig.hear(other)
        rig.tick()
    assert [start.vm for start in rig.started()] == [first.vm, other]


def test_another_life_ends_what_ran_in_the_former_one() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    first = rig.started()[0]
    rig.run(first)
    rig.hear_all()
    rig.scheduler.vms.died(first.vm)
    rig.tick()
    assert len(rig.started()) == 2
    assert rig.started()[1].vm != first.vm


def test_a_record_that_does_not_decode_stops_nothing() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.store["j/broken"] = b"\xc1"
    later = rig.successor()
    later.hear_all()
    later.tick()
    assert [start.task for start in later.started()] == ["job.0.0.0"]


def test_repetitions_start_when_they_are_due_also_under_a_later_leader() -> None:
    rig = Rig()
    due = rig.clock.wall_ms() + 1000.0
    rig.accept("job", JobSpec("payload", (StepSpec(1, CORE),), 3, due, 500.0))
    rig.tick()
    assert rig.started() == []
    rig.tick(1.1)
    assert [start.task for start in rig.started()] == ["job.0.0.0"]
    rig.end(rig.started()[0], "done")
    rig.hear_all()
    rig.commit()
    later = rig.successor()
    later.wait(1.0)
    assert [start.task for start in later.started()] == ["job.1.0.0", "job.2.0.0"]
    for start in later.started():
        later.end(start, "done")
    later.clock.time += 0.1
    later.hear_all()
    assert later.scheduler.state.jobs["job"].state is JobState.SUCCEEDED


def test_a_vm_that_ran_nothing_any_more_does_not_hold_up_a_later_leader() -> None:
    rig = Rig()
    for _ in range(20):
        rig.clock.time += 0.5
        rig.hear("w0")
        rig.tick()
    rig.accept("job", spec(StepSpec(1, CORE)))
    assert "w/w1" not in rig.store
    later = rig.successor()
    later.hear("w0")
    later.tick()
    assert [start.vm for start in later.started()] == ["w0"]


def test_a_vm_gets_nothing_before_the_store_tells_that_it_is_in_use() -> None:
    rig = Rig(vms=0)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.add_vms(1)
    rig.tick()
    assert rig.started() == []
    rig.commit()
    assert "w/w0" in rig.store
    rig.tick()
    assert len(rig.started()) == 1


def test_a_vm_that_comes_back_is_in_use_again() -> None:
    rig = Rig(vms=1)
    rig.commit()
    rig.tick()
    for _ in range(20):
        rig.tick(0.5)
    rig.commit()
    assert "w/w0" not in rig.store
    rig.hear_all()
    rig.tick(0.6)
    rig.commit()
    assert "w/w0" in rig.store


def test_a_drained_vm_that_has_left_does_not_hold_up_a_later_leader() -> None:
    rig = Rig()
    row = rig.scheduler.state.vms["w1"]
    rig.scheduler.told(VmInfo("w1", "a1", "pool", CAPACITY, (), draining=True))
    rig.scheduler.vms.lease_until(row)
    rig.scheduler.vms.left_list("w1")
    for _ in range(4):
        rig.clock.time += 0.5
        rig.hear("w0")
        rig.scheduler.vms.unanswered(row)
        rig.tick()
    rig.accept("job", spec(StepSpec(1, CORE)))
    assert "w/w1" not in rig.store
    later = rig.successor()
    later.hear("w0")
    later.tick()
    assert [start.vm for start in later.started()] == ["w0"]


def _gang_of_a_former_leader(started: int) -> Rig:
    """Return a later leader's rig; only some of a gang's four members were started before."""
    first = Rig(vms=4)
    first.accept("gang", spec(StepSpec(4, CORE, expected_ms=9000.0, gang=True)))
    first.tick()
    for start in first.started()[:started]:
        first.run(start)
    first.hear_all()
    later = first.successor()
    later.hear_all()
    for _ in range(3):
        later.tick(0.6)
        later.hear_all()
    return later


def test_a_part_of_a_gang_that_a_former_leader_started_is_stopped_and_started_whole() -> None:
    rig = _gang_of_a_former_leader(2)
    assert len(rig.stopped()) == 2
    for stop in list(rig.stopped()):
        rows = rig.running[stop.vm]
        rows[:] = [row for row in rows if row.task != stop.task]
    rig.clock.time += 0.2
    rig.hear_all()
    rig.tick(0.2)
    assert len(rig.started()) == 4


def test_a_whole_gang_that_a_former_leader_started_is_left_alone() -> None:
    rig = _gang_of_a_former_leader(4)
    assert rig.stopped() == []


def test_a_run_of_a_forgotten_job_takes_all_of_a_vm_whose_entry_comes_later() -> None:
    first = Rig(vms=1)
    first.accept("gone", spec(StepSpec(1, HALF)))
    first.tick()
    first.run(first.started()[0])
    first.scheduler.cancel("gone")
    first.commit()
    later = Rig(0, 2)
    later.running = first.running
    later.scheduler.load([Record(key, value) for key, value in first.store.items()])
    later.hear("w0")
    later.scheduler.told(first.scheduler.state.vms["w0"].info)
    later.accept("new", spec(StepSpec(2, HALF)))
    later.tick()
    assert later.started() == []
    later.running["w0"] = []
    later.clock.time += 1.0
    later.hear("w0")
    later.tick()
    assert len(later.started()) == 2
    assert later.scheduler.state.vms["w0"].room == Shape(0, 62_000, 2)
