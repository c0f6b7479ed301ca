"""Group commit of persistent state: accepted jobs, completions, job states and VMs in use.

Has no I/O: it returns the contents of the next batch and applies the effects of its success.
Several batches may be in flight; each is sent again unchanged until it has a definite answer.
"""

from collections import deque

import msgspec

from sablemount.jobs.job_lines import log_job_end
from sablemount.jobs.records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    VM_PREFIX,
    Record,
    VmRecord,
    encode,
)
from sablemount.jobs.run_row import RunRow, RunState
from sablemount.jobs.sizes import call_size, progress_record, record_size
from sablemount.jobs.state import State
from sablemount.jobs.systems.lifecycle import Lifecycle
from sablemount.jobs.tables import JobRow, JobState
from sablemount.jobs.vm_row import VmRow

__all__ = ["Batch", "Journal"]

SUSPECT_TIME_S = 2.0
"""Time after its start request for which a run is recorded with a VM that reports: a crash may come
0.01 s after a start, and the leader may end before it knows. With a silent VM, all runs are
recorded."""
MAX_SUSPECTS = 60
"""Largest number of tasks recorded with a VM: 1.7 KB."""
CALL_LIMIT_DIVISOR = 2
"""Divisor of the store's limit per call that bounds the bytes of a batch."""


class Batch(msgspec.Struct):
    """Records that are appended together, and what holds once they are in the store."""

    records: list[Record]
    accepted_jobs: list[str] = []
    job_states: dict[str, int] = {}
    """State of the jobs whose progress is in the batch, by job."""
    vms_in_use: dict[str, int] = {}
    """Number of the use record, by VM that may be given work once the batch is stored."""
    last_completions: dict[str, int] = {}
    """Number of the last recorded completion, by VM."""
    recorded_runs: list[RunRow] = []
    """Runs whose start requests wait for this batch."""


class Journal:
    """Collects what has to be persisted."""

    def __init__(self, state: State, lifecycle: Lifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._accepting: dict[str, JobRow] = {}
        self._vms: dict[str, VmRow] = {}
        """VMs whose record is to be written, or dropped if they are no longer in use."""
        self._dropped: deque[Record] = deque()
        self._added: deque[Record] = deque()
        """Records that concern nothing else in memory."""
        self._recording: list[RunRow] = []

    def add_acceptance(self, job: JobRow) -> None:
        """Add a job's acceptance to the next batch."""
        self._accepting[job.name] = job

    def withdraw(self, name: str) -> bool:
        """Withdraw an acceptance that has not been sent, and return whether that was possible."""
        return self._accepting.pop(name, None) is not None

    def record_use(self, row: VmRow) -> None:
        """Record that a VM may run something."""
        row.recorded = True
        row.sealed = False
        row.use_record_number += 1
        self._vms[row.name] = row

    def record_disuse(self, row: VmRow) -> None:
        """Record that a VM runs nothing any more."""
        row.recorded = row.in_use = row.sealed = False
        self._vms[row.name] = row

    def seal(self, row: VmRow) -> None:
        """Record that only what a VM may run already can run there; nothing more is started."""
        row.sealed = True
        row.sealed_at = self._state.now
        self._vms[row.name] = row

    def open(self, row: VmRow) -> None:
        """Let a sealed VM be given work again, once the store no longer holds the seal."""
        row.sealed = False
        if not row.in_use:
            self.record_use(row)

    def update_vm_record(self, row: VmRow) -> None:
        """Update a VM's record of the tasks that its crash would be attributed to."""
        if row.recorded:
            self._vms[row.name] = row

    def record_runs(self, runs: list[RunRow]) -> None:
        """Mark runs as recorded once everything to be recorded by now is in the store."""
        self._recording += runs

    def forget_job(self, name: str) -> None:
        """Drop the record of an ended job."""
        self.drop_record(PROGRESS_PREFIX + name)

    def drop_record(self, key: str) -> None:
        """Drop the record of a key with one of the next batches."""
        self._dropped.append(Record(key))

    def add_record(self, record: Record) -> None:
        """Add a record to the next batch."""
        self._added.append(record)

    def has_pending(self) -> bool:
        """Return whether there is something to append."""
        state = self._state
        if self._accepting or self._added or self._vms or state.dirty_jobs or self._recording:
            return True
        return any(
            row.last_seen_completion > row.last_batched_completion for row in state.vms.values()
        )

    def next_batch(self) -> Batch:
        """Return the next batch; later batches do not repeat its contents.

        Its size in bytes is bounded, so that something may still be pending afterwards.
        """
        builder = _BatchBuilder(self._state)
        self._add_vms(builder, restricting=False)
        _add_all(builder, self._dropped)
        _add_all(builder, self._added)
        self._add_accepted(builder)
        self._add_progress(builder)
        if not self._state.dirty_jobs:
            # Until the progress of jobs includes a crash, the record of its VM may be the only
            # trace of it. A sealed record does not name the tasks that are done.
            self._add_vms(builder, restricting=True)
            # The effects of the completions are in this batch or in an earlier one.
            self._add_completions(builder.batch)
            self._add_recorded_runs(builder.batch)
        return builder.batch

    def _add_recorded_runs(self, batch: Batch) -> None:
        """Add the runs if the VMs' records and all earlier crashes are in batches by now."""
        if not self._vms:
            batch.recorded_runs = self._recording
            self._recording = []

    def _add_vms(self, builder: "_BatchBuilder", restricting: bool) -> None:
        """Add the records of the VMs that may run anything, or of those that may not any more."""
        for name, row in list(self._vms.items()):
            if (row.sealed or not row.recorded) is not restricting:
                continue
            record = Record(VM_PREFIX + name, self._vm_value(row))
            if not builder.accepts([record]):
                return
            del self._vms[name]
            if restricting:
                row.in_use = False
            if builder.add([record]) and not restricting:
                builder.batch.vms_in_use[name] = row.use_record_number

    def _vm_value(self, row: VmRow) -> bytes:
        if not row.recorded:
            return b""
        info = row.info
        suspects = self._suspects(row)
        record = VmRecord(
            info.address,
            info.pool,
            suspects,
            info.machine,
            info.instance,
            info.born,
            row.completions_unreliable,
            row.recorded_speed,
            row.earlier_poll_in_flight or row.lease_extended_until > self._state.now,
            self._state.epoch if row.sealed else 0,
            _sealed_tasks(row) if row.sealed else (),
        )
        return encode(record)

    def _suspects(self, row: VmRow) -> tuple[str, ...]:
        """Return the tasks that a crash of a VM would be attributed to, the latest first."""
        # Runs that may have come from the previous incarnation are in the record of that one.
        runs = sorted(
            (run for run in row.runs.values() if not run.previous_vm), key=_start_request_order
        )
        if row.uncertainty_recorded_at < row.last_report_at:
            after = self._state.now - SUSPECT_TIME_S
            runs = [run for run in runs if run.sent_at > after or self._is_suspected(run)]
        tasks = [run.task for run in runs]
        # Until its first report, the VM may run what a previous leader recorded.
        tasks += self._state.recorded_suspects.get(row.name, ())
        return tuple(dict.fromkeys(tasks))[:MAX_SUSPECTS]

    def _is_suspected(self, run: RunRow) -> bool:
        if run.state is RunState.RECORDING:
            return True
        task = run.owner
        return task is not None and (task.run_lost or bool(task.crashes))

    def _add_accepted(self, builder: "_BatchBuilder") -> None:
        while self._accepting:
            name, job = next(iter(self._accepting.items()))
            records = [Record(JOB_PREFIX + name, encode(job.record))]
            if not builder.accepts(records):
                return
            del self._accepting[name]
            if builder.add(records):
                builder.batch.accepted_jobs.append(name)

    def _add_progress(self, builder: "_BatchBuilder") -> None:
        state = self._state
        while state.dirty_jobs:
            name, job = next(iter(state.dirty_jobs.items()))
            progress = self._lifecycle.progress(job)
            records = [progress_record(name, progress, state.settings.record_bytes)]
            if job.state.is_final:
                records.append(Record(JOB_PREFIX + name))
            if not builder.accepts(records):
                return
            del state.dirty_jobs[name]
            if builder.add(records):
                builder.batch.job_states[name] = int(job.state)

    def _add_completions(self, batch: Batch) -> None:
        for row in self._state.vms.values():
            if row.last_seen_completion > row.last_batched_completion:
                row.last_batched_completion = row.last_seen_completion
                batch.last_completions[row.name] = row.last_seen_completion

    def batch_stored(self, batch: Batch) -> None:
        """Handle a batch that is in the store."""
        for name in batch.accepted_jobs:
            job = self._state.jobs.get(name)
            if job is not None:
                job.durable = True
        for name, number in batch.job_states.items():
            self._show_state(name, JobState(number))
        for vm, number in batch.vms_in_use.items():
            row = self._state.vms.get(vm)
            # A record that has since been dropped, or dropped and replaced, says nothing about the
            # latest one.
            current = row is not None and row.recorded and row.use_record_number == number
            if row is not None and current and not row.in_use and not row.sealed:
                row.in_use = True
                self._state.capacity_version += 1
        for vm, number in batch.last_completions.items():
            row = self._state.vms.get(vm)
            if row is not None:
                row.last_recorded_completion = max(row.last_recorded_completion, number)
        for run in batch.recorded_runs:
            run.recorded = True

    def _show_state(self, name: str, recorded: JobState) -> None:
        job = self._state.jobs.get(name)
        if job is None or job.visible_state.is_final:
            return
        job.visible_state = recorded
        if recorded.is_final:
            log_job_end(self._state.logger, job, self._state.now, self._state.wall_ms)
            job.run_completions.clear()
            job.drop_payload()


def _add_all(builder: "_BatchBuilder", records: deque[Record]) -> None:
    while records and builder.accepts([records[0]]):
        builder.add([records.popleft()])


def _sealed_tasks(row: VmRow) -> tuple[str, ...]:
    """Return the tasks that may run on a VM on which nothing more is started."""
    tasks = {run.task for run in row.runs.values()}
    if row.first_report_at < 0:
        tasks |= row.earlier_tasks or frozenset()
    return tuple(sorted(tasks))


def _start_request_order(run: RunRow) -> tuple[bool, float]:
    """Return a sort key: runs about to be requested first, then the latest requests."""
    return (run.state is not RunState.RECORDING, -run.sent_at)


class _BatchBuilder:
    """A batch that is being filled up to its limit in bytes."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._free_bytes = state.settings.call_bytes // CALL_LIMIT_DIVISOR
        self._is_full = False
        self.batch = Batch([])

    def accepts(self, records: list[Record]) -> bool:
        """Return whether records that belong together fit; an empty batch takes any.

        After a rejection all further records are rejected too: they may concern the same job and
        must come later.
        """
        if self.batch.records and call_size(records) > self._free_bytes:
            self._is_full = True
        return not self._is_full

    def add(self, records: list[Record]) -> bool:
        """Add records; return ``False``, adding none, if one is too large for the store.

        Sending such a record would block everything that comes after it.
        """
        limit = self._state.settings.record_bytes
        for record in records:
            if record_size(record) > limit:
                extra = {"key": record.key, "bytes": record_size(record)}
                self._state.logger.error("record too large", extra=extra)
                return False
        self._free_bytes -= call_size(records)
        self.batch.records += records
        return True
