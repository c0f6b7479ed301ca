"""Usage and caps of organisations, computed from shapes without I/O."""

import math
from collections.abc import Iterator

from sablemount.jobs.model import JobSpec, Shape, SpecError, StepSpec

__all__ = ["NO_LIMIT", "Usage", "cap_error", "remaining_places"]

NO_LIMIT = 1_000_000_000
"""Number of places where no cap applies."""


class Usage:
    """What the runs of each organisation use over all VMs.

    A run counts from before its start is sent until it is known to be over.
    """

    def __init__(self) -> None:
        self._usage: dict[str, Shape] = {}

    def of(self, organisation: str) -> Shape:
        """Return what an organisation's runs use."""
        return self._usage.get(organisation, Shape())

    def add(self, organisation: str, shape: Shape, times: int = 1) -> None:
        """Add a shape a number of times; the number is negative for runs that are over."""
        if organisation:
            self._usage[organisation] = self.of(organisation).plus(shape, times)

    def organisations(self) -> list[str]:
        """Return the organisations that have run something."""
        return list(self._usage)


def remaining_places(shape: Shape, cap: Shape, taken: Shape, unseen: Shape, overage: float) -> int:
    """Return how many more tasks of a shape a cap allows.

    The known usage (``taken``) stays within the cap. Runs that may exist without having been seen
    (``unseen``) may exceed it by the share ``overage``: they can't be counted more precisely, and
    will soon be over.
    """
    places = NO_LIMIT
    for need, limit, known, possible in _dimensions(shape, cap, taken, unseen):
        if not need or not limit:
            continue
        remaining = limit - known
        if possible:
            remaining = min(remaining, math.floor(limit * (1.0 + overage)) - known - possible)
        places = min(places, remaining // need)
    return max(0, places)


def _dimensions(*shapes: Shape) -> Iterator[tuple[int, ...]]:
    yield tuple(shape.cores for shape in shapes)
    yield tuple(shape.memory for shape in shapes)
    yield tuple(shape.accelerators for shape in shapes)


def cap_error(spec: JobSpec, cap: Shape) -> SpecError | None:
    """Return which part of a job a cap can never hold: a single task, or an entire gang."""
    return next(_cap_errors(spec, cap), None)


def _cap_errors(spec: JobSpec, cap: Shape) -> Iterator[SpecError]:
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
