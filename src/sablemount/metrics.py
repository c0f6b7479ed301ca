"""Metrics of the daemon in Prometheus format."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from sablemount.core.meter import Meter
from sablemount.core.scheduler import Scheduler

__all__ = ["PrometheusMeter"]

WAIT_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0)
"""Upper bounds of the buckets of the waiting-time histogram, in seconds."""


class PrometheusMeter(Meter):
    """A meter that also observes waiting times, and renders all metrics for Prometheus."""

    def __init__(self) -> None:
        super().__init__()
        self._registry = Registry()
        buckets = (*WAIT_BUCKETS, float("inf"))
        self._wait_histogram = Histogram(
            "sablemount_wait_seconds",
            "Time from request to start",
            registry=self._registry,
            buckets=buckets,
        )
        self._event_counter = Counter(
            "sablemount_events_total", "What the scheduler did", registry=self._registry
        )
        self._state_gauge = Gauge(
            "sablemount_state", "State of the scheduler", registry=self._registry
        )

    def record_wait(self, template: str, priority: str, seconds: float, within: bool) -> None:
        """Record the seconds from request to start, and whether they met the objective."""
        super().record_wait(template, priority, seconds, within)
        self._wait_histogram.observe({"priority": priority}, seconds)

    def render_metrics(
        self, scheduler: Scheduler, accepted_types: Sequence[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that the client accepts, and the response headers."""
        for (name, label), value in self.counters.items():
            self._event_counter.set({"event": name, "label": label}, value)
        state = scheduler.state
        gauges = {
            "applied_offset": state.ledger.offset,
            "shards_held": len(state.held_shards),
            "runs": len(state.runs),
            "requests_in_flight": scheduler.requests.in_flight,
            "tasks_waiting": len(scheduler.placement.queue),
            "members": len(state.ledger.members),
            "leased": int(state.has_lease()),
        }
        for name, value in gauges.items():
            self._state_gauge.set({"value": name}, value)
        return render(self._registry, list(accepted_types))
