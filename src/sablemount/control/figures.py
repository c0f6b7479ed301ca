"""Counters and latency histograms of a process, rendered as text on request.

They are kept as plain numbers. The metrics library is imported only when they are first rendered,
since it takes memory that most processes never need.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Sequence

__all__ = ["BUCKET_BOUNDS_S", "Metrics"]

BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
"""Upper bounds of the histogram buckets, in seconds."""
INFINITY_LABEL = "+Inf"


class Metrics:
    """Counters by name and label, and histograms of durations by name."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Increase a counter."""
        self.counters[(name, label)] += by

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        buckets = self._buckets.setdefault(name, [0] * (len(BUCKET_BOUNDS_S) + 1))
        buckets[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + seconds

    def cumulative(self, name: str) -> list[int]:
        """Return a histogram's cumulative counts up to each bound, and the total."""
        counts = self._buckets.get(name, [0] * (len(BUCKET_BOUNDS_S) + 1))
        return [sum(counts[: index + 1]) for index in range(len(counts))]

    def render(self, gauges: dict[str, float], accepts: Sequence[str]) -> bytes:
        """Return all metrics, with ``gauges``, as text in a format that ``accepts`` lists."""
        import aioprometheus

        registry = aioprometheus.Registry()
        events = aioprometheus.Counter(
            "sablemount_events_total", "What the process did", registry=registry
        )
        for (name, label), value in self.counters.items():
            events.set({"event": name, "label": label}, value)
        buckets = aioprometheus.Counter(
            "sablemount_seconds_bucket", "Durations up to a bound", registry=registry
        )
        sums = aioprometheus.Counter(
            "sablemount_seconds_sum", "Durations in all", registry=registry
        )
        for name in self._buckets:
            bounds = [str(bound) for bound in BUCKET_BOUNDS_S] + [INFINITY_LABEL]
            for bound, count in zip(bounds, self.cumulative(name), strict=True):
                buckets.set({"figure": name, "le": bound}, count)
            sums.set({"figure": name}, self._sums[name])
        state = aioprometheus.Gauge("sablemount_state", "State of the process", registry=registry)
        for gauge, reading in gauges.items():
            state.set({"value": gauge}, reading)
        text, _ = aioprometheus.render(registry, list(accepts))
        return bytes(text)
