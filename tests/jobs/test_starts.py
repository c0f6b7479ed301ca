"""A task that may have been started before is requested only after the store has recorded it."""

import msgspec
import pytest

from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.records import (
    PROGRESS_PREFIX,
    VM_PREFIX,
    decode_progress,
    decode_vm,
)
from sablemount.jobs.tables import JobState
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

TASK = "a.0.0.0"
GANG = StepSpec(2, Shape(9_000, 1_000), gang=True)
"""Each member needs a VM of its own."""


def _start_requests(rig: Rig, seconds: float = 0.01) -> list[StartRun]:
    return [action for action in rig.tick(seconds) if isinstance(action, StartRun)]


def _lose_task(vms: int = 3) -> tuple[Rig, str]:
    """Run a job's task and lose it with its VM; return the VM too."""
    rig = Rig(vms)
    rig.accept("a", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    rig.records_at_once = False
    vm = rig.started()[0].vm
    rig.running[vm].clear()
    rig.vm_names.remove(vm)
    rig.scheduler.vms.incarnation_ended(vm)
    return rig, vm


def _later_leader(step: StepSpec) -> Rig:
    """Return a later leader that has loaded an accepted job without any runs."""
    rig = Rig(vms=3)
    rig.accept("a", spec(step))
    later = rig.successor()
    later.records_at_once = False
    later.report_all()
    return later


def test_the_first_start_of_a_task_is_not_delayed() -> None:
    rig = Rig()
    rig.records_at_once = False
    rig.accept("a", spec(StepSpec(1, CORE)))
    assert [start.task for start in _start_requests(rig)] == [TASK]


def test_a_lost_task_is_requested_once_its_crash_and_its_vm_are_recorded() -> None:
    rig, vm = _lose_task()
    assert _start_requests(rig) == []
    rig.commit()
    (start,) = _start_requests(rig)
    assert start.vm != vm
    assert decode_vm(rig.store[VM_PREFIX + start.vm]).suspects == (TASK,)
    assert decode_progress(rig.store[PROGRESS_PREFIX + "a"]).crashes == {"0.0.0": (vm,)}


def test_a_job_of_a_previous_leader_is_requested_once_its_start_is_recorded() -> None:
    rig = _later_leader(StepSpec(1, CORE))
    assert _start_requests(rig) == []
    rig.commit()
    (start,) = _start_requests(rig)
    assert decode_vm(rig.store[VM_PREFIX + start.vm]).suspects == (TASK,)


def test_a_task_lost_with_a_vm_that_left_as_planned_is_not_delayed() -> None:
    rig = Rig()
    rig.accept("a", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    rig.records_at_once = False
    vm = rig.started()[0].vm
    info = msgspec.structs.replace(rig.scheduler.state.vms[vm].info, draining=True)
    rig.scheduler.update_vm(info)
    rig.vm_names.remove(vm)
    rig.scheduler.vms.incarnation_ended(vm)
    assert [start.task for start in _start_requests(rig)] == [TASK]


def test_a_start_request_is_valid_for_its_whole_time_once_it_is_sent() -> None:
    rig, _ = _lose_task()
    rig.tick()
    rig.clock.time += 1.4
    rig.report_all()
    rig.commit()
    (start,) = _start_requests(rig)
    valid_s = rig.scheduler.state.settings.start_validity_s
    assert start.not_after == pytest.approx(rig.clock.time + valid_s)


def test_no_capacity_is_reserved_for_starts_that_wait_for_a_silent_store() -> None:
    rig, _ = _lose_task(vms=2)
    rig.tick()
    (row,) = (row for row in rig.scheduler.state.vms.values() if not row.terminated)
    assert row.free_capacity.cores == CAPACITY.cores - CORE.cores
    rig.scheduler.update_time()
    assert rig.scheduler.tick(store_answers=False) == []
    assert row.free_capacity.cores == CAPACITY.cores
    assert not row.runs
    # The start is tried again as soon as the store answers.
    rig.scheduler.tick(store_answers=True)
    rig.commit()
    assert [start.task for start in _start_requests(rig)] == [TASK]


@pytest.mark.parametrize("why", ["drains", "silent", "crashed"])
def test_a_gang_is_requested_completely_or_not_at_all(why: str) -> None:
    rig = _later_leader(GANG)
    rig.tick()
    used = [row for row in rig.scheduler.state.vms.values() if row.runs]
    assert len(used) == 2
    if why == "drains":
        rig.scheduler.update_vm(msgspec.structs.replace(used[0].info, draining=True))
    elif why == "silent":
        rig.clock.time += 3.0
        rig.report(used[1].name)
    else:
        rig.vm_names.remove(used[0].name)
        rig.scheduler.vms.incarnation_ended(used[0].name)
    rig.commit()
    rig.vm_names = [name for name in rig.vm_names if name != used[0].name]
    first = _start_requests(rig)
    assert first == []
    # Once the other VMs have capacity for the whole gang, it is placed there.
    rig.report_all()
    rig.tick(0.3)
    rig.commit()
    starts = _start_requests(rig)
    assert len(starts) == 2
    assert used[0].name not in {start.vm for start in starts}
    task = rig.scheduler.state.jobs["a"].steps[(0, 0)].tasks[0]
    assert task.crashes == []


def test_a_job_cancelled_before_its_request_needs_no_stop() -> None:
    rig = _later_leader(StepSpec(1, CORE))
    rig.tick()
    rig.scheduler.cancel("a")
    assert not any(row.runs for row in rig.scheduler.state.vms.values())
    rig.commit()
    assert _start_requests(rig) == []
    assert rig.stopped() == []


def test_a_vm_is_let_go_only_once_the_crash_that_it_stood_for_is_noted() -> None:
    """The tasks that a crash counts for stay in the VM's record until the job's record has it."""
    rig, vm = _lose_task()
    rig.scheduler.state.settings = msgspec.structs.replace(
        rig.scheduler.state.settings, call_bytes=100
    )
    rig.tick(0.6)
    while VM_PREFIX + vm in rig.store:
        rig.commit()
    assert decode_progress(rig.store[PROGRESS_PREFIX + "a"]).crashes == {"0.0.0": (vm,)}


def _add_crashes(rig: Rig, name: str, vms: list[str]) -> None:
    """Let VMs have crashed under a job's task, as recorded by a previous leader."""
    job = rig.scheduler.state.jobs[name]
    job.has_crashes = True
    job.steps[(0, 0)].tasks[0].crashes = vms
    rig.scheduler.state.suspected_jobs[name] = job


def test_a_vm_that_had_crashed_before_the_order_does_not_count() -> None:
    """Three VMs have crashed under a task; a fourth crashes 0.4 s before it would start there.

    Its last report has the usual age, since a poll waits for 0.7 s, and nothing resets connections.
    An unanswered start request then looks like one that crashes the VM 10 ms later.
    """
    rig = Rig(vms=3)
    rig.accept("a", spec(StepSpec(1, CORE)))
    _add_crashes(rig, "a", ["x", "y", "z"])
    rig.clock.time += 0.4
    rig.vm_names = ["w1", "w2"]
    rig.report_all()
    crashed = rig.scheduler.state.vms["w0"]
    # The VM with the most free capacity is chosen, which is the one that has crashed.
    rig.scheduler.state.vms["w1"].free_capacity = rig.scheduler.state.vms["w2"].free_capacity = CORE
    for _ in range(80):
        rig.tick(0.05)
        rig.report_all()
        if rig.started():
            break
    (start,) = rig.started()
    rig.hold(start)
    rig.report_all()
    rig.scheduler.vms.incarnation_ended(crashed.name)
    assert start.vm != crashed.name
    assert rig.scheduler.state.jobs["a"].state is not JobState.FAILED
