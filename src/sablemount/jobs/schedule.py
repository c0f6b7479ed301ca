"""The repetitions of a job that are still to be opened."""

from dataclasses import dataclass

from sablemount.jobs.model import JobSpec

__all__ = ["Schedule"]

DUE_MARGIN_MS = 20.0
"""How long after its due time a repetition is opened, to allow for clocks that differ."""


@dataclass(slots=True)
class Schedule:
    """What an open job may still open, in the order of its repetitions.

    The steps of a job are made from its schedule only, and a job loses its schedule when it is
    closed.
    """

    spec: JobSpec
    next_repetition: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether every repetition has been opened."""
        return self.next_repetition >= len(self.spec.repetitions())

    def is_due(self, wall_ms: float) -> bool:
        """Return whether the next repetition may be opened at a time of day, in ms since 1970."""
        if self.is_complete:
            return False
        margin_ms = DUE_MARGIN_MS if self.spec.times else 0.0
        return wall_ms >= self.spec.due_ms(self.next_repetition) + margin_ms

    def take(self) -> int:
        """Return the number of the next repetition, which counts as opened from now on."""
        number = self.next_repetition
        self.next_repetition += 1
        return number
