"""The HTTP application for everything but the request path.

It covers jobs, tasks, documents, VMs, shards, members, the burn report, health and metrics.
"""

import msgspec
from result import Err, Ok
from tornado import web

from sablemount.adapters.ending_server import GracefulServer, final_response
from sablemount.core import events
from sablemount.core.documents import Document, Name, Scalar, document_key
from sablemount.core.verdict import Failure, Reason, Verdict
from sablemount.entry import views
from sablemount.entry.answers import VERDICT_HEADER, failure_body, http_status
from sablemount.entry.handler import Handler, RequestRejected
from sablemount.entry.requests import EntryDelegate
from sablemount.report import burn_part
from sablemount.runtime import Runtime

__all__ = ["make_server"]

NOT_FOUND = 404
CREATED = 201
UNAVAILABLE = 503


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a job submission."""

    template: str
    job: Name | None = None
    count: int = 1
    parameters: dict[str, Scalar] = {}
    deadline_seconds: float | None = None


class JobView(msgspec.Struct, frozen=True):
    """Response to an accepted job submission."""

    job: str
    count: int


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a publication; ``expected`` is the revision that it replaces, 0 for none."""

    document: Document
    expected: int = 0
    author: str = "unknown"


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request to drain a VM, or to end its drain."""

    drain: bool = True


class ConflictBody(msgspec.Struct, frozen=True):
    """Response to a publication whose expected revision is outdated; ``current`` is the newest."""

    verdict: Verdict
    reason: Reason
    detail: str
    request: str
    current: views.DocumentView | None


class JobsHandler(Handler):
    """Submits jobs."""

    async def post(self) -> None:
        """Submit a job; the response is sent once the job is recorded in the log."""
        body = self.decode(JobBody)
        job = body.job or self.runtime.new_id()
        token = self.runtime.new_id()
        event = events.JobSubmitted(
            token,
            job,
            body.template,
            body.count,
            body.parameters,
            self.deadline(body.deadline_seconds),
        )
        result = await self.runtime.run_command(event, token)
        if isinstance(result, Err):
            self.fail(result.err_value)
        else:
            self.reply(JobView(job, body.count), CREATED)


class TasksHandler(Handler):
    """Lists tasks."""

    def get(self) -> None:
        """Return the tasks of the given job, or else all unfinished tasks."""
        job = self.get_query_argument("job", "")
        scheduler = self.runtime.scheduler
        rows = scheduler.state.ledger.tasks.values()
        selected = [row for row in rows if (row.job == job if job else not row.finished)]
        self.reply([views.task_view(scheduler, row) for row in selected])


class TaskHandler(Handler):
    """Shows and cancels a task."""

    def get(self, task: str) -> None:
        """Return one task."""
        scheduler = self.runtime.scheduler
        row = scheduler.state.ledger.tasks.get(task)
        if row is None:
            raise web.HTTPError(NOT_FOUND, reason="no such task")
        self.reply(views.task_view(scheduler, row))

    async def delete(self, task: str) -> None:
        """Cancel one task."""
        token = self.runtime.new_id()
        event = events.CancelRequested(token, task, self.deadline(None))
        result = await self.runtime.run_command(event, token)
        if isinstance(result, Err):
            self.fail(result.err_value)
        else:
            self.get(task)


class DocumentsHandler(Handler):
    """Lists documents."""

    def get(self) -> None:
        """Return the current revision of all documents."""
        self.reply(views.document_views(self.runtime.scheduler))


class DocumentHandler(Handler):
    """Shows and publishes one document."""

    def get(self, key: str) -> None:
        """Return the current revision of one document."""
        view = self._current_view(key)
        if view is None:
            raise web.HTTPError(NOT_FOUND, reason="no such document")
        self.reply(view)

    def _current_view(self, key: str) -> views.DocumentView | None:
        row = self.runtime.scheduler.state.ledger.documents.get(key)
        return views.document_view(key, row) if row else None

    async def put(self, key: str) -> None:
        """Publish a document if the revision that it replaces is current."""
        body = self.decode(PublishBody)
        if document_key(body.document) != key:
            detail = f"$.document: is {document_key(body.document)!r}, the path says {key!r}"
            raise RequestRejected(Failure(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
        token = self.runtime.new_id()
        event = events.PublishRequested(
            token, body.document, body.expected, body.author, self.deadline(None)
        )
        result = await self.runtime.run_command(event, token)
        if isinstance(result, Ok):
            self.reply(self._current_view(key))
        elif result.err_value.reason is Reason.CONFLICT:
            self._reply_conflict(key, result.err_value)
        else:
            self.fail(result.err_value)

    def _reply_conflict(self, key: str, failure: Failure) -> None:
        self.set_header(VERDICT_HEADER, failure.verdict.value)
        body = ConflictBody(
            failure.verdict,
            failure.reason,
            failure.detail,
            self.request_id,
            self._current_view(key),
        )
        self.reply(body, http_status(failure))


class VmsHandler(Handler):
    """Lists VMs."""

    def get(self) -> None:
        """Return all VMs."""
        self.reply(views.vm_views(self.runtime.scheduler))


class DrainHandler(Handler):
    """Drains a VM or ends its drain."""

    async def post(self, vm: str) -> None:
        """Stop or resume placing new work on a VM."""
        body = self.decode(DrainBody)
        token = self.runtime.new_id()
        event = events.DrainRequested(token, vm, body.drain, self.deadline(None))
        result = await self.runtime.run_command(event, token)
        if isinstance(result, Err):
            self.fail(result.err_value)
        else:
            self.reply(body)


class ShardsHandler(Handler):
    """Lists shards."""

    def get(self) -> None:
        """Return all shards."""
        self.reply(views.shard_views(self.runtime.scheduler))


class MembersHandler(Handler):
    """Lists members."""

    def get(self) -> None:
        """Return all members."""
        self.reply(views.member_views(self.runtime.scheduler))


class BurnHandler(Handler):
    """Reports this scheduler's part of the burn report."""

    def get(self) -> None:
        """Return the counts from which the burn report is computed."""
        runtime = self.runtime
        self.reply(burn_part(runtime.scheduler.state, runtime.meter.counters, runtime.burn_history))


class HealthHandler(Handler):
    """Liveness probe."""

    def get(self) -> None:
        """Return 200 as long as the process runs."""
        self.reply({"status": "ok"})


class ReadyHandler(Handler):
    """Readiness probe for the load balancer."""

    def get(self) -> None:
        """Return 200 if this scheduler may receive callers' requests, else 503."""
        state = self.runtime.scheduler.state
        ready = state.ready and not state.stopping
        self.reply({"ready": ready, "offset": state.ledger.offset}, 200 if ready else UNAVAILABLE)


class MetricsHandler(Handler):
    """Serves the metrics."""

    def get(self) -> None:
        """Return the metrics in a format that the client accepts."""
        accepted_types = self.request.headers.get_list("Accept")
        body, headers = self.runtime.meter.render_metrics(self.runtime.scheduler, accepted_types)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class UnknownHandler(Handler):
    """Handles paths that match no route."""

    def prepare(self) -> None:
        """Raise 404."""
        raise web.HTTPError(NOT_FOUND, reason="no such path")


SCHEDULER_STOPPED = Failure(Verdict.NOT_RUN, Reason.STOPPING, "the scheduler has stopped")
"""Failure in the final response on each connection when the HTTP server shuts down."""


def make_server(runtime: Runtime) -> GracefulServer:
    """Return the HTTP server of a scheduler; it is not listening yet."""
    shared = {"runtime": runtime}
    routes = [
        (r"/v1/jobs", JobsHandler),
        (r"/v1/tasks", TasksHandler),
        (r"/v1/tasks/(.+)", TaskHandler),
        (r"/v1/documents", DocumentsHandler),
        (r"/v1/documents/(.+)", DocumentHandler),
        (r"/v1/vms", VmsHandler),
        (r"/v1/vms/([^/]+)/drain", DrainHandler),
        (r"/v1/shards", ShardsHandler),
        (r"/v1/members", MembersHandler),
        (r"/v1/burn", BurnHandler),
        (r"/healthz", HealthHandler),
        (r"/readyz", ReadyHandler),
        (r"/metrics", MetricsHandler),
    ]
    application = web.Application(
        [(pattern, handler, shared) for pattern, handler in routes],
        default_handler_class=UnknownHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )
    delegate = EntryDelegate(runtime, application)
    return GracefulServer(
        delegate,  # type: ignore[arg-type]
        max_body_size=runtime.settings.limits.max_body_bytes,
        final=final_response(
            failure_body(SCHEDULER_STOPPED, ""), {VERDICT_HEADER: SCHEDULER_STOPPED.verdict.value}
        ),
    )
