"""Tests that runs which cannot end before their VM shuts down are stopped in time."""

import msgspec
import pytest

from sablemount.jobs.actions import StopRun
from sablemount.jobs.model import StepSpec
from tests.jobs.rig import CORE, Rig, spec

NOTICE_S = 2.0
LONG = StepSpec(1, CORE, expected_ms=6_000.0)
SAVES = msgspec.structs.replace(LONG, saves=True)
SHORT = msgspec.structs.replace(LONG, expected_ms=400.0)
LONG_RUNNING = msgspec.structs.replace(LONG, lasting=True)


def _draining_rig(step: StepSpec, percent: float = 0.0, notice: float = NOTICE_S) -> Rig:
    """Return a rig with a run whose VM has just announced its shutdown."""
    rig = Rig(vms=2)
    rig.accept("job", spec(step))
    rig.tick()
    (start,) = rig.started()
    rig.hold(start, percent)
    rig.clock.time += 0.5
    rig.report_all()
    info = rig.scheduler.state.vms[start.vm].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, draining=True, leaves_in=notice))
    return rig


def _stop_times(rig: Rig, seconds: float) -> list[float]:
    """Return after how many seconds stops were requested, while the VMs go on unchanged."""
    start_time = rig.clock.time
    found = []
    while rig.clock.time - start_time < seconds:
        found += [
            rig.clock.time - start_time for action in rig.tick(0.1) if isinstance(action, StopRun)
        ]
        rig.report_all()
    return found


def test_what_would_be_lost_in_any_case_is_stopped_at_once() -> None:
    assert _stop_times(_draining_rig(LONG), 0.3)[:1] == [pytest.approx(0.1)]


@pytest.mark.parametrize("step", [SAVES, LONG_RUNNING], ids=["saves", "lasts"])
def test_a_run_whose_work_a_stop_saves_continues_until_the_last_moment(step: StepSpec) -> None:
    first = _stop_times(_draining_rig(step), NOTICE_S)[0]
    assert 1.0 < first < NOTICE_S - 0.4


def test_what_ends_in_time_is_left_alone() -> None:
    assert _stop_times(_draining_rig(SHORT), 0.5) == []


def test_progress_takes_precedence_over_the_expected_duration() -> None:
    # Half done after half a second, although six seconds were expected.
    assert _stop_times(_draining_rig(LONG, percent=50.0), 0.5) == []


def test_a_vm_that_stays_for_long_keeps_its_runs() -> None:
    assert _stop_times(_draining_rig(LONG, notice=9.0), 0.5) == []


def test_an_earlier_report_of_a_longer_notice_is_ignored() -> None:
    rig = _draining_rig(SAVES)
    row = next(row for row in rig.scheduler.state.vms.values() if row.info.draining)
    rig.scheduler.update_vm(msgspec.structs.replace(row.info, leaves_in=9.0))
    assert _stop_times(rig, NOTICE_S)


def test_a_shorter_notice_does_not_count_as_a_change_of_the_vm() -> None:
    rig = _draining_rig(SAVES)
    row = next(row for row in rig.scheduler.state.vms.values() if row.info.draining)
    changes = rig.scheduler.state.vms_version
    rig.scheduler.update_vm(msgspec.structs.replace(row.info, leaves_in=0.5))
    assert rig.scheduler.state.vms_version == changes


def test_it_starts_elsewhere_with_what_it_saved() -> None:
    rig = _draining_rig(SAVES)
    (start,) = rig.started()
    _stop_times(rig, NOTICE_S)
    rig.running[start.vm] = [row for row in rig.running[start.vm] if row.task != start.task]
    rig.complete(start, "stopped", saved="half")
    rig.wait(0.1)
    restarted = rig.started()[-1]
    assert restarted.vm != start.vm
    assert restarted.saved == "half"
