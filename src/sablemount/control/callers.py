"""Handling of callers' requests by the leader."""

import asyncio
import logging
from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.commit_loop import CommitLoop
from sablemount.control.messages import (
    CallerCall,
    CallerReply,
    Operation,
    Outcome,
    not_taken_reply,
    unserved_reply,
    version_mismatch_reply,
)
from sablemount.jobs.caps import cap_error
from sablemount.jobs.model import Configuration, JobSpec, Queue, QueueTable, SpecError, check_spec
from sablemount.jobs.scheduler import JobScheduler, Submission
from sablemount.jobs.systems.unserved import UnservedStep
from sablemount.jobs.tables import JobRow, JobState

__all__ = ["CallerService"]

ACCEPT_TIMEOUT_S = 1.5
"""Time after which a caller is answered that its job may have been accepted."""
STORE_POLL_INTERVAL_S = 0.1
"""Interval of checking whether a job that was not yet sent to the store has to be refused."""
MAX_NAME_LENGTH = 64
"""Maximum length of a job's name; the platform's names have 16 characters."""
MAX_LOGGED_LABEL = 64
"""Longest part of a caller's label that is logged, in characters."""
STORE_SILENT = "the store has not answered"
NO_JOB = "no such job"
CANCELLED_BEFORE = "its cancelling was acknowledged before it came"
NO_MEMORY = "the accepted jobs hold all memory"

_logger = logging.getLogger("sablemount.control.callers")


class CallerService:
    """Answers callers' requests for one leadership.

    ``has_authority`` returns whether this process has the authority to lead, and ``confirmed``
    whether the store has recently confirmed it: without that, another leader may have accepted jobs
    that are not known here. ``wake`` lets the scheduler act on a change.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        commits: CommitLoop,
        has_authority: Callable[[], bool],
        confirmed: Callable[[], bool],
        wake: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._commits = commits
        self._has_authority = has_authority
        self._confirmed = confirmed
        self._wake = wake
        self._configuration = Configuration()
        self._queues = QueueTable(())
        """The queues of ``_configuration``."""

    def _queues_of(self, configuration: Configuration) -> QueueTable:
        if configuration is not self._configuration:
            self._configuration = configuration
            self._queues = QueueTable(configuration.queues)
        return self._queues

    async def serve(self, call: CallerCall) -> CallerReply:
        """Answer a caller's request."""
        if not self._has_authority():
            return not_taken_reply("the leader is not sure that it leads", changing=True)
        configuration = self._scheduler.state.configuration
        if configuration.version < 0:
            return not_taken_reply("no configuration yet", changing=True)
        if call.version != configuration.version:
            return version_mismatch_reply(configuration.version)
        queue = self._queues_of(configuration).find(call.host, call.path)
        if queue is None:
            return CallerReply(Outcome.NO_QUEUE, reason="no queue at this host and prefix")
        name = call.path[len(queue.prefix) :]
        if call.operation is Operation.SUBMIT:
            return await self._submit(queue, name, call)
        if not name:
            return CallerReply(
                Outcome.DONE, waiting=self._scheduler.count_waiting_jobs(queue.terms.name)
            )
        if self._is_hidden(name, queue, call):
            return self._no_job()
        if call.operation is Operation.CANCEL:
            return await self._cancel(name, call.organisation)
        return self._state(name)

    def _is_hidden(self, name: str, queue: Queue, call: CallerCall) -> bool:
        """Return whether a job is hidden from a caller because another organisation owns it."""
        job = self._scheduler.state.jobs.get(name)
        if job is None or job.organisation in ("", call.organisation):
            return False
        return not (job.public and queue.public)

    def _state(self, name: str) -> CallerReply:
        job = self._scheduler.state.jobs.get(name)
        if job is None or not job.durable:
            return self._no_job()
        return CallerReply(Outcome.DONE, state=job.visible_state.name.lower())

    def _no_job(self) -> CallerReply:
        if not self._confirmed():
            return not_taken_reply(STORE_SILENT)
        return CallerReply(Outcome.NO_JOB, reason=NO_JOB)

    # -- Submissions -------------------------------------------------------------------------

    async def _submit(self, queue: Queue, name: str, call: CallerCall) -> CallerReply:
        spec = call.spec
        error = _spec_error(name, spec)
        if spec is None or error is not None:
            error = error or SpecError("$", "no job")
            return CallerReply(Outcome.INVALID, path=error.path, reason=error.reason)
        if self._is_hidden(name, queue, call):
            return CallerReply(Outcome.NAME_TAKEN, reason="the name is not available")
        known = self._scheduler.state.jobs.get(name)
        if known is None:
            error = self._scheduler.record_size_error(name, queue, spec, call.organisation)
            error = error or self._cap_error(call.organisation, spec)
            if error is not None:
                return CallerReply(Outcome.INVALID, path=error.path, reason=error.reason)
            retry_after = self._scheduler.refusal_for_memory(name, queue, spec, call.organisation)
            if retry_after is not None:
                self._log_no_memory(name, queue, retry_after)
                return not_taken_reply(NO_MEMORY, retry_after=retry_after)
        if self._commits.is_store_silent():
            refusal = _refusal_while_silent(known)
            if refusal is not None:
                return refusal
        self._scheduler.update_time()
        unserved = self._scheduler.find_unserved_step(queue, spec) if known is None else None
        if unserved is not None:
            self._log_unserved(name, queue, spec, unserved)
            return unserved_reply(unserved.path, unserved.reason)
        submission = self._scheduler.submit(name, queue, spec, call.organisation)
        if submission is Submission.KNOWN:
            self._log("job known", name, queue)
            return CallerReply(Outcome.DONE, state="known")
        if submission is Submission.CANCELLED:
            self._log("job cancelled before it came", name, queue)
            # Its caller wants it no more: there is no time to come back at.
            return not_taken_reply(CANCELLED_BEFORE, retry_after=0.0)
        self._wake()
        return await self._wait_for_acceptance(name, queue)

    def _cap_error(self, name: str, spec: JobSpec) -> SpecError | None:
        """Return the error for a job of which a part can never fit into its organisation's cap."""
        organisation = self._scheduler.state.organisations.get(name)
        return None if organisation is None else cap_error(spec, organisation.cap)

    async def _wait_for_acceptance(self, name: str, queue: Queue) -> CallerReply:
        recorded = self._commits.when_recorded()
        deadline = monotonic() + ACCEPT_TIMEOUT_S
        while not recorded.done() and monotonic() < deadline:
            await asyncio.wait([recorded], timeout=STORE_POLL_INTERVAL_S)
            if self._commits.is_store_silent() and self._scheduler.withdraw(name):
                return not_taken_reply("the store does not answer")
        job = self._scheduler.state.jobs.get(name)
        if job is not None and job.durable:
            self._log("job accepted", name, queue)
            return CallerReply(Outcome.DONE)
        if self._scheduler.withdraw(name):
            return not_taken_reply("the store does not answer", changing=not self._has_authority())
        self._log("job uncertain", name, queue)
        return self._unknown_outcome()

    def _log(self, text: str, name: str, queue: Queue) -> None:
        epoch = self._scheduler.state.epoch
        _logger.info(text, extra={"job": name, "queue": queue.terms.name, "epoch": epoch})

    def _log_no_memory(self, name: str, queue: Queue, retry_after: float) -> None:
        admission = self._scheduler.lifecycle.admission
        extra = {
            "job": name,
            "queue": queue.terms.name,
            "held_bytes": admission.held_bytes,
            "limit_bytes": admission.limit,
            "retry_after": round(retry_after, 1),
            "epoch": self._scheduler.state.epoch,
        }
        _logger.info("no memory for job", extra=extra)

    def _log_unserved(self, name: str, queue: Queue, spec: JobSpec, step: UnservedStep) -> None:
        extra = {
            "job": name,
            "queue": queue.terms.name,
            "pool": queue.terms.pool,
            "step": step.number,
            "bound": step.bound.value,
            "label": spec.steps[step.number].label[:MAX_LOGGED_LABEL],
            "needed": step.needed,
            "offered": step.offered,
            "vms": step.vms,
            "known_ago": round(step.known_ago, 3),
            "epoch": self._scheduler.state.epoch,
        }
        _logger.info("no VM can run job", extra=extra)

    def _unknown_outcome(self) -> CallerReply:
        """Return the answer to a request that may be stored; a later leader knows the outcome."""
        return CallerReply(Outcome.UNKNOWN, reason=STORE_SILENT, changing=not self._has_authority())

    # -- Cancellations -----------------------------------------------------------------------

    async def _cancel(self, name: str, organisation: str) -> CallerReply:
        self._scheduler.update_time()
        job = self._scheduler.cancel(name)
        if job is None:
            return await self._cancel_unknown(name, organisation)
        self._wake()
        if job.visible_state is not JobState.CANCELLED and not job.visible_state.is_final:
            await asyncio.wait([self._commits.when_recorded()], timeout=ACCEPT_TIMEOUT_S)
        if not job.visible_state.is_final:
            return self._unknown_outcome()
        _logger.info("job cancelled", extra={"job": name, "state": job.visible_state.name.lower()})
        return CallerReply(Outcome.DONE, state=job.visible_state.name.lower())

    async def _cancel_unknown(self, name: str, organisation: str) -> CallerReply:
        """Cancel a job that is not known: its submission may still be on its way.

        The answer waits until the store holds the cancellation, which the next leader must know.
        """
        reply = self._no_job()
        if reply.outcome is not Outcome.NO_JOB or not _is_name(name):
            return reply
        if not self._scheduler.cancellations.add(name, organisation):
            return not_taken_reply("too many cancellations of unknown jobs")
        self._wake()
        recorded = self._commits.when_recorded()
        await asyncio.wait([recorded], timeout=ACCEPT_TIMEOUT_S)
        if not recorded.done() or recorded.cancelled():
            return self._unknown_outcome()
        extra = {"job": name, "epoch": self._scheduler.state.epoch}
        _logger.info("unknown job cancelled", extra=extra)
        return reply


def _is_name(name: str) -> bool:
    """Return whether a job may have this name."""
    return 0 < len(name) <= MAX_NAME_LENGTH and name.isascii() and name.isalnum()


def _spec_error(name: str, spec: JobSpec | None) -> SpecError | None:
    if not _is_name(name):
        return SpecError("$.id", "not a name of a job")
    return None if spec is None else check_spec(spec)


def _refusal_while_silent(known: JobRow | None) -> CallerReply | None:
    """Return the refusal of a submission while the store is silent, ``None`` for a stored job."""
    if known is None:
        return not_taken_reply("the store does not answer")
    if not known.durable:
        return CallerReply(Outcome.UNKNOWN, reason=STORE_SILENT)
    return None
