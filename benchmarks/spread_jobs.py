"""Random jobs whose spread, labels and pools bind on a few VMs, and the VMs that they need.

They are drawn with a generator of their own, so that the other draws of a seed stay as they are.
"""

import random
from dataclasses import dataclass

from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.platform.standin import PREFIX, SECOND_PREFIX, SECOND_SERVICE, SERVICE, Standin

__all__ = ["MIN_VMS", "SpreadJob", "SpreadJobs", "add_workers"]

JOB_SHARE = 0.7
"""Share of the jobs that are drawn here."""
SPREADS = (1, 1, 1, 2, 3)
COUNTS = (2, 4, 8, 12, 12)
"""Numbers of tasks of a step: of many of them, some wait for the spread."""
SMALL_COUNT = (1, 3)
"""Range of the number of tasks of a further step."""
MAX_LABELLED = 4
"""Tasks of a step with a label at most: few VMs have it."""
MAX_IN_SECOND_QUEUE = 8
"""Tasks of a step in the second queue at most: it has few VMs."""
CORES = (250, 500, 1_000)
KINDS = ("a", "b")
LABEL_SHARE = 0.3
UNSERVED_LABEL = "c"
"""A label that no VM has."""
UNSERVED_SHARE = 0.03
"""Share of the jobs that no VMs can run."""
TOO_WIDE = 100
"""Tasks of a gang with more tasks than there are VMs."""
TINY = Shape(10, 1)
SECOND_PREFIX_SHARE = 0.4
GANG_SHARE = 0.1
GANG_VMS = 2
"""Number of VMs that hold the widest gang."""
SECOND_STEP_SHARE = 0.2
TIMED_SHARE = 0.2
TIMES = 2
INTERVAL_MS = 300.0
WORKERS_OF_SECOND_SERVICE = 3
"""One of so many VMs belongs to the second service."""
MIN_VMS = 6
"""Fewest VMs among which each service has VMs of both kinds."""


@dataclass(frozen=True)
class SpreadJob:
    """A job, and the path prefix of its queue."""

    spec: JobSpec
    prefix: str
    is_unserved: bool
    """Whether the VMs can't run the job: none has its label, or they are too few for a gang."""


class SpreadJobs:
    """Draws jobs."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def _draws(self, share: float) -> bool:
        return self._rng.random() < share

    def job(self, name: str) -> SpreadJob | None:
        """Draw a job; ``None`` for one that is drawn elsewhere."""
        if not self._draws(JOB_SHARE):
            return None
        prefix = SECOND_PREFIX if self._draws(SECOND_PREFIX_SHARE) else PREFIX
        is_unserved = self._draws(UNSERVED_SHARE)
        if is_unserved:
            step = self._unserved_step()
        else:
            step = self._first_step(COUNTS[-1] if prefix == PREFIX else MAX_IN_SECOND_QUEUE)
        steps = [step]
        if self._draws(SECOND_STEP_SHARE):
            steps.append(self._small_step())
        times = TIMES if self._draws(TIMED_SHARE) else 0
        interval_ms = INTERVAL_MS if times else 0.0
        spec = JobSpec(f"payload of {name}", tuple(steps), times, interval_ms=interval_ms)
        return SpreadJob(spec, prefix, is_unserved)

    def _small_step(self) -> StepSpec:
        count = self._rng.randint(*SMALL_COUNT)
        return StepSpec(count, self._shape(), 600.0, (0,), spread=self._rng.choice(SPREADS))

    def _shape(self) -> Shape:
        return Shape(self._rng.choice(CORES), 256)

    def _unserved_step(self) -> StepSpec:
        """Return a step that asks for a label of no VM, or a gang that needs too many VMs."""
        if self._draws(0.5):
            return StepSpec(2, self._shape(), 600.0, label=UNSERVED_LABEL)
        return StepSpec(TOO_WIDE, TINY, 600.0, gang=True, spread=1)

    def _first_step(self, max_count: int) -> StepSpec:
        spread = self._rng.choice(SPREADS)
        count = min(self._rng.choice(COUNTS), max_count)
        shape = self._shape()
        label = self._rng.choice(KINDS) if self._draws(LABEL_SHARE) else ""
        if label:
            count = min(count, MAX_LABELLED)
        if not label and self._draws(GANG_SHARE):
            count = min(count, GANG_VMS * spread)
            return StepSpec(count, shape, 600.0, gang=True, spread=spread)
        return StepSpec(count, shape, 600.0, label=label, spread=spread)


def add_workers(standin: Standin, count: int) -> None:
    """Start VMs of two kinds for two services."""
    if count < MIN_VMS:
        raise ValueError(f"these jobs need {MIN_VMS} VMs")
    for number in range(count):
        second = number % WORKERS_OF_SECOND_SERVICE == WORKERS_OF_SECOND_SERVICE - 1
        service = SECOND_SERVICE if second else SERVICE
        standin.add_worker(f"r{number // 3}", KINDS[number % len(KINDS)], service)
