"""Core time of the job scheduler: accepting, placing and ending jobs, without I/O.

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
MICRO = 1e6


def measure(vms: int, jobs: int) -> float:
    """Return microseconds of processor time a job of some tasks."""
    rig = Rig(vms=vms)
    terms = queue()
    began = time.process_time()
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
    return (time.process_time() - began) / jobs * MICRO


def main(jobs: Annotated[int, typer.Option(help="How many jobs.")] = 1000) -> None:
    """Print the time a job by the number of VMs."""
    for vms in (24, 176, 1000):
        typer.echo(f"{vms:5d} VMs: {measure(vms, jobs):7.0f} us a job of {TASKS} tasks")


if __name__ == "__main__":
    typer.run(main)
