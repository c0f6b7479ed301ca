"""Requests: admission, routing, retries and answers.

A request occupies one slot of a VM while it is served. It is sent to a VM of a shard held here,
or forwarded, once, to a peer that reports free slots, or waits in a bounded queue. A request that
is abandoned is answered at once, with its verdict and, where useful, the time after which to retry.
"""

from collections import deque

from result import Err, Ok

from sablemount.core import records
from sablemount.core.actions import AnswerRequest, Forward, Serve
from sablemount.core.documents import (
    Kind,
    OrganisationDocument,
    Shape,
    TemplateDocument,
)
from sablemount.core.events import RequestArrived, RequestEnded
from sablemount.core.request_queue import RequestQueue, RequestRow
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal, Settlement
from sablemount.core.systems.limits import Ejection, OrganisationLimits, RetryBudget
from sablemount.core.tables import VmRow
from sablemount.core.verdict import Failure, Reason, Served, Verdict

__all__ = ["Requests", "parse_key"]

ONE_SLOT = Shape(slots=1)
SAMPLED_VMS = 3
"""Number of random VMs with a free slot that are compared."""
BACKOFF_S = 0.01
"""Base of the exponential backoff before a retry, with full jitter."""
SLOT_COUNT_INTERVAL_S = 0.5
"""Time between two counts of the slots in the held shards."""
KEY_PARTS = 2


class Requests:
    """Processes requests from callers and peers until they are answered."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self._requests: dict[str, RequestRow] = {}
        self._queue = RequestQueue(state.settings.request_queue)
        self._delayed: deque[RequestRow] = deque()
        self._budget = RetryBudget(state.settings.retry_budget)
        self._limits = OrganisationLimits()
        self._ejection = Ejection(state)
        self._service_time = 0.01
        self._slots_total = 0
        self._next_count = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have not been answered."""
        return len(self._requests)

    # -- Admission ---------------------------------------------------------------------------

    def arrived(self, arrival: RequestArrived) -> None:
        """Admit a request or refuse it immediately."""
        state = self._state
        row = state.ledger.documents.get(arrival.template)
        template = row.document if row is not None else None
        if not isinstance(template, TemplateDocument) or template.kind is not Kind.REQUEST:
            self._refuse(arrival, Reason.UNKNOWN_TEMPLATE, f"$.template: {arrival.template}")
            return
        failure = self._admission_failure(arrival, template)
        if failure is not None:
            self._count_failure(arrival, failure.reason)
            state.emit(AnswerRequest(arrival.request, Err(failure)))
            return
        request = RequestRow(arrival, template, state.now)
        self._requests[arrival.request] = request
        self._limits.request_started(template.organisation)
        self._budget.add_request()
        if template.repeatable or arrival.forwarded:
            self._route(request)
        else:
            self._spend_key(request)

    def _admission_failure(
        self, arrival: RequestArrived, template: TemplateDocument
    ) -> Failure | None:
        state = self._state
        if not state.ready:
            return Failure(Verdict.NOT_RUN, Reason.NOT_READY, "no configuration yet", 1.0)
        if state.stopping and not arrival.forwarded:
            return Failure(Verdict.NOT_RUN, Reason.STOPPING, "", 0.0)
        if arrival.deadline <= state.now:
            return Failure(Verdict.NOT_RUN, Reason.DEADLINE, "the deadline has passed")
        if not template.repeatable and not arrival.forwarded and not arrival.key:
            return Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, "Idempotency-Key: required")
        if arrival.forwarded:
            return None
        limits = state.ledger.documents.get(template.organisation)
        if limits is not None and isinstance(limits.document, OrganisationDocument):
            return self._limits.check(limits.document, state.now)
        return None

    def _refuse(self, arrival: RequestArrived, reason: Reason, detail: str) -> None:
        self._count_failure(arrival, reason)
        failure = Failure(Verdict.NOT_RUN, reason, detail)
        self._state.emit(AnswerRequest(arrival.request, Err(failure)))

    def _count_failure(self, arrival: RequestArrived, reason: Reason) -> None:
        """Count a failure, except of a forwarded request, which the forwarding peer counts."""
        if not arrival.forwarded:
            self._state.meter.record_failure(arrival.template, reason.value)

    # -- Keys --------------------------------------------------------------------------------

    def _spend_key(self, request: RequestRow) -> None:
        """Log the key as spent before anything is sent to a VM."""
        arrival = request.arrival
        issued = parse_key(arrival.key)
        if issued is None:
            detail = "Idempotency-Key: expected <unix seconds>.<unique>"
            self._fail(request, Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
            return
        spend = records.SpendKey(f"{arrival.template}:{arrival.key}", issued)
        queued = self._journal.write(
            spend, lambda settled, error: self._spent(request, settled, error), arrival.deadline
        )
        if not queued:
            self._fail(request, Verdict.NOT_RUN, Reason.OVERLOADED, "the journal is full", 1.0)

    def _spent(self, request: RequestRow, settled: Settlement, error: str) -> None:
        if self._requests.get(request.name) is not request:
            return
        if settled is Settlement.ACCEPTED:
            self._route(request)
        elif settled is Settlement.REJECTED and error == "the key is spent":
            # This request has not run, but another one with the same key may have.
            self._fail(request, Verdict.MAY_HAVE_RUN, Reason.KEY_SPENT, error)
        elif settled is Settlement.REJECTED:
            self._fail(request, Verdict.NOT_RUN, Reason.KEY_EXPIRED, error)
        else:
            detail = "the key could not be spent; use a new key"
            self._fail(request, Verdict.NOT_RUN, Reason.LOG_UNAVAILABLE, detail, 5.0)

    # -- Routing -----------------------------------------------------------------------------

    def _route(self, request: RequestRow) -> None:
        if self._queue.count_ahead(request.priority_rank) or not self._dispatch(request):
            self._enqueue(request)

    def _dispatch(self, request: RequestRow) -> bool:
        """Send a request to a VM or a peer; return whether it was sent."""
        state = self._state
        if state.now < request.not_before:
            return False
        if state.has_lease():
            row = state.slot_index.choose(ONE_SLOT, state.rng, SAMPLED_VMS)
            if row is not None:
                self._serve(request, row)
                return True
        if not request.arrival.forwarded and not request.sent:
            peer = self._peer_with_slots()
            if peer is not None:
                self._forward(request, peer)
                return True
        return False

    def _serve(self, request: RequestRow, row: VmRow) -> None:
        state = self._state
        arrival = request.arrival
        if not request.attempts:
            self._count_wait(request)
        request.attempts += 1
        request.sent = True
        row.requests[arrival.request] = float("inf")
        row.free_slots -= 1
        state.reindex(row)
        state.emit(
            Serve(
                arrival.request,
                request.attempts,
                row.vm,
                arrival.body,
                arrival.deadline,
                state.lease_until,
                request.template.repeatable,
            )
        )

    def _count_wait(self, request: RequestRow) -> None:
        waited = self._state.now - request.arrived_at
        template = request.template
        within = waited <= template.objective.within
        self._state.meter.record_wait(
            request.arrival.template, template.priority.value, waited, within
        )

    def _peer_with_slots(self) -> str | None:
        """Return, of two random peers with recently reported free slots, the one with more."""
        state = self._state
        oldest = state.now - state.settings.suspect_after
        candidates = [
            peer
            for peer in state.peers.values()
            if peer.free_slots > 0 and peer.last_heartbeat_at > oldest and not peer.stopping
        ]
        if not candidates:
            return None
        pair = state.rng.sample(candidates, min(2, len(candidates)))
        chosen = max(pair, key=lambda peer: peer.free_slots)
        chosen.free_slots -= 1
        return chosen.name

    def _forward(self, request: RequestRow, peer: str) -> None:
        request.sent = True
        self._state.meter.count("forwards")
        self._state.emit(Forward(peer, request.arrival))

    # -- The queue ---------------------------------------------------------------------------

    def _enqueue(self, request: RequestRow) -> None:
        if self._queue.full:
            victim = self._queue.pop_lowest_priority(request.priority_rank)
            if victim is None:
                self._shed(request)
                return
            self._shed(victim)
        if self._would_miss_deadline(request):
            self._shed(request)
        else:
            self._queue.push(request)

    def _expected_wait(self, rank: int) -> float:
        """Return the expected time to serve the requests queued ahead, in seconds."""
        return self._queue.count_ahead(rank) * self._service_time / max(1, self._slots_total)

    def _would_miss_deadline(self, request: RequestRow) -> bool:
        """Return whether the request is expected to miss its deadline in the queue."""
        wait = self._expected_wait(request.priority_rank)
        return self._state.now + wait > request.arrival.deadline

    def _shed(self, request: RequestRow) -> None:
        retry_after = min(5.0, 0.2 + self._expected_wait(request.priority_rank))
        verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else Verdict.NOT_RUN
        self._fail(request, verdict, Reason.OVERLOADED, "", retry_after)

    def dispatch_queued(self) -> None:
        """Send queued requests while there are free slots."""
        while (request := self._queue.peek()) is not None:
            removed = request.name not in self._requests
            late = not removed and request.arrival.deadline <= self._state.now
            if not removed and not late and not self._dispatch(request):
                return
            self._queue.pop()
            if late:
                self._expire(request)

    def run(self) -> None:
        """Requeue delayed requests, expire late ones, and send queued ones."""
        self._ejection.run()
        self._count_slots()
        for _ in range(len(self._delayed)):
            request = self._delayed.popleft()
            if request.not_before <= self._state.now:
                self._queue.push_front(request)
            else:
                self._delayed.append(request)
        for request in self._queue.pop_expired(self._state.now):
            if request.name in self._requests:
                self._expire(request)
        self.dispatch_queued()

    def _count_slots(self) -> None:
        state = self._state
        if state.now < self._next_count:
            return
        self._next_count = state.now + SLOT_COUNT_INTERVAL_S
        rows = (row for shard in state.held_shards for row in state.shard_vms[shard].values())
        self._slots_total = sum(row.facts.capacity.slots for row in rows if row.was_usable)

    def _expire(self, request: RequestRow) -> None:
        verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else Verdict.NOT_RUN
        self._fail(request, verdict, Reason.DEADLINE, "the deadline passed before its turn", 0.5)

    # -- Answers -----------------------------------------------------------------------------

    def ended(self, event: RequestEnded) -> None:
        """Handle the end of an attempt."""
        state = self._state
        row = state.vms.get(event.vm) if event.vm else None
        if row is not None:
            self._free_slot(row, event)
        request = self._requests.get(event.request)
        if request is not None:
            self._attempt_ended(request, event)
        self.dispatch_queued()

    def _free_slot(self, row: VmRow, event: RequestEnded) -> None:
        if event.slot_released and row.requests.pop(event.request, None) is not None:
            row.free_slots += 1
        elif event.request in row.requests:
            row.requests[event.request] = self._state.now
            row.urgent_poll = True
        self._ejection.record_outcome(row, event.failure)
        self._state.reindex(row)

    def _attempt_ended(self, request: RequestRow, event: RequestEnded) -> None:
        failure = event.failure
        if failure is None:
            self._service_time += 0.05 * (event.elapsed - self._service_time)
            self._finish(request)
            assert isinstance(event.served, Served)
            self._state.meter.count("answers", Verdict.DONE.value)
            self._state.emit(AnswerRequest(request.name, Ok(event.served)))
            return
        if failure.verdict is Verdict.MAY_HAVE_RUN:
            request.may_have_run = True
        if self._may_retry(request, failure):
            self._retry(request)
        else:
            verdict = Verdict.MAY_HAVE_RUN if request.may_have_run else failure.verdict
            self._fail(request, verdict, failure.reason, failure.detail, failure.retry_after)

    def _may_retry(self, request: RequestRow, failure: Failure) -> bool:
        if failure.verdict is Verdict.MAY_HAVE_RUN and not request.template.repeatable:
            return False
        if request.attempts >= self._state.settings.request_attempts:
            return False
        if request.arrival.deadline <= self._state.now:
            return False
        return self._budget.take_retry()

    def _retry(self, request: RequestRow) -> None:
        state = self._state
        state.meter.count("retries")
        pause = BACKOFF_S * (1 << request.attempts) * state.rng.random()
        request.not_before = state.now + pause
        request.attempts = max(1, request.attempts)
        # If it has certainly not run, it may be forwarded to another peer.
        request.sent = request.may_have_run
        self._delayed.append(request)

    def _fail(
        self,
        request: RequestRow,
        verdict: Verdict,
        reason: Reason,
        detail: str = "",
        retry_after: float | None = None,
    ) -> None:
        self._finish(request)
        self._state.meter.count("answers", verdict.value)
        self._count_failure(request.arrival, reason)
        failure = Failure(verdict, reason, detail, retry_after)
        self._state.emit(AnswerRequest(request.name, Err(failure)))

    def _finish(self, request: RequestRow) -> None:
        self._requests.pop(request.name, None)
        self._limits.request_ended(request.template.organisation)

    def withdrawn(self, name: str) -> None:
        """Drop a disconnected caller's request; one that was sent stays charged until it ends."""
        request = self._requests.get(name)
        if request is not None and not request.sent:
            self._finish(request)


def parse_key(key: str) -> int | None:
    """Return when a key was issued (unix seconds), or ``None`` for a malformed key."""
    parts = key.split(".", 1)
    if len(parts) != KEY_PARTS or not parts[0].isdigit() or not parts[1]:
        return None
    return int(parts[0])
