"""What fits into the store: bytes of records, and how far a job is in a record's room.

Of a job's progress, what is done always fits, or the job is not taken. Crashes, failures and saved
states are left out where they don't: later leaders then allow more attempts, or start tasks anew.
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

__all__ = ["call_size", "progress_record", "record_fault", "record_size"]

KEY_HEAD = 1
"""Bytes before a record's key."""
RECORD_HEAD = 4
"""Bytes before a record in a call."""
PROGRESS_BYTES = 64
"""Bytes of a job's progress beside its steps at most, while it has not ended."""
STEP_BYTES = 11
"""Bytes of a step's progress beside its key and its mask at most: the heads of five values."""
TABLE_BYTES = 8
"""Bytes by which the heads of a step's two tables may grow as they are filled."""
CRASH_TABLE_BYTES = 32
"""Bytes of the names and heads of the tables of crashes and their weights at most."""
PAIR_HEAD = 1
"""Bytes by which a pair is longer than its two values."""
BITS = 4
"""Tasks in a character of a mask."""


def record_size(record: Record) -> int:
    """Return the bytes of a record, as the store counts them."""
    return KEY_HEAD + len(record.key.encode()) + len(record.value)


def call_size(records: list[Record]) -> int:
    """Return the bytes of a call that appends records."""
    return sum(RECORD_HEAD + record_size(record) for record in records)


def record_fault(name: str, job: JobRecord, limit: int) -> SpecError | None:
    """Return what of a job is too large for its records, of ``limit`` bytes each at most."""
    if record_size(Record(JOB_PREFIX + name, encode(job))) > limit:
        return SpecError("$.steps", f"more than fits into a record of {limit} bytes")
    if _progress_size(name, job.spec, 1) > limit:
        return SpecError("$.steps", f"what is done does not fit into a record of {limit} bytes")
    if _progress_size(name, job.spec, max(1, job.spec.times)) > limit:
        return SpecError("$.times", f"what is done does not fit into a record of {limit} bytes")
    return None


def _progress_size(name: str, spec: JobSpec, times: int) -> int:
    """Return what the record of all that is done after some repetitions takes at most."""
    key = len(f"{times - 1}.{len(spec.steps) - 1}")
    steps = sum(STEP_BYTES + key + step.count // BITS + 1 for step in spec.steps)
    return record_size(Record(PROGRESS_PREFIX + name)) + PROGRESS_BYTES + times * steps


def progress_record(name: str, progress: Progress, limit: int) -> Record:
    """Return the record of a job's progress, with what fits into ``limit`` bytes."""
    record = Record(PROGRESS_PREFIX + name, encode(progress))
    if record_size(record) <= limit:
        return record
    bare = {key: StepProgress(noted.done) for key, noted in progress.steps.items()}
    kept = Progress(progress.state, bare)
    least = record_size(Record(PROGRESS_PREFIX + name, encode(kept)))
    room = limit - least - TABLE_BYTES * len(bare) - CRASH_TABLE_BYTES
    _fill(kept, progress, _fill_crashes(kept, progress, room))
    return Record(PROGRESS_PREFIX + name, encode(kept))


def _fill_crashes(kept: Progress, progress: Progress, room: int) -> int:
    """Add crashes as far as there is room; return what is left of it."""
    for key, vms in progress.crashes.items():
        weights = progress.weights.get(key)
        room -= _entry_size(key, vms)
        room -= 0 if weights is None else _entry_size(key, weights)
        if room < 0:
            return room
        kept.crashes[key] = vms
        if weights is not None:
            kept.weights[key] = weights
    return room


def _entry_size(
    index: int | str, noted: tuple[int, ...] | tuple[float, ...] | tuple[str, ...] | str
) -> int:
    """Return the bytes of an entry of a table."""
    return len(msgspec.msgpack.encode((index, noted))) - PAIR_HEAD


def _fill(kept: Progress, progress: Progress, room: int) -> None:
    """Add failures, and then saved states, as far as there is room."""
    if room < 0:
        return
    for key, noted in progress.steps.items():
        for index, runs in noted.failures.items():
            room -= _entry_size(index, runs)
            if room < 0:
                return
            kept.steps[key].failures[index] = runs
    for key, noted in progress.steps.items():
        for index, text in noted.saved.items():
            room -= _entry_size(index, text)
            if room < 0:
                return
            kept.steps[key].saved[index] = text
