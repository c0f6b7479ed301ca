"""The VMs as one member sees them: what may become of a call on its way.

Calls are spoken as the platform's pages say, so that the product's own adapter is part of what is
played.
"""

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from tornado import httputil

from sablemount.adapters.upstream import IncompleteResponse, RequestNotSent, Response
from sablemount.control.ports import CallError, HoldCall, Started
from sablemount.jobs.actions import StartRun
from sablemount.jobs.scheduler import StartRefusal
from sablemount.platform.workers import PlatformWorkers
from tests.emulator.loop import outside
from tests.emulator.vm import Vm
from tests.emulator.vms import Cell

LATENCY = 0.002
HELD_UP = 0.25
"""Seconds for which some calls and answers are held up on their way at most."""

ENDS_AT_ONCE = 500
NO_HEADERS = httputil.HTTPHeaders()

Told = dict[str, Any]
"""Body of a call."""
Reply = tuple[int, Told]
"""Status and body of an answer."""
TURNED_AWAY: Reply = (503, {})


class VmNetwork:
    """Passes a member's calls on to the VMs.

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
        act: Callable[[Vm], Coroutine[Any, Any, Reply | CallError]],
        timeout: float,
        turned_away: Reply | CallError,
    ) -> Reply | CallError:
        """Send a call, and wait some seconds for its answer."""
        answer: asyncio.Future[Reply | CallError] = asyncio.get_running_loop().create_future()
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
        act: Callable[[Vm], Coroutine[Any, Any, Reply | CallError]],
        turned_away: Reply | CallError,
        answer: "asyncio.Future[Reply | CallError]",
    ) -> None:
        cell = self._cell
        await asyncio.sleep(self._way())
        # It reaches the life that is there by then.
        vm = cell.newest(name)
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
        self, vm: Vm, address: str, answer: "asyncio.Future[Reply | CallError]"
    ) -> None:
        """Find another life at the address, nothing that listens, or silence."""
        present = self._cell.life_at(address)
        if present is None and not vm.resets:
            return
        if present is not None and self._away(present):
            return
        await asyncio.sleep(self._way())
        if not answer.done():
            answer.set_result(CallError.REFUSED if present is None else CallError.OTHER_INCARNATION)

    async def fetch(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        waits: float = 0.0,
    ) -> Response:
        """Send a call as ``UpstreamPool`` does."""
        told = json.loads(body)
        act = ACTS[path]
        refusal = TURNED_AWAY if path == "/api/run-start" else CallError.NO_ANSWER

        async def acted(vm: Vm) -> Reply | CallError:
            return await act(self._cell, vm, told)

        name = headers["Expect-Instance"]
        result = await self._call(name, address, acted, timeout, refusal)
        if result is CallError.REFUSED:
            raise RequestNotSent("refused", refused=True)
        if result is CallError.OTHER_INCARNATION:
            result = (421, {})
        if isinstance(result, CallError):
            raise IncompleteResponse(result.value)
        status, answered = result
        return Response(status, NO_HEADERS, json.dumps(answered).encode())


class EmulatedVms(PlatformWorkers):
    """The VMs as one member sees them, through the product's adapter."""

    def __init__(self, cell: Cell, parted: Callable[[str], bool] = lambda vm: False) -> None:
        super().__init__(VmNetwork(cell, parted))  # type: ignore[arg-type]


def _clock(vm: Vm) -> float:
    return vm.clock_ms(asyncio.get_running_loop().time())


def _refused(vm: Vm, reason: str) -> Reply:
    return 409, {"clockMs": _clock(vm), "reason": reason}


async def _hold(cell: Cell, vm: Vm, told: Told) -> Reply | CallError:
    wait = told.get("waitMs", 0) / 1000
    call = HoldCall(vm.life, "", told["fence"], told.get("untilMs", 0), told["ackedUpto"], wait)
    error = cell.hold(vm, call)
    if error is CallError.FENCED:
        return _refused(vm, "fence")
    if error is not None:
        return error
    if not vm.ends and wait:
        vm.news.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(vm.news.wait(), wait)
    return 200, heard(vm)


async def _start(cell: Cell, vm: Vm, told: Told) -> Reply | CallError:
    saved, ticket = told.get("saved", ""), told.get("ticket", "")
    action = StartRun(vm.life, told["task"], told["run"], told["spec"], 0.0, saved, ticket)
    result = cell.start(vm, action, told["fence"], told["untilMs"])
    if isinstance(result, Started):
        return 200, {"clockMs": result.clock_ms}
    if result is StartRefusal.REJECTED:
        return 400, {"clockMs": _clock(vm), "reason": "unknown"}
    if isinstance(result, StartRefusal):
        return _refused(vm, result.value)
    return _refused(vm, "fence") if result is CallError.FENCED else result


async def _stop(cell: Cell, vm: Vm, told: Told) -> Reply | CallError:
    error = cell.stop(vm, told["task"], told["run"], told["fence"])
    if error is CallError.FENCED:
        return _refused(vm, "fence")
    return error or (200, {"clockMs": _clock(vm)})


async def _pace(cell: Cell, vm: Vm, told: Told) -> Reply | CallError:
    return _refused(vm, "fence") if told["fence"] < vm.fence else (200, {"clockMs": _clock(vm)})


Act = Callable[[Cell, Vm, Told], Coroutine[Any, Any, Reply | CallError]]
ACTS: dict[str, Act] = {
    "/api/hold": _hold,
    "/api/run-start": _start,
    "/api/run-stop": _stop,
    "/api/pace": _pace,
}


def heard(vm: Vm) -> Told:
    """Return a VM's own word."""
    now = asyncio.get_running_loop().time()
    running = [
        [run.task, run.number, run.saved(now), 100 * (now - run.began) / run.length]
        for run in vm.runs.values()
    ]
    ended = [
        [end.number, end.task, end.run, end.outcome, end.saved] for end in vm.ends[:ENDS_AT_ONCE]
    ]
    return {"clockMs": vm.clock_ms(now), "running": running, "ended": ended, "born": vm.born}
