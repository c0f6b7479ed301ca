"""What may have been started before is ordered once the store has it, and not sooner."""

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
"""Each member has a VM for itself."""


def _orders(rig: Rig, seconds: float = 0.01) -> list[StartRun]:
    return [action for action in rig.tick(seconds) if isinstance(action, StartRun)]


def _lost(vms: int = 3) -> tuple[Rig, str]:
    """Have a job's task run and be lost with its VM; return that too."""
    rig = Rig(vms)
    rig.accept("a", spec(StepSpec(1, CORE)))
    rig.run_all()
    rig.notes_at_once = False
    vm = rig.started()[0].vm
    rig.running[vm].clear()
    rig.listed.remove(vm)
    rig.scheduler.vms.died(vm)
    return rig, vm


def _former(step: StepSpec) -> Rig:
    """Return a later leader that finds a job accepted, of which nothing runs."""
    rig = Rig(vms=3)
    rig.accept("a", spec(step))
    later = rig.successor()
    later.notes_at_once = False
    later.hear_all()
    return later


def test_the_first_order_of_a_task_waits_for_nothing() -> None:
    rig = Rig()
    rig.notes_at_once = False
    rig.accept("a", spec(StepSpec(1, CORE)))
    assert [start.task for start in _orders(rig)] == [TASK]


def test_a_task_that_was_lost_is_ordered_once_its_crash_and_its_vm_are_noted() -> None:
    rig, vm = _lost()
    assert _orders(rig) == []
    rig.commit()
    (order,) = _orders(rig)
    assert order.vm != vm
    assert decode_vm(rig.store[VM_PREFIX + order.vm]).suspects == (TASK,)
    assert decode_progress(rig.store[PROGRESS_PREFIX + "a"]).crashes == {"0.0.0": (vm,)}


def test_what_a_former_leader_accepted_is_ordered_once_it_is_noted() -> None:
    rig = _former(StepSpec(1, CORE))
    assert _orders(rig) == []
    rig.commit()
    (order,) = _orders(rig)
    assert decode_vm(rig.store[VM_PREFIX + order.vm]).suspects == (TASK,)


def test_what_was_lost_with_a_vm_that_left_as_planned_waits_for_nothing() -> None:
    rig = Rig()
    rig.accept("a", spec(StepSpec(1, CORE)))
    rig.run_all()
    rig.notes_at_once = False
    vm = rig.started()[0].vm
    info = msgspec.structs.replace(rig.scheduler.state.vms[vm].info, draining=True)
    rig.scheduler.told(info)
    rig.listed.remove(vm)
    rig.scheduler.vms.died(vm)
    assert [start.task for start in _orders(rig)] == [TASK]


def test_an_order_is_valid_for_its_whole_time_from_when_it_is_given() -> None:
    rig, _ = _lost()
    rig.tick()
    rig.clock.time += 1.4
    rig.hear_all()
    rig.commit()
    (order,) = _orders(rig)
    valid = rig.scheduler.state.settings.start_valid
    assert order.not_after == pytest.approx(rig.clock.time + valid)


def test_a_store_that_is_silent_keeps_no_room_for_what_waits_for_it() -> None:
    rig, _ = _lost(vms=2)
    rig.tick()
    (row,) = (row for row in rig.scheduler.state.vms.values() if not row.gone)
    assert row.room.cores == CAPACITY.cores - CORE.cores
    rig.scheduler.now()
    assert rig.scheduler.tick(noting=False) == []
    assert row.room.cores == CAPACITY.cores
    assert not row.runs
    # It is tried again as soon as the store answers.
    rig.scheduler.tick(noting=True)
    rig.commit()
    assert [start.task for start in _orders(rig)] == [TASK]


@pytest.mark.parametrize("why", ["drains", "silent", "crashed"])
def test_a_gang_is_ordered_whole_or_not_at_all(why: str) -> None:
    rig = _former(GANG)
    rig.tick()
    held = [row for row in rig.scheduler.state.vms.values() if row.runs]
    assert len(held) == 2
    if why == "drains":
        rig.scheduler.told(msgspec.structs.replace(held[0].info, draining=True))
    elif why == "silent":
        rig.clock.time += 3.0
        rig.hear(held[1].name)
    else:
        rig.listed.remove(held[0].name)
        rig.scheduler.vms.died(held[0].name)
    rig.commit()
    rig.listed = [name for name in rig.listed if name != held[0].name]
    first = _orders(rig)
    assert first == []
    # Where the other VMs have room for all of it, it is placed there anew.
    rig.hear_all()
    rig.tick(0.3)
    rig.commit()
    orders = _orders(rig)
    assert len(orders) == 2
    assert held[0].name not in {order.vm for order in orders}
    task = rig.scheduler.state.jobs["a"].steps[(0, 0)].tasks[0]
    assert task.crashes == []


def test_a_job_that_is_cancelled_meanwhile_is_not_ordered_and_has_nothing_to_stop() -> None:
    rig = _former(StepSpec(1, CORE))
    rig.tick()
    rig.scheduler.cancel("a")
    assert not any(row.runs for row in rig.scheduler.state.vms.values())
    rig.commit()
    assert _orders(rig) == []
    assert rig.stopped() == []


def test_a_vm_is_let_go_only_once_the_crash_that_it_stood_for_is_noted() -> None:
    """What a crash counts for stands with the VM until the job's own record has it."""
    rig, vm = _lost()
    rig.scheduler.state.settings = msgspec.structs.replace(
        rig.scheduler.state.settings, call_bytes=100
    )
    rig.tick(0.6)
    while VM_PREFIX + vm in rig.store:
        rig.commit()
    assert decode_progress(rig.store[PROGRESS_PREFIX + "a"]).crashes == {"0.0.0": (vm,)}


def _crashed_under(rig: Rig, name: str, vms: list[str]) -> None:
    """Have VMs crashed under a job's task, as a former leader has noted."""
    job = rig.scheduler.state.jobs[name]
    job.watched = True
    job.steps[(0, 0)].tasks[0].crashes = vms
    rig.scheduler.state.suspected[name] = job


def test_a_vm_that_had_crashed_before_the_order_does_not_count() -> None:
    """Three VMs have crashed beside a task, and a fourth 0.4 s before it would be started there.

    Its last word is as old as is usual, since a look waits for 0.7 s, and it resets nothing. An
    order without an answer then looks the same as one that crashes the VM 10 ms later.
    """
    rig = Rig(vms=3)
    rig.accept("a", spec(StepSpec(1, CORE)))
    _crashed_under(rig, "a", ["x", "y", "z"])
    rig.clock.time += 0.4
    rig.listed = ["w1", "w2"]
    rig.hear_all()
    crashed = rig.scheduler.state.vms["w0"]
    # The emptiest VM is chosen, which is the one that has crashed.
    rig.scheduler.state.vms["w1"].room = rig.scheduler.state.vms["w2"].room = CORE
    for _ in range(80):
        rig.tick(0.05)
        rig.hear_all()
        if rig.started():
            break
    (order,) = rig.started()
    rig.run(order)
    rig.hear_all()
    rig.scheduler.vms.died(crashed.name)
    assert order.vm != crashed.name
    assert rig.scheduler.state.jobs["a"].state is not JobState.FAILED
