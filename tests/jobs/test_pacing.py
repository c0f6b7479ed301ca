"""Tests throttling best-effort runs while a latency-sensitive run nearby nears its target."""

import msgspec

from sablemount.jobs.actions import RunReport, StartRun, ThrottleRun
from sablemount.jobs.model import Shape, StepSpec
from sablemount.jobs.systems.pacing import ASSUMED_SPEED_PERCENT, FULL_SPEED_PERCENT, INTERVAL_S
from tests.jobs.rig import CORE, Rig, spec

TARGET_MS = 100.0
LATENCY_SENSITIVE = StepSpec(1, Shape(4_000, 1_000), lasting=True, target_ms=TARGET_MS)
BEST_EFFORT = StepSpec(1, CORE, lasting=True, fills=True)


class _SharedVm:
    """A VM that runs one latency-sensitive task and one best-effort task."""

    def __init__(self) -> None:
        self.rig = Rig(vms=1)
        self.rig.accept("serves", spec(LATENCY_SENSITIVE))
        self.rig.accept("fills", spec(BEST_EFFORT))
        self.rig.tick()
        for start in self.rig.started():
            self.rig.hold(start)
        self.report_tail(0.3 * TARGET_MS)

    def report_tail(self, tail_ms: float, rig: Rig | None = None) -> list[ThrottleRun]:
        """Report a tail latency once the last change shows; return the requests to throttle."""
        rig = rig or self.rig
        rig.clock.time += INTERVAL_S + 0.1
        reports = rig.running["w0"]
        reports[:] = [_with_tail(report, tail_ms) for report in reports]
        rig.report("w0")
        return [action for action in rig.tick() if isinstance(action, ThrottleRun)]


def _with_tail(report: RunReport, tail_ms: float) -> RunReport:
    return RunReport(report.task, report.run, report.saved, report.percent, tail_ms)


def test_a_best_effort_run_has_full_speed_while_the_tail_is_short() -> None:
    shared = _SharedVm()
    assert shared.report_tail(0.3 * TARGET_MS) == []


def test_a_best_effort_run_is_throttled_until_it_is_paused_while_the_tail_is_too_long() -> None:
    shared = _SharedVm()
    percents = []
    for _ in range(5):
        percents += [action.percent for action in shared.report_tail(1.2 * TARGET_MS)]
    assert percents == [50, 25, 12, 0]


def test_a_best_effort_run_is_paused_within_four_seconds() -> None:
    shared = _SharedVm()
    start_time = shared.rig.clock.time
    while not any(action.percent == 0 for action in shared.report_tail(1.2 * TARGET_MS)):
        pass
    assert shared.rig.clock.time - start_time < 4.0


def test_it_gets_its_speed_back_in_steps() -> None:
    shared = _SharedVm()
    shared.report_tail(1.2 * TARGET_MS)
    assert [action.percent for action in shared.report_tail(0.3 * TARGET_MS)] == [60]
    assert [action.percent for action in shared.report_tail(0.7 * TARGET_MS)] == []
    for _ in range(4):
        shared.report_tail(0.3 * TARGET_MS)
    assert shared.report_tail(0.3 * TARGET_MS) == []


def test_one_report_causes_one_change_only() -> None:
    shared = _SharedVm()
    assert len(shared.report_tail(1.2 * TARGET_MS)) == 1
    shared.rig.report("w0")
    assert shared.rig.tick() == []


def test_without_a_latency_sensitive_task_a_best_effort_run_has_full_speed() -> None:
    shared = _SharedVm()
    shared.report_tail(1.2 * TARGET_MS)
    sensitive_start = next(
        start for start in shared.rig.started() if start.task.startswith("serves")
    )
    shared.rig.scheduler.cancel("serves")
    shared.rig.complete(sensitive_start, "stopped")
    assert [action.percent for action in shared.report_tail(0.0)] == [FULL_SPEED_PERCENT]


def test_a_later_leader_first_requests_the_assumed_speed() -> None:
    shared = _SharedVm()
    shared.report_tail(0.7 * TARGET_MS)
    later = shared.rig.successor()
    later.report("w0")
    requests = shared.report_tail(0.7 * TARGET_MS, later)
    assert [action.percent for action in requests] == [ASSUMED_SPEED_PERCENT]


def test_an_unanswered_request_is_repeated() -> None:
    shared = _SharedVm()
    (request,) = shared.report_tail(1.2 * TARGET_MS)
    shared.rig.scheduler.throttling.throttle_failed(request.vm, request.task, request.run)
    assert len(shared.report_tail(0.7 * TARGET_MS)) == 1


def test_only_long_running_tasks_have_a_tail_latency() -> None:
    rig = Rig(vms=1)
    rig.accept("ends", spec(msgspec.structs.replace(LATENCY_SENSITIVE, lasting=False)))
    rig.accept("fills", spec(BEST_EFFORT))
    rig.tick()
    rig.hold_all()
    rig.clock.time += 1.0
    rig.running["w0"] = [_with_tail(report, 20 * TARGET_MS) for report in rig.running["w0"]]
    rig.report_all()
    assert [action for action in rig.tick() if isinstance(action, ThrottleRun)] == []


def test_only_best_effort_runs_of_the_same_vm_are_throttled() -> None:
    rig = Rig(vms=2)
    rig.accept("serves", spec(LATENCY_SENSITIVE))
    rig.accept("plain", spec(StepSpec(1, CORE, lasting=True)))
    rig.tick()
    starts: list[StartRun] = rig.started()
    for start in starts:
        rig.hold(start)
    rig.report_all()
    rig.clock.time += 1.0
    for rows in rig.running.values():
        rows[:] = [_with_tail(report, 2 * TARGET_MS) for report in rows]
    rig.report_all()
    assert [action for action in rig.tick() if isinstance(action, ThrottleRun)] == []
