"""Run all benchmarks and check their bounds, most of them ratios within the same run.

Prints every figure that the documentation quotes, and exits with 1 if a bound is violated. The
test suite does not depend on the result.
"""

import sys
import time

import msgspec
import numpy

from benchmarks import placement, recovery
from benchmarks.request_path import (
    Figures,
    RequestBench,
    compare_clients,
    load,
    spread_load,
)
from benchmarks.solo import Solo, make_facts
from sablemount.core import actions, events
from sablemount.core.config import CoreSettings
from sablemount.core.verdict import Served
from tests.documents import QUOTE

__all__ = ["main"]

CONNECTIONS = 16
ROUNDS = 3
DECISION_COUNT = 20_000
HEADER = "| path | requests/s | p50 ms | p99 ms | bad |\n|---|---|---|---|---|"
SERVED = Served(b"", "vm")


class Bound(msgspec.Struct, frozen=True):
    """A figure with a lower or an upper bound."""

    name: str
    value: float
    minimum: float = float("-inf")
    maximum: float = float("inf")

    @property
    def holds(self) -> bool:
        """Return whether the figure is within its bounds."""
        return self.minimum <= self.value <= self.maximum

    def __str__(self) -> str:
        limit = f">= {self.minimum:g}" if self.minimum > float("-inf") else f"<= {self.maximum:g}"
        return f"{'ok  ' if self.holds else 'FAIL'} {self.name}: {self.value:.3g} ({limit})"


def _print_row(name: str, row: Figures) -> None:
    print(f"| {name} | {row.rate:.0f} | {row.p50_ms:.2f} | {row.p99_ms:.2f} | {row.bad} |")


def request_path() -> list[Bound]:
    """Compare one scheduler process with direct calls, and the HTTP clients with each other."""
    print(f"\n## Request path\n\n{HEADER}")
    ratios, added = [], []
    bench = RequestBench(1)
    try:
        bench.prepare()
        for number in range(ROUNDS):
            direct = load(bench.direct(), CONNECTIONS)
            through = load(bench.through(), CONNECTIONS)
            direct_single = load(bench.direct(), 1)
            through_single = load(bench.through(), 1)
            _print_row(f"direct, 16 connections, round {number + 1}", direct)
            _print_row(f"through one scheduler, round {number + 1}", through)
            _print_row("direct, one at a time", direct_single)
            _print_row("through, one at a time", through_single)
            ratios.append(through.rate / direct.rate)
            added.append(through_single.p50_ms - direct_single.p50_ms)
        for name, figures in compare_clients(bench.workers[0], CONNECTIONS).items():
            _print_row(name, figures)
    finally:
        bench.close()
    return [
        Bound(
            "throughput through one process, of direct", float(numpy.median(ratios)), minimum=0.4
        ),
        Bound("added p50, one at a time, ms", float(numpy.median(added)), maximum=2.0),
    ]


def scaling() -> list[Bound]:
    """Measure the throughput of one, two and four scheduler processes."""
    print(f"\n## Scheduler processes\n\n{HEADER}")
    rates = {}
    for count in (1, 2, 4):
        bench = RequestBench(count, worker_processes=3)
        try:
            bench.prepare()
            figures = spread_load(bench.through(), CONNECTIONS, 3)
        finally:
            bench.close()
        _print_row(f"{count} schedulers", figures)
        rates[count] = figures.rate
    return [Bound("throughput of two processes, of one", rates[2] / rates[1], minimum=1.4)]


def decisions() -> list[Bound]:
    """Measure the time of the core's decisions, without input or output."""
    solo = Solo(make_facts(24, halls=4), CoreSettings(shards=3))
    solo.run(3.0)
    solo.publish(QUOTE)
    begun = time.perf_counter()
    for index in range(DECISION_COUNT):
        arrival = events.RequestArrived(f"r{index}", "rueda/quote", solo.now + 10)
        (serve,) = solo.core.handle(arrival, solo.now)
        assert isinstance(serve, actions.Serve)
        ended = events.RequestEnded(arrival.request, serve.vm, None, True, 0.01, SERVED)
        solo.core.handle(ended, solo.now)
    decision_us = (time.perf_counter() - begun) / DECISION_COUNT * 1e6
    print(f"\n## Decisions\n\nrequest, arrival to answer, core alone: {decision_us:.1f} us")
    small = placement.measure(3_000, 13_750)
    large = placement.measure(24_000, 110_000)
    for figures in (small, large):
        print(
            f"{figures.vms} VMs, {figures.tasks} tasks: {figures.per_second:.0f} placements/s, "
            f"p50 {figures.p50_us:.0f} us, p99 {figures.p99_us:.0f} us, with stand-ins "
            f"{figures.vm_bytes:.0f} bytes a VM and {figures.task_bytes:.0f} a task"
        )
    return [
        Bound("placements a second at 24,000 VMs", large.per_second, minimum=5_000),
        Bound("p99 of a placement at 24,000 VMs, us", large.p99_us, maximum=2_000),
        Bound("placement time at 24,000 VMs, of 3,000", large.p50_us / small.p50_us, maximum=2.0),
    ]


def recoveries() -> list[Bound]:
    """Measure takeovers, outages of the log, revisions, drains and appends."""
    print("\n## Recovery\n")
    spreads = recovery.measure_all()
    return [
        Bound("take-over after a crash, s", spreads["crash_take_over"].high, maximum=7.4),
        Bound("starts in an outage, of normal", spreads["outage_share"].low, minimum=0.9),
        Bound("revision everywhere, slow log, s", spreads["revision_slow"].high, maximum=19.0),
        Bound("drain, s", spreads["drain_time"].high, maximum=3.0),
        Bound("appends in calm, /s", spreads["appends_calm"].high, maximum=1.0),
    ]


def main() -> None:
    """Run the benchmarks named on the command line, or all."""
    parts = {
        "request_path": request_path,
        "scaling": scaling,
        "decisions": decisions,
        "recoveries": recoveries,
    }
    chosen = sys.argv[1:] or list(parts)
    bounds = [bound for name in chosen for bound in parts[name]()]
    print("\n## Bounds\n")
    for bound in bounds:
        print(bound)
    sys.exit(0 if all(bound.holds for bound in bounds) else 1)


if __name__ == "__main__":
    main()
