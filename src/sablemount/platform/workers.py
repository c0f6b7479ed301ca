"""Adapters to the platform's workers and advice service, over HTTP."""

from collections.abc import Sequence

import msgspec

from sablemount.adapters.upstream import IncompleteResponse, RequestNotSent, Response, UpstreamPool
from sablemount.boottime import monotonic
from sablemount.control.messages import AdviceReply
from sablemount.control.ports import CallError, HoldCall, HoldResult, Started, StartResult
from sablemount.jobs.actions import (
    CompletionReport,
    LaterIncarnation,
    RunReport,
    StartRun,
    StopRun,
    ThrottleRun,
    VmReport,
)
from sablemount.jobs.scheduler import StartRefusal
from sablemount.platform.lives import incarnation_name, worker_id_of

__all__ = ["PlatformAdvice", "PlatformWorkers"]

INSTANCE_HEADER = "Expect-Instance"
OK = 200
BAD_REQUEST = 400
CONFLICT = 409
WRONG_INSTANCE_STATUS = 421
"""The process at the address does not have the worker id in ``Expect-Instance``."""
UNHEALTHY_STATUSES = (429, 503)
FENCE = "fence"
REFUSALS = {
    "old": StartRefusal.OLD,
    "late": StartRefusal.LATE,
    "room": StartRefusal.CAPACITY,
    "ticket": StartRefusal.TICKET,
}
MS_PER_S = 1000


class _Start(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    task: str
    run: int
    spec: str
    until_ms: int
    fence: int
    saved: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct, frozen=True):
    task: str
    run: int
    fence: int


class _Pace(msgspec.Struct, frozen=True):
    task: str
    run: int
    percent: int
    fence: int


class _Hold(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    fence: int
    acked_upto: int = msgspec.field(name="ackedUpto")
    until_ms: int = 0
    wait_ms: int = 0


class _HoldReply(msgspec.Struct, frozen=True, rename="camel"):
    clock_ms: float
    running: tuple[RunReport, ...] = ()
    ended: tuple[CompletionReport, ...] = ()
    born: int = 0


class _Reply(msgspec.Struct, frozen=True, rename="camel"):
    clock_ms: float = 0.0
    reason: str = ""


class _Advise(msgspec.Struct, frozen=True):
    step: str
    workers: Sequence[str]


class _AdviseReply(msgspec.Struct, frozen=True, rename="camel"):
    good: tuple[tuple[str, str], ...] = ()
    valid_ms: float = 0.0


_ENCODER = msgspec.json.Encoder()
_HOLD_REPLY = msgspec.json.Decoder(_HoldReply)
_REPLY = msgspec.json.Decoder(_Reply)
_ADVISE_REPLY = msgspec.json.Decoder(_AdviseReply)


class PlatformWorkers:
    """Implements the product's VM port with the platform's workers."""

    def __init__(self, pool: UpstreamPool) -> None:
        self._pool = pool

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        """Extend leases, acknowledge completions and return the worker's report."""
        body = _Hold(call.fence, call.acked_completion, call.until_ms, int(call.wait * MS_PER_S))
        sent_at = monotonic()
        response = await self._call(call.address, "/api/hold", body, call.vm, timeout, call.wait)
        if isinstance(response, CallError):
            return response
        if response.status != OK:
            return _call_error(response)
        try:
            reply = _HOLD_REPLY.decode(response.body)
        except msgspec.DecodeError:
            return CallError.NO_ANSWER
        answered_by = incarnation_name(worker_id_of(call.vm), reply.born)
        if reply.born and answered_by != call.vm:
            return LaterIncarnation(answered_by, reply.born)
        return VmReport(call.vm, sent_at, reply.clock_ms, reply.running, reply.ended)

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        """Start a run; return when it started or why it was refused.

        Any status that is not part of the protocol counts as no answer: the run may be there.
        """
        body = _Start(
            action.task,
            action.run,
            action.payload,
            until_ms,
            fence,
            action.saved,
            action.ticket,
        )
        response = await self._call(address, "/api/run-start", body, action.vm, timeout)
        if isinstance(response, CallError):
            return response
        if response.status in UNHEALTHY_STATUSES:
            return StartRefusal.UNHEALTHY
        try:
            reply = _REPLY.decode(response.body)
        except msgspec.DecodeError:
            reply = _Reply()
        if response.status == OK:
            return Started(reply.clock_ms)
        if response.status == BAD_REQUEST:
            return StartRefusal.REJECTED
        if response.status == CONFLICT and reply.reason != FENCE:
            return REFUSALS.get(reply.reason, StartRefusal.REJECTED)
        return _call_error(response)

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        """Stop a run."""
        body = _Stop(action.task, action.run, fence)
        return await self._send_command(address, "/api/run-stop", body, action.vm, timeout)

    async def pace(
        self, action: ThrottleRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        """Throttle a run to a percentage of its speed."""
        body = _Pace(action.task, action.run, action.percent, fence)
        return await self._send_command(address, "/api/pace", body, action.vm, timeout)

    async def _send_command(
        self, address: str, path: str, body: msgspec.Struct, incarnation: str, timeout: float
    ) -> CallError | None:
        response = await self._call(address, path, body, incarnation, timeout)
        if isinstance(response, CallError):
            return response
        return None if response.status == OK else _call_error(response)

    async def _call(
        self,
        address: str,
        path: str,
        body: msgspec.Struct,
        incarnation: str,
        timeout: float,
        waits: float = 0.0,
    ) -> Response | CallError:
        headers = {INSTANCE_HEADER: worker_id_of(incarnation), "Content-Type": "application/json"}
        encoded = _ENCODER.encode(body)
        try:
            return await self._pool.fetch(address, path, encoded, headers, timeout, waits=waits)
        except RequestNotSent as error:
            if error.reset_on_open:
                return CallError.RESET_UNSENT
            return CallError.REFUSED if error.refused else CallError.NOT_SENT
        except IncompleteResponse as error:
            return CallError.RESET_ON_OPEN if error.reset_on_open else CallError.NO_ANSWER

    async def takes_connections(self, address: str, count: int) -> bool | None:
        """Return whether a VM takes so many further connections; ``None`` if it is unreachable."""
        return await self._pool.takes_connections(address, count)

    def close_connections(self, address: str | None = None) -> None:
        """Close the connections that no call uses, to one VM or to all."""
        self._pool.close_idle(address)


def _call_error(response: Response) -> CallError:
    if response.status == WRONG_INSTANCE_STATUS:
        return CallError.OTHER_INCARNATION
    try:
        reply = _REPLY.decode(response.body)
    except msgspec.DecodeError:
        return CallError.NO_ANSWER
    fenced = response.status == CONFLICT and reply.reason == FENCE
    return CallError.FENCED if fenced else CallError.NO_ANSWER


class PlatformAdvice:
    """Implements the product's advice port with the platform's advice service."""

    def __init__(self, address: str | None, pool: UpstreamPool) -> None:
        self.address = address
        """Address of the service, from the next call on; ``None`` without one."""
        self._pool = pool

    async def advise(self, step: str, workers: Sequence[str], timeout: float) -> AdviceReply:
        """Ask which of some workers are suitable for a step."""
        if self.address is None:
            return AdviceReply(False)
        incarnations: dict[str, list[str]] = {}
        for incarnation in workers:
            incarnations.setdefault(worker_id_of(incarnation), []).append(incarnation)
        body = _ENCODER.encode(_Advise(step, list(incarnations)))
        headers = {"Content-Type": "application/json"}
        try:
            # The service processes one call at a time and takes long for some calls.
            response = await self._pool.fetch(
                self.address, "/api/advise", body, headers, timeout, waits=timeout
            )
            if response.status != OK:
                return AdviceReply(False)
            reply = _ADVISE_REPLY.decode(response.body)
        except (RequestNotSent, IncompleteResponse, msgspec.DecodeError):
            return AdviceReply(False)
        # A terminated incarnation may be named beside the current one, to which the ticket belongs.
        good = {
            incarnation: ticket
            for worker, ticket in reply.good
            for incarnation in incarnations.get(worker, ())
        }
        return AdviceReply(True, good, reply.valid_ms)
