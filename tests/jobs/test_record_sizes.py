"""Everything that is accepted fits into the store's records and calls.

The store refuses a record or a call above its limits each time it is sent. A batch with such a
record is repeated forever and blocks all later acceptances and completions, under each later leader
again if the VMs list what made the record too large.
"""

import asyncio

import pytest

from sablemount.control.messages import CallerCall, Operation, Outcome
from sablemount.control.store import AppendResult, Producer, Topic, Unavailable
from sablemount.jobs.model import JobSpec, StepSpec, check_spec
from sablemount.jobs.records import JobRecord, Record, encode
from tests.emulator.loop import run
from tests.emulator.system import CALL_TIMEOUT_S, HOST, PREFIX, System
from tests.jobs.rig import CORE, Rig, queue, spec

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
SAVED = "00000bb87a21d94b"


def _size(record: Record) -> int:
    return 1 + len(record.key) + len(record.value)


def test_an_accepted_job_fits_into_a_record() -> None:
    # The size of the largest request, in a single label.
    job = JobSpec("payload", (StepSpec(1, CORE, label="x" * 262_000),))
    value = encode(JobRecord(queue().terms, job, 1.8e12, 1))
    assert check_spec(job) is not None or _size(Record("j/job", value)) <= RECORD_BYTES


@pytest.mark.parametrize(("jobs", "tasks"), [(1, 20_000), (1_000, 200)])
def test_progress_fits_into_records_and_calls(jobs: int, tasks: int) -> None:
    rig = Rig(vms=1)
    state = rig.scheduler.state
    for number in range(jobs):
        row = rig.accept(f"job{number}", spec(StepSpec(tasks, CORE, saves=True)))
        for task in row.steps[(0, 0)].tasks:
            task.saved = SAVED
    # The store did not answer for a while, and a task of each job has completed since.
    for row in state.jobs.values():
        state.mark_dirty(row)
    record_count = 0
    while rig.scheduler.journal.has_pending():
        records = rig.scheduler.next_batch().records
        record_count += len(records)
        assert max(map(_size, records)) <= RECORD_BYTES
        assert sum(4 + _size(record) for record in records) <= CALL_BYTES
    assert record_count >= jobs


def _refuse_large_records(system: System) -> None:
    """Have the store refuse each append that holds a record above its limit."""
    append = system.store.append

    def append_bounded(
        topic: Topic, records: list[Record], producer: Producer | None, at: int | None
    ) -> AppendResult:
        if any(_size(record) > RECORD_BYTES for record in records):
            return Unavailable("status 400", certain=True)
        return append(topic, records, producer, at)

    system.store.append = append_bounded  # type: ignore[method-assign]


def test_a_job_that_is_too_large_does_not_block_other_acceptances() -> None:
    async def scenario() -> None:
        system = System(7)
        _refuse_large_records(system)
        system.start_all()
        await asyncio.sleep(2.0)
        large = JobSpec("payload", (StepSpec(1, CORE, label="x" * 300_000),))
        call = CallerCall(Operation.SUBMIT, HOST, PREFIX + "large", large)
        refused = asyncio.create_task(system.members["m0"].serve(call, CALL_TIMEOUT_S))
        await asyncio.sleep(0.5)
        reply = await system.submit_once("m1", "other")
        assert (await refused).outcome is not Outcome.DONE
        assert reply.outcome is Outcome.DONE

    run(scenario())
