"""A later leader holds back only the tasks that may run on VMs which it cannot reach."""

import logging

import pytest

from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.records import decode_vm
from sablemount.jobs.systems.seals import MAX_SEALED_TASKS
from tests.jobs.rig import CORE, Rig, queue, spec

HELD_BACK = "only tasks of silent VMs are held back"
SILENT_AFTER_S = 2.5
LONG_MS = 30_000.0
TAKEOVER_S = 2.5
GRANTED_S = 10.0 / 0.98
"""Longest real time for which a VM holds what runs there, whatever is requested."""
STARTED_WITHIN_S = 0.5
"""Seconds within which a later leader starts what it need not hold back."""
WIDE = Shape(16_000, 64_000, 0)
"""All cores and memory of a VM."""


def _rig(vms: int = 4) -> Rig:
    """Return a rig of which the first VM runs a task of ``old``, and ``new`` has not started."""
    rig = Rig(vms=vms)
    rig.accept("old", spec(StepSpec(1, CORE, expected_ms=LONG_MS)))
    rig.start_and_hold_all()
    rig.commit()
    return rig


def _vm(rig: Rig) -> str:
    return rig.started()[0].vm


def _pass(rig: Rig, seconds: float, step_s: float = 0.1) -> None:
    """Let time pass, with reports of all VMs that can be reached and appends to the store."""
    for _ in range(round(seconds / step_s)):
        rig.report_all()
        rig.tick(step_s)
        rig.commit()


def _silence(rig: Rig, vm: str, seconds: float = SILENT_AFTER_S + 0.5) -> None:
    rig.vm_names.remove(vm)
    _pass(rig, seconds)


def _accept_unplaced(rig: Rig, name: str, *steps: StepSpec) -> None:
    """Accept a job that the leader has not placed yet."""
    rig.accept(name, spec(*steps))


def _tasks(rig: Rig) -> list[str]:
    return [start.task for start in rig.started()]


def _sealed(rig: Rig, vm: str) -> tuple[int, tuple[str, ...]]:
    record = decode_vm(rig.store[f"w/{vm}"])
    return record.sealed_epoch, record.sealed_tasks


def test_only_the_tasks_of_a_silent_vm_are_held_back() -> None:
    # Guards against a new leader that leaves all VMs idle for the lease of one.
    rig = _rig()
    vm = _vm(rig)
    _silence(rig, vm)
    _accept_unplaced(rig, "new", StepSpec(2, CORE))
    successor = rig.successor()
    _pass(successor, STARTED_WITHIN_S)
    assert _tasks(successor) == ["new.0.0.0", "new.0.0.1"]
    _pass(successor, TAKEOVER_S + GRANTED_S - STARTED_WITHIN_S - 0.2)
    assert "old.0.0.0" not in _tasks(successor)
    _pass(successor, 1.0)
    assert "old.0.0.0" in _tasks(successor)


def test_all_tasks_are_held_back_for_a_vm_that_fell_silent_just_before() -> None:
    rig = _rig()
    _silence(rig, _vm(rig), SILENT_AFTER_S - 0.5)
    _accept_unplaced(rig, "new", StepSpec(1, CORE))
    successor = rig.successor()
    _pass(successor, TAKEOVER_S + GRANTED_S - 0.2)
    assert _tasks(successor) == []


def test_a_vm_that_refuses_connections_for_a_moment_is_not_sealed() -> None:
    # Opening its record would delay its next work.
    rig = _rig()
    row = rig.scheduler.state.vms[_vm(rig)]
    rig.scheduler.vms.connection_refused(row)
    rig.vm_names.remove(row.name)
    _pass(rig, SILENT_AFTER_S - 0.2)
    assert not row.sealed


def test_a_seal_that_is_not_in_the_store_counts_for_nothing() -> None:
    rig = _rig()
    vm = _vm(rig)
    rig.vm_names.remove(vm)
    for _ in range(40):
        rig.report_all()
        rig.tick(0.1)
    assert rig.scheduler.state.vms[vm].sealed
    assert _sealed(rig, vm) == (0, ())


def test_no_vm_is_sealed_while_the_store_does_not_answer() -> None:
    rig = _rig()
    vm = _vm(rig)
    rig.vm_names.remove(vm)
    for _ in range(40):
        rig.report_all()
        rig.clock.time += 0.1
        rig.scheduler.update_time()
        rig.scheduler.tick(store_answers=False)
    assert not rig.scheduler.state.vms[vm].sealed


def test_no_vm_is_sealed_while_most_are_silent() -> None:
    # The leader itself may be cut off; its VMs need no new record then.
    rig = _rig(vms=6)
    del rig.vm_names[:4]
    _pass(rig, SILENT_AFTER_S + 0.5)
    assert not any(row.sealed for row in rig.scheduler.state.vms.values())


def test_a_vm_with_more_runs_than_a_record_names_is_not_sealed() -> None:
    rig = Rig(vms=2)
    tiny = Shape(10, 10, 0)
    rig.accept("old", spec(StepSpec(2 * MAX_SEALED_TASKS + 2, tiny, expected_ms=LONG_MS)))
    rig.start_and_hold_all()
    rows = rig.scheduler.state.vms.values()
    crowded = next(row for row in rows if len(row.runs) > MAX_SEALED_TASKS)
    _silence(rig, crowded.name)
    assert not crowded.sealed


# -- Opening ---------------------------------------------------------------------------------


def test_a_vm_gets_new_work_only_once_its_open_record_is_in_the_store() -> None:
    # Guards against work that the record of its VM does not name.
    rig = _rig(vms=2)
    vm = _vm(rig)
    _silence(rig, vm)
    assert _sealed(rig, vm) == (1, ("old.0.0.0",))
    rig.vm_names = [vm]
    _accept_unplaced(rig, "new", StepSpec(1, CORE, label="b" if vm == "w0" else "a"))
    rig.report(vm)
    rig.tick(0.2)
    rig.report(vm)
    rig.tick(0.2)
    assert "new.0.0.0" not in _tasks(rig)
    rig.commit()
    assert _sealed(rig, vm) == (0, ())
    rig.report(vm)
    rig.tick(0.1)
    assert "new.0.0.0" in _tasks(rig)


def test_an_earlier_record_of_use_does_not_open_a_sealed_vm() -> None:
    rig = _rig()
    row = rig.scheduler.state.vms[_vm(rig)]
    rig.scheduler.journal.record_disuse(row)
    rig.commit()
    rig.scheduler.journal.record_use(row)
    batch = rig.scheduler.next_batch()
    rig.scheduler.journal.seal(row)
    rig.scheduler.batch_stored(batch)
    assert not row.in_use
    rig.scheduler.journal.open(row)
    assert not row.in_use


def test_a_seal_that_was_not_sent_yet_delays_no_work() -> None:
    rig = _rig(vms=1)
    rig.vm_names.clear()
    rig.tick(SILENT_AFTER_S + 0.1)
    assert rig.scheduler.state.vms["w0"].sealed
    rig.vm_names.append("w0")
    rig.scheduler.submit("new", queue(), spec(StepSpec(1, CORE)))
    rig.scheduler.state.jobs["new"].durable = True
    rig.report("w0")
    rig.tick()
    assert _tasks(rig)[-1] == "new.0.0.0"


def test_a_later_leader_opens_a_sealed_vm_that_reports() -> None:
    rig = _rig(vms=1)
    _silence(rig, "w0")
    _accept_unplaced(rig, "new", StepSpec(1, CORE))
    successor = rig.successor()
    successor.vm_names = ["w0"]
    successor.report("w0")
    successor.tick(0.2)
    assert _tasks(successor) == []
    _pass(successor, STARTED_WITHIN_S)
    assert _tasks(successor) == ["new.0.0.0"]
    assert _sealed(successor, "w0") == (0, ())


# -- What a seal names -----------------------------------------------------------------------


def test_a_run_that_has_ended_unseen_is_held_back() -> None:
    # The end may be listed later, and then the task must not have started again.
    rig = _rig()
    vm = _vm(rig)
    _silence(rig, vm)
    rig.complete(rig.started()[0], "done")
    successor = rig.successor()
    _pass(successor, 1.0)
    assert _tasks(successor) == []
    successor.vm_names.append(vm)
    _pass(successor, 0.2)
    assert successor.scheduler.state.jobs["old"].state.name == "SUCCEEDED"
    assert _tasks(successor) == []


def test_a_seal_is_stored_no_sooner_than_the_ends_that_it_leaves_out() -> None:
    rig = _rig()
    row = rig.scheduler.state.vms[_vm(rig)]
    rig.complete(rig.started()[0], "done")
    rig.report(row.name)
    rig.scheduler.journal.seal(row)
    batch = rig.commit()
    assert "p/old" in [record.key for record in batch.records]
    assert _sealed(rig, row.name) == (1, ())


def _leader_after_a_vm_was_lost_beside_the_leader(first: StepSpec) -> tuple[Rig, Rig]:
    """Return a leader, and its successor that cannot reach a VM without a seal."""
    rig = Rig(vms=4)
    second = StepSpec(2, CORE, expected_ms=LONG_MS, after=(0,))
    rig.accept("job", spec(first, second))
    rig.start_and_hold_all()
    rig.commit()
    busy = {start.vm for start in rig.started()}
    rig.vm_names.remove(next(vm for vm in rig.vm_names if vm not in busy))
    return rig, rig.successor()


@pytest.mark.parametrize("gang", [False, True])
def test_a_step_that_only_this_leader_can_have_opened_is_not_held_back(gang: bool) -> None:
    # Guards against jobs that stand still for a lease although their turn came afterwards.
    rig, successor = _leader_after_a_vm_was_lost_beside_the_leader(StepSpec(1, CORE))
    job = successor.scheduler.state.jobs["job"]
    job.steps[(0, 1)].spec = StepSpec(2, CORE, expected_ms=LONG_MS, after=(0,), gang=gang)
    _pass(successor, 2.5)
    assert _tasks(successor) == []
    rig.complete(rig.started()[0], "done")
    _pass(successor, STARTED_WITHIN_S)
    assert sorted(_tasks(successor)) == ["job.0.1.0", "job.0.1.1"]


def test_a_step_is_held_back_whose_turn_an_earlier_leader_may_have_seen() -> None:
    # A poll of the earlier leader may have waited at the VM for up to 2 s, and shown the end.
    rig, successor = _leader_after_a_vm_was_lost_beside_the_leader(StepSpec(1, CORE))
    _pass(successor, 1.5)
    rig.complete(rig.started()[0], "done")
    _pass(successor, TAKEOVER_S)
    assert _tasks(successor) == []


def test_a_step_after_a_gang_is_held_back() -> None:
    # The end of a gang may have been shown by a member's VM that only the earlier leader reached.
    rig, successor = _leader_after_a_vm_was_lost_beside_the_leader(StepSpec(2, CORE, gang=True))
    _pass(successor, 2.5)
    for start in rig.started():
        rig.complete(start, "done")
    _pass(successor, TAKEOVER_S)
    assert _tasks(successor) == []


def test_a_step_is_held_back_whose_turn_another_run_may_have_shown_to_an_earlier_leader() -> None:
    rig = Rig(vms=6)
    second = StepSpec(2, CORE, expected_ms=LONG_MS, after=(0,), label="b")
    rig.accept("job", spec(StepSpec(1, CORE), second))
    rig.start_and_hold_all()
    (lost,) = rig.started()
    rig.vm_names.remove(lost.vm)
    while len(rig.started()) == 1:
        _pass(rig, 0.1)
    again = rig.started()[1]
    assert again.task == lost.task
    rig.hold(again)
    rig.report(again.vm)
    # The first run was done before its lease was over, and the store does not take this any more.
    rig.complete(lost, "done")
    rig.vm_names.append(lost.vm)
    rig.report(lost.vm)
    rig.tick()
    following = rig.started()[2:]
    assert [start.task for start in following] == ["job.0.1.0", "job.0.1.1"]
    cut_off = {lost.vm, *(start.vm for start in following)}
    assert again.vm not in cut_off
    successor = rig.successor()
    successor.vm_names = [vm for vm in rig.vm_names if vm not in cut_off]
    _pass(successor, 2.5)
    rig.complete(again, "done")
    _pass(successor, TAKEOVER_S)
    assert _tasks(successor) == []


def test_a_gang_waits_for_any_of_its_members() -> None:
    rig = Rig(vms=4)
    rig.accept("gang", spec(StepSpec(2, WIDE, gang=True, expected_ms=LONG_MS)))
    rig.start_and_hold_all()
    vm, other = (start.vm for start in rig.started())
    _silence(rig, vm)
    rig.running[other] = []
    successor = rig.successor()
    _pass(successor, TAKEOVER_S + GRANTED_S - 0.2)
    assert _tasks(successor) == []
    _pass(successor, 1.0)
    assert _tasks(successor) == ["gang.0.0.0", "gang.0.0.1"]


def test_a_released_task_that_may_crash_vms_waits_for_isolation() -> None:
    # Guards against its start beside others under each new leader.
    rig = _rig(vms=3)
    rig.accept("busy", spec(StepSpec(3, Shape(9_000, 1_000, 0), expected_ms=LONG_MS)))
    rig.start_and_hold_all()
    rig.accept("new", spec(StepSpec(1, CORE, expected_ms=LONG_MS)))
    job = rig.scheduler.state.jobs["new"]
    job.has_crashes = True
    job.steps[0, 0].tasks[0].crashes = ["gone#1", "gone#2"]
    rig.scheduler.state.mark_dirty(job)
    _silence(rig, _vm(rig))
    successor = rig.successor()
    _pass(successor, STARTED_WITHIN_S)
    assert "old.0.0.0" in (successor.scheduler.state.held_tasks or ())
    assert "new.0.0.0" not in _tasks(successor)


# -- Several leaders -------------------------------------------------------------------------


def test_a_later_leader_names_what_an_earlier_one_has_named() -> None:
    rig = _rig()
    vm = _vm(rig)
    _silence(rig, vm)
    second = rig.successor()
    second.store = dict(rig.store)
    _pass(second, STARTED_WITHIN_S)
    assert _sealed(second, vm) == (2, ("old.0.0.0",))
    _accept_unplaced(second, "new", StepSpec(1, CORE))
    third = second.successor()
    _pass(third, STARTED_WITHIN_S)
    assert _tasks(third) == ["new.0.0.0"]


@pytest.mark.parametrize("epochs", [0, 2])
def test_a_seal_of_any_but_the_previous_leader_counts_for_nothing(epochs: int) -> None:
    # A leader of an earlier release may have started work without changing the record.
    rig = _rig()
    _silence(rig, _vm(rig))
    _accept_unplaced(rig, "new", StepSpec(1, CORE))
    rig.scheduler.state.epoch += epochs - 1
    successor = rig.successor()
    _pass(successor, TAKEOVER_S + GRANTED_S - 0.2)
    assert _tasks(successor) == []


def test_an_unreached_vm_is_sealed_by_no_leader_that_did_not_hear_it() -> None:
    rig = _rig()
    vm = _vm(rig)
    rig.vm_names.remove(vm)
    successor = rig.successor()
    successor.store = dict(rig.store)
    _pass(successor, SILENT_AFTER_S + 1.0)
    assert _sealed(successor, vm) == (0, ())


def test_what_an_earlier_incarnation_may_run_counts_for_its_successor() -> None:
    rig = _rig()
    _silence(rig, _vm(rig))
    successor = rig.successor()
    previous = successor.scheduler.state.vms[_vm(rig)]
    later = successor.scheduler.vms.other_incarnation_answered(previous, "later", 5)
    assert later is not None
    _pass(successor, STARTED_WITHIN_S)
    assert successor.scheduler.state.held_tasks == {"old.0.0.0"}
    assert _tasks(successor) == []


# -- The log ---------------------------------------------------------------------------------


def test_what_a_new_leader_holds_back_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="sablemount.jobs")
    rig = _rig()
    vm = _vm(rig)
    _silence(rig, vm)
    _pass(rig.successor(), 1.0)
    lines = [vars(line) for line in caplog.records if line.getMessage() == HELD_BACK]
    assert [(line["tasks"], line["unreported"]) for line in lines] == [(1, [vm])]


def test_a_leader_that_reaches_all_vms_logs_nothing_of_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, logger="sablemount.jobs")
    _pass(_rig().successor(), 1.0)
    assert HELD_BACK not in [line.getMessage() for line in caplog.records]
