"""Placement, gangs, advice and completions, with a single scheduler."""

import logging

import pytest

from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import AdviceTerms, Shape, StepSpec
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.systems.reconcile import ATTEMPTS_USED_UP
from sablemount.jobs.tables import JobState
from tests.jobs.rig import CORE, Rig, queue, spec

HALF_A_VM = Shape(8_000, 1_000)


def test_nothing_starts_before_the_acceptance_is_in_the_store() -> None:
    rig = Rig()
    rig.scheduler.submit("job", queue(), spec(StepSpec(1, CORE)))
    assert rig.tick() == []
    rig.commit()
    assert [start.task for start in rig.tick() if isinstance(start, StartRun)] == ["job.0.0.0"]


def test_no_vm_is_given_more_than_it_has() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(5, HALF_A_VM)))
    rig.tick()
    assert len(rig.started()) == 2


def test_a_stopping_run_still_takes_its_room() -> None:
    rig = Rig(vms=1)
    rig.accept("first", spec(StepSpec(2, HALF_A_VM)))
    rig.tick()
    rig.hold_all()
    rig.scheduler.cancel("first")
    rig.accept("second", spec(StepSpec(2, HALF_A_VM)))
    rig.tick()
    assert len(rig.stopped()) == 2
    assert len(rig.started()) == 2
    for start in rig.started():
        rig.complete(start, "stopped")
    rig.wait(0.1)
    assert len(rig.started()) == 4


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    rig = Rig(vms=2)
    rig.accept("other", spec(StepSpec(1, HALF_A_VM)))
    rig.tick()
    rig.accept("gang", spec(StepSpec(4, HALF_A_VM, gang=True)))
    rig.tick()
    assert [start.task for start in rig.started()] == ["other.0.0.0"]
    rig.hold(rig.started()[0])
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.tick()
    gang = rig.started()[1:]
    assert len(gang) == 4
    assert len({start.run for start in gang}) == 1


def test_one_members_completion_completes_the_gang() -> None:
    rig = Rig(vms=2)
    job = rig.accept("gang", spec(StepSpec(4, HALF_A_VM, gang=True)))
    rig.tick()
    rig.hold_all()
    rig.complete(rig.started()[0], "done")
    rig.clock.time += 0.1
    rig.report(rig.started()[0].vm)
    assert job.state is JobState.SUCCEEDED
    assert job.visible_state is not JobState.SUCCEEDED
    rig.commit()
    assert job.visible_state is JobState.SUCCEEDED
    assert rig.tick() == []


def test_a_step_waits_for_the_steps_that_it_names() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE), StepSpec(1, CORE, after=(0,))))
    rig.tick()
    assert [start.task for start in rig.started()] == ["job.0.0.0"]
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.tick()
    assert [start.task for start in rig.started()] == ["job.0.0.0", "job.0.1.0"]


def test_labels_and_spread_are_kept() -> None:
    rig = Rig(vms=4)
    rig.accept("label", spec(StepSpec(3, CORE, label="a")))
    rig.accept("spread", spec(StepSpec(8, CORE, spread=2)))
    rig.tick()
    labelled = [start for start in rig.started() if start.task.startswith("label")]
    assert {start.vm for start in labelled} <= {"w1", "w3"}
    spread = [start.vm for start in rig.started() if start.task.startswith("spread")]
    assert len(spread) == 8
    assert all(spread.count(vm) == 2 for vm in set(spread))


def test_one_rack_is_used_where_all_fit_there() -> None:
    rig = Rig(vms=4)
    rig.accept("job", spec(StepSpec(4, HALF_A_VM, gang=True, same_rack=True)))
    rig.tick()
    assert {start.vm for start in rig.started()} == {"w0", "w1"}


def test_more_urgent_work_goes_first() -> None:
    rig = Rig(vms=1, queues=(queue("slow", 2), queue("fast", 0)))
    rig.scheduler.submit("batch", queue("slow", 2), spec(StepSpec(2, HALF_A_VM)))
    rig.scheduler.submit("quote", queue("fast", 0), spec(StepSpec(1, HALF_A_VM)))
    rig.commit()
    rig.tick()
    assert [start.task for start in rig.started()] == ["quote.0.0.0", "batch.0.0.0"]


def test_a_draining_vm_gets_nothing_new() -> None:
    rig = Rig(vms=1)
    info = rig.scheduler.state.vms["w0"].info
    rig.scheduler.update_vm(type(info)(info.name, info.address, "pool", info.capacity, (), True))
    rig.accept("job", spec(StepSpec(1, CORE)))
    assert rig.tick() == []


def _fail_all_attempts(rig: Rig) -> None:
    """Let each of the three attempts that the queue allows a task fail."""
    for _ in range(3):
        rig.tick(2.0)
        rig.report_all()
        rig.tick()
        rig.complete(rig.started()[-1], "failed")
        rig.report_all()


def test_a_task_that_fails_too_often_fails_its_job() -> None:
    rig = Rig(vms=4)
    job = rig.accept("job", spec(StepSpec(1, CORE)))
    _fail_all_attempts(rig)
    assert job.state is JobState.FAILED
    assert len(rig.started()) == 3
    assert len({start.vm for start in rig.started()}) > 1


def test_a_job_failed_for_its_attempts_is_logged_with_them(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Only its inputs tell this line from one that fails a job for crashes of VMs."""
    caplog.set_level(logging.INFO)
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    _fail_all_attempts(rig)
    (line,) = [vars(line) for line in caplog.records if line.getMessage() == "job failed"]
    assert (line["why"], line["vm"], line["max_attempts"]) == (ATTEMPTS_USED_UP, "w0", 3)
    assert len(line["failed_runs"]) == 3


def test_a_start_without_an_answer_is_settled_by_the_vms_report() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.wait(0.5)
    assert len(rig.started()) == 1
    rig.wait(2.0)
    assert [start.run for start in rig.started()] == [1, 2]


def test_a_refused_start_goes_elsewhere() -> None:
    rig = Rig(vms=2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    first = rig.started()[0]
    rig.scheduler.start_refused(first.vm, first.task, 1, StartRefusal.UNHEALTHY, True)
    rig.tick()
    assert rig.started()[1].vm != first.vm


def test_advice_is_asked_for_at_acceptance_and_its_ticket_used() -> None:
    advised_queue = queue("q", 0, AdviceTerms(9.0, 0.1, 2000.0))
    rig = Rig(vms=3, queues=(advised_queue,))
    rig.scheduler.advice.set_call_slots({"one", "two"})
    rig.scheduler.submit("job", advised_queue, spec(StepSpec(2, HALF_A_VM)))
    rig.tick()
    (call,) = rig.advice_calls()
    assert sorted(call.vms) == ["w0", "w1", "w2"]
    rig.commit()
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, {"w2": "t"}, 2000.0)
    rig.tick()
    assert {(start.vm, start.ticket) for start in rig.started()} == {("w2", "t")}


def test_a_ticket_that_has_run_out_is_renewed_for_the_vm_about_to_be_used() -> None:
    advised_queue = queue("q", 0, AdviceTerms(9.0, 0.1, 2000.0))
    rig = Rig(vms=3, queues=(advised_queue,))
    rig.scheduler.advice.set_call_slots({"one"})
    rig.scheduler.submit("job", advised_queue, spec(StepSpec(1, HALF_A_VM)))
    rig.tick()
    call = rig.advice_calls()[0]
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, {"w1": "t"}, 2000.0)
    rig.clock.time += 2.2
    rig.report_all()
    rig.commit()
    rig.tick()
    assert rig.started() == []
    assert rig.advice_calls()[1].vms == ("w1",)
    assert rig.scheduler.state.vms["w1"].free_capacity.cores == 8_000


def test_slow_calls_leave_call_slots_to_quick_ones() -> None:
    slow = queue("slow", 0, AdviceTerms(800.0, 5.0, 2000.0))
    quick = queue("quick", 5, AdviceTerms(9.0, 0.1, 2000.0))
    rig = Rig(vms=2, queues=(slow, quick))
    rig.scheduler.advice.set_call_slots({"one", "two", "three"})
    for number in range(3):
        rig.scheduler.submit(f"slow{number}", slow, spec(StepSpec(1, CORE)))
    rig.tick()
    assert len(rig.advice_calls()) == 2
    rig.scheduler.submit("quick", quick, spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.advice_calls()[-1].step.startswith("quick")


def test_a_step_asks_again_when_its_call_slot_is_removed() -> None:
    advised_queue = queue("q", 0, AdviceTerms(9.0, 0.1, 2000.0))
    rig = Rig(vms=1, queues=(advised_queue,))
    rig.scheduler.advice.set_call_slots({"one", "two"})
    rig.scheduler.submit("job", advised_queue, spec(StepSpec(1, CORE)))
    rig.tick()
    lane = rig.advice_calls()[0].call_slot
    rig.scheduler.advice.set_call_slots({"one", "two"} - {lane})
    rig.tick(0.2)
    rig.tick(0.2)
    assert len(rig.advice_calls()) == 2
    assert rig.advice_calls()[1].call_slot != lane


def test_a_member_of_a_gang_is_not_started_while_another_still_runs() -> None:
    rig = Rig(vms=3)
    rig.accept("gang", spec(StepSpec(2, HALF_A_VM, gang=True, spread=1)))
    rig.tick()
    first, second = rig.started()
    rig.hold(first)
    rig.hold(second)
    rig.report_all()
    rig.complete(second, "broken")
    rig.clock.time += 0.1
    rig.report(second.vm)
    rig.tick()
    assert len(rig.started()) == 2
    rig.complete(first, "stopped")
    rig.wait(0.1)
    assert len(rig.started()) == 4
    assert len({start.run for start in rig.started()[2:]}) == 1


def test_the_rest_of_a_gang_is_stopped_when_a_member_could_not_start() -> None:
    rig = Rig(vms=2)
    rig.accept("gang", spec(StepSpec(2, HALF_A_VM, gang=True, spread=1)))
    rig.tick()
    first, second = rig.started()
    rig.hold(first)
    rig.report_all()
    rig.scheduler.start_refused(second.vm, second.task, 1, StartRefusal.TICKET, True)
    rig.tick()
    assert [stop.task for stop in rig.stopped()] == [first.task]


def test_a_vm_with_a_valid_ticket_goes_before_a_fuller_one() -> None:
    advised_queue = queue("q", 0, AdviceTerms(700.0, 5.0, 2000.0))
    rig = Rig(vms=2, queues=(advised_queue, queue("other")))
    rig.scheduler.advice.set_call_slots({"one"})
    rig.scheduler.submit("job", advised_queue, spec(StepSpec(1, HALF_A_VM)))
    rig.tick()
    call = rig.advice_calls()[0]
    tickets = dict.fromkeys(call.vms, "t")
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, tickets, 2000.0)
    rig.clock.time += 3.0
    rig.report_all()
    # Only w1 has a new ticket, although w0 is fuller.
    rig.scheduler.advice.answered("one", call.step, ("w1",), {"w1": "t"}, 2000.0)
    advice = rig.scheduler.state.jobs["job"].steps[(0, 0)].advice
    assert advice is not None
    advice.tickets["w1"].until = rig.clock.time + 2.0
    row = rig.scheduler.state.vms["w0"]
    row.free_capacity = row.free_capacity.plus(HALF_A_VM, -1)
    rig.commit()
    rig.tick()
    assert [start.vm for start in rig.started()] == ["w1"]


def test_a_vm_that_fails_all_it_starts_does_not_use_up_a_tasks_attempts() -> None:
    rig = Rig(vms=2)
    rig.accept("full", spec(StepSpec(1, Shape(16_000, 1_000))))
    rig.tick()
    (full,) = rig.started()
    rig.hold(full)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    first = rig.started()[-1]
    rig.complete(first, "failed")
    rig.report_all()
    rig.tick(0.3)
    assert rig.started()[-1] is first
    rig.complete(full, "done")
    rig.report_all()
    rig.tick()
    again = rig.started()[-1]
    assert (again.task, again.vm) == (first.task, full.vm)


def test_a_task_that_has_failed_is_tried_again_there_if_nothing_else_has_room() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.complete(rig.started()[-1], "failed")
    rig.report_all()
    rig.tick(0.5)
    assert len(rig.started()) == 1
    rig.wait(0.6)
    assert len(rig.started()) == 2
