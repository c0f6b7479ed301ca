"""Documents that operators publish: templates and organisation limits.

A document is immutable. Its revision is kept by the ledger and is not part of the document.
"""

import enum
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

__all__ = [
    "PRIORITY_RANK",
    "Document",
    "Kind",
    "Name",
    "Objective",
    "OrganisationDocument",
    "Preferences",
    "PriorityClass",
    "Quota",
    "Shape",
    "TemplateDocument",
    "bind_parameters",
    "check_document",
    "document_key",
]

MAX_CORES = 1024
MAX_MEMORY_MB = 16 * 1024 * 1024
MAX_ACCELERATORS = 64
MAX_SLOTS = 1024
MAX_REPLICAS = 10_000

Name: TypeAlias = Annotated[
    str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$", description="lower case, digits and dashes")
]
Scalar: TypeAlias = str | int | float | bool


class PriorityClass(enum.StrEnum):
    """Priority classes, from the highest to the lowest."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"
    SPARE = "spare"


PRIORITY_RANK: dict[PriorityClass, int] = {name: rank for rank, name in enumerate(PriorityClass)}
"""Rank of each priority class; 0 is the highest."""


class Kind(enum.StrEnum):
    """Kind of work that a template describes."""

    REQUEST = "request"
    TASK = "task"
    SERVICE = "service"


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources that one task or request holds while it runs."""

    cores: Annotated[int, Meta(ge=0, le=MAX_CORES)] = 0
    memory_mb: Annotated[int, Meta(ge=0, le=MAX_MEMORY_MB)] = 0
    accelerators: Annotated[int, Meta(ge=0, le=MAX_ACCELERATORS)] = 0
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)] = 0

    def fits_within(self, other: "Shape") -> bool:
        """Return whether this shape fits within another one."""
        return (
            self.cores <= other.cores
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
        )

    def plus(self, other: "Shape") -> "Shape":
        """Return the sum of two shapes."""
        return Shape(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def throttled(self) -> "Shape":
        """Return the shape of a throttled run: half the cores and everything else unchanged."""
        return Shape(max(1, self.cores // 2), self.memory_mb, self.accelerators, self.slots)


class Preferences(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where work is to run.

    Data halls are preferred, or with ``required`` the only ones allowed. ``spread`` distributes the
    tasks of a job over data halls and racks.
    """

    halls: tuple[str, ...] = ()
    required: bool = False
    spread: bool = False


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective: a fraction ``target`` of the work starts in ``within`` seconds."""

    target: Annotated[float, Meta(gt=0, lt=1)] = 0.99
    within: Annotated[float, Meta(gt=0)] = 1.0


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hard limits on what an organisation's tasks hold at a time; ``None`` means no limit."""

    cores: Annotated[int, Meta(ge=0)] | None = None
    accelerators: Annotated[int, Meta(ge=0)] | None = None


class TemplateDocument(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="template", tag_field="type"
):
    """Template for the requests, tasks or replicas of one kind of work of an organisation."""

    organisation: Name
    name: Name
    kind: Kind
    priority: PriorityClass
    shape: Shape
    preferences: Preferences = Preferences()
    objective: Objective = Objective()
    repeatable: bool = True
    checkpointable: bool = False
    replicas: Annotated[int, Meta(ge=0, le=MAX_REPLICAS)] = 0
    expected_seconds: Annotated[float, Meta(gt=0)] = 1.0
    parameters: dict[str, Scalar] = {}


class OrganisationDocument(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="organisation", tag_field="type"
):
    """Limits and weight of one organisation."""

    organisation: Name
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    quota: Quota = Quota()
    requests_per_second: Annotated[float, Meta(gt=0)] | None = None
    concurrency: Annotated[int, Meta(gt=0)] | None = None


Document: TypeAlias = TemplateDocument | OrganisationDocument


def document_key(document: Document) -> str:
    """Return the key under which a document is published."""
    if isinstance(document, TemplateDocument):
        return f"{document.organisation}/{document.name}"
    return document.organisation


def check_document(document: Document) -> str:
    """Return the path and the reason of an error in a well-formed document, or ``""``."""
    if not isinstance(document, TemplateDocument):
        return ""
    if document.kind is Kind.REQUEST and document.shape != Shape(slots=1):
        return "$.shape: a request holds one slot and nothing else"
    if document.kind is not Kind.REQUEST and not document.shape.cores:
        return "$.shape.cores: a task or service holds at least 1 core"
    if document.kind is Kind.SERVICE and not document.repeatable:
        return "$.repeatable: a service is started again when a VM fails, so it must be repeatable"
    if document.kind is not Kind.SERVICE and document.replicas:
        return "$.replicas: only a service has replicas"
    return ""


def bind_parameters(
    template: TemplateDocument, overrides: dict[str, Scalar]
) -> Result[dict[str, Scalar], str]:
    """Return the template's parameters updated with the overrides, or an error message."""
    bound = dict(template.parameters)
    for name, value in overrides.items():
        if name not in bound:
            return Err(f"$.parameters.{name}: unknown parameter; allowed: {sorted(bound)}")
        if type(value) is not type(bound[name]):
            expected = type(bound[name]).__name__
            return Err(f"$.parameters.{name}: expected {expected}, got {value!r}")
        bound[name] = value
    return Ok(bound)
