"""Tasks that fill are slowed down while a task that serves beside them is near its target."""

import msgspec

from sablemount.jobs.actions import PaceRun, RunReport, StartRun
from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.systems.pacing import ASSUMED_SPEED_PERCENT, FULL_SPEED_PERCENT, INTERVAL_S
from tests.jobs.rig import CORE, Rig, spec

TARGET = 100.0
SERVES = StepSpec(1, Shape(4_000, 1_000), lasting=True, target_ms=TARGET)
FILLS = StepSpec(1, CORE, lasting=True, fills=True)


class _Beside:
    """One VM on which one task serves and one fills."""

    def __init__(self) -> None:
        self.rig = Rig(vms=1)
        self.rig.accept("serves", spec(SERVES))
        self.rig.accept("fills", spec(FILLS))
        self.rig.tick()
        for start in self.rig.started():
            self.rig.run(start)
        self.hear(0.3 * TARGET)

    def hear(self, tail_ms: float, rig: Rig | None = None) -> list[PaceRun]:
        """Let the VM tell a tail once the last change shows, and return what is ordered then."""
        rig = rig or self.rig
        rig.clock.time += INTERVAL_S + 0.1
        reports = rig.running["w0"]
        reports[:] = [_with_figure(report, tail_ms) for report in reports]
        rig.hear("w0")
        return [action for action in rig.tick() if isinstance(action, PaceRun)]


def _with_figure(report: RunReport, tail_ms: float) -> RunReport:
    return RunReport(report.task, report.run, report.saved, report.percent, tail_ms)


def test_a_filler_works_at_full_speed_while_the_tail_is_short() -> None:
    beside = _Beside()
    assert beside.hear(0.3 * TARGET) == []


def test_a_filler_is_slowed_down_until_it_stands_still_while_the_tail_is_too_long() -> None:
    beside = _Beside()
    percents = []
    for _ in range(5):
        percents += [action.percent for action in beside.hear(1.2 * TARGET)]
    assert percents == [50, 25, 12, 0]


def test_it_stands_still_within_four_seconds() -> None:
    beside = _Beside()
    began = beside.rig.clock.time
    while not any(action.percent == 0 for action in beside.hear(1.2 * TARGET)):
        pass
    assert beside.rig.clock.time - began < 4.0


def test_it_gets_its_speed_back_in_steps() -> None:
    beside = _Beside()
    beside.hear(1.2 * TARGET)
    assert [action.percent for action in beside.hear(0.3 * TARGET)] == [60]
    assert [action.percent for action in beside.hear(0.7 * TARGET)] == []
    for _ in range(4):
        beside.hear(0.3 * TARGET)
    assert beside.hear(0.3 * TARGET) == []


def test_two_changes_are_not_made_on_one_figure() -> None:
    beside = _Beside()
    assert len(beside.hear(1.2 * TARGET)) == 1
    beside.rig.hear("w0")
    assert beside.rig.tick() == []


def test_without_a_task_that_serves_a_filler_has_its_whole_speed() -> None:
    beside = _Beside()
    beside.hear(1.2 * TARGET)
    serving = next(start for start in beside.rig.started() if start.task.startswith("serves"))
    beside.rig.scheduler.cancel("serves")
    beside.rig.end(serving, "stopped")
    assert [action.percent for action in beside.hear(0.0)] == [FULL_SPEED_PERCENT]


def test_a_later_leader_gives_its_own_share_first() -> None:
    beside = _Beside()
    beside.hear(0.7 * TARGET)
    later = beside.rig.successor()
    later.hear("w0")
    ordered = beside.hear(0.7 * TARGET, later)
    assert [action.percent for action in ordered] == [ASSUMED_SPEED_PERCENT]


def test_an_order_without_an_answer_is_given_again() -> None:
    beside = _Beside()
    (order,) = beside.hear(1.2 * TARGET)
    beside.rig.scheduler.pacing.failed(order.vm, order.task, order.run)
    assert len(beside.hear(0.7 * TARGET)) == 1


def test_what_ends_tells_no_tail_whatever_its_target() -> None:
    rig = Rig(vms=1)
    rig.accept("ends", spec(msgspec.structs.replace(SERVES, lasting=False)))
    rig.accept("fills", spec(FILLS))
    rig.tick()
    rig.hold_all()
    rig.clock.time += 1.0
    rig.running["w0"] = [_with_figure(report, 20 * TARGET) for report in rig.running["w0"]]
    rig.hear_all()
    assert [action for action in rig.tick() if isinstance(action, PaceRun)] == []


def test_only_fillers_of_the_same_vm_are_slowed_down() -> None:
    rig = Rig(vms=2)
    rig.accept("serves", spec(SERVES))
    rig.accept("plain", spec(StepSpec(1, CORE, lasting=True)))
    rig.tick()
    starts: list[StartRun] = rig.started()
    for start in starts:
        rig.run(start)
    rig.hear_all()
    rig.clock.time += 1.0
    for rows in rig.running.values():
        rows[:] = [_with_figure(report, 2 * TARGET) for report in rows]
    rig.hear_all()
    assert [action for action in rig.tick() if isinstance(action, PaceRun)] == []
