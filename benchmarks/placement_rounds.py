"""Processor time of the job scheduler's placement rounds in a large cell, without I/O.

python -m benchmarks.placement_rounds
"""

import gc
import statistics
import time
from typing import Annotated

import typer

from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import StepSpec
from tests.jobs.rig import CORE, Rig, queue, spec

VMS = 4_000
RUNS_PER_VM = 5
JOBS = 20
TASKS_PER_JOB = 20
MS_PER_SECOND = 1e3


def _busy_rig() -> Rig:
    """Return a rig whose VMs run some tasks each."""
    rig = Rig(vms=VMS)
    rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
    for number in range(RUNS_PER_VM):
        rig.scheduler.submit(f"busy{number}", queue(), spec(StepSpec(VMS, CORE)))
        rig.commit()
        while rig.scheduler.state.open_steps:
            for action in rig.tick():
                if isinstance(action, StartRun):
                    rig.hold(action)
    rig.report_all()
    return rig


def measure(spread: int) -> list[float]:
    """Return the milliseconds of processor time of each round that places some waiting jobs."""
    rig = _busy_rig()
    for number in range(JOBS):
        step = StepSpec(TASKS_PER_JOB, CORE, spread=spread)
        rig.scheduler.submit(f"waiting{number}", queue(), spec(step))
    rig.commit()
    gc.collect()
    rounds = []
    while rig.scheduler.state.open_steps:
        rig.clock.time += 0.001
        rig.scheduler.update_time()
        started_at = time.process_time()
        rig.scheduler.placement.run()
        rounds.append((time.process_time() - started_at) * MS_PER_SECOND)
        rig.scheduler.state.take_actions()
    return rounds


def main(times: Annotated[int, typer.Option(help="How often each is measured.")] = 3) -> None:
    """Print the processor time of rounds for steps without a spread and with several."""
    for spread in (0, 1, 3):
        for _ in range(times):
            rounds = measure(spread)
            typer.echo(
                f"{VMS} VMs, {JOBS} steps of {TASKS_PER_JOB} tasks, spread {spread}:"
                f" {len(rounds)} rounds, median {statistics.median(rounds):.1f} ms,"
                f" longest {max(rounds):.1f} ms, {sum(rounds):.0f} ms in all"
            )


if __name__ == "__main__":
    typer.run(main)
