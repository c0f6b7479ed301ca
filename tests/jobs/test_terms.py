"""The terms in force decide for jobs that were accepted under other ones."""

from collections.abc import Iterable

import msgspec
import pytest

from sablemount.jobs.actions import AskAdvice, StartRun
from sablemount.jobs.model import AdviceTerms, Configuration, JobSpec, Queue, StepSpec
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.tables import JobState
from tests.jobs.rig import CORE, WALL_MS, Rig, queue, spec

PLAIN = queue()
ADVISED = queue(advice=AdviceTerms(20.0, 0.3, 2000.0))
TWO_STEPS = spec(StepSpec(2, CORE), StepSpec(2, CORE, after=(0,)))
VALID_MS = 2000.0


def _rig(terms: Queue, epoch: int = 1) -> Rig:
    rig = Rig(queues=(terms,), epoch=epoch)
    rig.scheduler.advice.set_call_slots({"m0", "m1"})
    return rig


def _configure(rig: Rig, terms: Queue) -> None:
    rig.configuration = Configuration(rig.scheduler.state.configuration.version + 1, (terms,))
    rig.scheduler.apply_configuration(rig.configuration)


def _answer(rig: Rig, calls: Iterable[AskAdvice]) -> None:
    for call in calls:
        tickets = {vm: f"ticket of {vm}" for vm in call.vms}
        rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, tickets, VALID_MS)
    rig.tick()


def _finish(rig: Rig, starts: Iterable[StartRun]) -> None:
    for start in starts:
        rig.complete(start, "done")
    rig.report_all()
    rig.tick()
    rig.commit()


def _refuse(rig: Rig, starts: Iterable[StartRun]) -> None:
    for start in starts:
        rig.scheduler.start_refused(start.vm, start.task, start.run, StartRefusal.TICKET, True)


# -- Advice ----------------------------------------------------------------------------------


def test_a_later_step_asks_for_advice_that_came_after_the_acceptance() -> None:
    """It was started without a ticket and rejected, for as long as the job was open."""
    rig = _rig(PLAIN)
    rig.accept("job", TWO_STEPS, PLAIN)
    rig.tick()
    _configure(rig, ADVISED)
    _finish(rig, rig.started())
    assert len(rig.started()) == 2
    _answer(rig, rig.advice_calls())
    assert {start.ticket for start in rig.started()[2:]} <= {"ticket of w0", "ticket of w1"}
    assert len(rig.started()) == 4


def test_a_later_step_starts_without_advice_that_has_been_taken_away() -> None:
    """It waited for a service that was no longer there, and nothing was ever started."""
    rig = _rig(ADVISED)
    rig.accept("job", TWO_STEPS, ADVISED)
    rig.tick()
    _answer(rig, rig.advice_calls())
    _configure(rig, PLAIN)
    asked = len(rig.advice_calls())
    _finish(rig, rig.started())
    assert [start.ticket for start in rig.started()[2:]] == ["", ""]
    assert len(rig.advice_calls()) == asked


def test_an_open_step_whose_starts_are_refused_asks_for_advice() -> None:
    rig = _rig(PLAIN)
    rig.accept("job", TWO_STEPS, PLAIN)
    rig.tick()
    _configure(rig, ADVISED)
    _refuse(rig, rig.started())
    rig.tick()
    _answer(rig, rig.advice_calls())
    assert [bool(start.ticket) for start in rig.started()] == [False, False, True, True]


def test_a_step_that_waits_for_an_answer_starts_once_advice_is_taken_away() -> None:
    rig = _rig(ADVISED)
    rig.accept("job", TWO_STEPS, ADVISED)
    rig.tick()
    calls = rig.advice_calls()
    assert calls and not rig.started()
    _configure(rig, PLAIN)
    rig.tick()
    assert [start.ticket for start in rig.started()] == ["", ""]
    _answer(rig, calls)
    assert len(rig.started()) == 2


def test_an_answer_for_earlier_advice_leaves_the_next_request_alone() -> None:
    """The slot of the former call counted down the calls in flight of the next advice."""
    rig = _rig(ADVISED)
    row = rig.accept("job", TWO_STEPS, ADVISED)
    rig.tick()
    calls = rig.advice_calls()
    _configure(rig, PLAIN)
    _configure(rig, ADVISED)
    rig.tick()
    repeated = [call for call in rig.advice_calls() if call not in calls]
    _answer(rig, calls)
    advice = row.steps[(0, 0)].advice
    assert advice is not None
    assert advice.calls_in_flight == len(repeated) == 1
    assert not rig.started()
    _answer(rig, repeated)
    assert len(rig.started()) == 2


def test_tickets_are_kept_where_only_the_time_of_a_call_changes() -> None:
    rig = _rig(ADVISED)
    rig.accept("job", TWO_STEPS, ADVISED)
    rig.tick()
    _configure(rig, queue(advice=AdviceTerms(40.0, 0.6, 1000.0)))
    _answer(rig, rig.advice_calls())
    assert [bool(start.ticket) for start in rig.started()] == [True, True]


def test_a_gang_that_is_half_started_as_advice_comes_starts_anew_with_tickets() -> None:
    rig = _rig(PLAIN)
    rig.accept("job", spec(StepSpec(2, CORE, gang=True)), PLAIN)
    rig.tick()
    first, second = rig.started()
    rig.hold(first)
    rig.report_all()
    _configure(rig, ADVISED)
    _refuse(rig, [second])
    rig.tick()
    assert [stop.task for stop in rig.stopped()] == [first.task]
    rig.complete(first, "stopped")
    rig.report_all()
    rig.tick()
    _answer(rig, rig.advice_calls())
    later = rig.started()[2:]
    assert [(start.run, bool(start.ticket)) for start in later] == [(first.run + 1, True)] * 2


def test_a_repetition_that_opens_later_goes_by_the_terms_in_force() -> None:
    rig = _rig(PLAIN)
    due_ms = WALL_MS + rig.clock.time * 1000.0 - 100.0
    job = JobSpec("payload", (StepSpec(1, CORE),), 2, due_ms, 5_000.0)
    rig.accept("job", job, PLAIN)
    rig.tick()
    _configure(rig, ADVISED)
    _finish(rig, rig.started())
    rig.wait(5.1)
    assert len(rig.started()) == 1
    _answer(rig, rig.advice_calls())
    assert rig.started()[-1].task == "job.1.0.0"
    assert rig.started()[-1].ticket


# -- A later leader --------------------------------------------------------------------------


@pytest.mark.parametrize("configured_first", [True, False])
def test_a_next_leader_goes_by_the_terms_in_force(configured_first: bool) -> None:
    rig = _rig(PLAIN)
    rig.accept("job", TWO_STEPS, PLAIN)
    rig.tick()
    _configure(rig, ADVISED)
    _finish(rig, rig.started())
    later = rig.successor()
    later.scheduler.advice.set_call_slots({"m0", "m1"})
    if not configured_first:
        # The rig configures a scheduler before it loads; here the terms come afterwards.
        later.scheduler.state.terms["q"] = PLAIN.terms
        for step in later.scheduler.state.jobs["job"].steps.values():
            step.advice = None
        _configure(later, ADVISED)
    later.report_all()
    later.wait(20.0)
    later.tick()
    assert later.started() == []
    _answer(later, later.advice_calls())
    assert [bool(start.ticket) for start in later.started()] == [True, True]


def test_starts_are_bounded_while_vms_want_tickets_of_terms_that_are_not_known_yet() -> None:
    """Some 400 starts a second were rejected."""
    rig = _rig(PLAIN)
    rig.accept("job", spec(StepSpec(4, CORE)), PLAIN)
    refused = 0
    for _ in range(200):
        rig.tick(0.01)
        starts = rig.started()
        _refuse(rig, starts[refused:])
        refused = len(starts)
    assert refused <= 4 * 5
    _configure(rig, ADVISED)
    rig.tick()
    _answer(rig, rig.advice_calls())
    assert [bool(start.ticket) for start in rig.started()[refused:]] == [True] * 4


def test_a_vm_that_still_wants_tickets_is_asked_again_soon() -> None:
    """A VM may learn later than the leader that advice is taken away."""
    rig = _rig(ADVISED)
    rig.accept("job", spec(StepSpec(1, CORE)), ADVISED)
    _configure(rig, PLAIN)
    rig.tick()
    _refuse(rig, rig.started())
    rig.tick()
    assert len(rig.started()) == 1
    rig.wait(0.3)
    assert len(rig.started()) == 2


# -- Attempts --------------------------------------------------------------------------------


def _attempts(count: int) -> Queue:
    return msgspec.structs.replace(
        PLAIN, terms=msgspec.structs.replace(PLAIN.terms, max_attempts=count)
    )


def _fail_once(rig: Rig) -> None:
    rig.tick()
    rig.complete(rig.started()[-1], "failed")
    rig.report_all()
    rig.commit()
    rig.wait(3.0)


def test_a_task_may_fail_as_often_as_the_terms_in_force_allow() -> None:
    """A job went on by the attempts of its acceptance, against the configuration."""
    rig = _rig(_attempts(3))
    row = rig.accept("job", spec(StepSpec(1, CORE)), _attempts(3))
    _fail_once(rig)
    _configure(rig, _attempts(2))
    _fail_once(rig)
    rig.commit()
    assert row.visible_state is JobState.FAILED


def test_a_job_that_has_used_up_its_attempts_by_new_terms_fails_at_once() -> None:
    rig = _rig(_attempts(3))
    row = rig.accept("job", spec(StepSpec(1, CORE)), _attempts(3))
    _fail_once(rig)
    _fail_once(rig)
    started = len(rig.started())
    _configure(rig, _attempts(2))
    rig.tick()
    rig.commit()
    assert row.visible_state is JobState.FAILED
    assert len(rig.started()) == started


def test_more_attempts_are_given_to_a_job_accepted_before() -> None:
    rig = _rig(_attempts(1))
    row = rig.accept("job", spec(StepSpec(1, CORE)), _attempts(1))
    rig.tick()
    _configure(rig, _attempts(2))
    _fail_once(rig)
    assert row.state is not JobState.FAILED
    assert len(rig.started()) == 2
