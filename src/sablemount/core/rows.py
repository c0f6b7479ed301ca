"""Rows of the ledger, and the log entries that they come from."""

import msgspec

from sablemount.core import documents
from sablemount.core.documents import Kind, TemplateDocument
from sablemount.core.image import TaskImage
from sablemount.core.records import Record, Writer

__all__ = ["Applied", "DocumentRow", "LogEntry", "TaskRow", "task_name"]


class LogEntry(msgspec.Struct, frozen=True):
    """One entry as the log service returns it; ``time`` is the log's own clock in seconds."""

    offset: int
    time: float
    payload: bytes


class Applied(msgspec.Struct, frozen=True):
    """What the fold made of one record; ``error`` is empty for an accepted one."""

    offset: int
    writer: Writer
    record: Record
    error: str

    @property
    def accepted(self) -> bool:
        """Tell whether the record took effect."""
        return not self.error


class DocumentRow(msgspec.Struct, frozen=True):
    """A document in force."""

    document: documents.Document
    revision: int
    author: str
    offset: int


class TaskRow:
    """One accepted task, or one replica of a service."""

    __slots__ = (
        "accepted_at",
        "cancelled",
        "intent",
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
        self.intent = 0
        self.cancelled = False
        self.verdict: str = ""
        self.reason = ""

    @property
    def finished(self) -> bool:
        """Tell whether the outcome is recorded."""
        return bool(self.verdict)

    @property
    def service(self) -> bool:
        """Tell whether this is a replica of a long-running service."""
        return self.template.kind is Kind.SERVICE

    def image(self) -> TaskImage:
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
            self.intent,
            self.cancelled,
            self.verdict,
            self.reason,
        )

    @classmethod
    def from_image(cls, image: TaskImage) -> "TaskRow":
        """Return the row that an image was taken of."""
        row = cls(image.task, image.job, image.template, image.revision)
        row.shard = image.shard
        row.position = image.position
        row.parameters = image.parameters
        row.accepted_at = image.accepted_at
        row.intent = image.intent
        row.cancelled = image.cancelled
        row.verdict = image.verdict
        row.reason = image.reason
        return row


def task_name(job: str, position: int, total: int) -> str:
    """Return the name of one task of a job."""
    return job if total == 1 else f"{job}.{position}"
