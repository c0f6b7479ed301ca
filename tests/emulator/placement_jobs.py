"""Random jobs for which capacity and spread bind together: gangs and large tasks among others.

They are drawn with a generator of their own, so that the faults of a seed stay as they are.
"""

import random
from collections.abc import Callable

import msgspec

from sablemount.jobs.model import JobSpec, Shape, StepSpec

__all__ = ["PlacementJobs"]

COUNTS = (2, 10)
"""Range of the number of a step's tasks, gangs aside."""
SPREADS = (1, 1, 1, 2, 3)
CORES = (500, 1_000, 4_000, 7_000, 12_000)
"""Of 16,000 on a VM, so that the spread binds for some steps and the capacity for others."""
MEMORY_MB = (500, 8_000, 20_000)
LABEL_SHARE = 0.3
MAX_LABELLED_COUNT = 6
"""Tasks at most of a step that only half of the VMs can run."""
GANG_SHARE = 0.3
GANG_SPREADS = (1, 1, 2)
GANG_CORES = (2_000, 4_000, 7_000)
"""Two members fit on a free VM."""
MIN_GANG = 2
SAVES_SHARE = 0.4
SECOND_STEP_SHARE = 0.2
MAX_SECOND_COUNT = 4
TIMED_SHARE = 0.15
TIMES = 2
FIRST_DUE_S = (-1.0, 2.0)
INTERVAL_S = (0.5, 3.0)
MAX_TIMED_COUNT = 4
EXPECTED_MS = 2_000.0
MS_PER_S = 1000.0


class PlacementJobs:
    """Draws jobs for pools in which ``vms_per_label`` VMs have each of the labels.

    ``wall_ms`` is the time of day.
    """

    def __init__(
        self,
        rng: random.Random,
        labels: tuple[str, ...],
        vms_per_label: int,
        wall_ms: Callable[[], float],
    ) -> None:
        self._rng = rng
        self._labels = labels
        self._vms_per_label = vms_per_label
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
        saves = self._draws(SAVES_SHARE)
        memory = self._rng.choice(MEMORY_MB)
        if self._draws(GANG_SHARE):
            step = self._gang(label, memory)
        else:
            shape = Shape(self._rng.choice(CORES), memory)
            count = self._rng.randint(*COUNTS)
            count = min(count, MAX_LABELLED_COUNT) if label else count
            step = StepSpec(count, shape, EXPECTED_MS, spread=self._rng.choice(SPREADS))
        return msgspec.structs.replace(step, label=label, saves=saves)

    def _gang(self, label: str, memory: int) -> StepSpec:
        """Draw a gang that the VMs of a pool can run, if all of them are up and free."""
        vms = self._vms_per_label * (1 if label else len(self._labels))
        spread = max(self._rng.choice(GANG_SPREADS), MIN_GANG if vms == 1 else 1)
        count = self._rng.randint(MIN_GANG, max(MIN_GANG, spread * vms))
        shape = Shape(self._rng.choice(GANG_CORES), memory)
        return StepSpec(count, shape, EXPECTED_MS, gang=True, spread=spread)

    def _draws(self, share: float) -> bool:
        return self._rng.random() < share
