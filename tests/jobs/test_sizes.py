"""Jobs that can't be recorded are refused, and progress is recorded as far as a record holds it."""

import asyncio

import pytest

from sablemount.control.messages import CallerCall, Operation, Outcome
from sablemount.jobs.model import JobSpec, QueueTerms, StepSpec
from sablemount.jobs.records import JobRecord, Progress, Record, decode_progress
from sablemount.jobs.sizes import call_size, progress_record, record_size, record_size_error
from sablemount.platform.store import encode_records
from tests.emulator.loop import run
from tests.emulator.system import CALL_TIMEOUT_S, HOST, PREFIX, System
from tests.jobs.rig import CORE, Rig, queue, spec

RECORD_BYTES = 262_144
TASKS = 20_000
RUNS = (4_000_070_001, 4_000_070_002)


def _progress(rig: Rig, job: JobSpec) -> Progress:
    """Return the progress of a job with as many failures and saved states as possible."""
    row = rig.accept("job", job)
    for step in row.steps.values():
        for task in step.tasks:
            task.failed_runs = set(RUNS)
            task.saved = "é" * 8
    return rig.scheduler.lifecycle.progress(row)


def test_sizes_are_those_that_the_store_counts() -> None:
    records = [Record("p/é", b"12345"), Record("w/w0")]
    assert call_size(records) == len(encode_records(records))
    assert record_size(records[0]) == len(encode_records(records[:1])) - 4


def test_progress_that_fits_is_recorded_completely() -> None:
    progress = _progress(Rig(), spec(StepSpec(200, CORE, saves=True), StepSpec(300, CORE)))
    record = progress_record("job", progress, RECORD_BYTES)
    assert decode_progress(record.value) == progress


@pytest.mark.parametrize("steps", [1, 100, 1_000])
def test_done_tasks_are_recorded_however_many_have_failed(steps: int) -> None:
    rig = Rig()
    job = spec(*[StepSpec(TASKS // steps, CORE, saves=True)] * steps)
    progress = _progress(rig, job)
    for recorded in progress.steps.values():
        recorded.done = f"{(1 << TASKS // steps) - 2:x}"
    record = progress_record("job", progress, RECORD_BYTES)
    kept = decode_progress(record.value)
    assert RECORD_BYTES * 0.9 < record_size(record) <= RECORD_BYTES
    assert {key: recorded.done for key, recorded in kept.steps.items()} == {
        key: recorded.done for key, recorded in progress.steps.items()
    }
    for key, recorded in kept.steps.items():
        assert recorded.failures.items() <= progress.steps[key].failures.items()
        assert recorded.saved.items() <= progress.steps[key].saved.items()


@pytest.mark.parametrize("steps", [1, 7, 300])
@pytest.mark.parametrize("times", [1, 9, 40])
def test_the_bound_on_the_size_of_done_tasks_holds(steps: int, times: int) -> None:
    job = JobSpec("payload", (StepSpec(60, CORE),) * steps, times, 1.0, 1.0)
    rig = Rig()
    row = rig.accept("job", job)
    for repetition in range(times):
        rig.scheduler.state.open_repetition(row, repetition)
    assert len(row.steps) == steps * times
    for step in row.steps.values():
        for task in step.tasks[:-1]:
            rig.scheduler.lifecycle.task_done(task)
    record = progress_record("job", rig.scheduler.lifecycle.progress(row), 10 * RECORD_BYTES)
    size = record_size(record)
    assert record_size_error("job", row.record, size - 1) is not None
    assert record_size_error("job", row.record, int(size * 1.6) + 1_000) is None


def test_too_many_repetitions_are_refused_by_their_field() -> None:
    job = JobSpec("payload", (StepSpec(1, CORE),), 2**62, 1.0, 1.0)
    fault = record_size_error("job", JobRecord(queue().terms, job, 1.0, 1), RECORD_BYTES)
    assert fault is not None and fault.path == "$.times"


def test_queue_terms_count_towards_the_size_of_a_record() -> None:
    job = spec(StepSpec(1, CORE, label="x" * 249_000))
    assert record_size_error("job", JobRecord(queue().terms, job, 1.0, 1), RECORD_BYTES) is None
    terms = QueueTerms("x" * 14_000, "pool")
    fault = record_size_error("job", JobRecord(terms, job, 1.0, 1), RECORD_BYTES)
    assert fault is not None and fault.path == "$.steps"


def test_a_caller_is_told_at_once_what_is_too_large() -> None:
    async def scenario() -> None:
        system = System(3)
        system.start_all()
        await asyncio.sleep(2.0)
        job = JobSpec("payload", (StepSpec(1, CORE),), 2**62, 1.0, 1.0)
        call = CallerCall(Operation.SUBMIT, HOST, PREFIX + "many", job)
        reply = await system.members["m0"].serve(call, CALL_TIMEOUT_S)
        assert (reply.outcome, reply.path) == (Outcome.INVALID, "$.times")

    run(scenario())
