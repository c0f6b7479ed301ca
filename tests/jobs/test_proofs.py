"""A VM's next life shows that it lists its ends, by a run whose loss costs nothing.

A message for the life before may come late and make it forget ends: nobody but the VM knows.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from sablemount.control.ports import CallError, HoldCall, HoldResult, StartResult
from sablemount.control.vm_calls import PROBE_LEASE_S, VmCalls
from sablemount.jobs.actions import Heard, OtherLife, StartRun
from sablemount.jobs.model import AdviceTerms, StepSpec, VmInfo
from sablemount.jobs.records import Record
from sablemount.jobs.tables import RunState, VmRow
from tests.emulator.loop import run
from tests.jobs.rig import CAPACITY, CORE, Rig, queue, spec

NEXT = VmInfo("w0/7", "a0", "pool", CAPACITY, ("b", "r0"), instance="w0", born=7)


def _next_life(steps: tuple[StepSpec, ...] = (StepSpec(3, CORE),)) -> tuple[Rig, VmRow]:
    """Return a later leader's rig, with jobs that wait, as its only VM has started again."""
    former = Rig(vms=1)
    former.commit()
    rig = Rig(0, 2)
    rig.scheduler.load([Record(key, value) for key, value in former.store.items()])
    for number, step in enumerate(steps):
        rig.accept(f"job{number}", spec(step))
    rig.scheduler.now()
    rig.scheduler.other_life(rig.scheduler.state.vms["w0"], OtherLife(NEXT.name, NEXT.born), 0)
    rig.scheduler.told(NEXT)
    rig.commit()
    rig.listed.append(NEXT.name)
    return rig, rig.scheduler.state.vms[NEXT.name]


def _first(rig: Rig) -> StartRun:
    rig.wait(0.1)
    rig.wait(0.1)
    (start,) = rig.started()
    return start


def test_one_run_shows_that_a_next_life_lists_its_ends() -> None:
    rig, row = _next_life()
    start = _first(rig)
    assert row.runs[(start.task, start.run)].proof
    assert row.deaf
    rig.run(start)
    rig.wait(0.01)
    rig.end(start, "lapsed")
    rig.wait(0.1)
    assert not row.deaf
    rig.wait(0.3)
    assert len({start.task for start in rig.started()[1:]}) == 3


def test_its_loss_is_no_end_and_its_task_runs_where_ends_are_listed() -> None:
    rig, row = _next_life()
    start = _first(rig)
    rig.run(start)
    rig.hear_all()
    rig.running[row.name] = []
    for _ in range(10):
        rig.wait(1.0)
    assert row.deaf
    assert not row.unproven
    assert rig.started() == [start]
    rig.add_vms(1)
    rig.commit()
    rig.wait(0.3)
    assert start.task in {again.task for again in rig.started()[1:]}


def test_a_start_that_was_refused_is_tried_again_later() -> None:
    rig, row = _next_life()
    start = _first(rig)
    rig.scheduler.reconcile.not_started(row.name, start.task, start.run)
    rig.tick()
    assert rig.started() == [start]
    for _ in range(4):
        rig.wait(0.1)
    assert len(rig.started()) == 2
    assert row.proofs == 2


def test_a_life_that_was_feared_by_a_former_leader_may_show_it_too() -> None:
    rig, _ = _next_life()
    rig.commit()
    later = Rig(0, 3)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    row = later.scheduler.state.vms[NEXT.name]
    assert row.deaf
    later.scheduler.told(NEXT)
    later.listed.append(NEXT.name)
    for _ in range(2):
        later.commit()
        later.wait(0.1)
    assert [start.vm for start in later.started()] == [NEXT.name]


def test_members_of_one_gang_show_nothing_at_two_vms_at_once() -> None:
    rig, row = _next_life((StepSpec(3, CORE, gang=True),))
    other = msgspec.structs.replace(NEXT, name="w1/7", instance="w1", address="a1")
    rig.scheduler.told(other)
    rig.commit()
    second = rig.scheduler.state.vms[other.name]
    rig.scheduler.vms.doubted(second, 0)
    rig.listed.append(other.name)
    rig.wait(0.1)
    rig.wait(0.1)
    assert len(rig.started()) == 1


def test_leave_is_asked_for_where_none_may_start_without() -> None:
    rig, row = _next_life(())
    advised = queue("advised", advice=AdviceTerms(10.0, 1.0, 2000.0))
    rig.scheduler.configured(
        msgspec.structs.replace(rig.configuration, version=9, queues=(queue(), advised))
    )
    rig.scheduler.advice.set_lanes({"one"})
    rig.accept("job", spec(StepSpec(1, CORE)), advised)
    rig.wait(0.1)
    rig.wait(0.1)
    assert [ask.vms for ask in rig.asked()] == [(row.name,)]


class _Port:
    """A VM that notes what it is called with."""

    def __init__(self) -> None:
        self.holds: list[HoldCall] = []
        self.untils: list[int] = []

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.holds.append(call)
        now = asyncio.get_running_loop().time()
        return Heard(call.vm, now, now * 1000.0, (), ())

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        self.untils.append(until_ms)
        return CallError.NO_ANSWER


def _calls(rig: Rig, port: Any) -> VmCalls:
    noted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    noted.set_result(None)
    rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
    rig.scheduler.now()
    return VmCalls(
        rig.scheduler, port, 3, lambda: True, lambda vm: None, lambda: None, lambda: noted
    )


def test_what_shows_it_is_leased_too_shortly_to_do_any_work() -> None:
    async def scenario() -> None:
        rig, row = _next_life()
        start = _first(rig)
        port = _Port()
        calls = _calls(rig, port)
        row.runs[(start.task, start.run)].state = RunState.SENT
        now = asyncio.get_running_loop().time()
        row.clock_at = row.heard_at = now
        row.clock_ms = now * 1000.0
        start = msgspec.structs.replace(start, not_after=now + 1.0)
        row.runs[(start.task, start.run)].settle_clock = row.clock_ms + 1_500.0
        await calls._poll(row)
        await calls._start(start)
        assert port.holds[0].until_ms == 0
        assert 0 < port.untils[0] - row.clock_ms <= PROBE_LEASE_S * 1000.0

    run(scenario())


@pytest.mark.parametrize("acked", [0, 1])
def test_a_number_for_one_life_leases_nothing_at_the_next(acked: int) -> None:
    async def scenario() -> None:
        rig = Rig(vms=1)
        port = _Port()
        calls = _calls(rig, port)
        row = rig.scheduler.state.vms["w0"]
        row.heard_at = asyncio.get_running_loop().time()
        row.acked_end = acked
        await calls._poll(row)
        (call,) = port.holds
        assert (call.acked_completion, call.until_ms > 0) == (acked, not acked)

    run(scenario())
