"""Commands of callers and operators, which are written to the log as records."""

import msgspec
from result import Err

from sablemount.core import records
from sablemount.core.actions import AnswerCommand
from sablemount.core.documents import (
    Kind,
    Shape,
    TemplateDocument,
    bind_parameters,
    check_document,
    document_key,
)
from sablemount.core.events import (
    CancelRequested,
    DrainRequested,
    JobSubmitted,
    PublishRequested,
)
from sablemount.core.state import State
from sablemount.core.systems.inventory import Inventory
from sablemount.core.systems.journal import Journal, SettledCallback, Settlement
from sablemount.core.systems.placement import Placement
from sablemount.core.verdict import Failure, Reason, Verdict

__all__ = ["Commands"]

MIN_CHUNK_TASKS = 4
MAX_CHUNK_TASKS = 50
"""Bounds of the number of tasks of one job that are accepted into a shard in one record."""
MAX_JOB_TASKS = 10_000
RETRY_AFTER_S = 5.0
"""When a caller may try again after the log was unavailable."""


class Commands:
    """Validates commands, writes their records, and answers once the log has settled them."""

    def __init__(
        self, state: State, journal: Journal, placement: Placement, inventory: Inventory
    ) -> None:
        self._state = state
        self._journal = journal
        self._placement = placement
        self._inventory = inventory

    # -- Jobs --------------------------------------------------------------------------------

    def submitted(self, event: JobSubmitted) -> None:
        """Validate a submitted job and write its tasks to the log in chunks, one shard each."""
        failure = self._job_failure(event)
        if failure is not None:
            self._answer(event.token, failure)
            return
        template = self._state.ledger.documents[event.template].document
        assert isinstance(template, TemplateDocument)
        bound = bind_parameters(template, event.parameters).unwrap()
        size = self._chunk_size(event.count)
        chunks = range(0, event.count, size)
        shards = self._placement.shards_for(template.shape, len(chunks))
        outcome = _JobOutcome(self, event.token, len(chunks))
        for first, shard in zip(chunks, shards, strict=True):
            accept = records.Accept(
                event.job,
                event.template,
                first,
                min(size, event.count - first),
                event.count,
                shard,
                bound,
            )
            self._write(accept, outcome.settled, event.deadline)

    def _chunk_size(self, count: int) -> int:
        """Return the number of tasks per chunk, such that a large job is spread over all owners."""
        even_size = -(-count // self._state.settings.shards)
        return min(MAX_CHUNK_TASKS, max(MIN_CHUNK_TASKS, even_size))

    def _job_failure(self, event: JobSubmitted) -> Failure | None:
        state = self._state
        if state.stopping:
            return Failure(Verdict.NOT_RUN, Reason.STOPPING, "", 0.0)
        if event.deadline <= state.now:
            return Failure(Verdict.NOT_RUN, Reason.DEADLINE, "$.deadline: has passed")
        row = state.ledger.documents.get(event.template)
        if row is None or not isinstance(row.document, TemplateDocument):
            detail = f"$.template: {event.template!r} is not published"
            return Failure(Verdict.NOT_RUN, Reason.UNKNOWN_TEMPLATE, detail)
        if row.document.kind is not Kind.TASK:
            detail = f"$.template: {event.template!r} is a {row.document.kind.value}, not a task"
            return Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
        if not 0 < event.count <= MAX_JOB_TASKS:
            detail = f"$.count: expected 1 to {MAX_JOB_TASKS}, got {event.count}"
            return Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
        bound = bind_parameters(row.document, event.parameters)
        if isinstance(bound, Err):
            return Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, bound.err_value)
        return self._shape_failure(row.document.shape)

    def _shape_failure(self, shape: Shape) -> Failure | None:
        vms = self._state.vms.values()
        if not vms or any(shape.fits_within(row.facts.capacity) for row in vms):
            return None
        detail = "$.shape: no VM can hold it"
        return Failure(Verdict.NOT_RUN, Reason.NO_CAPACITY, detail)

    # -- Documents ---------------------------------------------------------------------------

    def published(self, event: PublishRequested) -> None:
        """Publish a document; rejected unless the expected revision is the current one."""
        error = check_document(event.document)
        if not error and isinstance(event.document, TemplateDocument):
            failure = self._shape_failure(event.document.shape)
            error = failure.detail if failure else ""
        if error:
            self._answer(event.token, Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, error))
            return
        key = document_key(event.document)
        publish = records.Publish(key, event.expected, event.document, event.author)

        def settled(settlement: Settlement, detail: str) -> None:
            self._conclude(event.token, settlement, detail, Reason.CONFLICT)

        self._write(publish, settled, event.deadline)

    # -- Tasks and VMs -----------------------------------------------------------------------

    def cancelled(self, event: CancelRequested) -> None:
        """Cancel a task."""

        def settled(settlement: Settlement, detail: str) -> None:
            self._conclude(event.token, settlement, detail, Reason.CONFLICT)

        self._write(records.Cancel(event.task), settled, event.deadline)

    def drained(self, event: DrainRequested) -> None:
        """Start or cancel the drain of a VM."""
        if event.vm not in self._state.vms:
            detail = f"vm: {event.vm!r} is not known"
            self._answer(event.token, Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
            return
        self._inventory.drain(event.vm, event.drain)

        def settled(settlement: Settlement, detail: str) -> None:
            self._conclude(event.token, settlement, detail, Reason.CONFLICT)

        self._write(records.Drain(event.vm, event.drain), settled, event.deadline)

    # -- Answers -----------------------------------------------------------------------------

    def _write(self, body: records.Body, settled: SettledCallback, deadline: float) -> None:
        if not self._journal.write(body, settled, deadline):
            settled(Settlement.NOT_WRITTEN, "the journal is full")

    def _conclude(self, token: str, settled: Settlement, detail: str, rejected: Reason) -> None:
        self._answer(token, failure_of(settled, detail, rejected))

    def _answer(self, token: str, failure: Failure | None) -> None:
        self._state.emit(AnswerCommand(token, failure))


class _JobOutcome:
    """Collects the settlements of one job's chunks and answers the caller."""

    def __init__(self, commands: Commands, token: str, chunks: int) -> None:
        self._commands = commands
        self._token = token
        self._unsettled = chunks
        self._accepted = 0
        self._failure: Failure | None = None

    def settled(self, settlement: Settlement, detail: str) -> None:
        """Record one chunk's settlement, and answer the caller after the last one."""
        self._unsettled -= 1
        failure = failure_of(settlement, detail, Reason.CONFLICT)
        if failure is None:
            self._accepted += 1
        elif self._failure is None or failure.verdict is Verdict.MAY_HAVE_RUN:
            self._failure = failure
        if self._unsettled:
            return
        failure = self._failure
        if failure is not None and self._accepted:
            detail = "a part of the job was accepted"
            failure = msgspec.structs.replace(failure, verdict=Verdict.MAY_HAVE_RUN, detail=detail)
        self._commands._answer(self._token, failure)


def failure_of(settled: Settlement, detail: str, rejected: Reason) -> Failure | None:
    """Return the failure that a settlement is for the caller, or ``None`` on success."""
    if settled is Settlement.ACCEPTED:
        return None
    if settled is Settlement.REJECTED:
        return Failure(Verdict.NOT_RUN, rejected, detail)
    if settled is Settlement.NOT_WRITTEN:
        text = detail or "the log does not answer"
        return Failure(Verdict.NOT_RUN, Reason.LOG_UNAVAILABLE, text, RETRY_AFTER_S)
    text = "the log has not confirmed the record; read the state before trying again"
    return Failure(Verdict.MAY_HAVE_RUN, Reason.LOG_UNAVAILABLE, text, RETRY_AFTER_S)
