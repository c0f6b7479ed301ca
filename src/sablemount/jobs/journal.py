"""Group commit of what must last: accepted jobs, noted ends, states, VMs in use.

Pure: it says what the next batch holds and what its success means. Batches may be on their way
together; each is sent again as it was until it has a definite answer.
"""

import msgspec

from sablemount.jobs.job_lines import job_ended
from sablemount.jobs.model import JobSpec
from sablemount.jobs.records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    VM_PREFIX,
    Record,
    VmRecord,
    encode,
)
from sablemount.jobs.sizes import progress_record
from sablemount.jobs.state import State
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.tables import JobRow, JobState, VmRow

__all__ = ["Batch", "Journal"]

MAX_BATCH_BYTES = 1_000_000
"""Bytes of accepted jobs in one batch at most, half of what the store takes in a call."""


class Batch(msgspec.Struct):
    """Records that go together, and what is true once they are in the store."""

    records: list[Record]
    accepted: list[str] = []
    states: dict[str, int] = {}
    """State of the jobs whose progress is in the batch, by job."""
    used: dict[str, int] = {}
    """VMs that may be given work from now on, each with the number of its record of use."""
    ends: dict[str, int] = {}
    """Number of the last end noted, by VM."""


class Journal:
    """Collects what must last."""

    def __init__(self, state: State, lifecycle: Lifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._accepting: dict[str, JobRow] = {}
        self._vms: dict[str, Record] = {}
        self._dropped: list[Record] = []

    def accept(self, job: JobRow) -> None:
        """Let a job's acceptance go with the next batch."""
        self._accepting[job.name] = job

    def withdraw(self, name: str) -> bool:
        """Take back an acceptance that has not been sent, and tell whether it could be."""
        return self._accepting.pop(name, None) is not None

    def use(self, row: VmRow) -> None:
        """Record that a VM may run something."""
        row.recorded = True
        row.uses += 1
        value = encode(VmRecord(row.info.address, row.info.pool))
        self._vms[row.name] = Record(VM_PREFIX + row.name, value)

    def unuse(self, row: VmRow) -> None:
        """Record that a VM runs nothing any more."""
        row.recorded = row.in_use = False
        self._vms[row.name] = Record(VM_PREFIX + row.name)

    def forget(self, name: str) -> None:
        """Drop the record of an ended job."""
        self._dropped.append(Record(PROGRESS_PREFIX + name))

    def pending(self) -> bool:
        """Tell whether there is something to append."""
        state = self._state
        if self._accepting or self._vms or state.dirty:
            return True
        return any(row.seen_end > row.noted_end for row in state.vms.values())

    def next_batch(self) -> Batch:
        """Return the next batch; what it holds does not go with a later one."""
        state = self._state
        batch = Batch([*self._vms.values(), *self._dropped])
        for name, record in self._vms.items():
            row = state.vms.get(name)
            if record.value and row is not None:
                batch.used[name] = row.uses
        self._vms = {}
        self._dropped = []
        size = 0
        while self._accepting and size < MAX_BATCH_BYTES:
            name, job = self._accepting.popitem()
            value = encode(job.record)
            size += len(value)
            batch.records.append(Record(JOB_PREFIX + name, value))
            batch.accepted.append(name)
        for job in state.dirty.values():
            self._add_progress(batch, job)
        state.dirty = {}
        for row in state.vms.values():
            if row.seen_end > row.noted_end:
                row.noted_end = row.seen_end
                batch.ends[row.name] = row.seen_end
        return batch

    def _add_progress(self, batch: Batch, job: JobRow) -> None:
        limit = self._state.settings.record_bytes
        batch.records.append(progress_record(job.name, self._lifecycle.progress(job), limit))
        batch.states[job.name] = int(job.state)
        if job.state.final:
            batch.records.append(Record(JOB_PREFIX + job.name))

    def durable(self, batch: Batch) -> None:
        """Take that a batch is in the store."""
        for name in batch.accepted:
            job = self._state.jobs.get(name)
            if job is not None:
                job.durable = True
        for name, number in batch.states.items():
            self._shown(name, JobState(number))
        for vm, number in batch.used.items():
            row = self._state.vms.get(vm)
            # One that was dropped since, or dropped and made anew, says nothing of the last one.
            if row is not None and row.recorded and row.uses == number:
                row.in_use = True
                self._state.freed += 1
        for vm, end in batch.ends.items():
            row = self._state.vms.get(vm)
            if row is not None:
                row.acked_end = max(row.acked_end, end)

    def _shown(self, name: str, noted: JobState) -> None:
        job = self._state.jobs.get(name)
        if job is None or job.shown.final:
            return
        job.shown = noted
        if noted.final:
            job_ended(self._state.logger, job, self._state.now, self._state.wall_ms)
            job.run_ends.clear()
            # Its payload and tasks are not needed any more, its shapes are for late runs.
            spec = JobSpec("", job.record.spec.steps)
            job.record = msgspec.structs.replace(job.record, spec=spec)
            job.steps = {}
