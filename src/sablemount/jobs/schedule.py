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
    """The first repetition that has not been opened."""
    _opened: int = 0
    """Bit mask of the repetitions that have been opened or completed."""

    @property
    def is_complete(self) -> bool:
        """Return whether every repetition has been opened."""
        return self.next_repetition >= len(self.spec.repetitions())

    def is_due(self, wall_ms: float) -> bool:
        """Return whether the next repetition may be opened at a time of day, in ms since 1970."""
        return not self.is_complete and wall_ms >= self.next_due_ms

    @property
    def next_due_ms(self) -> float:
        """Return the time of day from which the next repetition may be opened."""
        return self._due_ms(self.next_repetition)

    def count_due(self, wall_ms: float) -> int:
        """Return how many repetitions are due and not open, not regarding those opened ahead."""
        if not self.is_due(wall_ms):
            return 0
        last = len(self.spec.repetitions())
        if self.spec.interval_ms > 0:
            late_ms = wall_ms - self.next_due_ms
            last = min(last, self.next_repetition + 1 + int(late_ms / self.spec.interval_ms))
        return last - self.next_repetition

    def may_open(self, repetition: int, wall_ms: float) -> bool:
        """Return whether a repetition is due and has not been opened."""
        return (
            self.next_repetition <= repetition < len(self.spec.repetitions())
            and not self._opened >> repetition & 1
            and wall_ms >= self._due_ms(repetition)
        )

    def _due_ms(self, repetition: int) -> float:
        return self.spec.due_ms(repetition) + (DUE_MARGIN_MS if self.spec.times else 0.0)

    def mark_opened(self, mask: int) -> None:
        """Count some repetitions, given as a bit mask, as opened from now on."""
        self._opened |= mask
        while self._opened >> self.next_repetition & 1:
            self.next_repetition += 1
