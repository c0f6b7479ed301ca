"""What becomes of a load with too little room, by the ways in which it was decided.

python -m benchmarks.worst_load [--seeds N]
"""

import itertools
import logging
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, median
from typing import Annotated
from unittest import mock

import typer

from sablemount.jobs.systems.headroom import Headroom
from sablemount.jobs.systems.order import Order, OrderKey
from sablemount.jobs.tables import StepRow
from tests.jobs.loads import BATCH, CHECK, QUEUES, load, organisations, play
from tests.jobs.replay import Arrival, Outcome, job
from tests.jobs.rig import Rig

WAYS = ("by objective", "late behind", "and room left free")
HOT = ("", "a", "b", "d")
"""The organisation that sends six times its usual, by the size of its share."""
PROCESSES = 3
VMS = 4_000
STEPS = 1_000
ROUNDS = 20
MS = 1000.0


def _by_objective(order: Order, step: StepRow) -> OrderKey:
    return (order.priority(step), 0, step.job.objective_at)


def _nothing(headroom: Headroom, usable: object) -> None:
    """Leave nothing free."""


def _played(arrived: list[Arrival], way: str) -> Outcome:
    with mock.patch.object(Headroom, "begin", _nothing) if way != WAYS[2] else mock.MagicMock():
        if way == WAYS[0]:
            with mock.patch.object(Order, "key", _by_objective):
                return play(arrived)
        return play(arrived)


def _row(pattern: tuple[str, str], seeds: int) -> str:
    hot, way = pattern
    found = [_shares(seed, hot, way) for seed in range(seeds)]
    checks, batches, others = (mean(column) for column in zip(*found, strict=True))
    return f"{hot or '-':4} {way:20} {checks:7.3f} {batches:8.3f} {others:8.3f}"


def _shares(seed: int, hot: str, way: str) -> tuple[float, float, float]:
    """Return the shares in time of checks, of batches, and of the others' batches."""
    logging.disable(logging.CRITICAL)
    arrived = load(seed, hot=hot)
    outcome = _played(arrived, way)
    batches = [each for each in arrived if each.queue is BATCH]
    others = [each for each in batches if each.organisation != hot]
    checks = [each for each in arrived if each.queue is CHECK]
    return outcome.in_time(checks), outcome.in_time(batches), outcome.in_time(others)


def _round_ms(key: Callable[[Order, StepRow], OrderKey]) -> float:
    """Return the median of a round in a full cell of 4,000 VMs where 1,000 steps wait."""
    rig = Rig(VMS, queues=QUEUES, organisations=organisations())
    for number in range(VMS):
        rig.accept(f"full{number}", job(1, 16_000, 600.0), BATCH, "a")
    rig.run_all()
    for number in range(STEPS):
        rig.accept(f"wait{number}", job(3, 2_500, 0.8), BATCH, "b")
    took = []
    with mock.patch.object(Order, "key", key):
        for _ in range(ROUNDS):
            rig.scheduler.state.freed += 1
            began = time.process_time()
            rig.scheduler.placement.run()
            took.append(time.process_time() - began)
    return MS * median(took)


def main(seeds: Annotated[int, typer.Option(help="Plays of each pattern.")] = 2) -> None:
    """Print the shares in time by pattern and way, and what a round costs."""
    print("hot  way                   checks  batches  others' batches")
    patterns = list(itertools.product(HOT, WAYS))
    with ProcessPoolExecutor(PROCESSES) as pool:
        for line in pool.map(_row, patterns, itertools.repeat(seeds)):
            print(line)
    before, now = _round_ms(_by_objective), _round_ms(Order.key)
    print(f"a round of {VMS} VMs and {STEPS} steps: {before:.1f} ms by objective, {now:.1f} ms now")


if __name__ == "__main__":
    typer.run(main)
