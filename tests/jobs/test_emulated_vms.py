"""Emulated VMs do of orders what the platform's do, as those were found to when asked directly."""

import asyncio
import random
from collections.abc import Callable

import pytest

from sablemount.control.ports import CallError, HoldCall, Started
from sablemount.jobs.actions import StartRun, StopRun
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from sablemount.jobs.scheduler import StartRefusal
from tests.emulator.loop import run
from tests.emulator.vm_ports import EmulatedVms
from tests.emulator.vms import Cell, Vm

LONG = 60.0
FENCE = 1


class _Bench:
    """A cell with some VMs that are told what to do."""

    def __init__(
        self, tasks: int = 4, gang: bool = False, vms: int = 1, saves: bool = False
    ) -> None:
        self.cell = Cell(random.Random(1))
        self.cell.fail_share = 0.0
        self.cell.seconds = LONG
        step = StepSpec(tasks, Shape(1_000, 1_000), gang=gang, saves=saves)
        self.cell.jobs["j"] = JobSpec("payload", (step,))
        self.vms = [self.cell.add(f"w{n}", "r", Shape(16_000, 64_000)) for n in range(vms)]
        self.vm = self.vms[0]

    def clock(self, vm: Vm | None = None) -> int:
        return int((vm or self.vm).clock_ms(asyncio.get_running_loop().time()))

    def start(
        self,
        index: int,
        number: int,
        seconds: float = 5.0,
        vm: Vm | None = None,
        fence: int = FENCE,
        saved: str = "",
    ) -> object:
        at = vm or self.vm
        action = StartRun(at.info.name, f"j.0.0.{index}", number, "payload", 0.0, saved)
        return self.cell.start(at, action, fence, self.clock(at) + int(seconds * 1000))

    def stop(self, index: int, number: int, vm: Vm | None = None) -> None:
        assert self.cell.stop(vm or self.vm, f"j.0.0.{index}", number, FENCE) is None

    def hold(self, acked: int = 0, seconds: float = 5.0) -> None:
        call = HoldCall("", "", FENCE, self.clock() + int(seconds * 1000), acked, 0.0)
        assert self.cell.hold(self.vm, call) is None

    def running(self, vm: Vm | None = None) -> list[tuple[str, int]]:
        return [(row.task, row.number) for row in (vm or self.vm).runs.values()]

    def ends(self, vm: Vm | None = None) -> list[tuple[int, str]]:
        return [(end.run, end.outcome) for end in (vm or self.vm).ends]


def test_a_start_that_comes_again_too_late_is_refused_though_its_run_is_there() -> None:
    async def scenario() -> None:
        bench = _Bench()
        assert isinstance(bench.start(0, 3), Started)
        assert isinstance(bench.start(0, 3), Started)
        assert bench.start(0, 3, -0.05) is StartRefusal.LATE
        assert bench.running() == [("j.0.0.0", 3)]

    run(scenario())


def test_runs_of_one_task_go_on_side_by_side() -> None:
    async def scenario() -> None:
        bench = _Bench()
        for number in (2, 7, 5):
            assert isinstance(bench.start(0, number), Started)
        bench.stop(0, 5)
        await asyncio.sleep(0.5)
        assert bench.running() == [("j.0.0.0", 7)]
        assert sorted(bench.ends()) == [(2, "stopped"), (5, "stopped")]
        assert bench.start(0, 4) is StartRefusal.OLD
        assert isinstance(bench.start(0, 6), Started)

    run(scenario())


def test_a_stop_of_a_run_that_is_not_there_bars_it_without_an_end() -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.stop(1, 5)
        assert bench.start(1, 5) is StartRefusal.OLD
        assert isinstance(bench.start(1, 6), Started)
        assert bench.ends() == []

    run(scenario())


@pytest.mark.parametrize(
    ("other", "lasts"),
    [
        (lambda bench: bench.start(1, 4, 2.0), 2.0),
        (lambda bench: bench.start(1, 4, -0.1), 0.7),
        (lambda bench: bench.start(1, 4, 2.0, fence=0), 0.7),
        (lambda bench: bench.hold(seconds=2.0), 2.0),
        (lambda bench: bench.hold(seconds=0.3), 0.7),
    ],
    ids=["old", "late", "fence", "longer", "shorter"],
)
def test_what_extends_leases(other: Callable[[_Bench], object], lasts: float) -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.stop(1, 4)
        bench.start(0, 1, 0.7)
        other(bench)
        await asyncio.sleep(lasts - 0.1)
        assert len(bench.running()) == 1
        await asyncio.sleep(0.2)
        assert bench.ends() == [(1, "lapsed")]
        assert bench.start(0, 1) is StartRefusal.OLD

    run(scenario())


def test_an_end_that_was_acknowledged_beforehand_is_not_listed() -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.start(0, 1)
        bench.hold(acked=9)
        bench.stop(0, 1)
        await asyncio.sleep(0.5)
        bench.hold()
        assert bench.ends() == []

    run(scenario())


def test_an_order_that_comes_after_the_end_of_a_life_does_nothing() -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.cell.seconds = 0.1
        bench.cell.crash(bench.vm)
        assert bench.start(0, 1) is CallError.NO_ANSWER
        await asyncio.sleep(2.0)
        assert not bench.cell.done

    run(scenario())


def _outcomes(bench: _Bench) -> list[list[tuple[int, str]]]:
    return [bench.ends(vm) for vm in bench.vms]


def test_members_that_wait_in_vain_end_with_the_first_of_them() -> None:
    async def scenario() -> None:
        bench = _Bench(tasks=3, gang=True, vms=3)
        bench.start(0, 1, vm=bench.vms[0])
        await asyncio.sleep(0.5)
        bench.start(1, 1, vm=bench.vms[1])
        await asyncio.sleep(2.6)
        assert _outcomes(bench) == [[(1, "alone")], [(1, "broken")], []]

    run(scenario())


def test_a_member_that_is_stopped_breaks_its_gang_at_once() -> None:
    async def scenario() -> None:
        bench = _Bench(tasks=2, gang=True, vms=2)
        for index, vm in enumerate(bench.vms):
            bench.start(index, 1, vm=vm)
        await asyncio.sleep(0.2)
        bench.stop(0, 1, bench.vms[0])
        await asyncio.sleep(0.4)
        assert _outcomes(bench) == [[(1, "stopped")], [(1, "broken")]]
        assert not bench.cell.done

    run(scenario())


def test_a_whole_gang_ends_together() -> None:
    async def scenario() -> None:
        bench = _Bench(tasks=2, gang=True, vms=2)
        bench.cell.seconds = 0.1
        for index, vm in enumerate(bench.vms):
            bench.start(index, 1, vm=vm)
        await asyncio.sleep(2.0)
        assert _outcomes(bench) == [[(1, "done")], [(1, "done")]]

    run(scenario())


def test_an_order_is_carried_out_though_its_caller_has_gone() -> None:
    async def scenario() -> None:
        bench = _Bench()
        action = StartRun(bench.vm.info.name, "j.0.0.0", 1, "payload", 0.0)
        port = EmulatedVms(bench.cell)
        sent = asyncio.create_task(port.start(action, "", FENCE, bench.clock() + 5000, 1.0))
        await asyncio.sleep(0.0005)
        sent.cancel()
        await asyncio.sleep(0.1)
        assert bench.running() == [("j.0.0.0", 1)]

    run(scenario())


def test_a_late_stop_is_carried_out_seconds_after_its_caller_gave_it_up() -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.start(0, 1, 6.0)
        bench.cell.late_orders = 1.0
        action = StopRun(bench.vm.info.name, "j.0.0.0", 1)
        answer = await EmulatedVms(bench.cell).stop(action, "", FENCE, 0.5)
        assert answer is CallError.NO_ANSWER
        assert isinstance(bench.start(0, 1, 6.0), Started)
        await asyncio.sleep(13.0)
        assert bench.start(0, 1) is StartRefusal.OLD

    run(scenario())


@pytest.mark.parametrize(
    ("resets", "answer"), [(True, CallError.REFUSED), (False, CallError.NO_ANSWER)]
)
def test_an_address_whose_life_is_over_resets_or_says_nothing(
    resets: bool, answer: CallError
) -> None:
    async def scenario() -> None:
        bench = _Bench()
        bench.cell.crash(bench.vm)
        bench.vm.resets = resets
        action = StopRun(bench.vm.info.name, "j.0.0.0", 1)
        address = bench.vm.info.address
        assert await EmulatedVms(bench.cell).stop(action, address, FENCE, 0.5) is answer

    run(scenario())


def test_what_was_saved_is_good_for_its_task_only() -> None:
    async def scenario() -> None:
        bench = _Bench(tasks=3, saves=True)
        bench.start(0, 1)
        await asyncio.sleep(1.0)
        bench.stop(0, 1)
        await asyncio.sleep(0.5)
        saved = bench.vm.ends[0].saved
        assert saved
        assert isinstance(bench.start(0, 2, saved=saved), Started)
        assert not bench.cell.violations
        assert bench.start(1, 1, saved=saved) is StartRefusal.REJECTED
        assert bench.cell.violations

    run(scenario())


def test_a_gang_goes_on_from_the_work_of_one_member() -> None:
    async def scenario() -> None:
        bench = _Bench(tasks=3, gang=True, saves=True, vms=3)
        saved = "j.0.0|1.2"
        for index in (0, 1):
            bench.start(index, 2, vm=bench.vms[index], saved=saved)
        assert not bench.cell.violations
        bench.start(2, 2, vm=bench.vms[2])
        assert bench.cell.violations

    run(scenario())
