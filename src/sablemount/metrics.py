"""Metrics of the daemon, published through aioprometheus."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from sablemount.core.meter import Meter
from sablemount.core.scheduler import Scheduler

__all__ = ["PrometheusMeter"]

WAIT_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)
"""Bounds of the histogram of waiting times, in seconds."""


class PrometheusMeter(Meter):
    """Counts as its base does, and publishes the counters and a histogram of waiting times."""

    def __init__(self) -> None:
        super().__init__()
        self._registry = Registry()
        buckets = (*WAIT_BUCKETS, float("inf"))
        self._waits = Histogram(
            "sablemount_wait_seconds",
            "Time from request to start",
            registry=self._registry,
            buckets=buckets,
        )
        self._events = Counter(
            "sablemount_events_total", "What the scheduler did", registry=self._registry
        )
        self._gauges = Gauge("sablemount_state", "State of the scheduler", registry=self._registry)

    def waited(self, template: str, priority: str, seconds: float, within: bool) -> None:
        """Take the time from request to start, and whether it met its objective (seconds)."""
        super().waited(template, priority, seconds, within)
        self._waits.observe({"priority": priority}, seconds)

    def publish(self, scheduler: Scheduler, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the format that the reader accepts, and the headers for it."""
        for (name, label), value in self.counters.items():
            self._events.set({"event": name, "label": label}, value)
        state = scheduler.state
        gauges = {
            "applied_offset": state.ledger.offset,
            "shards_held": len(state.held),
            "runs": len(state.runs),
            "requests_in_flight": scheduler.requests.in_flight,
            "tasks_waiting": len(scheduler.placement.queue),
            "members": len(state.ledger.members),
            "leased": int(state.leased()),
        }
        for name, value in gauges.items():
            self._gauges.set({"value": name}, value)
        return render(self._registry, list(accepts))
