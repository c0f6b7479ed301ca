"""Processor time of the job scheduler to accept, place and complete jobs, without I/O.

python -m benchmarks.job_core
"""

import time
from typing import Annotated

import typer

from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import Rig, queue, spec

TASKS = 4
SHAPE = Shape(1_000, 1_000)
US_PER_SECOND = 1e6


def measure(vms: int, jobs: int) -> float:
    """Return the microseconds of processor time per job of ``TASKS`` tasks."""
    rig = Rig(vms=vms)
    terms = queue()
    started_at = time.process_time()
    for number in range(jobs):
        rig.scheduler.submit(f"j{number}", terms, spec(StepSpec(TASKS, SHAPE)))
        rig.commit()
        starts = [action for action in rig.tick() if isinstance(action, StartRun)]
        for start in starts:
            rig.complete(start, "done")
        for vm in {start.vm for start in starts}:
            rig.report(vm)
            rig.completions[vm] = []
            rig.scheduler.state.vms[vm].last_seen_completion = 0
            rig.scheduler.state.vms[vm].last_batched_completion = 0
        rig.commit()
    return (time.process_time() - started_at) / jobs * US_PER_SECOND


def main(jobs: Annotated[int, typer.Option(help="How many jobs.")] = 1000) -> None:
    """Print the processor time per job for several numbers of VMs."""
    for vms in (24, 176, 1000):
        typer.echo(f"{vms:5d} VMs: {measure(vms, jobs):7.0f} us a job of {TASKS} tasks")


if __name__ == "__main__":
    typer.run(main)
