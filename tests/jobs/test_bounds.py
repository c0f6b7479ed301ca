"""Bounds count what may run on a VM, what is free there and what a step may use of it.

A run that nobody wants any more works until it has been stopped, a VM that does not answer may have
lost its runs, and a step that is spread over VMs can use one place on each.
"""

import asyncio
from typing import Any

import msgspec
import pytest
from tornado.httputil import HTTPHeaders

from sablemount.adapters.upstream import Response
from sablemount.control.ports import CallError
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import LaterIncarnation, StartRun, VmReport
from sablemount.jobs.model import AdviceTerms, Shape, StepSpec, VmInfo
from sablemount.jobs.records import Record
from sablemount.jobs.run_row import RunState
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.tables import MAX_CRASH_WEIGHT, JobRow
from sablemount.platform.workers import PlatformWorkers
from tests.emulator.loop import run
from tests.jobs.rig import CAPACITY, CORE, Rig, queue, spec

HALF = Shape(8_000, 1_000)
WHOLE = Shape(CAPACITY.cores, 1_000)
SMALL = Shape(4_000, 64_000, 2)
URGENT = queue("fast", 0)
GANGS = queue("gangs", 1)
CHEAP = queue("slow", 2)
NOTICE_S = 30.0
CHEAP_TASKS = StepSpec(2, HALF, expected_ms=5000.0, saves=True)


def _vms_of(job: JobRow) -> list[str]:
    return [run.vm for step in job.steps.values() for task in step.tasks for run in task.runs]


def _started_of(rig: Rig, job: str) -> list[StartRun]:
    return [start for start in rig.started() if start.task.startswith(f"{job}.")]


def _end(rig: Rig, *starts: StartRun) -> None:
    """Let runs end, and have the capacity used again."""
    for start in starts:
        rig.complete(start, "done")
    rig.report_all()
    rig.tick()


def _describe(rig: Rig, vm: str, **changes: Any) -> None:
    """Let a VM describe itself anew."""
    row = rig.scheduler.state.vms[vm]
    changes = {"revision": row.revision + 1, **changes}
    rig.scheduler.update_vm(msgspec.structs.replace(row.info, **changes))


def _wait_for_lease_end(rig: Rig, vm: str, is_removed: bool = False) -> None:
    """Let a VM be silent until what runs there may start elsewhere."""
    rig.vm_names.remove(vm)
    for _ in range(30):
        rig.wait(0.5)
    row = rig.scheduler.state.vms.get(vm)
    assert (row is None) is is_removed
    assert row is None or not row.runs


# -- Spread ----------------------------------------------------------------------------------


def test_a_found_run_of_a_completed_task_counts_toward_the_spread() -> None:
    rig = Rig(vms=2)
    rig.accept("full", spec(StepSpec(1, WHOLE, label="a")))
    rig.accept("job", spec(StepSpec(2, CORE, spread=1)))
    rig.start_and_hold_all()
    full, first = rig.started()
    assert (full.vm, first.vm) == ("w1", "w0")
    _wait_for_lease_end(rig, "w0")
    _end(rig, full)
    copy = rig.started()[-1]
    assert (copy.task, copy.vm) == (first.task, "w1")
    rig.hold(copy)
    rig.report("w1")
    rig.complete(first, "done")
    rig.report("w0")
    rig.commit()
    later = rig.successor()
    _describe(later, "w0", draining=True)
    for _ in range(3):
        later.report_all()
        later.report("w0")
        later.commit()
        later.tick(0.1)
    assert [stop.task for stop in later.stopped()][:1] == [first.task]
    assert later.started() == []
    later.complete(copy, "stopped")
    later.report_all()
    later.tick(0.1)
    assert [start.vm for start in later.started()] == ["w1"]


def test_one_rack_is_not_chosen_for_places_beyond_the_spread() -> None:
    rig = Rig(vms=4)
    rig.accept("full", spec(StepSpec(1, WHOLE, label="a")))
    rig.start_and_hold_all()
    (full,) = rig.started()
    rig.accept("gang", spec(StepSpec(2, HALF, gang=True, same_rack=True, spread=1)))
    rig.wait(0.3)
    vms = rig.scheduler.state.vms
    racks = {vms[start.vm].info.rack for start in _started_of(rig, "gang")}
    assert len(_started_of(rig, "gang")) == 2
    assert racks.isdisjoint({vms[full.vm].info.rack})


def test_as_many_vms_are_reserved_for_a_gang_as_its_spread_needs() -> None:
    rig = Rig(vms=12, queues=(URGENT, GANGS, CHEAP))
    for number in range(24):
        rig.accept(f"busy{number}", spec(StepSpec(1, HALF, expected_ms=900_000.0)), GANGS)
    rig.start_and_hold_all()
    busy = rig.started()
    rig.accept("gang", spec(StepSpec(4, HALF, expected_ms=6000.0, gang=True, spread=1)), GANGS)
    rig.accept("cheap", spec(StepSpec(24, HALF, expected_ms=6000.0)), CHEAP)
    rig.tick()
    _end(rig, *(start for start in busy if start.vm in ("w0", "w1")))
    assert _started_of(rig, "cheap") == []
    for vm in ("w2", "w3"):
        _end(rig, next(start for start in busy if start.vm == vm))
    assert sorted(start.vm for start in _started_of(rig, "gang")) == ["w0", "w1", "w2", "w3"]


def test_runs_are_preempted_although_a_vm_has_room_beyond_the_spread() -> None:
    rig = Rig(vms=2, queues=(URGENT, CHEAP))
    rig.accept("cheap", spec(msgspec.structs.replace(CHEAP_TASKS, label="a")), CHEAP)
    rig.start_and_hold_all()
    rig.accept("quotes", spec(StepSpec(2, HALF, expected_ms=3000.0, spread=1)), URGENT)
    rig.start_and_hold_all()
    assert [start.vm for start in _started_of(rig, "quotes")] == ["w0"]
    rig.wait(0.7)
    assert [stop.vm for stop in rig.stopped()] == ["w1"]


def test_nothing_is_preempted_for_room_beyond_the_spread() -> None:
    rig = Rig(vms=1, queues=(URGENT, CHEAP))
    rig.accept("quotes", spec(StepSpec(2, HALF, expected_ms=3000.0, spread=1)), URGENT)
    rig.start_and_hold_all()
    rig.accept("cheap", spec(msgspec.structs.replace(CHEAP_TASKS, count=1)), CHEAP)
    rig.start_and_hold_all()
    for _ in range(3):
        rig.wait(0.7)
    assert len(rig.started()) == 2
    assert rig.stopped() == []


def test_a_vm_at_its_spread_is_no_place_for_a_task_that_waits_for_isolation() -> None:
    rig = Rig(vms=8)
    rig.scheduler.state.released_at = rig.clock.time
    job = rig.accept("suspect", spec(StepSpec(2, CORE, spread=1)))
    rig.scheduler.state.suspected_jobs[job.name] = job
    for task in job.steps[(0, 0)].tasks:
        task.crashes = ["gone0", "gone1"]
    for _ in range(3):
        rig.wait(0.3)
        rig.hold_all()
    vms = _vms_of(job)
    assert len(vms) == 2
    assert all(rig.scheduler.state.vms[vm].isolated_job == "suspect" for vm in vms)


# -- Starts that wait for the store ----------------------------------------------------------


def test_a_start_is_not_requested_where_the_room_was_lost_as_it_was_recorded() -> None:
    previous = Rig(vms=1)
    previous.accept("job", spec(StepSpec(1, HALF)))
    rig = previous.successor()
    rig.records_at_once = False
    rig.report_all()
    rig.tick()
    assert len(rig.scheduler.state.vms["w0"].runs) == 1
    _describe(rig, "w0", capacity=SMALL)
    rig.commit()
    rig.tick()
    assert rig.started() == []
    _describe(rig, "w0", capacity=CAPACITY)
    rig.wait(0.3)
    rig.commit()
    rig.tick()
    assert len(rig.started()) == 1


def test_a_start_that_waits_for_the_store_is_not_made_beside_a_run_of_its_task() -> None:
    rig = Rig(vms=2)
    rig.records_at_once = False
    job = rig.accept("job", spec(StepSpec(1, CORE)))
    (task,) = job.steps[(0, 0)].tasks
    task.run_lost = True
    rig.tick()
    (waiting,) = task.runs
    (other,) = set(rig.vm_names) - {waiting.vm}
    found = StartRun(other, task.key, waiting.number + 6, "", 0.0)
    rig.hold(found)
    rig.report(other)
    rig.commit()
    rig.tick()
    assert rig.started() == []
    rig.complete(found, "stopped")
    rig.records_at_once = True
    for _ in range(3):
        rig.wait(0.3)
    assert [start.task for start in rig.started()] == [task.key]


def _recorded_probe() -> tuple[Rig, str]:
    """Return a rig whose only VM is about to get a probe that is being recorded."""
    previous = Rig(vms=1)
    rig = Rig(0, 2)
    rig.scheduler.load([Record(key, value) for key, value in previous.store.items()])
    job = rig.accept("job", spec(StepSpec(1, CORE)))
    job.steps[(0, 0)].tasks[0].run_lost = True
    rig.scheduler.update_time()
    following = VmInfo("w0/7", "a0", "pool", CAPACITY, ("b", "r0"), instance="w0", born=7)
    replaced = rig.scheduler.state.vms["w0"]
    rig.scheduler.incarnation_replaced(replaced, LaterIncarnation(following.name, 7), 0)
    rig.scheduler.update_vm(following)
    rig.commit()
    rig.vm_names.append(following.name)
    rig.records_at_once = False
    for _ in range(3):
        rig.wait(0.1)
    (waiting,) = rig.scheduler.state.vms[following.name].runs.values()
    assert waiting.is_probe
    assert waiting.state is RunState.RECORDING
    return rig, following.name


def test_a_probe_is_requested_once_it_is_recorded() -> None:
    rig, vm = _recorded_probe()
    rig.commit()
    rig.tick()
    assert [start.vm for start in rig.started()] == [vm]


@pytest.mark.parametrize("change", ["drains", "refuses", "shrinks"])
def test_a_probe_is_not_requested_where_nothing_may_start_any_more(change: str) -> None:
    rig, vm = _recorded_probe()
    if change == "drains":
        _describe(rig, vm, draining=True)
    elif change == "refuses":
        rig.scheduler.vms.connection_refused(rig.scheduler.state.vms[vm])
    else:
        _describe(rig, vm, capacity=Shape(500, 64_000, 2))
    rig.commit()
    rig.tick()
    assert rig.started() == []


# -- Room ------------------------------------------------------------------------------------


def _completed_elsewhere() -> tuple[Rig, str]:
    """Return a rig with a VM where a task waited for a ticket until it was completed elsewhere."""
    advised = queue("q", advice=AdviceTerms(9.0, 0.1, 2000.0))
    rig = Rig(vms=2, queues=(advised,))
    rig.scheduler.advice.set_call_slots({"one"})
    job = rig.accept("job", spec(StepSpec(1, HALF), StepSpec(1, HALF, after=(0,))), advised)
    rig.tick()
    call = rig.advice_calls()[0]
    tickets = dict.fromkeys(call.vms, "ticket")
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, tickets, 2000.0)
    rig.start_and_hold_all()
    (start,) = rig.started()
    (other,) = set(rig.vm_names) - {start.vm}
    _wait_for_lease_end(rig, start.vm)
    assert job.steps[(0, 0)].awaiting_tickets == {other: 1}
    rig.complete(start, "done")
    rig.report(start.vm)
    rig.tick()
    return rig, other


def test_room_reserved_for_a_ticket_is_released_as_the_task_completes_elsewhere() -> None:
    rig, vm = _completed_elsewhere()
    assert rig.scheduler.state.vms[vm].free_capacity == CAPACITY


def test_room_that_a_closed_step_releases_is_used_at_once() -> None:
    rig, vm = _completed_elsewhere()
    version = rig.scheduler.state.capacity_version
    step = rig.scheduler.state.jobs["job"].steps[(0, 1)]
    step.awaiting_tickets[vm] = 1
    rig.scheduler.state.vms[vm].reserve(step)
    rig.scheduler.cancel("job")
    assert rig.scheduler.state.capacity_version > version


def test_room_reserved_at_a_vm_that_was_removed_is_not_released_once_it_is_back() -> None:
    rig, vm = _completed_elsewhere()
    info = rig.scheduler.state.vms[vm].info
    rig.scheduler.vms.entry_removed(vm)
    _wait_for_lease_end(rig, vm, is_removed=True)
    rig.scheduler.update_vm(info)
    rig.scheduler.cancel("job")
    assert rig.scheduler.state.vms[vm].free_capacity == CAPACITY


def test_nothing_is_preempted_for_room_that_a_stop_under_way_frees() -> None:
    rig = Rig(vms=2, queues=(URGENT, CHEAP))
    rig.accept("ended", spec(StepSpec(2, HALF, expected_ms=5000.0)), URGENT)
    rig.accept("cheap", spec(CHEAP_TASKS), CHEAP)
    rig.start_and_hold_all()
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.tick()
    rig.clock.time += 0.68
    rig.report_all()
    rig.scheduler.cancel("ended")
    rig.tick()
    assert {stop.task.partition(".")[0] for stop in rig.stopped()} == {"ended"}


def test_capacity_that_a_stop_frees_is_counted_for_one_urgent_step_only() -> None:
    rig = Rig(vms=2, queues=(URGENT, CHEAP))
    rig.accept("ended", spec(StepSpec(1, HALF, expected_ms=5000.0)), URGENT)
    rig.accept("cheap", spec(msgspec.structs.replace(CHEAP_TASKS, count=3)), CHEAP)
    rig.start_and_hold_all()
    for number in range(2):
        rig.accept(f"quote{number}", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.tick()
    rig.clock.time += 0.68
    rig.report_all()
    rig.scheduler.cancel("ended")
    rig.tick()
    assert sorted(stop.task.partition(".")[0] for stop in rig.stopped()) == ["cheap", "ended"]


def test_a_task_is_not_started_again_while_an_unwanted_run_of_it_is_being_stopped() -> None:
    rig = Rig(vms=2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    (start,) = rig.started()
    (other,) = set(rig.vm_names) - {start.vm}
    late = StartRun(other, start.task, start.run + 6, "", 0.0)
    rig.hold(late)
    rig.report(other)
    rig.complete(start, "failed")
    for _ in range(3):
        rig.wait(0.3)
    assert [stop.vm for stop in rig.stopped()][:1] == [other]
    assert len(rig.started()) == 1
    rig.complete(late, "stopped")
    for _ in range(4):
        rig.wait(0.3)
    assert len(rig.started()) == 2


# -- Presence --------------------------------------------------------------------------------


def test_a_task_on_a_silent_vm_does_not_count_as_at_work() -> None:
    rig = Rig(vms=2)
    rig.accept("serves", spec(StepSpec(2, CORE, lasting=True, may_miss=1, spread=1)))
    rig.start_and_hold_all()
    rig.hold_all(100.0)
    rig.vm_names.remove("w1")
    for _ in range(6):
        rig.wait(0.5)
    assert rig.scheduler.state.vms["w1"].runs
    _describe(rig, "w0", draining=True, leaves_in=NOTICE_S)
    rig.tick(0.2)
    assert rig.stopped() == []


def _suspect_beside(rig: Rig) -> tuple[JobRow, JobRow]:
    """Run two jobs on a VM, the first under suspicion of crashing VMs."""
    suspect, beside = (rig.accept(name, spec(StepSpec(1, CORE))) for name in ("bad", "beside"))
    rig.start_and_hold_all()
    assert _vms_of(suspect) == _vms_of(beside)
    suspect.steps[(0, 0)].tasks[0].crashes = ["gone0", "gone1"]
    return suspect, beside


def test_a_crash_counts_less_beside_a_suspect_that_is_being_stopped() -> None:
    rig = Rig(vms=8)
    _, beside = _suspect_beside(rig)
    (vm,) = _vms_of(beside)
    rig.scheduler.cancel("bad")
    rig.vm_names.remove(vm)
    rig.scheduler.vms.incarnation_ended(vm)
    rig.wait(0.4)
    assert beside.steps[(0, 0)].tasks[0].crash_weight(vm) < MAX_CRASH_WEIGHT


def test_a_suspect_is_not_started_beside_another_that_is_being_stopped() -> None:
    rig = Rig(vms=1)
    jobs = []
    for name in ("first", "second"):
        job = rig.accept(name, spec(StepSpec(1, CORE)))
        rig.scheduler.state.suspected_jobs[name] = job
        job.steps[(0, 0)].tasks[0].crashes = ["gone0"]
        jobs.append(job)
        if name == "first":
            rig.start_and_hold_all()
            rig.scheduler.cancel("first")
    rig.tick()
    assert _vms_of(jobs[1]) == []
    rig.complete(rig.started()[0], "stopped")
    rig.wait(0.1)
    assert _vms_of(jobs[1]) == ["w0"]


# -- Answers ---------------------------------------------------------------------------------


class _Pool:
    """Answers each request with a status and without a body."""

    def __init__(self, status: int = 200) -> None:
        self._status = status

    async def fetch(self, *args: object, **kwargs: object) -> Response:
        return Response(self._status, HTTPHeaders(), b"")


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (400, StartRefusal.REJECTED),
        (404, CallError.NO_ANSWER),
        (500, CallError.NO_ANSWER),
        (502, CallError.NO_ANSWER),
    ],
)
def test_a_start_answered_with_an_unknown_status_may_have_been_made(
    status: int, result: StartRefusal | CallError
) -> None:
    workers = PlatformWorkers(_Pool(status))  # type: ignore[arg-type]
    start = StartRun("w0", "job.0.0.0", 1, "payload", 0.0)
    assert run(workers.start(start, "a0", 1, 1, 1.0)) is result


def test_a_run_whose_start_was_answered_without_a_clock_is_kept() -> None:
    async def scenario() -> None:
        rig = Rig(vms=1)
        rig.clock.time = asyncio.get_running_loop().time()
        rig.report("w0")
        rig.accept("job", spec(StepSpec(1, CORE)))
        (start,) = [action for action in rig.tick() if isinstance(action, StartRun)]
        row = rig.scheduler.state.vms["w0"]
        made_at_ms = row.clock_ms + 1.0
        vm_calls = VmCalls(
            rig.scheduler,
            PlatformWorkers(_Pool()),  # type: ignore[arg-type]
            1,
            lambda: True,
            lambda vm: None,
            lambda: None,
            asyncio.get_running_loop().create_future,
        )
        vm_calls.start(start)
        await asyncio.sleep(0.01)
        # The answer to a poll that was made before the start arrives after it.
        rig.scheduler.vm_reported(VmReport("w0", rig.clock.time, made_at_ms, (), ()))
        assert (start.task, start.run) in row.runs
        assert not row.completions_unreliable
        vm_calls.close()

    run(scenario())
