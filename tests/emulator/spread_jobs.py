"""Random jobs whose steps have a spread that binds, some with a label and in a pool of their own.

They are drawn with a generator of their own, so that the faults of a seed stay as they are.
"""

import random
from collections.abc import Callable

import msgspec

from sablemount.jobs.model import JobSpec, Shape, StepSpec

__all__ = ["SpreadJobs"]

COUNTS = (2, 12)
"""Range of the number of a step's tasks: most steps have more than fit the spread on all VMs."""
SPREADS = (1, 1, 1, 2, 3)
CORES = (500, 1_000)
LABEL_SHARE = 0.3
MAX_LABELLED_COUNT = 8
"""Tasks at most of a step that only half of the VMs can run."""
SAVES_SHARE = 0.3
SECOND_STEP_SHARE = 0.2
TIMED_SHARE = 0.2
TIMES = 2
FIRST_DUE_S = (-1.0, 2.0)
INTERVAL_S = (0.5, 3.0)
MAX_TIMED_COUNT = 5
MAX_SECOND_COUNT = 4
MS_PER_S = 1000.0


class SpreadJobs:
    """Draws jobs; ``labels`` are those that a step may ask for, ``wall_ms`` is the time of day."""

    def __init__(
        self, rng: random.Random, labels: tuple[str, ...], wall_ms: Callable[[], float]
    ) -> None:
        self._rng = rng
        self._labels = labels
        self._wall_ms = wall_ms

    def job(self) -> JobSpec:
        """Draw a job: a step, perhaps another one after it, and perhaps some times."""
        first = self._step()
        if self._draws(TIMED_SHARE):
            first = msgspec.structs.replace(first, count=min(first.count, MAX_TIMED_COUNT))
            first_due_ms = self._wall_ms() + self._rng.uniform(*FIRST_DUE_S) * MS_PER_S
            interval_ms = self._rng.uniform(*INTERVAL_S) * MS_PER_S
            return JobSpec("payload", (first,), TIMES, float(int(first_due_ms)), int(interval_ms))
        if self._draws(SECOND_STEP_SHARE):
            second = self._step()
            count = min(second.count, MAX_SECOND_COUNT)
            second = msgspec.structs.replace(second, count=count, after=(0,))
            return JobSpec("payload", (first, second))
        return JobSpec("payload", (first,))

    def _step(self) -> StepSpec:
        label = self._rng.choice(self._labels) if self._draws(LABEL_SHARE) else ""
        count = self._rng.randint(*COUNTS)
        return StepSpec(
            min(count, MAX_LABELLED_COUNT) if label else count,
            Shape(self._rng.choice(CORES), 256),
            2_000.0,
            label=label,
            spread=self._rng.choice(SPREADS),
            saves=self._draws(SAVES_SHARE),
        )

    def _draws(self, share: float) -> bool:
        return self._rng.random() < share
