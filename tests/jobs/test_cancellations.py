"""A cancellation that was acknowledged holds for a submission that comes afterwards."""

import asyncio
import contextvars
import random
from collections.abc import Coroutine

import pytest

from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.jobs.model import JobSpec, StepSpec
from sablemount.jobs.records import CANCELLATION_PREFIX
from sablemount.jobs.scheduler import Submission
from sablemount.jobs.systems import cancellations
from tests.emulator.late_starts import CANCEL_EFFECT_S
from tests.emulator.loop import OWNER, run
from tests.emulator.system import CALL_TIMEOUT_S, HOST, PREFIX, System
from tests.jobs.rig import CORE, Rig, queue, spec

NAME = "job"
JOB = spec(StepSpec(1, CORE))
RETENTION_S = 180.0
FROZEN_S = 3.9
MEMBERS = 4
LONG_DEADLINE_S = 30.0
"""Deadline of a caller that is still waiting once its machine goes on."""


def _submit(rig: Rig, organisation: str = "") -> Submission:
    return rig.scheduler.submit(NAME, queue(), JOB, organisation)


# -- The leader ------------------------------------------------------------------------------


def test_a_job_that_was_cancelled_before_it_came_is_not_taken() -> None:
    rig = Rig()
    assert rig.scheduler.cancellations.add(NAME, "")
    assert _submit(rig) is Submission.CANCELLED
    rig.commit()
    rig.tick()
    assert rig.started() == []


def test_a_next_leader_knows_what_was_cancelled() -> None:
    rig = Rig()
    rig.scheduler.cancellations.add(NAME, "")
    assert rig.scheduler.journal.has_pending()
    rig.commit()
    assert _submit(rig.successor()) is Submission.CANCELLED


def test_a_cancellation_is_dropped_with_the_jobs_that_ended_then() -> None:
    rig = Rig()
    rig.scheduler.cancellations.add(NAME, "")
    rig.commit()
    rig.wait(RETENTION_S - 1.0)
    rig.wait(0.6)
    assert _submit(rig) is Submission.CANCELLED
    rig.wait(1.0)
    rig.commit()
    assert len(rig.scheduler.cancellations) == 0
    assert CANCELLATION_PREFIX + NAME not in rig.store
    assert _submit(rig) is Submission.PENDING


def test_a_cancellation_by_one_organisation_concerns_no_other() -> None:
    rig = Rig()
    rig.scheduler.cancellations.add(NAME, "yard")
    rig.scheduler.cancellations.add(NAME, "couriers")
    assert _submit(rig, "yard") is Submission.CANCELLED
    assert _submit(rig, "couriers") is Submission.CANCELLED
    assert _submit(rig, "shops") is Submission.PENDING


def test_no_cancellation_is_acknowledged_that_can_not_be_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cancellations, "MAX_CANCELLATIONS", 3)
    rig = Rig()
    assert [rig.scheduler.cancellations.add(f"job{number}", "") for number in range(4)] == [
        True,
        True,
        True,
        False,
    ]
    assert rig.scheduler.cancellations.add("job0", "")


def test_who_hands_in_a_cancelled_job_is_not_asked_to_come_back() -> None:
    """Callers that did as told came back after three minutes, and the job was run."""

    async def scenario() -> None:
        system = await _started()
        assert (await _cancel(system, "m0")).outcome is Outcome.NO_JOB
        reply = await _hand_in(system, "m1", CALL_TIMEOUT_S)
        assert (reply.outcome, reply.retry_after) == (Outcome.NOT_TAKEN, 0.0)

    run(scenario())


# -- Members that stand still ----------------------------------------------------------------


def _owned(name: str, call: Coroutine[object, object, CallerReply]) -> "asyncio.Task[CallerReply]":
    """Serve a call at a member, in whose socket it waits while the member stands still."""
    context = contextvars.copy_context()
    context.run(OWNER.set, name)
    return asyncio.get_running_loop().create_task(call, context=context)


async def _started() -> System:
    system = System(MEMBERS)
    system.start_all()
    await asyncio.sleep(3.0)
    return system


def _hand_in(system: System, at: str, timeout: float) -> "asyncio.Task[CallerReply]":
    job = system.cell.register_job(NAME, JobSpec("payload", (StepSpec(1, CORE),)))
    system.cell.urls[NAME] = HOST + PREFIX + NAME
    call = CallerCall(Operation.SUBMIT, HOST, PREFIX + NAME, job)
    return _owned(at, system.members[at].serve(call, timeout))


async def _cancel(system: System, at: str) -> CallerReply:
    call = CallerCall(Operation.CANCEL, HOST, PREFIX + NAME)
    return await system.members[at].serve(call, CALL_TIMEOUT_S)


async def _settled_state(system: System, name: str) -> CallerReply:
    """Return the state of a job once some member answers."""
    while True:
        reply = await system.state(name)
        if reply is not None and reply.outcome is not Outcome.NOT_TAKEN:
            return reply
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("leader_stands_still", [False, True])
@pytest.mark.parametrize("timeout", [CALL_TIMEOUT_S, LONG_DEADLINE_S])
@pytest.mark.parametrize("leader_is_lost", [False, True])
def test_a_job_that_waited_at_a_member_is_not_run_after_its_cancelling(
    leader_stands_still: bool, timeout: float, leader_is_lost: bool
) -> None:
    """It was accepted as its member went on, seconds after the 410, and ran to its end."""

    async def scenario() -> None:
        system = await _started()
        leader = system.leader()
        assert leader is not None
        others = [name for name in system.members if name != leader]
        frozen = leader if leader_stands_still else others[0]
        system.suspend(frozen)
        submitting = _hand_in(system, frozen, timeout)
        await asyncio.sleep(0.3)
        reply = await _cancel(system, others[1])
        for _ in range(8):
            if reply.outcome is Outcome.NO_JOB:
                break
            await asyncio.sleep(0.3)
            reply = await _cancel(system, others[1])
        assert reply.outcome is Outcome.NO_JOB
        if leader_is_lost:
            present = system.leader()
            assert present is not None
            system.kill(present, 1.0)
        await asyncio.sleep(FROZEN_S)
        system.resume(frozen)
        await asyncio.sleep(5.0)
        late = await submitting if not submitting.cancelled() else None
        assert late is None or late.outcome in (Outcome.NOT_TAKEN, Outcome.UNKNOWN)
        assert not [task for task in system.cell.done if task.startswith(NAME)]
        assert not system.checker.violations
        assert (await _settled_state(system, NAME)).outcome is Outcome.NO_JOB

    run(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_an_acknowledged_cancelling_holds_wherever_members_stand_still(seed: int) -> None:
    """A mix: members stand still for a while, one after the other, as jobs come and are cancelled.

    Whatever the order of the two, a job does not run once its cancelling was acknowledged.
    """

    async def one(system: System, rng: random.Random, name: str) -> None:
        job = system.cell.register_job(name, JobSpec("payload", (StepSpec(1, CORE),)))
        system.cell.urls[name] = HOST + PREFIX + name
        at, elsewhere = rng.sample(sorted(system.members), 2)
        call = CallerCall(Operation.SUBMIT, HOST, PREFIX + name, job)
        submitting = _owned(at, system.members[at].serve(call, LONG_DEADLINE_S))
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        reply = None
        while reply is None or reply.outcome not in (Outcome.NO_JOB, Outcome.DONE):
            cancel = CallerCall(Operation.CANCEL, HOST, PREFIX + name)
            cancelling = _owned(elsewhere, system.members[elsewhere].serve(cancel, CALL_TIMEOUT_S))
            await asyncio.wait([cancelling], timeout=CALL_TIMEOUT_S + FROZEN_S)
            reply = cancelling.result() if cancelling.done() else None
            await asyncio.sleep(0.1)
        await asyncio.sleep(CANCEL_EFFECT_S)
        ended = {task for task in system.cell.done if task.startswith(name + ".")}
        await asyncio.sleep(FROZEN_S + 6.0)
        await asyncio.wait([submitting], timeout=1.0)
        assert {task for task in system.cell.done if task.startswith(name + ".")} == ended
        state = await _settled_state(system, name)
        if reply.outcome is Outcome.NO_JOB:
            assert state.outcome is Outcome.NO_JOB
        else:
            assert state.state == reply.state

    async def freeze(system: System, rng: random.Random) -> None:
        while True:
            name = rng.choice(sorted(system.members))
            system.suspend(name)
            await asyncio.sleep(rng.uniform(0.5, FROZEN_S))
            system.resume(name)
            await asyncio.sleep(rng.uniform(0.0, 2.0))

    async def scenario() -> None:
        system = await _started()
        rng = random.Random(seed)
        freezing = asyncio.get_running_loop().create_task(freeze(system, rng))
        jobs = []
        for number in range(10):
            jobs.append(one(system, rng, f"{seed}job{number}"))
        await asyncio.gather(*jobs)
        freezing.cancel()
        assert not system.checker.violations

    run(scenario())
