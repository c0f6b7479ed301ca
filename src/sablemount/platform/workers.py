"""The platform's workers: orders and looks over HTTP."""

from collections.abc import Sequence

import msgspec

from sablemount.adapters.upstream import Answer, CutShort, NotSent, UpstreamPool
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
from sablemount.platform.lives import entry_of, life_name

__all__ = ["PlatformAdvice", "PlatformWorkers"]

INSTANCE_HEADER = "Expect-Instance"
OK = 200
CONFLICT = 409
OTHER_LIFE = 421
UNHEALTHY = (429, 503)
FENCE = "fence"
REFUSALS = {
    "old": StartRefusal.OLD,
    "late": StartRefusal.LATE,
    "room": StartRefusal.CAPACITY,
    "ticket": StartRefusal.TICKET,
}
MS = 1000


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


class _Held(msgspec.Struct, frozen=True, rename="camel"):
    clock_ms: float
    running: tuple[RunReport, ...] = ()
    ended: tuple[CompletionReport, ...] = ()
    born: int = 0


class _Answer(msgspec.Struct, frozen=True, rename="camel"):
    clock_ms: float = 0.0
    reason: str = ""


class _Advise(msgspec.Struct, frozen=True):
    step: str
    workers: Sequence[str]


class _Advised(msgspec.Struct, frozen=True, rename="camel"):
    good: tuple[tuple[str, str], ...] = ()
    valid_ms: float = 0.0


_ENCODER = msgspec.json.Encoder()
_HELD = msgspec.json.Decoder(_Held)
_ANSWER = msgspec.json.Decoder(_Answer)
_ADVISED = msgspec.json.Decoder(_Advised)


class PlatformWorkers:
    """Implements the product's VM port."""

    def __init__(self, pool: UpstreamPool) -> None:
        self._pool = pool

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        """Hold and look."""
        body = _Hold(call.fence, call.acked_completion, call.until_ms, int(call.wait * MS))
        sent_at = monotonic()
        answer = await self._call(call.address, "/api/hold", body, call.vm, timeout, call.wait)
        if isinstance(answer, CallError):
            return answer
        if answer.status != OK:
            return _error(answer)
        try:
            held = _HELD.decode(answer.body)
        except msgspec.DecodeError:
            return CallError.NO_ANSWER
        answers = life_name(entry_of(call.vm), held.born)
        if held.born and answers != call.vm:
            return LaterIncarnation(answers, held.born)
        return VmReport(call.vm, sent_at, held.clock_ms, held.running, held.ended)

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        """Start a run."""
        body = _Start(
            action.task,
            action.run,
            action.payload,
            until_ms,
            fence,
            action.saved,
            action.ticket,
        )
        answer = await self._call(address, "/api/run-start", body, action.vm, timeout)
        if isinstance(answer, CallError):
            return answer
        if answer.status in UNHEALTHY:
            return StartRefusal.UNHEALTHY
        try:
            told = _ANSWER.decode(answer.body)
        except msgspec.DecodeError:
            told = _Answer()
        if answer.status == OK:
            return Started(told.clock_ms)
        if answer.status == CONFLICT and told.reason != FENCE:
            return REFUSALS.get(told.reason, StartRefusal.REJECTED)
        return _error(answer) if answer.status in (CONFLICT, OTHER_LIFE) else StartRefusal.REJECTED

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        """Stop a run."""
        body = _Stop(action.task, action.run, fence)
        return await self._order(address, "/api/run-stop", body, action.vm, timeout)

    async def pace(
        self, action: ThrottleRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        """Pace a run."""
        body = _Pace(action.task, action.run, action.percent, fence)
        return await self._order(address, "/api/pace", body, action.vm, timeout)

    async def _order(
        self, address: str, path: str, body: msgspec.Struct, life: str, timeout: float
    ) -> CallError | None:
        answer = await self._call(address, path, body, life, timeout)
        if isinstance(answer, CallError):
            return answer
        return None if answer.status == OK else _error(answer)

    async def _call(
        self,
        address: str,
        path: str,
        body: msgspec.Struct,
        life: str,
        timeout: float,
        waits: float = 0.0,
    ) -> Answer | CallError:
        headers = {INSTANCE_HEADER: entry_of(life), "Content-Type": "application/json"}
        encoded = _ENCODER.encode(body)
        try:
            return await self._pool.fetch(address, path, encoded, headers, timeout, waits=waits)
        except NotSent as error:
            return CallError.REFUSED if error.refused else CallError.NOT_SENT
        except CutShort:
            return CallError.NO_ANSWER


def _error(answer: Answer) -> CallError:
    if answer.status == OTHER_LIFE:
        return CallError.OTHER_INCARNATION
    try:
        told = _ANSWER.decode(answer.body)
    except msgspec.DecodeError:
        return CallError.NO_ANSWER
    fenced = answer.status == CONFLICT and told.reason == FENCE
    return CallError.FENCED if fenced else CallError.NO_ANSWER


class PlatformAdvice:
    """Implements the product's advice port."""

    def __init__(self, address: str | None, pool: UpstreamPool) -> None:
        self._address = address
        self._pool = pool

    async def advise(self, step: str, workers: Sequence[str], timeout: float) -> AdviceReply:
        """Ask for some workers."""
        if self._address is None:
            return AdviceReply(False)
        lives: dict[str, list[str]] = {}
        for life in workers:
            lives.setdefault(entry_of(life), []).append(life)
        body = _ENCODER.encode(_Advise(step, list(lives)))
        headers = {"Content-Type": "application/json"}
        try:
            # The service works on one call at a time and takes long for some.
            answer = await self._pool.fetch(
                self._address, "/api/advise", body, headers, timeout, waits=timeout
            )
            if answer.status != OK:
                return AdviceReply(False)
            told = _ADVISED.decode(answer.body)
        except (NotSent, CutShort, msgspec.DecodeError):
            return AdviceReply(False)
        # A life that is over may be asked for beside the present one, whose ticket it is.
        good = {life: ticket for worker, ticket in told.good for life in lives.get(worker, ())}
        return AdviceReply(True, good, told.valid_ms)
