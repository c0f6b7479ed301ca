"""Adapter to the workers, over HTTP.

The worker's protocol is an assumption, and only this module depends on it: ``POST /runs`` starts a
run, ``POST /poll`` does everything else that concerns runs, and ``POST /serve`` serves a request. A
worker refuses with status 503 and the header ``Sablemount-Refused``, in which case nothing ran. Its
list of runs is up to date, while its usage report lags. It keeps the outcome of a run until it is
acknowledged.
"""

import msgspec

from sablemount.adapters.upstream import IncompleteResponse, RequestNotSent, Response, UpstreamPool
from sablemount.boottime import monotonic
from sablemount.core.actions import Poll, Serve, StartRun
from sablemount.core.events import PollEnded, RequestEnded, RunReport, StartEnded, StartStatus
from sablemount.core.meter import Meter
from sablemount.core.verdict import Failure, Reason, Served, Verdict

__all__ = ["HttpWorkers", "PollReply"]

REFUSED_HEADER = "Sablemount-Refused"
REQUEST_HEADER = "X-Request-Id"
OK = 200
SERVER_ERROR = 500
START_SLACK = 0.5
"""How much longer than a poll a start may take, as a fraction."""

_ENCODER = msgspec.json.Encoder()


class PollReply(msgspec.Struct, frozen=True):
    """A worker's response to a poll."""

    boot: str
    leaving: bool
    runs: tuple[RunReport, ...]
    requests: tuple[str, ...]


_POLL_DECODER = msgspec.json.Decoder(PollReply)


class HttpWorkers:
    """Sends commands and requests to workers."""

    def __init__(self, pool: UpstreamPool, meter: Meter, timeout: float) -> None:
        self._pool = pool
        self._meter = meter
        self._timeout = timeout

    async def start(self, action: StartRun, address: str) -> StartEnded:
        """Start a run."""
        body = _ENCODER.encode(action)
        self._meter.count("control_bytes", "start", len(body))
        try:
            response = await self._pool.fetch(
                address, "/runs", body, {}, self._timeout, action.not_after
            )
        except RequestNotSent:
            return StartEnded(action.run, StartStatus.NOT_SENT)
        except IncompleteResponse:
            return StartEnded(action.run, StartStatus.UNKNOWN)
        if response.status == OK:
            return StartEnded(action.run, StartStatus.STARTED)
        refused = REFUSED_HEADER in response.headers
        status = StartStatus.REFUSED if refused else StartStatus.UNKNOWN
        return StartEnded(action.run, status)

    async def poll(self, action: Poll, address: str) -> PollEnded:
        """Renew leases, acknowledge outcomes, send commands and return the worker's report."""
        sent_at = monotonic()
        body = _ENCODER.encode(action)
        try:
            response = await self._pool.fetch(
                address, "/poll", body, {}, self._timeout, action.not_after
            )
            reply = _POLL_DECODER.decode(response.body)
        except (RequestNotSent, IncompleteResponse, msgspec.DecodeError):
            return PollEnded(action.vm, sent_at)
        self._meter.count("control_bytes", "poll", len(body) + len(response.body))
        return PollEnded(action.vm, sent_at, reply.boot, reply.leaving, reply.runs, reply.requests)

    async def serve(self, action: Serve, address: str) -> RequestEnded:
        """Serve a request."""
        started_at = monotonic()
        headers = {REQUEST_HEADER: action.request}
        try:
            response = await self._pool.fetch(
                address,
                "/serve",
                action.body,
                headers,
                action.deadline - started_at,
                action.not_after,
            )
        except RequestNotSent as error:
            failure = Failure(Verdict.NOT_RUN, Reason.UPSTREAM_UNREACHABLE, str(error))
            return RequestEnded(action.request, action.vm, failure, True)
        except IncompleteResponse as error:
            past_deadline = monotonic() >= action.deadline
            reason = Reason.DEADLINE if past_deadline else Reason.UPSTREAM_CUT_SHORT
            failure = Failure(Verdict.MAY_HAVE_RUN, reason, str(error))
            return RequestEnded(action.request, action.vm, failure, False)
        return self._request_ended(action, response, monotonic() - started_at)

    def _request_ended(self, action: Serve, response: Response, elapsed: float) -> RequestEnded:
        failure = None
        if response.headers.get(REQUEST_HEADER, action.request) != action.request:
            # The response belongs to another request and must not reach this caller.
            failure = Failure(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR, "not its own answer")
        elif REFUSED_HEADER in response.headers:
            failure = Failure(Verdict.NOT_RUN, Reason.UPSTREAM_REFUSED, "", 0.1)
        elif response.status >= SERVER_ERROR:
            failure = Failure(
                Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_ERROR, f"status {response.status}"
            )
        served = Served(response.body, action.vm, response.status) if failure is None else None
        return RequestEnded(action.request, action.vm, failure, True, elapsed, served)
