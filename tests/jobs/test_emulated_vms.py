"""Emulated VMs handle requests as the platform's VMs were observed to handle them."""

import asyncio
import random
from collections.abc import Callable

import pytest

from sablemount.control.ports import CallError, HoldCall, Started
from sablemount.jobs.actions import StartRun, StopRun
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from sablemount.jobs.scheduler import StartRefusal
from tests.emulator.loop import run
from tests.emulator.vm import Vm
from tests.emulator.vm_ports import EmulatedVms
from tests.emulator.vms import Cell

LONG_TASK_S = 60.0
FENCE = 1


class _Rig:
    """A cell with some VMs, and short calls for their requests."""

    def __init__(
        self, tasks: int = 4, gang: bool = False, vms: int = 1, saves: bool = False
    ) -> None:
        self.cell = Cell(random.Random(1))
        self.cell.failure_share = 0.0
        self.cell.mean_task_seconds = LONG_TASK_S
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

    def completions(self, vm: Vm | None = None) -> list[tuple[int, str]]:
        return [(end.run, end.outcome) for end in (vm or self.vm).completions]


def test_a_start_that_comes_again_too_late_is_refused_though_its_run_is_there() -> None:
    async def scenario() -> None:
        rig = _Rig()
        assert isinstance(rig.start(0, 3), Started)
        assert isinstance(rig.start(0, 3), Started)
        assert rig.start(0, 3, -0.05) is StartRefusal.LATE
        assert rig.running() == [("j.0.0.0", 3)]

    run(scenario())


def test_runs_of_one_task_go_on_side_by_side() -> None:
    async def scenario() -> None:
        rig = _Rig()
        for number in (2, 7, 5):
            assert isinstance(rig.start(0, number), Started)
        rig.stop(0, 5)
        await asyncio.sleep(0.5)
        assert rig.running() == [("j.0.0.0", 7)]
        assert sorted(rig.completions()) == [(2, "stopped"), (5, "stopped")]
        assert rig.start(0, 4) is StartRefusal.OLD
        assert isinstance(rig.start(0, 6), Started)

    run(scenario())


def test_a_stop_of_a_run_that_is_not_there_bars_it_without_an_end() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.stop(1, 5)
        assert rig.start(1, 5) is StartRefusal.OLD
        assert isinstance(rig.start(1, 6), Started)
        assert rig.completions() == []

    run(scenario())


@pytest.mark.parametrize(
    ("other", "lasts"),
    [
        (lambda rig: rig.start(1, 4, 2.0), 2.0),
        (lambda rig: rig.start(1, 4, -0.1), 0.7),
        (lambda rig: rig.start(1, 4, 2.0, fence=0), 0.7),
        (lambda rig: rig.hold(seconds=2.0), 2.0),
        (lambda rig: rig.hold(seconds=0.3), 0.7),
    ],
    ids=["old", "late", "fence", "longer", "shorter"],
)
def test_what_extends_leases(other: Callable[[_Rig], object], lasts: float) -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.stop(1, 4)
        rig.start(0, 1, 0.7)
        other(rig)
        await asyncio.sleep(lasts - 0.1)
        assert len(rig.running()) == 1
        await asyncio.sleep(0.2)
        assert rig.completions() == [(1, "lapsed")]
        assert rig.start(0, 1) is StartRefusal.OLD

    run(scenario())


def test_an_end_that_was_acknowledged_beforehand_is_not_listed() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.start(0, 1)
        rig.hold(acked=9)
        rig.stop(0, 1)
        await asyncio.sleep(0.5)
        rig.hold()
        assert rig.completions() == []

    run(scenario())


def test_a_start_after_the_end_of_an_incarnation_has_no_effect() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.cell.mean_task_seconds = 0.1
        rig.cell.crash(rig.vm)
        assert rig.start(0, 1) is CallError.NO_ANSWER
        await asyncio.sleep(2.0)
        assert not rig.cell.done

    run(scenario())


def _outcomes(rig: _Rig) -> list[list[tuple[int, str]]]:
    return [rig.completions(vm) for vm in rig.vms]


def test_gang_members_that_time_out_end_with_the_first_of_them() -> None:
    async def scenario() -> None:
        rig = _Rig(tasks=3, gang=True, vms=3)
        rig.start(0, 1, vm=rig.vms[0])
        await asyncio.sleep(0.5)
        rig.start(1, 1, vm=rig.vms[1])
        await asyncio.sleep(2.6)
        assert _outcomes(rig) == [[(1, "alone")], [(1, "broken")], []]

    run(scenario())


def test_a_member_that_is_stopped_breaks_its_gang_at_once() -> None:
    async def scenario() -> None:
        rig = _Rig(tasks=2, gang=True, vms=2)
        for index, vm in enumerate(rig.vms):
            rig.start(index, 1, vm=vm)
        await asyncio.sleep(0.2)
        rig.stop(0, 1, rig.vms[0])
        await asyncio.sleep(0.4)
        assert _outcomes(rig) == [[(1, "stopped")], [(1, "broken")]]
        assert not rig.cell.done

    run(scenario())


def test_a_whole_gang_ends_together() -> None:
    async def scenario() -> None:
        rig = _Rig(tasks=2, gang=True, vms=2)
        rig.cell.mean_task_seconds = 0.1
        for index, vm in enumerate(rig.vms):
            rig.start(index, 1, vm=vm)
        await asyncio.sleep(2.0)
        assert _outcomes(rig) == [[(1, "done")], [(1, "done")]]

    run(scenario())


def test_an_order_is_carried_out_though_its_caller_has_gone() -> None:
    async def scenario() -> None:
        rig = _Rig()
        action = StartRun(rig.vm.info.name, "j.0.0.0", 1, "payload", 0.0)
        port = EmulatedVms(rig.cell)
        sent = asyncio.create_task(port.start(action, "", FENCE, rig.clock() + 5000, 1.0))
        await asyncio.sleep(0.0005)
        sent.cancel()
        await asyncio.sleep(0.1)
        assert rig.running() == [("j.0.0.0", 1)]

    run(scenario())


def test_a_late_stop_is_carried_out_seconds_after_its_caller_gave_it_up() -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.start(0, 1, 6.0)
        rig.cell.late_request_share = 1.0
        action = StopRun(rig.vm.info.name, "j.0.0.0", 1)
        answer = await EmulatedVms(rig.cell).stop(action, "", FENCE, 0.5)
        assert answer is CallError.NO_ANSWER
        assert isinstance(rig.start(0, 1, 6.0), Started)
        await asyncio.sleep(13.0)
        assert rig.start(0, 1) is StartRefusal.OLD

    run(scenario())


@pytest.mark.parametrize(
    ("resets", "answer"), [(True, CallError.REFUSED), (False, CallError.NO_ANSWER)]
)
def test_an_address_whose_life_is_over_resets_or_says_nothing(
    resets: bool, answer: CallError
) -> None:
    async def scenario() -> None:
        rig = _Rig()
        rig.cell.crash(rig.vm)
        rig.vm.resets_connections = resets
        action = StopRun(rig.vm.info.name, "j.0.0.0", 1)
        address = rig.vm.info.address
        assert await EmulatedVms(rig.cell).stop(action, address, FENCE, 0.5) is answer

    run(scenario())


def test_what_was_saved_is_good_for_its_task_only() -> None:
    async def scenario() -> None:
        rig = _Rig(tasks=3, saves=True)
        rig.start(0, 1)
        await asyncio.sleep(1.0)
        rig.stop(0, 1)
        await asyncio.sleep(0.5)
        saved = rig.vm.completions[0].saved
        assert saved
        assert isinstance(rig.start(0, 2, saved=saved), Started)
        assert not rig.cell.violations
        assert rig.start(1, 1, saved=saved) is StartRefusal.REJECTED
        assert rig.cell.violations

    run(scenario())


def test_a_gang_goes_on_from_the_work_of_one_member() -> None:
    async def scenario() -> None:
        rig = _Rig(tasks=3, gang=True, saves=True, vms=3)
        saved = "j.0.0|1.2"
        for index in (0, 1):
            rig.start(index, 2, vm=rig.vms[index], saved=saved)
        assert not rig.cell.violations
        rig.start(2, 2, vm=rig.vms[2])
        assert rig.cell.violations

    run(scenario())
