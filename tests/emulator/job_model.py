"""Random jobs of the whole job model: several steps, due times, and cancels at any moment.

They are drawn with a generator of their own, so that the faults and the other jobs of a seed stay
as they are.
"""

import random
from collections.abc import Callable, Iterator

import msgspec

from sablemount.jobs.model import JobSpec, Shape, StepSpec

__all__ = ["JobModel", "task_names"]

MAX_STEPS = 3
MAX_COUNT = 3
"""Tasks of a step at most: a job has some eight tasks on average."""
CORES = (500, 1_000, 4_000)
DEPENDENCY_SHARE = 0.5
"""Share of the earlier steps that a step depends on."""
GANG_SHARE = 0.2
SPREAD_SHARE = 0.3
SPREADS = (1, 1, 2)
"""Spreads that bind for steps of up to ``MAX_COUNT`` tasks."""
SAVES_SHARE = 0.3
TIMED_SHARE = 0.6
MAX_TIMES = 4
FIRST_DUE_S = (-1.0, 4.0)
"""Range of seconds from the submission of a job until its first time is due."""
INTERVAL_S = (0.2, 1.5)
"""Range of seconds between two times of a job."""
PAYLOAD_BYTES = (10, 200, 4_000)
CANCEL_SHARE = 0.6
CANCEL_AT_ONCE_SHARE = 0.2
"""Share of the cancels that are sent beside the submission."""
CANCEL_NEAR_DUE_SHARE = 0.5
"""Share of the other cancels of jobs with times that are sent about a due time."""
NEAR_DUE_S = (-0.1, 0.15)
CANCEL_AFTER_S = (0.0, 8.0)
MS_PER_S = 1000.0


def task_names(name: str, spec: JobSpec) -> Iterator[str]:
    """Return the names of all tasks of a job."""
    for repetition in spec.repetitions():
        for number, step in enumerate(spec.steps):
            for index in range(step.count):
                yield f"{name}.{repetition}.{number}.{index}"


class JobModel:
    """Draws jobs, and the moments of their cancels; ``wall_ms`` is the time of day in ms."""

    def __init__(self, rng: random.Random, wall_ms: Callable[[], float]) -> None:
        self._rng = rng
        self._wall_ms = wall_ms

    def draws(self, share: float) -> bool:
        """Draw whether something happens that happens in some share of the cases."""
        return self._rng.random() < share

    def job(self, name: str) -> JobSpec:
        """Draw a job; no other job has its payload."""
        count = self._rng.randint(1, MAX_STEPS)
        spec = JobSpec(self._payload(name), tuple(self._step(number) for number in range(count)))
        if not self.draws(TIMED_SHARE):
            return spec
        first_due_ms = self._wall_ms() + self._rng.uniform(*FIRST_DUE_S) * MS_PER_S
        return msgspec.structs.replace(
            spec,
            times=self._rng.randint(1, MAX_TIMES),
            first_due_ms=float(int(first_due_ms)),
            interval_ms=float(int(self._rng.uniform(*INTERVAL_S) * MS_PER_S)),
        )

    def _payload(self, name: str) -> str:
        return f"payload of {name} ".ljust(self._rng.choice(PAYLOAD_BYTES), "x")

    def _step(self, number: int) -> StepSpec:
        step = StepSpec(
            self._rng.randint(1, MAX_COUNT),
            Shape(self._rng.choice(CORES), 256),
            600.0,
            tuple(earlier for earlier in range(number) if self.draws(DEPENDENCY_SHARE)),
            saves=self.draws(SAVES_SHARE),
        )
        if self.draws(GANG_SHARE):
            return msgspec.structs.replace(step, gang=True)
        if self.draws(SPREAD_SHARE):
            return msgspec.structs.replace(step, spread=self._rng.choice(SPREADS))
        return step

    def cancel_delay(self, spec: JobSpec) -> float | None:
        """Draw the seconds until a job is cancelled; ``None`` if it is not."""
        if not self.draws(CANCEL_SHARE):
            return None
        if self.draws(CANCEL_AT_ONCE_SHARE):
            return 0.0
        if not spec.times or not self.draws(CANCEL_NEAR_DUE_SHARE):
            return self._rng.uniform(*CANCEL_AFTER_S)
        due_ms = spec.due_ms(self._rng.randrange(spec.times))
        due_in = (due_ms - self._wall_ms()) / MS_PER_S
        return max(0.0, due_in + self._rng.uniform(*NEAR_DUE_S))
