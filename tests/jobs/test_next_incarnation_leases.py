"""Calls for a VM's former incarnation extend the lease of the next one, whose clock is behind.

There the end that they ask for lies far ahead, so that the VM holds what runs on it for the longest
lease that it grants. It is cut off soon after.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.emulator.loop import run
from tests.emulator.system import CAPACITY, System
from tests.emulator.vm import Run, Vm
from tests.emulator.vms import Delivery
from tests.jobs.running import start_system

BEHIND_MS = 690_000.0
"""Milliseconds by which the clock of the next incarnation is behind that of the former one."""
TASK_S = 40.0
"""Seconds of a task: more than any lease."""
WATCHED_S = 30.0
"""Seconds after a cut within which the task has to start elsewhere."""
STEP = StepSpec(count=1, shape=Shape(1_000, 1_000), expected_ms=TASK_S * 1000.0)
TASK = "job.0.0.0"
LOST = Delivery(carried_out=False, answered=False)
UNANSWERED = Delivery(answered=False)

Body = dict[str, Any]
Fate = Callable[[Body], Delivery]
"""Returns what happens to a call for the former incarnation that the next one takes."""


def _is_start(body: Body) -> bool:
    return "spec" in body


def _extends(body: Body) -> bool:
    return body.get("untilMs", 0) > 0


def _only_starts(delivery: Delivery) -> Fate:
    """Return the fate by which start requests alone arrive."""
    return lambda body: delivery if _is_start(body) else LOST


class _Play:
    """A system whose only VM restarts; another one is added once the first is cut off."""

    def __init__(self) -> None:
        self.system = System(1, members=3, vms=1)
        self.cell = self.system.cell
        self.cell.failure_share = 0.0
        self.cell.mean_task_seconds = 1e9
        self.cell.max_task_seconds = TASK_S
        (self.vm,) = self.cell.vms.values()
        self.vm.clock_rate = 1.0
        self.taken = 0
        """Number of calls for the former incarnation that may have extended a lease."""
        self._started = asyncio.Event()
        self.cell.on_start = self._on_start

    def _on_start(self, vm: Vm, run: Run) -> None:
        self._started.set()

    async def start(self) -> None:
        await start_system(self.system)

    async def submit(self) -> None:
        await self.system.submit("job", JobSpec("payload", (STEP,)))

    async def restart(self, fate: Fate, down_s: float = 0.1) -> None:
        """Restart the VM under its id; its entry is not written yet."""
        former = self.vm
        self.cell.crash(former)
        former.resets_connections = False
        fence = former.fence

        def delivery(vm: Vm, body: Body) -> Delivery:
            if vm is not self.vm or body["fence"] > fence:
                return Delivery()
            result = fate(body)
            self.taken += result.carried_out and _extends(body)
            return result

        self.cell.delivery = delivery
        await asyncio.sleep(down_s)
        self.vm = self.cell.restart(former, CAPACITY)
        self.vm.clock_rate = 1.0
        self.vm.clock_start = former.clock_start - BEHIND_MS

    def list_vm(self) -> None:
        """Let the VM write its entry."""
        self.system.list_vm(self.vm)

    async def when_started(self) -> None:
        """Wait until the task runs on the VM."""
        async with asyncio.timeout(5.0):
            await self._started.wait()
        assert self.runs_there()

    async def when_taken(self) -> None:
        """Wait until the VM has carried out a call for the former incarnation."""
        async with asyncio.timeout(5.0):
            while not self.taken:
                await asyncio.sleep(0.01)

    def runs_there(self) -> bool:
        """Return whether the task runs on the VM that restarts."""
        return any(run.task == TASK for run in self.vm.runs.values())

    def bar_start(self, body: Body) -> Delivery:
        """Bar the run of a start request, as a stop that has overtaken it does; lose all else."""
        if _is_start(body):
            self.vm.highest_ended_run[TASK] = body["run"]
        return Delivery() if _is_start(body) else LOST

    def kill_leader(self) -> None:
        leader = self.system.leader()
        assert leader is not None
        self.system.kill(leader, 1.0)

    async def cut_off(self) -> None:
        """Cut the VM off for good; the task has to start elsewhere, but must not run twice."""
        self.vm.unreachable = True
        other = self.cell.add("w1", "r0", CAPACITY, "10.0.0.9:8240")
        self.system.list_vm(other)
        await asyncio.sleep(WATCHED_S)
        assert self.taken > 0
        assert any(run.task == TASK for run in other.runs.values())
        assert self.cell.violations == []


def test_a_task_does_not_run_twice_after_a_poll_that_the_next_incarnation_answered() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(lambda body: Delivery())
        await play.when_taken()
        play.list_vm()
        await play.submit()
        await play.when_started()
        await asyncio.sleep(0.5)
        await play.cut_off()

    run(scenario())


def test_a_task_does_not_run_twice_after_a_poll_whose_answer_was_lost() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(lambda body: UNANSWERED)
        await asyncio.sleep(1.5)
        play.list_vm()
        await play.submit()
        await play.when_started()
        await asyncio.sleep(0.5)
        await play.cut_off()

    run(scenario())


@pytest.mark.parametrize("late_s", [2.0, 4.0])
def test_a_task_does_not_run_twice_after_a_poll_that_was_carried_out_late(late_s: float) -> None:
    # The VM is cut off meanwhile, so that no call with a higher fence comes first.
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(lambda body: Delivery(late_s, answered=False))
        await asyncio.sleep(1.0)
        play.vm.unreachable = True
        await asyncio.sleep(late_s + 0.5)
        play.vm.unreachable = False
        play.list_vm()
        await play.submit()
        await play.when_started()
        await asyncio.sleep(0.5)
        await play.cut_off()

    run(scenario())


def test_a_task_does_not_run_twice_after_a_start_that_the_next_incarnation_answered() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(_only_starts(Delivery()))
        await play.submit()
        await play.when_started()
        play.list_vm()
        await asyncio.sleep(0.5)
        await play.cut_off()

    run(scenario())


def test_a_task_does_not_run_twice_after_a_start_whose_answer_was_lost() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(_only_starts(UNANSWERED))
        await play.submit()
        await play.when_started()
        play.list_vm()
        await asyncio.sleep(0.5)
        await play.cut_off()

    run(scenario())


def test_a_task_does_not_run_twice_after_a_start_that_was_refused_as_old() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(play.bar_start)
        await play.submit()
        await asyncio.sleep(0.3)
        assert not play.runs_there()
        play.list_vm()
        await play.when_started()
        await asyncio.sleep(0.5)
        await play.cut_off()

    run(scenario())


def test_a_task_does_not_run_twice_under_a_leader_that_meets_the_next_incarnation_first() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(lambda body: UNANSWERED)
        await asyncio.sleep(1.0)
        play.kill_leader()
        play.list_vm()
        await play.submit()
        await play.when_started()
        await play.cut_off()

    run(scenario())


def test_a_task_does_not_run_twice_under_a_leader_that_never_reaches_the_next_incarnation() -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(lambda body: Delivery())
        await play.when_taken()
        play.list_vm()
        await play.submit()
        await play.when_started()
        play.kill_leader()
        await play.cut_off()

    run(scenario())


@pytest.mark.parametrize("late_s", [0.0, 2.0])
def test_a_task_does_not_run_twice_where_the_next_incarnation_is_never_heard_of(
    late_s: float,
) -> None:
    # It has carried out the start request for the former one, unanswered, and is then cut off.
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(_only_starts(Delivery(late_s, answered=False)))
        await play.submit()
        await asyncio.sleep(0.5)
        await play.cut_off()
        assert len(play.cell.starts[TASK]) == 2

    run(scenario())


@pytest.mark.parametrize("late_s", [0.0, 2.0])
def test_a_task_does_not_run_twice_where_a_later_leader_never_hears_of_the_next_incarnation(
    late_s: float,
) -> None:
    async def scenario() -> None:
        play = _Play()
        await play.start()
        await play.restart(_only_starts(Delivery(late_s, answered=False)))
        await play.submit()
        await asyncio.sleep(0.5)
        play.kill_leader()
        await play.cut_off()
        assert len(play.cell.starts[TASK]) == 2

    run(scenario())
