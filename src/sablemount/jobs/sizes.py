"""Sizes of records in the store, and how a job's progress is cut to the size of a record.

Which tasks are done always fits into the progress record; otherwise the job is refused. Crashes,
failures and saved states are left out where they do not fit: later leaders then allow more
attempts, or start tasks from the beginning.
"""

import msgspec

from sablemount.jobs.model import JobSpec, SpecError
from sablemount.jobs.records import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    JobRecord,
    Progress,
    Record,
    StepProgress,
    encode,
)

__all__ = ["call_size", "max_progress_size", "progress_record", "record_size_error", "record_size"]

KEY_HEADER_BYTES = 1
"""Bytes before the key of a record."""
RECORD_HEADER_BYTES = 4
"""Bytes before each record of a call."""
MAX_PROGRESS_BASE_BYTES = 96
"""Upper bound of a progress record's bytes without its steps and masks, while the job has not
ended."""
MAX_STEP_BASE_BYTES = 11
"""Upper bound of the bytes of a step's progress without its key and mask: five value headers."""
TABLE_HEADER_GROWTH_BYTES = 8
"""Bytes by which the headers of a step's two tables may grow as entries are added."""
MAX_CRASH_TABLES_BASE_BYTES = 32
"""Upper bound of the bytes of the names and headers of the tables of crashes and weights."""
PAIR_HEADER_BYTES = 1
"""Bytes by which a pair is longer than its two values."""
TASKS_PER_MASK_DIGIT = 4
"""Number of tasks per character of a mask."""


def record_size(record: Record) -> int:
    """Return the size of a record in bytes, as the store counts it."""
    return KEY_HEADER_BYTES + len(record.key.encode()) + len(record.value)


def call_size(records: list[Record]) -> int:
    """Return the size in bytes of a call that appends records."""
    return sum(RECORD_HEADER_BYTES + record_size(record) for record in records)


def record_size_error(name: str, job: JobRecord, limit: int) -> SpecError | None:
    """Return which part of a job is too large for a record of at most ``limit`` bytes."""
    if record_size(Record(JOB_PREFIX + name, encode(job))) > limit:
        return SpecError("$.steps", f"more than fits into a record of {limit} bytes")
    if _max_progress_size(name, job.spec, 1) > limit:
        return SpecError("$.steps", f"what is done does not fit into a record of {limit} bytes")
    if max_progress_size(name, job.spec) > limit:
        return SpecError("$.times", f"what is done does not fit into a record of {limit} bytes")
    return None


def max_progress_size(name: str, spec: JobSpec) -> int:
    """Return the largest size of a job's progress record that holds only which tasks are done."""
    return _max_progress_size(name, spec, max(1, spec.times))


def _max_progress_size(name: str, spec: JobSpec, times: int) -> int:
    """Return the largest size of a progress record that holds only which tasks are done.

    ``times`` is the number of repetitions that it covers.
    """
    key = len(f"{times - 1}.{len(spec.steps) - 1}")
    steps = sum(
        MAX_STEP_BASE_BYTES + key + step.count // TASKS_PER_MASK_DIGIT + 1 for step in spec.steps
    )
    completed = times // TASKS_PER_MASK_DIGIT + 1
    base = record_size(Record(PROGRESS_PREFIX + name)) + MAX_PROGRESS_BASE_BYTES
    return base + completed + times * steps


def progress_record(name: str, progress: Progress, limit: int) -> Record:
    """Return the record of a job's progress, reduced to what fits into ``limit`` bytes."""
    record = Record(PROGRESS_PREFIX + name, encode(progress))
    if record_size(record) <= limit:
        return record
    done_only = {key: StepProgress(step.done) for key, step in progress.steps.items()}
    kept = msgspec.structs.replace(progress, steps=done_only, crashes={}, weights={})
    base_size = record_size(Record(PROGRESS_PREFIX + name, encode(kept)))
    free_bytes = (
        limit - base_size - TABLE_HEADER_GROWTH_BYTES * len(done_only) - MAX_CRASH_TABLES_BASE_BYTES
    )
    _add_failures_and_saved(kept, progress, _add_crashes(kept, progress, free_bytes))
    return Record(PROGRESS_PREFIX + name, encode(kept))


def _add_crashes(kept: Progress, progress: Progress, free_bytes: int) -> int:
    """Add crashes as far as there is room; return the remaining bytes."""
    for key, vms in progress.crashes.items():
        weights = progress.weights.get(key)
        free_bytes -= _entry_size(key, vms)
        free_bytes -= 0 if weights is None else _entry_size(key, weights)
        if free_bytes < 0:
            return free_bytes
        kept.crashes[key] = vms
        if weights is not None:
            kept.weights[key] = weights
    return free_bytes


def _entry_size(
    index: int | str, value: tuple[int, ...] | tuple[float, ...] | tuple[str, ...] | str
) -> int:
    """Return the bytes of a table entry."""
    return len(msgspec.msgpack.encode((index, value))) - PAIR_HEADER_BYTES


def _add_failures_and_saved(kept: Progress, progress: Progress, free_bytes: int) -> None:
    """Add failures, then saved states, as far as there is room."""
    if free_bytes < 0:
        return
    for key, step in progress.steps.items():
        for index, runs in step.failures.items():
            free_bytes -= _entry_size(index, runs)
            if free_bytes < 0:
                return
            kept.steps[key].failures[index] = runs
    for key, step in progress.steps.items():
        for index, text in step.saved.items():
            free_bytes -= _entry_size(index, text)
            if free_bytes < 0:
                return
            kept.steps[key].saved[index] = text
