"""Rows of the ledger, and the log entries from which they are computed."""

import msgspec

from sablemount.core import documents
from sablemount.core.documents import Kind, TemplateDocument
from sablemount.core.image import TaskImage
from sablemount.core.records import Record, Writer

__all__ = ["AppliedRecord", "DocumentRow", "LogEntry", "TaskRow", "task_name"]


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the log; ``time`` is in seconds of the log service's clock."""

    offset: int
    time: float
    payload: bytes


class AppliedRecord(msgspec.Struct, frozen=True):
    """Result of applying one record; ``error`` is empty if the record was accepted."""

    offset: int
    writer: Writer
    record: Record
    error: str

    @property
    def accepted(self) -> bool:
        """Return whether the record took effect."""
        return not self.error


class DocumentRow(msgspec.Struct, frozen=True):
    """The current revision of a document."""

    document: documents.Document
    revision: int
    author: str
    offset: int


class TaskRow:
    """One accepted task, or one replica of a service.

    ``intent_epoch`` is the epoch in which the start of a non-repeatable task was announced, or 0.
    """

    __slots__ = (
        "accepted_at",
        "cancelled",
        "intent_epoch",
        "job",
        "parameters",
        "position",
        "reason",
        "revision",
        "shard",
        "task",
        "template",
        "verdict",
    )

    def __init__(self, task: str, job: str, template: TemplateDocument, revision: int) -> None:
        self.task = task
        self.job = job
        self.template = template
        self.revision = revision
        self.shard = 0
        self.position = 0
        self.parameters: dict[str, documents.Scalar] = {}
        self.accepted_at = 0.0
        self.intent_epoch = 0
        self.cancelled = False
        self.verdict: str = ""
        self.reason = ""

    @property
    def finished(self) -> bool:
        """Return whether the outcome has been recorded."""
        return bool(self.verdict)

    @property
    def is_service(self) -> bool:
        """Return whether this is a replica of a service."""
        return self.template.kind is Kind.SERVICE

    def to_image(self) -> TaskImage:
        """Return an immutable image of the row."""
        return TaskImage(
            self.task,
            self.job,
            self.template,
            self.revision,
            self.shard,
            self.position,
            self.parameters,
            self.accepted_at,
            self.intent_epoch,
            self.cancelled,
            self.verdict,
            self.reason,
        )

    @classmethod
    def from_image(cls, image: TaskImage) -> "TaskRow":
        """Restore a row from its image."""
        row = cls(image.task, image.job, image.template, image.revision)
        row.shard = image.shard
        row.position = image.position
        row.parameters = image.parameters
        row.accepted_at = image.accepted_at
        row.intent_epoch = image.intent
        row.cancelled = image.cancelled
        row.verdict = image.verdict
        row.reason = image.reason
        return row


def task_name(job: str, position: int, total: int) -> str:
    """Return the name of the task at a position of a job of ``total`` tasks."""
    return job if total == 1 else f"{job}.{position}"
