"""Placement at the target size, on one core: rate and time of decisions, memory per VM and task."""

import gc
import time
from pathlib import Path

import msgspec
import numpy

from benchmarks.solo import Solo, make_facts
from sablemount.core.config import CoreSettings
from sablemount.core.documents import (
    Kind,
    PriorityClass,
    Shape,
    TemplateDocument,
)
from sablemount.core.systems.placement import Placement

__all__ = ["PlacementFigures", "measure", "resident_bytes"]

PAGE_BYTES = 4096
WARM_UP_JOB_TASKS = 10_000
SHAPES = (Shape(cores=1, memory_mb=2048), Shape(cores=2, memory_mb=8192), Shape(cores=4))


class PlacementFigures(msgspec.Struct, frozen=True):
    """The cost of placement with ``vms`` VMs and ``tasks`` running tasks; times in microseconds."""

    vms: int
    tasks: int
    per_second: float
    p50_us: float
    p99_us: float
    vm_bytes: float
    task_bytes: float
    poll_us: float


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def _template(index: int, shape: Shape) -> TemplateDocument:
    return TemplateDocument(
        "org", f"t{index}", Kind.TASK, PriorityClass.BATCH, shape, expected_seconds=3600.0
    )


def measure(vms: int, tasks: int, placements: int = 5_000, shards: int = 64) -> PlacementFigures:
    """Fill the VMs of one scheduler with tasks, and time further placements on them."""
    gc.collect()
    initial_bytes = resident_bytes()
    settings = CoreSettings(shards=shards, placements_per_tick=5_000)
    solo = Solo(make_facts(vms), settings)
    solo.run(3.0 + vms / 5_000)
    for index, shape in enumerate(SHAPES):
        solo.publish(_template(index, shape))
    gc.collect()
    bytes_with_vms = resident_bytes()
    submitted = 0
    while submitted < tasks:
        count = min(WARM_UP_JOB_TASKS, tasks - submitted)
        solo.submit(f"org/t{submitted // WARM_UP_JOB_TASKS % 3}", f"warm-{submitted}", count)
        submitted += count
        solo.run(0.5)
    solo.run(2.0 + tasks / 40_000)
    gc.collect()
    bytes_with_tasks = resident_bytes()
    running = len(solo.core.state.runs)
    rate, p50, p99 = _time_placements(solo, placements)
    poll_us = _time_polls(solo)
    return PlacementFigures(
        vms,
        running,
        rate,
        p50,
        p99,
        (bytes_with_vms - initial_bytes) / vms,
        (bytes_with_tasks - bytes_with_vms) / max(1, running),
        poll_us,
    )


def _time_placements(solo: Solo, placements: int) -> tuple[float, float, float]:
    """Time each decision, from the selection of a group to the start action."""
    times: list[float] = []
    place_from_group = Placement._place_from_group

    def timed(self: Placement, level: int, organisation: str) -> bool:
        begun = time.perf_counter()
        placed = place_from_group(self, level, organisation)
        if placed:
            times.append(time.perf_counter() - begun)
        return placed

    Placement._place_from_group = timed  # type: ignore[method-assign]
    try:
        for index in range(3):
            solo.submit(f"org/t{index}", f"timed-{index}", placements // 3)
        solo.run(2.0)
    finally:
        Placement._place_from_group = place_from_group  # type: ignore[method-assign]
    p50, p99 = numpy.percentile(times, [50, 99]) * 1e6
    return len(times) / sum(times), float(p50), float(p99)


def _time_polls(solo: Solo) -> float:
    """Return the processor time of the core and the stand-in per poll, in microseconds."""
    before, begun = solo.polls, time.process_time()
    solo.run(2.0)
    return (time.process_time() - begun) / max(1, solo.polls - before) * 1e6


if __name__ == "__main__":
    print(measure(24_000, 110_000))
