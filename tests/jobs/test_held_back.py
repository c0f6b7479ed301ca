"""Tests the log lines about waiting steps."""

import logging

import pytest

from sablemount.jobs.actions import RunReport
from sablemount.jobs.model import AdviceTerms, Shape, StepSpec
from sablemount.jobs.systems.held_back import BlockingReason
from sablemount.jobs.systems.placement import (
    LOG_WAIT_AFTER_S,
    LOG_WAIT_INTERVAL_S,
    MAX_LOGGED_STEPS,
)
from sablemount.jobs.tables import JobRow
from tests.jobs.rig import CAPACITY, CORE, Rig, queue, spec

FOUND_RUN = 5
ROUND_S = 0.1
WHOLE_VM = Shape(CAPACITY.cores, CAPACITY.memory)


def _advance_busy(rig: Rig, seconds: float) -> None:
    """Advance the time while capacity is freed in every round."""
    for _ in range(round(seconds / ROUND_S)):
        rig.scheduler.state.capacity_version += 1
        rig.wait(ROUND_S)


def _wait_lines(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    return [vars(line) for line in caplog.records if line.getMessage() == "step is waiting"]


def test_a_step_that_waits_in_a_busy_cell_is_logged_with_its_blocking_reasons(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    rig = Rig(vms=3)
    rig.accept("full", spec(StepSpec(1, WHOLE_VM)))
    rig.start_and_hold_all()
    rig.scheduler.state.vms["w1"].isolated_job = "other"
    rig.scheduler.state.vms["w2"].connections_refused_since = rig.clock.time + 100.0
    rig.accept("late", spec(StepSpec(1, CORE)))
    _advance_busy(rig, LOG_WAIT_AFTER_S + 2 * LOG_WAIT_INTERVAL_S)
    (line,) = [line for line in _wait_lines(caplog) if line["step"] == "late.0.0"]
    vms = rig.scheduler.state.vms
    full = next(name for name, row in vms.items() if row.runs)
    expected = {
        BlockingReason.FULL.value: 1,
        BlockingReason.ISOLATED.value: 1,
        BlockingReason.SILENT.value: 1,
    }
    assert full == "w0"
    assert line["held"] == expected


def test_a_step_without_advice_is_logged_with_the_wait_for_a_call_slot(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    advised = queue("q", advice=AdviceTerms(20.0, 0.3, 2000.0))
    rig = Rig(vms=2, queues=(advised,))
    rig.accept("late", spec(StepSpec(1, CORE)), advised)
    _advance_busy(rig, LOG_WAIT_AFTER_S + 2 * LOG_WAIT_INTERVAL_S)
    (line,) = _wait_lines(caplog)
    assert line["held"] == {BlockingReason.NO_ADVICE.value: 2}
    assert line["unasked_for"] == pytest.approx(LOG_WAIT_AFTER_S, abs=2 * LOG_WAIT_INTERVAL_S)


def _await_stop_of_first(rig: Rig, tasks: int) -> JobRow:
    """Have all tasks of a job wait, while a run of the first that is not wanted goes on."""
    job = rig.accept("late", spec(StepSpec(tasks, CORE)))
    rig.start_and_hold_all()
    starts = rig.started()
    idle = next(name for name in rig.vm_names if not rig.running.get(name))
    rig.running[idle] = [RunReport(job.steps[(0, 0)].tasks[0].key, FOUND_RUN, "", 0.0)]
    rig.report(idle)
    for start in starts:
        if start.vm != idle:
            rig.complete(start, "stopped")
    return job


def test_a_step_whose_unwanted_run_is_being_stopped_is_not_logged_as_open(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    rig = Rig(vms=3)
    _await_stop_of_first(rig, 1)
    _advance_busy(rig, LOG_WAIT_AFTER_S + 2 * LOG_WAIT_INTERVAL_S)
    (line,) = _wait_lines(caplog)
    assert line["held"] == {BlockingReason.BEING_STOPPED.value: 3}


def test_a_run_that_is_being_stopped_does_not_hide_what_blocks_other_tasks(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    rig = Rig(vms=3)
    job = _await_stop_of_first(rig, 2)
    other = job.steps[(0, 0)].tasks[1]
    other.failed_on = set(rig.vm_names)
    other.awaits_verdict_until = rig.clock.time + 100.0
    _advance_busy(rig, LOG_WAIT_AFTER_S + 2 * LOG_WAIT_INTERVAL_S)
    (line,) = _wait_lines(caplog)
    assert line["held"] == {BlockingReason.FAILED_BEFORE.value: 3}


def test_few_steps_are_logged_at_once_and_each_in_turn(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    rig = Rig(vms=1)
    rig.accept("full", spec(StepSpec(1, WHOLE_VM)))
    rig.start_and_hold_all()
    names = [f"late{number}" for number in range(3 * MAX_LOGGED_STEPS)]
    for name in names:
        rig.accept(name, spec(StepSpec(1, CORE)))
    _advance_busy(rig, LOG_WAIT_AFTER_S + LOG_WAIT_INTERVAL_S)
    assert len(_wait_lines(caplog)) <= 2 * MAX_LOGGED_STEPS
    _advance_busy(rig, 3 * LOG_WAIT_INTERVAL_S)
    assert {line["step"] for line in _wait_lines(caplog)} == {f"{name}.0.0" for name in names}
