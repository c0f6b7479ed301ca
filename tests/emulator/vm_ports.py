"""The VMs as one member sees them: what may become of a call on its way."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from sablemount.control.ports import CallError, HoldCall, HoldResult, StartResult
from sablemount.jobs.actions import Heard, PaceRun, RunReport, StartRun, StopRun
from sablemount.jobs.scheduler import StartRefusal
from tests.emulator.loop import outside
from tests.emulator.vm import Vm
from tests.emulator.vms import Cell

LATENCY = 0.002
HELD_UP = 0.25
"""Seconds for which some calls and answers are held up on their way at most."""

ENDS_AT_ONCE = 500

T = TypeVar("T")


class EmulatedVms:
    """The VMs as one member sees them.

    A call that has been sent is carried out whatever becomes of its caller, and calls and answers
    may overtake one another.
    """

    def __init__(self, cell: Cell, parted: Callable[[str], bool] = lambda vm: False) -> None:
        self._cell = cell
        self._parted = parted
        """Tells whether the member is cut off from a VM."""
        self._tasks: set[asyncio.Task[None]] = set()

    def _away(self, vm: Vm) -> bool:
        return vm.cut or self._parted(vm.info.name)

    def _way(self) -> float:
        """Return the seconds that a call, or an answer, needs."""
        rng = self._cell.rng
        if rng.random() < self._cell.held_up:
            return rng.uniform(LATENCY, HELD_UP)
        return LATENCY * rng.uniform(0.5, 1.5)

    async def _call(
        self,
        name: str,
        address: str,
        act: Callable[[Vm], Coroutine[Any, Any, T]],
        timeout: float,
        turned_away: T | CallError = CallError.NO_ANSWER,
    ) -> T | CallError:
        """Send a call, and wait some seconds for its answer."""
        answer: asyncio.Future[T | CallError] = asyncio.get_running_loop().create_future()
        self._spawn(self._carry(name, address, act, turned_away, answer))
        try:
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError:
            return CallError.NO_ANSWER

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work, context=outside())
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        """Forget a call that is over; raises what went wrong in it, which is the emulator's fault.

        Its sender sees no answer only, as if the VM were silent.
        """
        self._tasks.discard(task)
        if not task.cancelled():
            task.result()

    async def _carry(
        self,
        name: str,
        address: str,
        act: Callable[[Vm], Coroutine[Any, Any, T]],
        turned_away: T | CallError,
        answer: "asyncio.Future[T | CallError]",
    ) -> None:
        cell = self._cell
        vm = cell.vms[name]
        await asyncio.sleep(self._way())
        if self._away(vm):
            return
        if not vm.up:
            await self._at_another(vm, address, answer)
            return
        if vm.unhealthy and cell.rng.random() < vm.unhealthy:
            if not answer.done():
                answer.set_result(turned_away)
            return
        fate = cell.rng.random()
        if fate < cell.late_orders:
            await asyncio.sleep(cell.rng.uniform(2.0, 12.0))
        result = await act(vm)
        await asyncio.sleep(self._way())
        # As many answers are lost as orders are late.
        if fate >= 2.0 * cell.late_orders and vm.up and not self._away(vm) and not answer.done():
            answer.set_result(result)

    async def _at_another(
        self, vm: Vm, address: str, answer: "asyncio.Future[T | CallError]"
    ) -> None:
        """Find another life at the address, nothing that listens, or silence."""
        present = self._cell.life_at(address)
        if present is None and not vm.resets:
            return
        if present is not None and self._away(present):
            return
        await asyncio.sleep(self._way())
        if not answer.done():
            answer.set_result(CallError.REFUSED if present is None else CallError.OTHER_LIFE)

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        sent_at = asyncio.get_running_loop().time()

        async def act(vm: Vm) -> HoldResult:
            fenced = self._cell.hold(vm, call)
            if fenced is not None:
                return fenced
            if not vm.ends and call.wait:
                vm.news.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(vm.news.wait(), call.wait)
            return _heard(vm, sent_at)

        return await self._call(call.vm, call.address, act, timeout)

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        async def act(vm: Vm) -> StartResult:
            return self._cell.start(vm, action, fence, until_ms)

        return await self._call(action.vm, address, act, timeout, StartRefusal.UNHEALTHY)

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        async def act(vm: Vm) -> CallError | None:
            return self._cell.stop(vm, action.task, action.run, fence)

        return await self._call(action.vm, address, act, timeout)

    async def pace(
        self, action: PaceRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        async def act(vm: Vm) -> CallError | None:
            return CallError.FENCED if fence < vm.fence else None

        return await self._call(action.vm, address, act, timeout)


def _heard(vm: Vm, sent_at: float) -> Heard:
    now = asyncio.get_running_loop().time()
    running = tuple(
        RunReport(run.task, run.number, run.saved(now), 100 * (now - run.began) / run.length)
        for run in vm.runs.values()
    )
    return Heard(vm.info.name, sent_at, vm.clock_ms(now), running, tuple(vm.ends[:ENDS_AT_ONCE]))
