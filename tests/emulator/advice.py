"""Emulated advice: some VMs may run a step, and their tickets hold for a while."""

import asyncio
import json
import zlib
from collections.abc import Callable, Mapping, Sequence

from tornado import httputil

from sablemount.adapters.upstream import Response
from sablemount.control.messages import AdviceReply
from sablemount.jobs.actions import StartRun
from tests.emulator.loop import outside

VALID = 2.0
DECIDE = 0.005
EACH = 0.0001
WAITING = 32
"""Calls of one member that wait for their turn at most."""
BARRED = 3
"""Of so many VMs one may not run a step."""


def may_run(step: str, vm: str) -> bool:
    """Tell whether a VM, by its machine's number, may run a step; this never changes."""
    machine = vm.partition("-")[0]
    number = int("".join(sign for sign in machine if sign.isdigit()) or 0)
    return (number + zlib.crc32(step.encode())) % BARRED != 0


def ticket(step: str, vm: str, until: float) -> str:
    """Return what lets a step's tasks start at a life of a VM until some time."""
    return f"{step}|{vm}|{until}"


def good_ticket(action: StartRun, now: float) -> bool:
    """Tell whether a start's ticket is of its step and this life of the VM, and holds yet."""
    step, _, rest = action.ticket.partition("|")
    vm, _, until = rest.partition("|")
    own = step == action.task.rpartition(".")[0] and vm == action.vm
    return own and float(until or 0) >= now


class EmulatedAdvice:
    """The service as one member sees it: it works on one of the member's calls at a time.

    ``life_of`` tells which life of a VM a ticket is for.
    """

    def __init__(self, life_of: Callable[[str], str] = lambda vm: vm) -> None:
        self._life_of = life_of
        self._turn = asyncio.Lock()
        self._waiting = 0

    async def advise(self, step: str, vms: Sequence[str], timeout: float) -> AdviceReply:
        if self._waiting > WAITING:
            return AdviceReply(False)
        self._waiting += 1
        loop = asyncio.get_running_loop()
        # It works on a call also when its caller has given it up.
        work = loop.create_task(self._decide(step, tuple(vms)), context=outside())
        work.add_done_callback(self._left)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(work)
        except TimeoutError:
            return AdviceReply(False)

    def _left(self, work: "asyncio.Task[AdviceReply]") -> None:
        self._waiting -= 1

    async def _decide(self, step: str, vms: tuple[str, ...]) -> AdviceReply:
        async with self._turn:
            await asyncio.sleep(DECIDE + EACH * len(vms))
        until = asyncio.get_running_loop().time() + VALID
        good = {vm: ticket(step, self._life_of(vm), until) for vm in vms if may_run(step, vm)}
        return AdviceReply(True, good, VALID * 1000.0)


class AdviceNetwork:
    """Passes a member's calls on to the service, as ``UpstreamPool`` does."""

    def __init__(self, advice: EmulatedAdvice) -> None:
        self._advice = advice

    async def fetch(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        waits: float = 0.0,
    ) -> Response:
        told = json.loads(body)
        reply = await self._advice.advise(told["step"], told["workers"], timeout)
        answered = {"good": list(reply.good.items()), "validMs": reply.valid_ms}
        status = 200 if reply.ok else 503
        return Response(status, httputil.HTTPHeaders(), json.dumps(answered).encode())
