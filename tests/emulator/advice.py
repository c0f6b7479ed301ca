"""Emulated advice service: it permits some VMs for a step, with tickets of limited validity."""

import asyncio
import json
import zlib
from collections.abc import Callable, Mapping, Sequence

from tornado import httputil

from sablemount.adapters.upstream import Response
from sablemount.control.messages import AdviceReply
from sablemount.jobs.actions import StartRun
from tests.emulator.loop import detached_context

TICKET_VALIDITY_S = 2.0
DECISION_TIME_S = 0.005
DECISION_TIME_PER_VM_S = 0.0001
MAX_WAITING_CALLS = 32
"""Largest number of calls of one member that wait in the queue."""
EXCLUDED_ONE_IN = 3
"""One of this many VMs may not run a step."""


def may_run(step: str, vm: str) -> bool:
    """Return whether a VM may run a step, which depends on its machine's number only."""
    machine = vm.partition("-")[0]
    number = int("".join(character for character in machine if character.isdigit()) or 0)
    return (number + zlib.crc32(step.encode())) % EXCLUDED_ONE_IN != 0


def make_ticket(step: str, vm: str, until: float) -> str:
    """Return the ticket for starts of a step's tasks on an incarnation of a VM, up to a time."""
    return f"{step}|{vm}|{until}"


def is_valid_ticket(action: StartRun, now: float) -> bool:
    """Return whether a start's ticket is for its step and this incarnation, and still valid."""
    step, _, rest = action.ticket.partition("|")
    vm, _, until = rest.partition("|")
    is_for_start = step == action.task.rpartition(".")[0] and vm == action.vm
    return is_for_start and float(until or 0) >= now


class EmulatedAdvice:
    """The service as one member sees it: it processes the member's calls one at a time.

    ``incarnation_of`` returns the incarnation of a VM that a ticket is for.
    """

    def __init__(self, incarnation_of: Callable[[str], str] = lambda vm: vm) -> None:
        self._incarnation_of = incarnation_of
        self._lock = asyncio.Lock()
        self._waiting = 0

    async def advise(self, step: str, vms: Sequence[str], timeout: float) -> AdviceReply:
        if self._waiting > MAX_WAITING_CALLS:
            return AdviceReply(False)
        self._waiting += 1
        loop = asyncio.get_running_loop()
        # The service completes a call even if its caller has timed out.
        work = loop.create_task(self._decide(step, tuple(vms)), context=detached_context())
        work.add_done_callback(self._on_done)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(work)
        except TimeoutError:
            return AdviceReply(False)

    def _on_done(self, work: "asyncio.Task[AdviceReply]") -> None:
        self._waiting -= 1

    async def _decide(self, step: str, vms: tuple[str, ...]) -> AdviceReply:
        async with self._lock:
            await asyncio.sleep(DECISION_TIME_S + DECISION_TIME_PER_VM_S * len(vms))
        until = asyncio.get_running_loop().time() + TICKET_VALIDITY_S
        good = {
            vm: make_ticket(step, self._incarnation_of(vm), until)
            for vm in vms
            if may_run(step, vm)
        }
        return AdviceReply(True, good, TICKET_VALIDITY_S * 1000.0)


class AdviceNetwork:
    """Forwards a member's calls to the service; takes the place of ``UpstreamPool``."""

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
        request = json.loads(body)
        reply = await self._advice.advise(request["step"], request["workers"], timeout)
        response = {"good": list(reply.good.items()), "validMs": reply.valid_ms}
        status = 200 if reply.ok else 503
        return Response(status, httputil.HTTPHeaders(), json.dumps(response).encode())
