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
SPREADS = (1, 1, 2, 3)
COUNT = (2, 8)
"""Range of the number of tasks of a step."""
MAX_LABELLED = 4
"""Tasks of a step with a label at most: few VMs have it."""
CORES = (500, 1_000, 2_000)
KINDS = ("a", "b")
LABEL_SHARE = 0.3
UNSERVED_LABEL = "c"
"""A label that no VM has."""
UNSERVED_SHARE = 0.03
"""Share of the jobs that ask for it."""
SECOND_PREFIX_SHARE = 0.25
GANG_SHARE = 0.1
GANG_VMS = 2
"""Number of VMs that hold the widest gang."""
SECOND_STEP_SHARE = 0.3
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
    """Whether no VM has a label that the job asks for."""


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
        is_unserved = self._draws(UNSERVED_SHARE)
        steps = [self._step(is_unserved)]
        if self._draws(SECOND_STEP_SHARE):
            steps.append(self._step(False, after=(0,)))
        times = TIMES if self._draws(TIMED_SHARE) else 0
        interval_ms = INTERVAL_MS if times else 0.0
        spec = JobSpec(f"payload of {name}", tuple(steps), times, interval_ms=interval_ms)
        prefix = SECOND_PREFIX if self._draws(SECOND_PREFIX_SHARE) else PREFIX
        return SpreadJob(spec, prefix, is_unserved)

    def _step(self, is_unserved: bool, after: tuple[int, ...] = ()) -> StepSpec:
        spread = self._rng.choice(SPREADS)
        count = self._rng.randint(*COUNT)
        shape = Shape(self._rng.choice(CORES), 256)
        label = self._rng.choice(KINDS) if self._draws(LABEL_SHARE) else ""
        if label:
            count = min(count, MAX_LABELLED)
        if is_unserved:
            label = UNSERVED_LABEL
        if not label and self._draws(GANG_SHARE):
            count = min(count, GANG_VMS * spread)
            return StepSpec(count, shape, 600.0, after, gang=True, spread=spread)
        return StepSpec(count, shape, 600.0, after, label=label, spread=spread)


def add_workers(standin: Standin, count: int) -> None:
    """Start VMs of two kinds for two services."""
    if count < MIN_VMS:
        raise ValueError(f"these jobs need {MIN_VMS} VMs")
    for number in range(count):
        second = number % WORKERS_OF_SECOND_SERVICE == WORKERS_OF_SECOND_SERVICE - 1
        service = SECOND_SERVICE if second else SERVICE
        standin.add_worker(f"r{number // 3}", KINDS[number % len(KINDS)], service)
