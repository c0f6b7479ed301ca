"""Which repetitions of which jobs are opened when.

Any number of repetitions may fall due at one moment. An open one takes memory, and time in each
placement round, so that only as many are open as placement can choose from. Repetitions of which
all tasks have been started make room for the next ones, so that what is open grows with the
capacity of the VMs and not with what was accepted.
"""

import heapq
from collections.abc import Callable
from itertools import count

from sablemount.jobs.state import State
from sablemount.jobs.tables import JobRow

__all__ = ["Openings"]

MAX_PLACEABLE_STEPS = 512
"""Steps to be placed of all jobs whose repetitions are opened late, beyond one for each job."""
MAX_PLACEABLE_STEPS_PER_JOB = 64
"""Steps to be placed of one job beyond which no further repetition of it is opened."""
MAX_STEPS_PER_TICK = 128
"""Steps that are opened in one tick beyond the first of each job; opening one takes some 50 us."""
MIN_TIMERS = 64
"""Number of timers up to which those of closed jobs are kept."""
MAX_JOBS_PER_TICK = 256
"""Jobs of which a repetition is opened in one tick."""


class Openings:
    """Opens the repetitions that are due, a few at a time, the most urgent jobs first."""

    def __init__(self, state: State, open_next: Callable[[JobRow], None]) -> None:
        self._state = state
        self._open_next = open_next
        """Opens the next repetition of a job."""
        self._timers: list[tuple[float, int, JobRow]] = []
        """Heap of the jobs that wait for the due time of their next repetition, in ms since
        1970."""
        self._numbers = count()
        self._due: dict[str, JobRow] = {}
        """Jobs of which a repetition is due and not open."""

    def add(self, job: JobRow) -> None:
        """Have the repetitions of a job opened as they fall due."""
        if job.schedule is not None and not job.schedule.is_complete:
            self._drop_closed()
            timer = (job.schedule.next_due_ms, next(self._numbers), job)
            heapq.heappush(self._timers, timer)

    def run(self) -> None:
        """Open repetitions that are due, as far as there is room for them."""
        self._take_due()
        if not self._due:
            return
        share = min(MAX_PLACEABLE_STEPS_PER_JOB, max(1, MAX_PLACEABLE_STEPS // len(self._due)))
        jobs = [job for job in self._due.values() if not job.is_open or job.placeable_steps < share]
        jobs.sort(key=self._urgency)
        steps = MAX_STEPS_PER_TICK
        for job in jobs[:MAX_JOBS_PER_TICK]:
            steps -= self._open(job, share, steps)

    @property
    def jobs_behind(self) -> int:
        """Return how many jobs have a repetition that is due and not open."""
        return len(self._due)

    def repetitions_behind(self) -> int:
        """Return how many repetitions are due and not open."""
        wall_ms = self._state.wall_ms
        schedules = [job.schedule for job in self._due.values() if job.schedule is not None]
        return sum(schedule.count_due(wall_ms) for schedule in schedules)

    def _drop_closed(self) -> None:
        """Drop the timers of closed jobs once they are the most; they may be due in years."""
        if len(self._timers) > 2 * len(self._state.open_jobs) + MIN_TIMERS:
            self._timers = [timer for timer in self._timers if timer[2].is_open]
            heapq.heapify(self._timers)

    def _take_due(self) -> None:
        while self._timers and self._timers[0][0] <= self._state.wall_ms:
            job = heapq.heappop(self._timers)[2]
            if job.is_open:
                self._due[job.name] = job

    def _urgency(self, job: JobRow) -> tuple[int, float]:
        due_ms = job.schedule.next_due_ms if job.schedule is not None else 0.0
        return (self._state.terms_of(job).priority, due_ms)

    def _open(self, job: JobRow, share: int, most: int) -> int:
        """Open repetitions of a job up to its share; return how many steps were opened."""
        opened = 0
        while job.schedule is not None and job.schedule.is_due(self._state.wall_ms):
            # The first is opened in any case, so that no job is shut out by the others.
            if job.placeable_steps >= share or (opened and opened >= most):
                return opened
            self._open_next(job)
            opened += len(job.record.spec.steps)
        # Nothing more is due now, or the job is closed.
        self._due.pop(job.name, None)
        self.add(job)
        return opened
