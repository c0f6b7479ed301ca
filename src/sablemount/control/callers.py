"""The leader's answers to callers' requests."""

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
    not_taken,
    other_version,
)
from sablemount.jobs.caps import cap_fault
from sablemount.jobs.model import Configuration, JobSpec, Queue, QueueTable, SpecError, check_spec
from sablemount.jobs.scheduler import JobScheduler, Submission
from sablemount.jobs.tables import JobRow, JobState

__all__ = ["Callers"]

ACCEPT_TIMEOUT = 1.5
"""Seconds after which a caller is told that its job may have been accepted."""
STUCK_POLL = 0.1
"""Seconds between looks at whether a job that was not sent yet has to be refused."""
MAX_NAME = 64
"""Characters of a job's name at most; the platform's have 16."""
STORE_SILENT = "the store has not answered"
NO_JOB = "no such job"

_logger = logging.getLogger("sablemount.control.callers")


class Callers:
    """Serves callers.

    ``sure`` tells whether this process may give orders, and ``confirmed`` whether the store has
    said so of late: without that, another leader may know jobs that are not known here.
    """

    def __init__(
        self,
        scheduler: JobScheduler,
        commits: CommitLoop,
        sure: Callable[[], bool],
        confirmed: Callable[[], bool],
        kick: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._commits = commits
        self._sure = sure
        self._confirmed = confirmed
        self._kick = kick
        self._configuration = Configuration()
        self._queues = QueueTable(())
        """Its queues."""

    def _queues_of(self, configuration: Configuration) -> QueueTable:
        if configuration is not self._configuration:
            self._configuration = configuration
            self._queues = QueueTable(configuration.queues)
        return self._queues

    async def serve(self, call: CallerCall) -> CallerReply:
        """Answer a caller's request."""
        if not self._sure():
            return not_taken("the leader is not sure that it leads", changing=True)
        configuration = self._scheduler.state.configuration
        if configuration.version < 0:
            return not_taken("no configuration yet", changing=True)
        if call.version != configuration.version:
            return other_version(configuration.version)
        queue = self._queues_of(configuration).find(call.host, call.path)
        if queue is None:
            return CallerReply(Outcome.NO_QUEUE, reason="no queue at this host and prefix")
        name = call.path[len(queue.prefix) :]
        if call.operation is Operation.SUBMIT:
            return await self._submit(queue, name, call)
        if not name:
            return CallerReply(Outcome.DONE, waiting=self._scheduler.waiting(queue.terms.name))
        if self._hidden(name, queue, call):
            return self._no_job()
        if call.operation is Operation.CANCEL:
            return await self._cancel(name)
        return self._state(name)

    def _hidden(self, name: str, queue: Queue, call: CallerCall) -> bool:
        """Tell whether a job is as good as unknown to a caller: it is another organisation's."""
        job = self._scheduler.state.jobs.get(name)
        if job is None or job.organisation in ("", call.organisation):
            return False
        return not (job.public and queue.public)

    def _state(self, name: str) -> CallerReply:
        job = self._scheduler.state.jobs.get(name)
        if job is None or not job.durable:
            return self._no_job()
        return CallerReply(Outcome.DONE, state=job.shown.name.lower())

    def _no_job(self) -> CallerReply:
        if not self._confirmed():
            return not_taken(STORE_SILENT)
        return CallerReply(Outcome.NO_JOB, reason=NO_JOB)

    # -- Submissions -------------------------------------------------------------------------

    async def _submit(self, queue: Queue, name: str, call: CallerCall) -> CallerReply:
        spec = call.spec
        fault = _fault(name, spec)
        if spec is None or fault is not None:
            fault = fault or SpecError("$", "no job")
            return CallerReply(Outcome.INVALID, path=fault.path, reason=fault.reason)
        if self._hidden(name, queue, call):
            return CallerReply(Outcome.NAME_TAKEN, reason="the name is not available")
        known = self._scheduler.state.jobs.get(name)
        if known is None:
            fault = self._scheduler.record_fault(name, queue, spec, call.organisation)
            fault = fault or self._beyond_cap(call.organisation, spec)
            if fault is not None:
                return CallerReply(Outcome.INVALID, path=fault.path, reason=fault.reason)
        if self._commits.stuck():
            refusal = _refusal(known)
            if refusal is not None:
                return refusal
        self._scheduler.now()
        if self._scheduler.submit(name, queue, spec, call.organisation) is Submission.KNOWN:
            self._tell("job known", name, queue)
            return CallerReply(Outcome.DONE, state="known")
        self._kick()
        return await self._accepted(name, queue)

    def _beyond_cap(self, name: str, spec: JobSpec) -> SpecError | None:
        """Return what of a job its organisation's cap can never hold."""
        organisation = self._scheduler.state.organisations.get(name)
        return None if organisation is None else cap_fault(spec, organisation.cap)

    async def _accepted(self, name: str, queue: Queue) -> CallerReply:
        noted = self._commits.noted()
        last = monotonic() + ACCEPT_TIMEOUT
        while not noted.done() and monotonic() < last:
            await asyncio.wait([noted], timeout=STUCK_POLL)
            if self._commits.stuck() and self._scheduler.withdraw(name):
                return not_taken("the store does not answer")
        job = self._scheduler.state.jobs.get(name)
        if job is not None and job.durable:
            self._tell("job accepted", name, queue)
            return CallerReply(Outcome.DONE)
        if self._scheduler.withdraw(name):
            return not_taken("the store does not answer", changing=not self._sure())
        self._tell("job uncertain", name, queue)
        return self._unknown()

    def _tell(self, text: str, name: str, queue: Queue) -> None:
        epoch = self._scheduler.state.epoch
        _logger.info(text, extra={"job": name, "queue": queue.terms.name, "epoch": epoch})

    def _unknown(self) -> CallerReply:
        """Return the answer to what may be in the store; a later leader can tell."""
        return CallerReply(Outcome.UNKNOWN, reason=STORE_SILENT, changing=not self._sure())

    # -- Cancellations -----------------------------------------------------------------------

    async def _cancel(self, name: str) -> CallerReply:
        self._scheduler.now()
        job = self._scheduler.cancel(name)
        if job is None:
            return self._no_job()
        self._kick()
        if job.shown is not JobState.CANCELLED and not job.shown.final:
            await asyncio.wait([self._commits.noted()], timeout=ACCEPT_TIMEOUT)
        if not job.shown.final:
            return self._unknown()
        _logger.info("job cancelled", extra={"job": name, "state": job.shown.name.lower()})
        return CallerReply(Outcome.DONE, state=job.shown.name.lower())


def _fault(name: str, spec: JobSpec | None) -> SpecError | None:
    if not (0 < len(name) <= MAX_NAME and name.isascii() and name.isalnum()):
        return SpecError("$.id", "not a name of a job")
    return None if spec is None else check_spec(spec)


def _refusal(known: JobRow | None) -> CallerReply | None:
    """Return the answer to a submission while the store is stuck; ``None`` if it is accepted."""
    if known is None:
        return not_taken("the store does not answer")
    if not known.durable:
        return CallerReply(Outcome.UNKNOWN, reason=STORE_SILENT)
    return None
