"""A job that has ended, or that was withdrawn, opens no step, whatever follows in which order."""

import logging
import random
from collections.abc import Callable

import msgspec
import pytest

from sablemount.jobs.journal import Batch
from sablemount.jobs.model import AdviceTerms, JobSpec, StepSpec
from sablemount.jobs.records import JOB_PREFIX
from sablemount.jobs.scheduler import StartRefusal
from sablemount.jobs.tables import JobState
from tests.jobs.rig import CORE, WALL_MS, Rig, queue, spec

TIMES = 4
INTERVAL_S = 2.0
DUE_MARGIN_S = 0.05
"""Seconds after a due time by which its repetition has been opened."""
ADVISED = queue("q", 0, AdviceTerms(9.0, 0.1, 2000.0))


def _timed(rig: Rig, due_in: float, *steps: StepSpec) -> JobSpec:
    """Return a job whose first time is due in some seconds."""
    due_ms = WALL_MS + (rig.clock.time + due_in) * 1000.0
    return msgspec.structs.replace(
        spec(*(steps or (StepSpec(2, CORE),))),
        times=TIMES,
        first_due_ms=due_ms,
        interval_ms=INTERVAL_S * 1000.0,
    )


def _wait_for_all_times(rig: Rig) -> None:
    """Let all due times of a job pass, with a tick and a commit at short intervals."""
    for _ in range(int((TIMES + 2) * INTERVAL_S / 0.25)):
        rig.wait(0.25)
        rig.commit()


def _fail_a_task(rig: Rig) -> None:
    """Let the latest start, and its repetitions, fail until the job has failed."""
    for _ in range(3):
        rig.wait(0.1)
        rig.complete(rig.started()[-1], "failed")
        rig.report_all()


def _expect_nothing_open(rig: Rig) -> None:
    assert list(rig.scheduler.state.open_steps) == []
    assert list(rig.scheduler.state.open_jobs) == []


# -- Ends ------------------------------------------------------------------------------------


def test_a_cancelled_job_is_not_started_once_its_end_is_stored() -> None:
    """Cancelled long before its first time, it was started as its payload was dropped."""
    rig = Rig()
    rig.accept("job", _timed(rig, 30.0))
    rig.tick()
    rig.scheduler.cancel("job")
    rig.commit()
    rig.tick()
    _expect_nothing_open(rig)
    assert rig.started() == []


@pytest.mark.parametrize("due_times_passed", [1, 2, 3])
def test_a_time_that_falls_due_between_a_cancel_and_the_tick_is_not_started(
    due_times_passed: int,
) -> None:
    """The due repetitions were opened before the end of their job was looked at."""
    rig = Rig()
    rig.accept("job", _timed(rig, 0.5))
    rig.clock.time += 0.5 + (due_times_passed - 1) * INTERVAL_S
    rig.tick(0.0)
    before = len(rig.started())
    rig.scheduler.cancel("job")
    rig.tick(DUE_MARGIN_S)
    _expect_nothing_open(rig)
    assert len(rig.started()) == before


@pytest.mark.parametrize("stored", [False, True])
def test_a_job_that_fails_is_not_started_at_its_later_times(stored: bool) -> None:
    """A time that fell due before the next tick was started."""
    rig = Rig(vms=4)
    job = rig.accept("job", _timed(rig, 0.0, StepSpec(1, CORE)))
    rig.tick(DUE_MARGIN_S)
    _fail_a_task(rig)
    assert job.state is JobState.FAILED
    before = len(rig.started())
    if stored:
        rig.commit()
    rig.clock.time += INTERVAL_S
    rig.tick()
    _wait_for_all_times(rig)
    _expect_nothing_open(rig)
    assert len(rig.started()) == before


def test_an_end_that_is_stored_while_nothing_ticks_opens_nothing() -> None:
    """A leader without authority does not tick, but goes on to store what has ended."""
    rig = Rig()
    rig.accept("job", _timed(rig, 0.5))
    rig.scheduler.cancel("job")
    rig.clock.time += 5.0
    rig.commit()
    rig.report_all()
    rig.tick()
    _expect_nothing_open(rig)
    assert rig.started() == []


# -- Withdrawals -----------------------------------------------------------------------------


def test_a_withdrawn_job_asks_for_no_advice_at_its_times() -> None:
    """Its repetitions were opened at their times, and asked for advice until they were placed."""
    rig = Rig(queues=(ADVISED,))
    rig.scheduler.advice.set_call_slots({"one", "two"})
    rig.scheduler.submit("job", ADVISED, _timed(rig, 1.0))
    assert rig.scheduler.withdraw("job")
    _wait_for_all_times(rig)
    _expect_nothing_open(rig)
    assert rig.advice_calls() == []


def test_a_job_that_is_submitted_again_after_its_withdrawal_runs_once() -> None:
    rig = Rig()
    rig.scheduler.submit("job", queue(), _timed(rig, 1.0))
    assert rig.scheduler.withdraw("job")
    rig.accept("job", _timed(rig, 1.0))
    _wait_for_all_times(rig)
    tasks = [start.task for start in rig.started()]
    assert len(set(tasks)) == 2 * TIMES
    assert {start.payload for start in rig.started()} == {"payload"}


# -- Work in progress at the end -------------------------------------------------------------


def test_a_start_that_waits_for_the_store_is_not_requested_after_its_job_has_ended() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(2, CORE, gang=True)))
    later = rig.successor()
    later.records_at_once = False
    later.wait(0.1)
    later.tick()
    assert later.scheduler.starts.has_pending()
    later.scheduler.cancel("job")
    later.commit()
    later.wait(1.0)
    _expect_nothing_open(later)
    assert later.started() == []
    assert not later.scheduler.starts.has_pending()


def test_advice_that_arrives_after_the_end_of_its_job_starts_nothing() -> None:
    rig = Rig(queues=(ADVISED,))
    rig.scheduler.advice.set_call_slots({"one", "two"})
    rig.accept("job", spec(StepSpec(2, CORE)), ADVISED)
    rig.tick()
    (call,) = rig.advice_calls()
    rig.scheduler.cancel("job")
    tickets = dict.fromkeys(call.vms, "ticket")
    rig.scheduler.advice.answered(call.call_slot, call.step, call.vms, tickets, 2000.0)
    rig.wait(0.1)
    assert rig.started() == []
    assert len(rig.advice_calls()) == 1


def test_a_job_that_is_cancelled_before_the_store_has_it_is_stored_as_ended() -> None:
    rig = Rig()
    rig.scheduler.submit("job", queue(), _timed(rig, 0.5))
    rig.scheduler.cancel("job")
    rig.commit()
    later = rig.successor()
    for each in (rig, later):
        _wait_for_all_times(each)
        _expect_nothing_open(each)
        assert each.started() == []
        assert each.scheduler.state.jobs["job"].visible_state is JobState.CANCELLED


@pytest.mark.parametrize("outcome", ["done", "failed", "stopped", "lapsed", "broken", "alone"])
@pytest.mark.parametrize("gang", [False, True])
def test_what_vms_report_after_the_end_of_a_job_opens_nothing(outcome: str, gang: bool) -> None:
    rig = Rig()
    first, second = StepSpec(2, CORE, gang=gang), StepSpec(1, CORE, after=(0,))
    rig.accept("job", _timed(rig, 0.0, first, second))
    rig.tick(DUE_MARGIN_S)
    rig.hold_all()
    before = len(rig.started())
    assert before == 2
    rig.scheduler.cancel("job")
    for start in list(rig.started()):
        rig.complete(start, outcome)
    _wait_for_all_times(rig)
    _expect_nothing_open(rig)
    assert len(rig.started()) == before


def test_a_start_that_is_refused_after_the_end_of_its_job_is_not_repeated() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    (start,) = rig.started()
    rig.scheduler.cancel("job")
    refusal = StartRefusal.UNHEALTHY
    rig.scheduler.start_refused(start.vm, start.task, start.run, refusal, certain=True)
    rig.wait(3.0)
    _expect_nothing_open(rig)
    assert rig.started() == [start]
    assert not rig.scheduler.state.vms[start.vm].runs


def test_a_vm_that_is_lost_with_the_runs_of_an_ended_job_has_none_started_again() -> None:
    rig = Rig()
    rig.accept("job", spec(StepSpec(2, CORE)))
    rig.tick()
    rig.hold_all()
    rig.scheduler.cancel("job")
    for vm in {start.vm for start in rig.started()}:
        rig.scheduler.vms.incarnation_ended(vm)
    rig.tick(3.0)
    _expect_nothing_open(rig)
    assert len(rig.started()) == 2


# -- Later leaders ---------------------------------------------------------------------------


def test_a_later_leader_opens_nothing_of_a_job_whose_end_is_stored() -> None:
    rig = Rig()
    rig.accept("job", _timed(rig, 0.5))
    rig.scheduler.cancel("job")
    rig.commit()
    later = rig.successor()
    _wait_for_all_times(later)
    _expect_nothing_open(later)
    assert later.started() == []


def test_a_job_that_is_loaded_with_its_end_is_never_open(caplog: pytest.LogCaptureFixture) -> None:
    """Its due repetitions were opened and closed again, and its payload stayed in memory."""
    caplog.set_level(logging.INFO)
    rig = Rig()
    rig.accept("job", _timed(rig, 0.5))
    accepted = {key: value for key, value in rig.store.items() if key.startswith(JOB_PREFIX)}
    rig.scheduler.cancel("job")
    rig.commit()
    rig.clock.time += 5.0
    # The record of the acceptance is dropped with the end; a store may still list it.
    rig.store |= accepted
    later = rig.successor()
    job = later.scheduler.state.jobs["job"]
    assert job.visible_state is JobState.CANCELLED
    assert job.record.spec.payload == ""
    assert job.record.spec.steps == spec(StepSpec(2, CORE)).steps
    assert [line for line in caplog.records if line.getMessage() == "repetition opened"] == []
    _wait_for_all_times(later)
    _expect_nothing_open(later)
    assert later.started() == []


def test_a_cancel_that_a_leader_did_not_store_is_repeated_under_the_next_one() -> None:
    """The caller got no answer, so that the job may have begun under the next leader."""
    rig = Rig()
    rig.accept("job", _timed(rig, 0.5))
    rig.scheduler.cancel("job")
    later = rig.successor()
    later.wait(0.1)
    later.scheduler.cancel("job")
    later.commit()
    _wait_for_all_times(later)
    _expect_nothing_open(later)
    assert later.started() == []


# -- Every order -----------------------------------------------------------------------------


class _Course:
    """Jobs with times in a random course of events, with at most two batches in flight."""

    def __init__(self, seed: int, changes_leader: bool) -> None:
        self._rng = random.Random(seed)
        self._changes_leader = changes_leader
        self.rig = Rig(vms=3)
        self.rig.records_at_once = False
        self._in_flight: list[Batch] = []
        self._payloads: dict[str, str] = {}
        self._asked_to_end: set[str] = set()
        self._checked = 0

    def run(self, events: int) -> None:
        for _ in range(events):
            self._rng.choice(self._events())()
            self._check()

    def _events(self) -> list[Callable[[], None]]:
        return [
            self._submit,
            self._cancel,
            self._withdraw,
            self._send_batch,
            self._store_batch,
            self._store_batch,
            self._tick,
            self._tick,
            self._pass_time,
            self._end_run,
            self._hold,
            *([self._change_leader] if self._changes_leader else []),
        ]

    def _submit(self) -> None:
        name = f"job{self._rng.randrange(12)}"
        if name in self._payloads:
            return
        self._payloads[name] = f"payload of {name}"
        steps = (StepSpec(1, CORE), StepSpec(2, CORE, after=(0,), gang=self._rng.random() < 0.5))
        timed = _timed(self.rig, self._rng.choice((-3.0, 0.0, 0.3, 1.0, 5.0)), *steps)
        job = msgspec.structs.replace(
            timed, payload=self._payloads[name], times=self._rng.choice((0, 1, 3))
        )
        self.rig.scheduler.update_time()
        self.rig.scheduler.submit(name, queue(), job)

    def _cancel(self) -> None:
        name = f"job{self._rng.randrange(12)}"
        self.rig.scheduler.update_time()
        if self.rig.scheduler.cancel(name) is not None:
            self._asked_to_end.add(name)

    def _withdraw(self) -> None:
        name = f"job{self._rng.randrange(12)}"
        if self.rig.scheduler.withdraw(name):
            self._payloads.pop(name)
            self._asked_to_end.discard(name)

    def _send_batch(self) -> None:
        if len(self._in_flight) < 2:
            self._in_flight.append(self.rig.scheduler.next_batch())

    def _store_batch(self) -> None:
        if self._in_flight:
            self.rig.scheduler.update_time()
            self.rig.store_batch(self._in_flight.pop(0))

    def _change_leader(self) -> None:
        """Let another leader follow; what was not stored is lost, and no caller has an answer."""
        stored = self.rig.store
        self.rig = self.rig.successor()
        self.rig.store = {**stored, **self.rig.store}
        self.rig.records_at_once = False
        self._in_flight.clear()
        self._checked = 0
        known = self.rig.scheduler.state.jobs
        self._payloads = {name: self._payloads[name] for name in known}
        ended = {row.name for row in self.rig.scheduler.state.jobs.values() if not row.is_open}
        self._asked_to_end &= ended

    def _tick(self) -> None:
        self.rig.tick(0.01)

    def _pass_time(self) -> None:
        self.rig.clock.time += self._rng.choice((0.02, 0.2, 1.0))
        self.rig.report_all()

    def _end_run(self) -> None:
        if self.rig.started():
            start = self._rng.choice(self.rig.started())
            self.rig.complete(start, self._rng.choice(("done", "done", "failed", "stopped")))
            self.rig.report(start.vm)

    def _hold(self) -> None:
        if self.rig.started():
            start = self._rng.choice(self.rig.started())
            self.rig.hold(start)
            self.rig.report(start.vm)

    def _check(self) -> None:
        state = self.rig.scheduler.state
        for start in self.rig.started()[self._checked :]:
            name = start.task.partition(".")[0]
            assert start.payload == self._payloads[name]
            assert name not in self._asked_to_end
        self._checked = len(self.rig.started())
        for step in state.open_steps.values():
            assert state.open_jobs.get(step.job.name) is step.job
            assert not step.job.state.is_final


@pytest.mark.parametrize("seed", range(40))
def test_no_course_of_events_starts_what_has_ended(seed: int) -> None:
    """Ends, batches in flight, ticks and due times in any order."""
    _Course(seed, changes_leader=False).run(300)


@pytest.mark.parametrize("seed", range(40))
def test_no_course_with_changes_of_leader_starts_what_has_ended(seed: int) -> None:
    _Course(seed, changes_leader=True).run(600)
