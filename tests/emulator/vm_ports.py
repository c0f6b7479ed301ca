"""The VMs as one member sees them, with the faults that may affect a call in transit.

Calls use the wire format of the platform's documentation, so that the product's own adapter is
part of the emulated system.
"""

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine, Mapping
from contextlib import AbstractContextManager
from typing import Any

from tornado import httputil

from sablemount.adapters.upstream import IncompleteResponse, RequestNotSent, Response
from sablemount.control.ports import CallError, HoldCall, Started
from sablemount.jobs.actions import StartRun
from sablemount.jobs.scheduler import StartRefusal
from sablemount.platform.workers import PlatformWorkers
from tests.emulator.connections import MemberConnections
from tests.emulator.loop import detached_context
from tests.emulator.vm import Vm
from tests.emulator.vms import Cell

LATENCY_S = 0.002
MAX_DELAY_S = 0.25
"""Longest delay of a delayed call or reply, in seconds."""

MAX_COMPLETIONS_PER_REPORT = 500
NO_HEADERS = httputil.HTTPHeaders()

Body = dict[str, Any]
"""Body of a call."""
Reply = tuple[int, Body]
"""Status and body of a reply."""
REJECTED: Reply = (503, {})


class VmNetwork:
    """Forwards a member's calls to the VMs.

    A call that has been sent is executed even if its caller has ended, and calls and replies may
    overtake one another.
    """

    def __init__(
        self, cell: Cell, is_partitioned: Callable[[str], bool] = lambda vm: False
    ) -> None:
        self._cell = cell
        self._is_partitioned = is_partitioned
        """Returns whether the member is cut off from a VM."""
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = MemberConnections()

    def _is_unreachable(self, vm: Vm) -> bool:
        return vm.unreachable or self._is_partitioned(vm.info.name)

    def _draw_transit_time(self) -> float:
        """Draw the seconds that a call or a reply takes."""
        rng = self._cell.rng
        if rng.random() < self._cell.delayed_share:
            return rng.uniform(LATENCY_S, MAX_DELAY_S)
        return LATENCY_S * rng.uniform(0.5, 1.5)

    async def _call(
        self,
        name: str,
        address: str,
        body: Body,
        act: Callable[[Vm], Coroutine[Any, Any, Reply | CallError]],
        timeout: float,
        rejection: Reply | CallError,
    ) -> Reply | CallError:
        """Send a call, and wait for its reply up to ``timeout`` seconds.

        Raises ``IncompleteResponse`` if the VM resets the connection as it opens.
        """
        answer: asyncio.Future[Reply | CallError] = asyncio.get_running_loop().create_future()
        try:
            with self._connection(self._cell.newest_incarnation(name), address):
                self._spawn(self._execute(name, address, body, act, rejection, answer))
                async with asyncio.timeout(timeout):
                    return await answer
        except TimeoutError:
            return CallError.NO_ANSWER

    def _connection(self, vm: Vm, address: str) -> AbstractContextManager[None]:
        """Return a context manager that holds a connection, if the VM can be reached at all."""
        if not vm.up or self._is_unreachable(vm):
            return contextlib.nullcontext()
        return self.connections.call(vm, address)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work, context=detached_context())
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        """Discard a finished call, and raise its exception, which is a fault of the emulator.

        The sender only sees a missing reply, as if the VM were silent.
        """
        self._tasks.discard(task)
        if not task.cancelled():
            task.result()

    async def _execute(
        self,
        name: str,
        address: str,
        body: Body,
        act: Callable[[Vm], Coroutine[Any, Any, Reply | CallError]],
        rejection: Reply | CallError,
        answer: "asyncio.Future[Reply | CallError]",
    ) -> None:
        cell = self._cell
        await asyncio.sleep(self._draw_transit_time())
        # The call reaches the incarnation that runs on arrival.
        vm = cell.newest_incarnation(name)
        if self._is_unreachable(vm):
            _reset(vm, answer, CallError.REFUSED)
            return
        if not vm.up:
            await self._reply_without_vm(vm, address, answer)
            return
        if vm.rejection_share and cell.rng.random() < vm.rejection_share:
            if not answer.done():
                answer.set_result(rejection)
            return
        delivery = cell.delivery(vm, body)
        if not delivery.carried_out:
            return
        if delivery.late_s:
            await asyncio.sleep(delivery.late_s)
        result = await act(vm)
        await asyncio.sleep(self._draw_transit_time())
        if cell.resets_open_calls and not vm.up and not answer.done():
            answer.set_result(CallError.NO_ANSWER)
        if self._is_unreachable(vm):
            _reset(vm, answer, CallError.NO_ANSWER)
        if delivery.answered and vm.up and not self._is_unreachable(vm) and not answer.done():
            answer.set_result(result)

    async def _reply_without_vm(
        self, vm: Vm, address: str, answer: "asyncio.Future[Reply | CallError]"
    ) -> None:
        """Reply for an address whose VM has ended.

        Another VM may listen there now; otherwise the connection is refused, or there is no reply.
        """
        current = self._cell.running_vm_at(address)
        if current is None and not vm.resets_connections:
            return
        if current is not None and self._is_unreachable(current):
            return
        await asyncio.sleep(self._draw_transit_time())
        if not answer.done():
            answer.set_result(CallError.REFUSED if current is None else CallError.OTHER_INCARNATION)

    async def fetch(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        waits: float = 0.0,
    ) -> Response:
        """Send a call; takes the place of ``UpstreamPool.fetch``."""
        fields = json.loads(body)
        act = WORKER_HANDLERS[path]
        refusal = REJECTED if path == "/api/run-start" else CallError.NO_ANSWER

        async def execute(vm: Vm) -> Reply | CallError:
            return await act(self._cell, vm, fields)

        name = headers["Expect-Instance"]
        result = await self._call(name, address, fields, execute, timeout, refusal)
        if result is CallError.REFUSED:
            raise RequestNotSent("refused", refused=True)
        if result is CallError.OTHER_INCARNATION:
            result = (421, {})
        if isinstance(result, CallError):
            raise IncompleteResponse(result.value)
        status, response = result
        return Response(status, NO_HEADERS, json.dumps(response).encode())

    async def takes_connections(self, address: str, count: int) -> bool | None:
        """Check a VM; takes the place of ``UpstreamPool.takes_connections``."""
        await asyncio.sleep(LATENCY_S)
        vm = self._cell.running_vm_at(address)
        if vm is None or self._is_unreachable(vm):
            return None
        return vm.takes_connections(count)

    def close_idle(self, address: str | None = None) -> None:
        """Close idle connections; takes the place of ``UpstreamPool.close_idle``."""
        self.connections.close_idle(address)


def _reset(vm: Vm, answer: "asyncio.Future[Reply | CallError]", error: CallError) -> None:
    """End a call at once if the cut between its sender and a VM resets connections."""
    if vm.refuses_when_cut and not answer.done():
        answer.set_result(error)


class EmulatedVms(PlatformWorkers):
    """The VMs as one member sees them, through the product's adapter."""

    def __init__(
        self, cell: Cell, is_partitioned: Callable[[str], bool] = lambda vm: False
    ) -> None:
        self.network = VmNetwork(cell, is_partitioned)
        super().__init__(self.network)  # type: ignore[arg-type]


def _clock_ms(vm: Vm) -> float:
    return vm.clock_ms(asyncio.get_running_loop().time())


def _refused(vm: Vm, reason: str) -> Reply:
    return 409, {"clockMs": _clock_ms(vm), "reason": reason}


async def _hold(cell: Cell, vm: Vm, body: Body) -> Reply | CallError:
    wait = body.get("waitMs", 0) / 1000
    call = HoldCall(
        vm.incarnation, "", body["fence"], body.get("untilMs", 0), body["ackedUpto"], wait
    )
    error = cell.hold(vm, call)
    if error is CallError.FENCED:
        return _refused(vm, "fence")
    if error is not None:
        return error
    if not vm.completions and wait:
        vm.report_ready.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(vm.report_ready.wait(), wait)
    return 200, report_of(vm)


async def _start(cell: Cell, vm: Vm, body: Body) -> Reply | CallError:
    saved, ticket = body.get("saved", ""), body.get("ticket", "")
    action = StartRun(vm.incarnation, body["task"], body["run"], body["spec"], 0.0, saved, ticket)
    result = cell.start(vm, action, body["fence"], body["untilMs"])
    if isinstance(result, Started):
        return 200, {"clockMs": result.clock_ms}
    if result is StartRefusal.REJECTED:
        return 400, {"clockMs": _clock_ms(vm), "reason": "unknown"}
    if isinstance(result, StartRefusal):
        return _refused(vm, result.value)
    return _refused(vm, "fence") if result is CallError.FENCED else result


async def _stop(cell: Cell, vm: Vm, body: Body) -> Reply | CallError:
    error = cell.stop(vm, body["task"], body["run"], body["fence"])
    if error is CallError.FENCED:
        return _refused(vm, "fence")
    return error or (200, {"clockMs": _clock_ms(vm)})


async def _throttle(cell: Cell, vm: Vm, body: Body) -> Reply | CallError:
    return _refused(vm, "fence") if body["fence"] < vm.fence else (200, {"clockMs": _clock_ms(vm)})


WorkerHandler = Callable[[Cell, Vm, Body], Coroutine[Any, Any, Reply | CallError]]
WORKER_HANDLERS: dict[str, WorkerHandler] = {
    "/api/hold": _hold,
    "/api/run-start": _start,
    "/api/run-stop": _stop,
    "/api/pace": _throttle,
}


def report_of(vm: Vm) -> Body:
    """Return a VM's report."""
    now = asyncio.get_running_loop().time()
    running = [
        [run.task, run.number, run.saved(now), 100 * (now - run.started_at) / run.duration_s]
        for run in vm.runs.values()
    ]
    ended = [
        [end.number, end.task, end.run, end.outcome, end.saved]
        for end in vm.completions[:MAX_COMPLETIONS_PER_REPORT]
    ]
    return {
        "clockMs": vm.clock_ms(now),
        "running": running,
        "ended": ended,
        "born": vm.started_at_ms,
    }
