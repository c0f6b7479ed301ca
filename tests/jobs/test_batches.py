"""Batches are bounded in bytes, and records that depend on each other stay in order."""

import asyncio

from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.jobs.journal import Batch
from sablemount.jobs.model import JobSpec, StepSpec
from sablemount.jobs.sizes import call_size
from tests.emulator.loop import run
from tests.emulator.system import CALL_TIMEOUT_S, HOST, PREFIX, System
from tests.jobs.rig import CORE, Rig, queue, spec

CALL_BYTES = 2_097_152
JOBS = 25
WIDE = JobSpec("payload", (StepSpec(1, CORE, label="x" * 200_000),))


def _batches(rig: Rig) -> list[Batch]:
    batches = []
    while rig.scheduler.journal.has_pending():
        batches.append(rig.scheduler.next_batch())
    return batches


def _stored(batches: list[Batch]) -> dict[str, bytes]:
    """Return the contents of a store after some batches."""
    stored: dict[str, bytes] = {}
    for record in [record for batch in batches for record in batch.records]:
        stored.pop(record.key, None)
        if record.value:
            stored[record.key] = record.value
    return stored


def test_acceptances_are_bounded_and_the_oldest_go_first() -> None:
    rig = Rig()
    for number in range(JOBS):
        rig.scheduler.submit(f"job{number}", queue(), WIDE)
    batches = _batches(rig)
    assert len(batches) > 2
    assert all(call_size(batch.records) <= CALL_BYTES for batch in batches)
    names = [name for batch in batches for name in batch.accepted_jobs]
    assert names == [f"job{number}" for number in range(JOBS)]


def test_a_job_that_ends_before_it_is_sent_does_not_come_back() -> None:
    rig = Rig()
    for number in range(JOBS):
        rig.scheduler.submit(f"job{number}", queue(), WIDE)
        rig.scheduler.cancel(f"job{number}")
    stored = _stored(_batches(rig))
    assert sorted(stored) == sorted(f"p/job{number}" for number in range(JOBS))


def test_ends_are_acknowledged_after_all_that_they_changed() -> None:
    rig = Rig(vms=1)
    row = rig.scheduler.state.vms["w0"]
    jobs = [rig.accept(f"job{number}", spec(StepSpec(20_000, CORE))) for number in range(JOBS)]
    for job in jobs:
        for task in job.steps[(0, 0)].tasks[:18_000]:
            task.failed_runs = {1}
        rig.scheduler.state.mark_dirty(job)
    row.last_seen_completion = 7
    batches = _batches(rig)
    assert len(batches) > 2
    assert [batch.last_completions for batch in batches] == [{}] * (len(batches) - 1) + [{"w0": 7}]
    rig.scheduler.batch_stored(batches[0])
    assert row.last_recorded_completion == 0
    for batch in batches[1:]:
        rig.scheduler.batch_stored(batch)
    assert row.last_recorded_completion == 7


def test_what_is_too_large_is_left_out_and_not_taken_for_recorded() -> None:
    rig = Rig()
    # The scheduler's own check of the job's size is bypassed here.
    rig.scheduler.submit("large", queue(), JobSpec("payload", (StepSpec(1, label="x" * 300_000),)))
    rig.scheduler.submit("other", queue(), spec(StepSpec(1, CORE)))
    batch = rig.commit()
    assert [record.key for record in batch.records] == ["j/other"]
    jobs = rig.scheduler.state.jobs
    assert (jobs["large"].durable, jobs["other"].durable) == (False, True)


def test_many_wide_jobs_are_accepted_at_once() -> None:
    async def scenario() -> None:
        system = System(11)
        sizes = []
        append = system.store.append

        def append_noting_size(topic, records, producer, at):  # type: ignore[no-untyped-def]
            sizes.append(call_size(records))
            return append(topic, records, producer, at)

        system.store.append = append_noting_size  # type: ignore[method-assign]
        system.start_all()
        await asyncio.sleep(2.0)

        async def hand_in(number: int) -> CallerReply:
            call = CallerCall(Operation.SUBMIT, HOST, f"{PREFIX}job{number}", WIDE)
            return await system.members["m0"].serve(call, CALL_TIMEOUT_S)

        replies = await asyncio.gather(*map(hand_in, range(JOBS)))
        assert [reply.outcome for reply in replies] == [Outcome.DONE] * JOBS
        assert max(sizes) <= CALL_BYTES

    run(scenario())
