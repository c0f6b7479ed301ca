"""What is open at once is bounded, however much has been accepted."""

import gc

import msgspec
import pytest

from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import JobSpec, StepSpec
from sablemount.jobs.records import PROGRESS_PREFIX, StepProgress, decode_progress
from sablemount.jobs.tables import JobRow, JobState, StepRow, TaskRow
from tests.jobs.rig import CORE, WALL_MS, Rig, queue, spec

TIMES = 7_500
WIDTH = 60
MAX_TASKS = 20_000
VMS = 2
PLACES = VMS * 16
"""Tasks of one core that the VMs hold."""
URGENT = queue("urgent", priority=0)
USUAL = queue("usual", priority=5)


def _timed(rig: Rig, times: int, width: int, interval_ms: float = 0.0) -> JobSpec:
    """Return a job whose repetitions are due now, or from now on at an interval."""
    due_ms = WALL_MS + rig.clock.time * 1000.0 - 100.0
    return msgspec.structs.replace(
        spec(StepSpec(width, CORE)), times=times, first_due_ms=due_ms, interval_ms=interval_ms
    )


def _rows(kind: type) -> int:
    gc.collect()
    return sum(1 for row in gc.get_objects() if type(row) is kind)


def _rig(epoch: int = 1) -> Rig:
    return Rig(VMS, epoch, queues=(URGENT, USUAL))


def _complete(rig: Rig, first: int) -> int:
    """Let the runs requested since the ``first`` one succeed; return the number of all requests."""
    started = rig.started()
    for start in started[first:]:
        rig.complete(start, "done")
    rig.report_all()
    rig.commit()
    return len(started)


# -- Memory ----------------------------------------------------------------------------------


def test_repetitions_that_fall_due_together_are_not_opened_together() -> None:
    """Each leader made 450,000 rows in one call, and was killed for its memory."""
    rig = _rig()
    rig.accept("job", _timed(rig, TIMES, WIDTH), USUAL)
    tasks, steps = _rows(TaskRow), _rows(StepRow)
    for _ in range(20):
        rig.tick()
    assert len(rig.started()) == PLACES
    assert _rows(TaskRow) - tasks <= 2 * PLACES
    assert _rows(StepRow) - steps <= 100
    assert rig.scheduler.lifecycle.openings.repetitions_behind() > TIMES - 100


def test_tasks_that_have_no_place_have_no_row() -> None:
    """Thirty jobs of one wide step, without times, took each leader over its memory."""
    rig = _rig()
    before = _rows(TaskRow)
    for number in range(30):
        rig.accept(f"job{number}", spec(StepSpec(MAX_TASKS, CORE)), USUAL)
    for _ in range(20):
        rig.tick(0.3)
    assert len(rig.started()) == PLACES
    assert _rows(TaskRow) - before <= 2 * PLACES


def test_a_gang_that_has_no_place_has_no_rows() -> None:
    rig = _rig()
    before = _rows(TaskRow)
    for number in range(30):
        rig.accept(f"job{number}", spec(StepSpec(PLACES + 1, CORE, gang=True)), USUAL)
    for _ in range(20):
        rig.tick(0.3)
    assert rig.started() == []
    assert _rows(TaskRow) == before


def test_tasks_that_are_done_keep_no_rows() -> None:
    rig = _rig()
    rig.accept("wide", spec(StepSpec(MAX_TASKS, CORE)), USUAL)
    rig.accept("timed", _timed(rig, TIMES, WIDTH), URGENT)
    before, done = _rows(TaskRow), 0
    for _ in range(60):
        rig.tick()
        done = _complete(rig, done)
    assert done >= 50 * PLACES
    assert _rows(TaskRow) - before <= 2 * PLACES


def test_cancelled_jobs_that_are_due_in_a_year_leave_nothing_behind() -> None:
    rig = _rig()
    before = _rows(JobRow)
    far = msgspec.structs.replace(
        _timed(rig, 1, 1), first_due_ms=WALL_MS + rig.clock.time * 1000.0 + 365 * 86_400_000.0
    )
    for number in range(500):
        rig.accept(f"job{number}", far, USUAL)
        rig.scheduler.cancel(f"job{number}")
        rig.commit()
    rig.wait(181.0)
    rig.wait(1.0)
    assert not rig.scheduler.state.jobs
    rig.accept("last", far, USUAL)
    assert _rows(JobRow) - before <= 100


# -- Other jobs ------------------------------------------------------------------------------


@pytest.mark.parametrize("other_first", [True, False])
def test_a_job_is_started_at_once_beside_a_backlog(other_first: bool) -> None:
    rig = _rig()
    other = spec(StepSpec(2, CORE))
    if other_first:
        rig.accept("other", other, URGENT)
    rig.accept("job", _timed(rig, TIMES, WIDTH), USUAL)
    if not other_first:
        rig.accept("other", other, URGENT)
    rig.tick()
    rig.tick()
    assert {"other.0.0.0", "other.0.0.1"} <= {start.task for start in rig.started()}


def test_each_job_with_times_has_its_turn_beside_a_backlog() -> None:
    """No job may fill the room for repetitions that are open."""
    rig = _rig()
    for number in range(600):
        rig.accept(f"large{number}", _timed(rig, 1_000, WIDTH), USUAL)
    rig.accept("small", _timed(rig, 1, 1), URGENT)
    for _ in range(5):
        rig.tick()
    assert "small.0.0.0" in {start.task for start in rig.started()}
    assert rig.scheduler.lifecycle.openings.jobs_behind == 600
    assert len(rig.scheduler.state.open_steps) <= 700


def test_a_job_with_a_backlog_is_cancelled_at_once() -> None:
    rig = _rig()
    row = rig.accept("job", _timed(rig, TIMES, WIDTH), USUAL)
    rig.tick()
    rig.scheduler.cancel("job")
    rig.commit()
    rig.tick()
    assert row.visible_state is JobState.CANCELLED
    assert not rig.scheduler.state.open_steps
    assert len({stop.task for stop in rig.stopped()}) == PLACES


def test_free_capacity_is_used_beside_a_backlog_of_small_repetitions() -> None:
    rig = _rig()
    rig.accept("job", _timed(rig, 1_000, 1), USUAL)
    rig.tick()
    assert len(rig.started()) == PLACES


# -- Each task once --------------------------------------------------------------------------


@pytest.mark.parametrize("leaders", [1, 4])
def test_every_repetition_runs_once_over_changes_of_leader(leaders: int) -> None:
    times, width = 120, 3
    rig = _rig()
    rig.accept("job", _timed(rig, times, width), USUAL)
    done: list[str] = []
    held: list[StartRun] = []
    for leader in range(leaders):
        handled = 0
        while len(done) < times * width * (leader + 1) // leaders:
            rig.tick(0.05)
            for start in [*held, *rig.started()[handled:]]:
                rig.complete(start, "done")
                done.append(start.task)
            held, handled = [], len(rig.started())
            rig.report_all()
            rig.commit()
        rig.tick(0.05)
        held = rig.started()[handled:]
        for start in held:
            rig.hold(start)
        if leader < leaders - 1:
            stored = rig.store
            rig = rig.successor()
            rig.store = {**stored, **rig.store}
            rig.wait(20.0)
    rig.commit()
    assert rig.scheduler.state.jobs["job"].visible_state is JobState.SUCCEEDED
    assert len(done) == len(set(done)) == times * width


def test_an_end_of_a_repetition_that_this_leader_has_not_opened_is_kept() -> None:
    rig = _rig()
    rig.accept("job", _timed(rig, TIMES, 1), USUAL)
    for _ in range(5):
        rig.tick()
    last = rig.started()[-1]
    assert last.task == f"job.{PLACES - 1}.0.0"
    later = rig.successor()
    assert not later.scheduler.state.jobs["job"].steps
    rig.complete(last, "done")
    later.report_all()
    later.commit()
    stored = decode_progress(later.store[PROGRESS_PREFIX + "job"])
    assert int(stored.completed, 16) == 1 << PLACES - 1
    later.wait(20.0)
    later.tick()
    later.tick()
    assert last.task not in {start.task for start in later.started()}
    assert later.started()


def test_a_run_of_a_repetition_that_this_leader_has_not_opened_is_kept() -> None:
    rig = _rig()
    rig.accept("job", _timed(rig, TIMES, 1), USUAL)
    for _ in range(5):
        rig.tick()
    rig.hold_all()
    later = rig.successor()
    later.report_all()
    assert len(later.scheduler.state.jobs["job"].steps) == PLACES
    later.wait(0.1)
    assert later.stopped() == []


def test_a_run_of_a_repetition_that_is_not_due_opens_nothing() -> None:
    rig = _rig()
    rig.accept("job", _timed(rig, 3, 1, interval_ms=60_000.0), USUAL)
    rig.tick()
    assert rig.scheduler.state.task("job.2.0.0") is None
    assert rig.scheduler.state.task("job.3.0.0") is None
    assert list(rig.scheduler.state.jobs["job"].steps) == [(0, 0)]


# -- Records ---------------------------------------------------------------------------------


def test_a_new_leader_opens_nothing_that_has_not_begun() -> None:
    """Each next leader opened all repetitions again before its first answer."""
    rig = _rig()
    rig.accept("job", _timed(rig, TIMES, WIDTH), USUAL)
    done = 0
    for _ in range(20):
        rig.tick()
        done = _complete(rig, done)
    tasks = _rows(TaskRow)
    later = rig.successor()
    row = later.scheduler.state.jobs["job"]
    assert _rows(TaskRow) - tasks <= 2 * PLACES
    assert row.completed == rig.scheduler.state.jobs["job"].completed > 0
    assert len(row.steps) <= 2


def test_progress_does_not_grow_with_the_repetitions_that_are_complete() -> None:
    rig = _rig()
    rig.accept("job", _timed(rig, TIMES, 1), USUAL)
    done = 0
    while done < 2_000:
        rig.tick()
        done = _complete(rig, done)
    assert len(rig.store[PROGRESS_PREFIX + "job"]) < 2_000 // 4 + 200


def test_progress_of_an_earlier_release_is_read() -> None:
    """It names the steps of the repetitions that are complete, too."""
    rig = _rig()
    row = rig.accept("job", _timed(rig, 5, 2), USUAL)
    stored = rig.scheduler.lifecycle.progress(row)
    stored.state = int(JobState.RUNNING)
    stored.steps = {"0.0": StepProgress("3"), "3.0": StepProgress("2")}
    rig.store[PROGRESS_PREFIX + "job"] = msgspec.msgpack.encode(stored)
    later = rig.successor()
    later.report_all()
    later.wait(20.0)
    later.tick()
    later.tick()
    names = [f"job.{repetition}.0.{index}" for repetition in range(5) for index in range(2)]
    expected = set(names) - {"job.0.0.0", "job.0.0.1", "job.3.0.1"}
    assert {start.task for start in later.started()} == expected
