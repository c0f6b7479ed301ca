"""What each organisation has running beside its cap: pure over shapes."""

import math
from collections.abc import Iterator

from sablemount.jobs.model import JobSpec, Shape, SpecError, StepSpec

__all__ = ["NO_LIMIT", "Usage", "cap_fault", "places_within"]

NO_LIMIT = 1_000_000_000
"""Places where no cap binds."""


class Usage:
    """What the runs of each organisation take over all VMs.

    A run counts from before its start is sent until its end is certain.
    """

    def __init__(self) -> None:
        self._taken: dict[str, Shape] = {}

    def of(self, organisation: str) -> Shape:
        """Return what an organisation's runs take."""
        return self._taken.get(organisation, Shape())

    def take(self, organisation: str, shape: Shape, times: int = 1) -> None:
        """Add a shape a number of times, which is negative for what has ended."""
        if organisation:
            self._taken[organisation] = self.of(organisation).plus(shape, times)

    def organisations(self) -> list[str]:
        """Return the organisations that have run something."""
        return list(self._taken)


def places_within(shape: Shape, cap: Shape, taken: Shape, unseen: Shape, overage: float) -> int:
    """Return how many more tasks of a shape a cap leaves room for.

    What is known to be taken stays within the cap. What may run unseen may exceed it by the share
    ``overage``: nothing less can be told from it, and it is over soon.
    """
    found = NO_LIMIT
    for need, limit, known, hidden in _dimensions(shape, cap, taken, unseen):
        if not need or not limit:
            continue
        left = limit - known
        if hidden:
            left = min(left, math.floor(limit * (1.0 + overage)) - known - hidden)
        found = min(found, left // need)
    return max(0, found)


def _dimensions(*shapes: Shape) -> Iterator[tuple[int, ...]]:
    yield tuple(shape.cores for shape in shapes)
    yield tuple(shape.memory for shape in shapes)
    yield tuple(shape.accelerators for shape in shapes)


def cap_fault(spec: JobSpec, cap: Shape) -> SpecError | None:
    """Return what of a job a cap can never hold: a task alone, or a gang as a whole."""
    return next(_cap_faults(spec, cap), None)


def _cap_faults(spec: JobSpec, cap: Shape) -> Iterator[SpecError]:
    for number, step in enumerate(spec.steps):
        path = f"$.steps[{number}]"
        for field in ("cores", "memory", "accelerators"):
            if _exceeds(step, cap, field, 1):
                yield SpecError(f"{path}.shape.{field}", "more than the organisation's cap")
            elif step.gang and _exceeds(step, cap, field, step.count):
                yield SpecError(f"{path}.count", "a gang beyond the organisation's cap")


def _exceeds(step: StepSpec, cap: Shape, field: str, count: int) -> bool:
    limit: int = getattr(cap, field)
    need: int = getattr(step.shape, field)
    return 0 < limit < count * need
