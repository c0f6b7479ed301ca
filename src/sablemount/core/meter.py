"""Metrics of the core.

The base class keeps counters only; the daemon extends it to publish them.
"""

from collections import Counter

__all__ = ["Meter"]


class Meter:
    """Counters by name and label."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name, label] += amount

    def record_wait(self, template: str, priority: str, seconds: float, within: bool) -> None:
        """Record the seconds from a request to its start, and whether they met the objective."""
        self.counters["starts", template] += 1
        if within:
            self.counters["starts_within_objective", template] += 1

    def record_failure(self, template: str, reason: str) -> None:
        """Record one request that failed, with the reason of its failure."""
        self.counters["failures", f"{template}:{reason}"] += 1

    def total(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(count for (counter, _), count in self.counters.items() if counter == name)
