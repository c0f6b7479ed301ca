"""How a later leader recovers from the stored records and the VMs' reports."""

import msgspec

from sablemount.jobs.model import JobSpec, Shape, StepSpec, VmInfo
from sablemount.jobs.records import Record
from sablemount.jobs.tables import JobState
from tests.jobs.rig import CAPACITY, CORE, Rig, spec
from tests.jobs.test_lease_ends import pass_lease_of_earlier_calls

HALF_A_VM = Shape(8_000, 1_000)


def test_a_running_task_is_kept_and_not_started_again() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.hold(rig.started()[0])
    successor = rig.successor()
    successor.report_all()
    successor.tick()
    assert successor.started() == []
    assert successor.scheduler.state.jobs["job"].state is JobState.RUNNING


def test_recovered_jobs_wait_until_every_vm_reports_or_its_lease_is_over() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    successor = rig.successor()
    successor.report("w0")
    successor.tick()
    assert successor.started() == []
    for _ in range(12):
        successor.clock.time += 1.0
        successor.report("w0")
        successor.tick()
    assert successor.started() == []
    successor.clock.time += 1.0
    successor.report("w0")
    successor.tick()
    assert [start.vm for start in successor.started()] == ["w0"]


def test_what_is_accepted_after_a_take_over_need_not_wait() -> None:
    rig = Rig()
    rig.accept("old", spec(StepSpec(1, CORE)))
    successor = rig.successor()
    successor.report("w0")
    successor.accept("new", spec(StepSpec(1, CORE)))
    successor.tick()
    assert [start.task for start in successor.started()] == ["new.0.0.0"]


def test_a_failure_that_is_listed_again_counts_once() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.complete(rig.started()[0], "failed")
    rig.report_all()
    rig.commit()
    successor = rig.successor()
    successor.report_all()
    task = successor.scheduler.state.jobs["job"].steps[(0, 0)].tasks[0]
    assert len(task.failed_runs) == 1


def test_run_numbers_rise_from_leader_to_leader() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    successor = rig.successor()
    successor.report_all()
    successor.tick()
    assert successor.started()[0].run > rig.started()[0].run


def test_a_completion_is_acknowledged_only_once_it_is_recorded() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(2, CORE)))
    rig.tick()
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    row = rig.scheduler.state.vms[rig.started()[0].vm]
    assert row.last_recorded_completion == 0
    rig.commit()
    assert row.last_recorded_completion == 1
    successor = rig.successor()
    successor.completions = {}
    successor.report_all()
    successor.tick()
    assert [start.task for start in successor.started()] == [rig.started()[1].task]


def test_the_end_of_a_job_is_known_after_its_record_is_dropped() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.commit()
    assert "j/job" not in rig.store
    successor = rig.successor()
    assert successor.scheduler.state.jobs["job"].visible_state is JobState.SUCCEEDED


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
    rig.accept("job", spec(StepSpec(1, HALF_A_VM)))
    rig.tick()
    rig.hold(rig.started()[0])
    rig.scheduler.cancel("job")
    rig.commit()
    successor = rig.successor()
    successor.report_all()
    successor.tick(0.1)
    assert [stop.task for stop in successor.stopped()] == ["job.0.0.0"]


def test_a_vm_that_seems_to_have_left_holds_up_a_later_leader_until_its_lease_is_over() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    successor = rig.successor()
    successor.scheduler.vms.entry_removed("w1")
    gone = successor.scheduler.state.vms["w1"]
    for _ in range(25):
        successor.clock.time += 0.5
        successor.report("w0")
        successor.scheduler.vms.connection_refused(gone)
        successor.tick()
    assert successor.started() == []
    successor.clock.time += 0.5
    successor.report("w0")
    successor.tick()
    assert [start.vm for start in successor.started()] == ["w0"]


def test_a_silent_vms_tasks_start_again_only_after_its_lease() -> None:
    rig = Rig()
    pass_lease_of_earlier_calls(rig)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    first = rig.started()[0]
    rig.hold(first)
    rig.report_all()
    row = rig.scheduler.state.vms[first.vm]
    rig.scheduler.leases.extend(row)
    other = next(name for name in rig.vm_names if name != first.vm)
    for _ in range(12):
        rig.clock.time += 0.5
        rig.report(other)
        rig.tick()
    assert len(rig.started()) == 1
    for _ in range(3):
        rig.clock.time += 0.5
        rig.report(other)
        rig.tick()
    assert [start.vm for start in rig.started()] == [first.vm, other]


def test_a_new_incarnation_ends_the_runs_of_the_previous_one() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    first = rig.started()[0]
    rig.hold(first)
    rig.report_all()
    rig.scheduler.vms.incarnation_ended(first.vm)
    rig.tick()
    assert len(rig.started()) == 2
    assert rig.started()[1].vm != first.vm


def test_a_record_that_does_not_decode_stops_nothing() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.store["j/broken"] = b"\xc1"
    successor = rig.successor()
    successor.report_all()
    successor.tick()
    assert [start.task for start in successor.started()] == ["job.0.0.0"]


def test_repetitions_start_when_they_are_due_also_under_a_later_leader() -> None:
    rig = Rig()
    due = rig.clock.wall_ms() + 1000.0
    rig.accept("job", JobSpec("payload", (StepSpec(1, CORE),), 3, due, 500.0))
    rig.tick()
    assert rig.started() == []
    rig.tick(1.1)
    assert [start.task for start in rig.started()] == ["job.0.0.0"]
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.commit()
    successor = rig.successor()
    successor.wait(1.0)
    assert [start.task for start in successor.started()] == ["job.1.0.0", "job.2.0.0"]
    for start in successor.started():
        successor.complete(start, "done")
    successor.clock.time += 0.1
    successor.report_all()
    assert successor.scheduler.state.jobs["job"].state is JobState.SUCCEEDED


def test_a_vm_that_ran_nothing_any_more_does_not_hold_up_a_later_leader() -> None:
    rig = Rig()
    for _ in range(24):
        rig.clock.time += 0.5
        rig.report("w0")
        rig.tick()
    rig.accept("job", spec(StepSpec(1, CORE)))
    assert "w/w1" not in rig.store
    successor = rig.successor()
    successor.report("w0")
    successor.tick()
    assert [start.vm for start in successor.started()] == ["w0"]


def test_a_vm_gets_no_work_before_its_use_is_recorded() -> None:
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
    for _ in range(24):
        rig.tick(0.5)
    rig.commit()
    assert "w/w0" not in rig.store
    rig.report_all()
    rig.tick(0.6)
    rig.commit()
    assert "w/w0" in rig.store


def test_a_drained_vm_that_is_empty_does_not_hold_up_a_later_leader() -> None:
    rig = Rig()
    rig.scheduler.update_vm(VmInfo("w1", "a1", "pool", CAPACITY, (), draining=True))
    rig.scheduler.leases.extend(rig.scheduler.state.vms["w1"])
    rig.scheduler.vms.entry_removed("w1")
    rig.clock.time += 0.5
    rig.report("w0")
    rig.tick()
    rig.accept("job", spec(StepSpec(1, CORE)))
    assert "w/w1" not in rig.store
    successor = rig.successor()
    successor.report("w0")
    successor.tick()
    assert [start.vm for start in successor.started()] == ["w0"]


def test_a_drained_vm_that_may_run_a_task_is_kept_for_a_later_leader_until_its_lease_is_over() -> (
    None
):
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE, expected_ms=30_000.0)))
    rig.start_and_hold_all()
    pass_lease_of_earlier_calls(rig)
    vm = rig.started()[0].vm
    other = next(name for name in rig.vm_names if name != vm)
    info = rig.scheduler.state.vms[vm].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, draining=True))
    rig.scheduler.leases.extend(rig.scheduler.state.vms[vm])
    rig.scheduler.vms.entry_removed(vm)
    for _ in range(12):
        rig.clock.time += 0.5
        rig.report(other)
        rig.tick()
        rig.commit()
        assert f"w/{vm}" in rig.store
    rig.tick(0.6)
    rig.commit()
    assert f"w/{vm}" not in rig.store


def _gang_of_a_previous_leader(started: int) -> Rig:
    """Return the rig of a later leader after only some of a gang's four members were started."""
    first = Rig(vms=4)
    first.accept("gang", spec(StepSpec(4, CORE, expected_ms=9000.0, gang=True)))
    first.tick()
    for start in first.started()[:started]:
        first.hold(start)
    first.report_all()
    successor = first.successor()
    successor.report_all()
    for _ in range(3):
        successor.tick(0.6)
        successor.report_all()
    return successor


def test_a_partly_started_gang_is_stopped_and_started_again_as_a_whole() -> None:
    rig = _gang_of_a_previous_leader(2)
    assert len(rig.stopped()) == 2
    for stop in list(rig.stopped()):
        rows = rig.running[stop.vm]
        rows[:] = [row for row in rows if row.task != stop.task]
    rig.clock.time += 0.2
    rig.report_all()
    rig.tick(0.2)
    assert len(rig.started()) == 4


def test_a_whole_gang_that_a_former_leader_started_is_left_alone() -> None:
    rig = _gang_of_a_previous_leader(4)
    assert rig.stopped() == []


def test_a_run_of_a_forgotten_job_takes_all_of_a_vm_whose_entry_comes_later() -> None:
    first = Rig(vms=1)
    first.accept("gone", spec(StepSpec(1, HALF_A_VM)))
    first.tick()
    first.hold(first.started()[0])
    first.scheduler.cancel("gone")
    first.commit()
    successor = Rig(0, 2)
    successor.running = first.running
    successor.scheduler.load([Record(key, value) for key, value in first.store.items()])
    successor.report("w0")
    successor.scheduler.update_vm(first.scheduler.state.vms["w0"].info)
    successor.accept("new", spec(StepSpec(2, HALF_A_VM)))
    successor.tick()
    assert successor.started() == []
    successor.running["w0"] = []
    successor.clock.time += 1.0
    successor.report("w0")
    successor.tick()
    assert len(successor.started()) == 2
    assert successor.scheduler.state.vms["w0"].free_capacity == Shape(0, 62_000, 2)
