"""HTTP interface for callers: translates requests into the product's calls and replies back."""

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from tornado import httputil

from sablemount.adapters.caller_server import (
    BODY_TIMEOUT_S,
    DEFAULT_LIMITS,
    TOO_BUSY,
    CallerServer,
    max_connections,
)
from sablemount.adapters.ending_server import GracefulServer, final_response
from sablemount.adapters.socket_age import is_closed_by_peer, seconds_since_received
from sablemount.control.clock import monotonic
from sablemount.control.gate import key_digest
from sablemount.control.member import Member
from sablemount.control.memory_budget import MemoryBudget
from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.control.refusal_log import RefusalLog
from sablemount.control.standing import MachineLimits
from sablemount.jobs.model import JobSpec, Shape, StepSpec

__all__ = ["Frontend", "decode_job", "request_key_digest", "metrics_server", "ready_server"]

DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Authorization"
KEY_SCHEME = "bearer"
DEFAULT_DEADLINE_MS = 3000.0
"""Deadline of a request that gives none, in ms: the usual timeout of a route."""
DEADLINE_SHARE = 0.9
"""Fraction of the caller's deadline after which it gets a reply, even if the result is unknown."""
OPERATIONS = {"POST": Operation.SUBMIT, "GET": Operation.STATE, "DELETE": Operation.CANCEL}
STATUS_OF_OUTCOME = {
    Outcome.DONE: HTTPStatus.OK,
    Outcome.NO_JOB: HTTPStatus.GONE,
    Outcome.NO_QUEUE: HTTPStatus.NOT_FOUND,
    Outcome.INVALID: HTTPStatus.BAD_REQUEST,
    Outcome.NOT_TAKEN: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    Outcome.NO_KEY: HTTPStatus.UNAUTHORIZED,
    Outcome.NAME_TAKEN: HTTPStatus.CONFLICT,
}
PLATFORM_FIELD_NAMES = {
    ".after": ".dependsOn",
    ".label": ".constraints",
    ".payload": ".spec",
    ".times": ".maxRuns",
    ".shape.cores": ".cpu",
    ".shape.memory": ".memMb",
    ".shape.accelerators": ".gpu",
}
"""The platform's names of fields of a job, by the product's path of the field."""
TOO_LATE = "the request waited for too long"
MIN_LATE_S = 0.25
"""Seconds that a request has to wait unread before it is checked whether its caller has left."""
RETRY_AFTER_S = 1
"""Seconds after which a caller that is refused for load may come back."""
MAX_SMALL_BODY_BYTES = 4 * 1024
MAX_SMALL_HEADER_BYTES = 16 * 1024
SMALL_READ_BYTES = 4 * 1024
SMALL_IDLE_S = 30.0
"""Limits of a request for readiness or metrics, and seconds until its headers are there."""
MAX_READY_CONNECTIONS = 64
MAX_METRICS_CONNECTIONS = 16
READY_PATH = "/api/readyz"
MS_PER_S = 1000.0

_logger = logging.getLogger("sablemount.platform.front")


class _Step(msgspec.Struct, frozen=True, rename="camel"):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    daemon: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0

    def step(self) -> StepSpec:
        """Convert to the product's step."""
        return StepSpec(
            count=self.count,
            shape=Shape(self.cpu, self.mem_mb, self.gpu),
            expected_ms=self.est_ms,
            after=self.depends_on,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.constraints,
            rack=self.affinity,
            spread=self.anti_affinity,
            speculative=self.speculative,
            lasting=self.daemon,
            saves=self.checkpoint,
            image=self.image,
            target_ms=self.target_ms,
            fills=self.fills,
            may_miss=self.may_miss,
        )


class _Job(msgspec.Struct, frozen=True, rename="camel"):
    spec: str
    steps: tuple[_Step, ...]
    max_runs: int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0


class _ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    error: str
    path: str = ""


_JOB = msgspec.json.Decoder(_Job)
_ENCODER = msgspec.json.Encoder()


def decode_job(body: bytes) -> JobSpec:
    """Decode a job; raise ``msgspec.DecodeError`` if it is invalid."""
    job = _JOB.decode(body)
    steps = tuple(step.step() for step in job.steps)
    return JobSpec(job.spec, steps, job.max_runs, job.start_at_ms, job.interval_ms)


Respond = Callable[[httputil.HTTPServerRequest, HTTPStatus, bytes, dict[str, str]], None]


@dataclass(frozen=True, slots=True)
class _Arrival:
    """When a request arrived at this machine, whenever it was read."""

    at: float
    """Local time."""
    is_abandoned: bool
    """Whether it waited, and its caller has closed the connection meanwhile."""

    @classmethod
    def of(cls, request: httputil.HTTPServerRequest) -> "_Arrival":
        """Return the arrival of a request that has just been read completely."""
        stream = getattr(request.connection, "stream", None)
        if stream is None:
            return cls(monotonic(), False)
        waited = seconds_since_received(stream)
        # A caller that closes only its sending direction, and at once, still wants its answer.
        is_late = stream.closed() or waited > MIN_LATE_S
        return cls(monotonic() - waited, is_late and is_closed_by_peer(stream))


STOPPING = CallerReply(Outcome.NOT_TAKEN, reason="the process stops", retry_after=1.0)
UNFINISHED = CallerReply(Outcome.UNKNOWN, reason="the process ends before the answer is there")


NO_LIMITS = MachineLimits()


class Frontend:
    """Serves callers over HTTP."""

    def __init__(
        self,
        member: Member,
        spawn: Callable[[Coroutine[object, object, None]], object],
        machine: MachineLimits = NO_LIMITS,
    ) -> None:
        self._member = member
        self._spawn = spawn
        self.closing_connections = False
        """Whether a connection is closed after the response to its current call."""
        self.refusing = False
        """Whether new calls are refused at once, since they may outlast the process."""
        self.in_flight = 0
        self._replies: set[asyncio.Task[CallerReply]] = set()
        final = final_response(_ENCODER.encode(_ErrorBody(STOPPING.reason)))
        self.server = CallerServer(
            self._accept,
            body_timeout=BODY_TIMEOUT_S,
            final=final,
            budget=MemoryBudget.of_machine(machine.memory_mb),
            max_connections=max_connections(machine),
        )
        self._refusal_log = RefusalLog(_logger, "refused")
        self.server.count_refusal = self._count_refusal
        self.server.refuse = self._refuse
        self.server.set_limits(DEFAULT_LIMITS)
        member.feed.subscribe(lambda configuration: self.server.set_limits(configuration.limits))

    def _refuse(self, connection: httputil.HTTPConnection, status: HTTPStatus, reason: str) -> None:
        """Answer a request that exceeds a limit; no more of it is read."""
        headers = {"Content-Type": "application/json", "Connection": "close"}
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers["Retry-After"] = str(RETRY_AFTER_S)
        _write(connection, status, _ENCODER.encode(_ErrorBody(reason)), headers)

    def _count_refusal(self, status: HTTPStatus, reason: str) -> None:
        self._member.metrics.count("refused", reason)
        self._refusal_log.add(reason, status=int(status))

    def _accept(self, request: httputil.HTTPServerRequest) -> None:
        self.in_flight += 1
        self._spawn(self._serve(request))

    async def _serve(self, request: httputil.HTTPServerRequest) -> None:
        try:
            reply = STOPPING if self.refusing else await self._reply_or_unfinished(request)
        except Exception:
            _logger.exception("internal error", extra={"path": request.path})
            reply = CallerReply(Outcome.UNKNOWN, reason="internal error")
        finally:
            self.in_flight -= 1
        if request.connection is not None:
            self.server.release(request.connection)
        self._answer(request, reply)

    async def _reply_or_unfinished(self, request: httputil.HTTPServerRequest) -> CallerReply:
        """Return the reply, or ``UNFINISHED`` if the process ends before there is one."""
        task = asyncio.get_running_loop().create_task(self._reply(request))
        self._replies.add(task)
        try:
            await asyncio.wait([task])
        finally:
            self._replies.discard(task)
            task.cancel()
        return UNFINISHED if task.cancelled() else task.result()

    def close_after_responses(self) -> None:
        """Close each connection after its next response, so that callers go elsewhere."""
        self.closing_connections = True
        self.server.conn_params.no_keep_alive = True

    def refuse_new_calls(self) -> None:
        """Refuse new calls at once, including those already on their way over idle connections."""
        if self.refusing:
            return
        self.refusing = True
        _logger.info("refusing new calls", extra={"in_flight": self.in_flight})
        closed = self.server.close_idle()
        if closed:
            self._member.metrics.count("connection_ended", "idle", closed)

    @property
    def is_drained(self) -> bool:
        """Return whether no call is in flight and no caller is connected."""
        return not self.in_flight and not self.server.open_connections

    def cancel_in_flight(self) -> None:
        """Answer the calls in flight with ``UNFINISHED``: the process is about to end."""
        for task in self._replies:
            task.cancel()

    async def _reply(self, request: httputil.HTTPServerRequest) -> CallerReply:
        operation = OPERATIONS.get(request.method or "")
        if operation is None:
            return CallerReply(Outcome.INVALID, reason="no such method")
        spec = None
        timeout = _timeout(request)
        if operation is Operation.SUBMIT:
            arrival = _Arrival.of(request)
            timeout -= monotonic() - arrival.at
            if timeout <= 0 or arrival.is_abandoned:
                return self._refuse_late(request, arrival)
            if (refusal := self._refusal_of_size(request)) is not None:
                return refusal
            try:
                spec = decode_job(request.body)
            except msgspec.DecodeError as error:
                reason, _, path = str(error).partition(" - at ")
                return CallerReply(Outcome.INVALID, path=path.strip("`") or "$", reason=reason)
        host = request.host.partition(":")[0]
        call = CallerCall(operation, host, request.path, spec)
        return await self._member.serve(call, timeout, request_key_digest(request.headers))

    def _refuse_late(self, request: httputil.HTTPServerRequest, arrival: "_Arrival") -> CallerReply:
        """Refuse a job that has waited unread for so long that its caller has gone elsewhere."""
        extra = {
            "request": request.path.rpartition("/")[2],
            "waited": round(monotonic() - arrival.at, 3),
            "deadline": round(_timeout(request), 3),
            "caller_left": arrival.is_abandoned,
        }
        _logger.info("late request refused", extra=extra)
        self._member.metrics.count("refused", TOO_LATE)
        return CallerReply(Outcome.NOT_TAKEN, reason=TOO_LATE, retry_after=RETRY_AFTER_S)

    def _refusal_of_size(self, request: httputil.HTTPServerRequest) -> CallerReply | None:
        """Return the reply to a job for whose decoding there is no memory, or ``None``."""
        refusal = self.server.admit_decoding(request)
        if refusal is HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            return CallerReply(Outcome.INVALID, path="$.steps", reason="too many values")
        if refusal is HTTPStatus.SERVICE_UNAVAILABLE:
            self._count_refusal(refusal, TOO_BUSY)
            return CallerReply(Outcome.NOT_TAKEN, reason=TOO_BUSY, retry_after=RETRY_AFTER_S)
        return None

    def _answer(self, request: httputil.HTTPServerRequest, reply: CallerReply) -> None:
        status = STATUS_OF_OUTCOME[reply.outcome]
        if status is not HTTPStatus.OK:
            _logger.info(
                "refused",
                extra={
                    "request": request.path.rpartition("/")[2],
                    "method": request.method,
                    "status": int(status),
                    "why": reply.reason,
                    "organisation": reply.organisation or "unknown",
                    "version": self._member.feed.version,
                    "epoch": reply.epoch,
                },
            )
        headers = {"Content-Type": "application/json"}
        if reply.retry_after:
            headers["Retry-After"] = str(math.ceil(reply.retry_after))
        if status is HTTPStatus.UNAUTHORIZED:
            headers["WWW-Authenticate"] = KEY_SCHEME.title()
        if self.closing_connections:
            headers["Connection"] = "close"
        respond(request, status, _body(reply), headers)


def request_key_digest(headers: httputil.HTTPHeaders) -> bytes | None:
    """Return the digest of a request's key; ``None`` unless it has exactly one well-formed key."""
    lines = headers.get_list(KEY_HEADER)
    if len(lines) != 1:
        return None
    scheme, _, key = lines[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not key or not key.isascii() or " " in key:
        return None
    return key_digest(key.encode())


def _timeout(request: httputil.HTTPServerRequest) -> float:
    try:
        deadline = float(request.headers.get(DEADLINE_HEADER, DEFAULT_DEADLINE_MS))
    except ValueError:
        deadline = DEFAULT_DEADLINE_MS
    return max(0.0, deadline * DEADLINE_SHARE / MS_PER_S)


def _body(reply: CallerReply) -> bytes:
    if reply.outcome is not Outcome.DONE:
        path = reply.path
        for product_name, platform_name in PLATFORM_FIELD_NAMES.items():
            path = path.replace(product_name, platform_name)
        return _ENCODER.encode(_ErrorBody(reply.reason, path))
    if reply.waiting >= 0:
        return _ENCODER.encode({"waiting": reply.waiting})
    return _ENCODER.encode({"state": reply.state} if reply.state else {})


def respond(
    request: httputil.HTTPServerRequest,
    status: HTTPStatus,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Write a complete response."""
    if request.connection is not None:
        _write(request.connection, status, body, headers)


def _write(
    connection: httputil.HTTPConnection,
    status: HTTPStatus,
    body: bytes,
    headers: dict[str, str],
) -> None:
    fields = httputil.HTTPHeaders(headers)
    fields["Content-Length"] = str(len(body))
    line = httputil.ResponseStartLine("HTTP/1.1", status.value, status.phrase)
    connection.write_headers(line, fields, body)
    connection.finish()


def ready_server(ready: Callable[[], bool]) -> GracefulServer:
    """Return the server that reports to the platform whether this process serves callers."""

    def answer(request: httputil.HTTPServerRequest) -> None:
        is_ready = ready() and request.path == READY_PATH
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        respond(request, status, b"{}", {"Content-Type": "application/json"})

    return _small_server(answer, MAX_READY_CONNECTIONS)


def metrics_server(member: Member, more: Callable[[], dict[str, float]]) -> GracefulServer:
    """Return the server of the process's metrics and the gauges that ``more`` returns."""

    def answer(request: httputil.HTTPServerRequest) -> None:
        accepted_types = request.headers.get_list("Accept")
        text = member.metrics.render(member.gauges() | more(), accepted_types)
        respond(request, HTTPStatus.OK, text, {"Content-Type": "text/plain; version=0.0.4"})

    # Rendering takes long compared with a request: one for each connection.
    return _small_server(answer, MAX_METRICS_CONNECTIONS, no_keep_alive=True)


def _small_server(
    answer: Callable[[httputil.HTTPServerRequest], None],
    connections: int,
    no_keep_alive: bool = False,
) -> GracefulServer:
    """Return a server of requests without bodies, on few connections."""
    return GracefulServer(
        answer,
        max_connections=connections,
        no_keep_alive=no_keep_alive,
        chunk_size=SMALL_READ_BYTES,
        max_header_size=MAX_SMALL_HEADER_BYTES,
        max_body_size=MAX_SMALL_BODY_BYTES,
        idle_connection_timeout=SMALL_IDLE_S,
        body_timeout=BODY_TIMEOUT_S,
    )
