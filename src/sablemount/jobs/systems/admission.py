"""A bound on the memory that all known jobs hold together.

A job holds memory from its acceptance until its state need not be available any more. Each next
leader loads the same jobs, so that a job beyond the bound is refused when it is submitted.
"""

from collections import deque

from sablemount.jobs.records import JobRecord
from sablemount.jobs.sizes import max_progress_size
from sablemount.jobs.state import State
from sablemount.jobs.tables import JobRow

__all__ = ["Admission"]

JOB_BYTES = 1_200
"""Memory of an open job without its steps and payload."""
STEP_BYTES = 1_100
"""Memory of a step of an open job."""
ENDED_JOB_BYTES = 1_000
"""Memory of a job that has ended, without its steps."""
ENDED_STEP_BYTES = 500
"""Memory of a step of a job that has ended."""
MS_PER_S = 1000.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
"""Bounds of the time after which a refused caller is asked to retry. The upper one holds where only
jobs that are still open can make room."""


class Admission:
    """Counts the memory of the known jobs, and computes when there is room for another one."""

    def __init__(self, state: State) -> None:
        self._state = state
        self.held_bytes = 0
        self._ended: deque[JobRow] = deque()
        """Jobs that have ended, in the order in which that became known here."""

    # -- Accounting --------------------------------------------------------------------------

    def opened(self, job: JobRow) -> None:
        """Count a job that is open."""
        self._set(job, open_bytes(job.name, job.record))

    def ended(self, job: JobRow) -> None:
        """Count a job that has ended."""
        self._set(job, ENDED_JOB_BYTES + ENDED_STEP_BYTES * len(job.record.spec.steps))
        self._ended.append(job)

    def removed(self, job: JobRow) -> None:
        """Count a job no longer."""
        self._set(job, 0)

    def _set(self, job: JobRow, size: int) -> None:
        self.held_bytes += size - job.held_bytes
        job.held_bytes = size

    # -- Decisions ---------------------------------------------------------------------------

    @property
    def limit(self) -> int:
        """Return the bytes that all jobs may hold together."""
        return self._state.settings.job_memory_bytes

    def retry_after_s(self, name: str, record: JobRecord) -> float | None:
        """Return the seconds after which ended jobs will have made room for another one.

        Returns ``None`` if there is room now.
        """
        missing = self.held_bytes + open_bytes(name, record) - self.limit
        if missing <= 0:
            return None
        for job in self._ended:
            missing -= job.held_bytes
            if missing <= 0:
                left_ms = job.ended_ms + self._retention_ms - self._state.wall_ms
                return min(MAX_RETRY_S, max(MIN_RETRY_S, left_ms / MS_PER_S))
        return MAX_RETRY_S

    # -- Retention ---------------------------------------------------------------------------

    @property
    def _retention_ms(self) -> float:
        return self._state.settings.retention_ms

    def take_old(self) -> list[JobRow]:
        """Return the ended jobs whose state no longer has to be available, and keep the others."""
        cutoff = self._state.wall_ms - self._retention_ms
        old = [job for job in self._ended if job.visible_state.is_final and job.ended_ms < cutoff]
        # A job that was withdrawn holds nothing any more.
        if old or any(not job.held_bytes for job in self._ended):
            gone = set(map(id, old))
            self._ended = deque(
                job for job in self._ended if job.held_bytes and id(job) not in gone
            )
        return old


def open_bytes(name: str, record: JobRecord) -> int:
    """Return the memory of an open job and of what is recorded of its progress."""
    spec = record.spec
    steps = STEP_BYTES * len(spec.steps)
    return JOB_BYTES + steps + len(spec.payload.encode()) + max_progress_size(name, spec)
