"""The VMs and the advice as one member sees them: what may become of a call on its way."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from sablemount.control.messages import AdviceReply
from sablemount.control.ports import CallError, HoldCall, HoldResult, StartResult
from sablemount.jobs.actions import Heard, PaceRun, RunReport, StartRun, StopRun
from tests.emulator.vms import Cell, Vm

LATENCY = 0.002


class EmulatedVms:
    """The VMs as one member sees them."""

    def __init__(self, cell: Cell, parted: Callable[[str], bool] = lambda machine: False) -> None:
        self._cell = cell
        self._parted = parted
        """Tells whether the member is cut off from a machine."""

    def _away(self, vm: Vm) -> bool:
        return vm.cut or self._parted(vm.info.name)

    def _late(self) -> bool:
        return self._cell.rng.random() < self._cell.late_orders

    def _later(self, *call: object) -> None:
        delay = self._cell.rng.uniform(2.0, 12.0)
        asyncio.get_running_loop().call_later(delay, *call)  # type: ignore[arg-type]

    async def _reach(self, name: str, address: str, timeout: float) -> Vm | CallError:
        vm = self._cell.vms[name]
        await asyncio.sleep(LATENCY)
        if self._away(vm):
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        if not vm.up:
            present = self._cell.life_at(address)
            if present is not None and not present.cut:
                return CallError.OTHER_LIFE
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        return vm

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        sent_at = asyncio.get_running_loop().time()
        vm = await self._reach(call.vm, call.address, timeout)
        if isinstance(vm, CallError):
            return vm
        if self._late():
            self._later(self._cell.hold, vm, call)
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        fenced = self._cell.hold(vm, call)
        if fenced is not None:
            return fenced
        if not vm.ends and call.wait:
            vm.news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(vm.news.wait(), call.wait)
        await asyncio.sleep(LATENCY)
        if self._away(vm) or not vm.up:
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        now = asyncio.get_running_loop().time()
        running = tuple(
            RunReport(run.task, run.number, "", 100 * (now - run.began) / run.length)
            for run in vm.runs.values()
        )
        return Heard(call.vm, sent_at, vm.clock_ms(now), running, tuple(vm.ends))

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        vm = await self._reach(action.vm, address, timeout)
        if isinstance(vm, CallError):
            return vm
        if self._late():
            self._later(self._cell.start, vm, action, fence, until_ms)
            await asyncio.sleep(timeout)
            return CallError.NO_ANSWER
        result = self._cell.start(vm, action, fence, until_ms)
        await asyncio.sleep(LATENCY)
        return result

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        vm = await self._reach(action.vm, address, timeout)
        if isinstance(vm, CallError):
            return vm
        return self._cell.stop(vm, action.task, action.run, fence)

    async def pace(
        self, action: PaceRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        vm = await self._reach(action.vm, address, timeout)
        if isinstance(vm, CallError):
            return vm
        return CallError.FENCED if fence < vm.fence else None


class EmulatedAdvice:
    """Advice that lets every VM run every step."""

    async def advise(self, step: str, vms: Sequence[str], timeout: float) -> AdviceReply:
        await asyncio.sleep(0.01)
        return AdviceReply(True, dict.fromkeys(vms, "ticket"), 2000.0)
