"""The documents of two organisations that the demo and the benchmarks publish."""

from sablemount.core.documents import (
    Document,
    Kind,
    Objective,
    OrganisationDocument,
    Preferences,
    PriorityClass,
    Quota,
    Shape,
    TemplateDocument,
)

__all__ = ["demo_documents"]

RUEDA = "rueda-andina"
YARD = "yard-jobs"


def demo_documents() -> list[Document]:
    """Return the documents of both organisations, in order of publication."""
    return [
        OrganisationDocument(RUEDA, weight=2.0, quota=Quota(cores=128)),
        OrganisationDocument(YARD, weight=1.0, quota=Quota(cores=96)),
        TemplateDocument(
            RUEDA,
            "quote",
            Kind.REQUEST,
            PriorityClass.URGENT,
            Shape(slots=1),
            objective=Objective(0.99, 0.05),
            parameters={"zone": "laureles"},
        ),
        TemplateDocument(
            RUEDA,
            "route-plan",
            Kind.TASK,
            PriorityClass.BATCH,
            Shape(cores=4, memory_mb=8192),
            checkpointable=True,
            objective=Objective(0.95, 30.0),
            expected_seconds=2.0,
            parameters={"shift": "morning"},
        ),
        TemplateDocument(
            RUEDA,
            "dispatch",
            Kind.SERVICE,
            PriorityClass.STANDARD,
            Shape(cores=2, memory_mb=4096),
            preferences=Preferences(spread=True),
            replicas=4,
        ),
        TemplateDocument(
            YARD,
            "shelf-lookup",
            Kind.REQUEST,
            PriorityClass.URGENT,
            Shape(slots=1),
            objective=Objective(0.99, 0.05),
        ),
        TemplateDocument(
            YARD,
            "transfer",
            Kind.TASK,
            PriorityClass.BATCH,
            Shape(cores=2, memory_mb=4096),
            repeatable=False,
            expected_seconds=1.0,
        ),
    ]
