"""Template documents that several tests use."""

from sablemount.core.documents import Kind, PriorityClass, Shape, TemplateDocument

QUOTE = TemplateDocument("rueda", "quote", Kind.REQUEST, PriorityClass.URGENT, Shape(slots=1))
STOCK = TemplateDocument(
    "yard", "stock", Kind.REQUEST, PriorityClass.STANDARD, Shape(slots=1), repeatable=False
)
PLAN = TemplateDocument(
    "rueda", "plan", Kind.TASK, PriorityClass.BATCH, Shape(cores=4), expected_seconds=4.0
)
LONG = TemplateDocument(
    "rueda", "long", Kind.TASK, PriorityClass.BATCH, Shape(cores=4), expected_seconds=60.0
)
WIDE = TemplateDocument(
    "yard", "wide", Kind.TASK, PriorityClass.BATCH, Shape(cores=12), expected_seconds=8.0
)
TRANSFER = TemplateDocument(
    "yard",
    "transfer",
    Kind.TASK,
    PriorityClass.BATCH,
    Shape(cores=2),
    repeatable=False,
    expected_seconds=20.0,
)
RUSH = TemplateDocument(
    "rueda", "rush", Kind.TASK, PriorityClass.URGENT, Shape(cores=16), expected_seconds=2.0
)
ALL_DOCUMENTS = [QUOTE, STOCK, PLAN, LONG, WIDE, TRANSFER, RUSH]
