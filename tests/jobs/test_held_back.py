"""What is told of a step that waits."""

import logging

import pytest

from sablemount.jobs.model import AdviceTerms, Shape, StepSpec
from sablemount.jobs.systems.held_back import Hold
from sablemount.jobs.systems.placement import TELL_AFTER, TELL_INTERVAL, TOLD_AT_ONCE
from tests.jobs.rig import CAPACITY, CORE, Rig, queue, spec

ROUND = 0.1
WHOLE = Shape(CAPACITY.cores, CAPACITY.memory)


def _busy(rig: Rig, seconds: float) -> None:
    """Let some seconds go by in which room comes and goes all the time."""
    for _ in range(round(seconds / ROUND)):
        rig.scheduler.state.freed += 1
        rig.wait(ROUND)


def _told(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    return [vars(line) for line in caplog.records if line.getMessage() == "step waits"]


def test_a_step_that_waits_in_a_busy_cell_is_told_of_with_what_holds_it_back(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    rig = Rig(vms=3)
    rig.accept("full", spec(StepSpec(1, WHOLE)))
    rig.run_all()
    rig.scheduler.state.vms["w1"].trial = "other"
    rig.scheduler.state.vms["w2"].refused_since = rig.clock.time + 100.0
    rig.accept("late", spec(StepSpec(1, CORE)))
    _busy(rig, TELL_AFTER + 2 * TELL_INTERVAL)
    (line,) = [line for line in _told(caplog) if line["step"] == "late.0.0"]
    vms = rig.scheduler.state.vms
    full = next(name for name, row in vms.items() if row.runs)
    expected = {Hold.FULL.value: 1, Hold.TRIAL.value: 1, Hold.SILENT.value: 1}
    assert full == "w0"
    assert line["held"] == expected


def test_what_nobody_asks_for_is_told_of(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    advised = queue("q", advice=AdviceTerms(20.0, 0.3, 2000.0))
    rig = Rig(vms=2, queues=(advised,))
    rig.accept("late", spec(StepSpec(1, CORE)), advised)
    _busy(rig, TELL_AFTER + 2 * TELL_INTERVAL)
    (line,) = _told(caplog)
    assert line["held"] == {Hold.UNKNOWN.value: 2}
    assert line["unasked_for"] == pytest.approx(TELL_AFTER, abs=2 * TELL_INTERVAL)


def test_few_steps_are_told_of_at_once_and_each_has_its_turn(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    rig = Rig(vms=1)
    rig.accept("full", spec(StepSpec(1, WHOLE)))
    rig.run_all()
    names = [f"late{number}" for number in range(3 * TOLD_AT_ONCE)]
    for name in names:
        rig.accept(name, spec(StepSpec(1, CORE)))
    _busy(rig, TELL_AFTER + TELL_INTERVAL)
    assert len(_told(caplog)) <= 2 * TOLD_AT_ONCE
    _busy(rig, 3 * TELL_INTERVAL)
    assert {line["step"] for line in _told(caplog)} == {f"{name}.0.0" for name in names}
