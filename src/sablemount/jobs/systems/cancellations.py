"""Cancellations of jobs that are not known, which hold for a submission that comes late.

A caller may cancel a job before its submission has arrived: it waits at a process that stands
still, or on its way. Once such a cancellation is acknowledged, the job is not taken any more. The
store holds it, for the next leader, for as long as the state of an ended job.
"""

from sablemount.jobs.journal import Journal
from sablemount.jobs.records import CANCELLATION_PREFIX, Cancellation, Record, encode
from sablemount.jobs.state import State

__all__ = ["MAX_CANCELLATIONS", "Cancellations"]

MAX_CANCELLATIONS = 20_000
"""Largest number of cancellations that are kept: some 8 MB. With more, they are not acknowledged
until the oldest have expired."""


class Cancellations:
    """Keeps the cancellations of unknown jobs, by job."""

    def __init__(self, state: State, journal: Journal) -> None:
        self._state = state
        self._journal = journal
        self._kept: dict[str, Cancellation] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def add(self, job: str, organisation: str) -> bool:
        """Keep a cancellation by a caller of an organisation; return whether there is room."""
        known = self._kept.pop(job, None)
        if known is None and len(self._kept) >= MAX_CANCELLATIONS:
            return False
        others = () if known is None else known.organisations
        organisations = tuple(sorted({*others, organisation}))
        kept = Cancellation(self._state.wall_ms, organisations)
        self._kept[job] = kept
        self._journal.add_record(Record(CANCELLATION_PREFIX + job, encode(kept)))
        return True

    def restore(self, job: str, cancellation: Cancellation) -> None:
        """Keep a cancellation that a previous leader has acknowledged."""
        self._kept[job] = cancellation

    def holds_for(self, job: str, organisation: str) -> bool:
        """Return whether a job has been cancelled by a caller of an organisation."""
        cancellation = self._kept.get(job)
        return cancellation is not None and organisation in cancellation.organisations

    def remove_old(self) -> None:
        """Remove the cancellations that have been kept for long enough."""
        for job in [job for job, kept in self._kept.items() if self._left_ms(kept) <= 0]:
            del self._kept[job]
            self._journal.drop_record(CANCELLATION_PREFIX + job)

    def _left_ms(self, cancellation: Cancellation) -> float:
        return cancellation.at_ms + self._state.settings.retention_ms - self._state.wall_ms
