"""What can't end before its VM leaves is stopped in time."""

import msgspec
import pytest

from sablemount.jobs.actions import StopRun
from sablemount.jobs.model import StepSpec
from tests.jobs.rig import CORE, Rig, spec

NOTICE = 2.0
LONG = StepSpec(1, CORE, expected_ms=6_000.0)
SAVES = msgspec.structs.replace(LONG, saves=True)
SHORT = msgspec.structs.replace(LONG, expected_ms=400.0)
LASTS = msgspec.structs.replace(LONG, lasting=True)


def _noticed(step: StepSpec, percent: float = 0.0, notice: float = NOTICE) -> Rig:
    """Return a rig with a run of which its VM has just told when it leaves."""
    rig = Rig(vms=2)
    rig.accept("job", spec(step))
    rig.tick()
    (start,) = rig.started()
    rig.run(start, percent)
    rig.clock.time += 0.5
    rig.hear_all()
    info = rig.scheduler.state.vms[start.vm].info
    rig.scheduler.told(msgspec.structs.replace(info, draining=True, leaves_in=notice))
    return rig


def _stops(rig: Rig, seconds: float) -> list[float]:
    """Return after how many seconds stops were ordered, while the VMs go on as they are."""
    began = rig.clock.time
    found = []
    while rig.clock.time - began < seconds:
        found += [rig.clock.time - began for act in rig.tick(0.1) if isinstance(act, StopRun)]
        rig.hear_all()
    return found


def test_what_would_be_lost_in_any_case_is_stopped_at_once() -> None:
    assert _stops(_noticed(LONG), 0.3)[:1] == [pytest.approx(0.1)]


@pytest.mark.parametrize("step", [SAVES, LASTS], ids=["saves", "lasts"])
def test_what_a_stop_keeps_goes_on_until_the_last_moment(step: StepSpec) -> None:
    first = _stops(_noticed(step), NOTICE)[0]
    assert 1.0 < first < NOTICE - 0.4


def test_what_ends_in_time_is_left_alone() -> None:
    assert _stops(_noticed(SHORT), 0.5) == []


def test_progress_tells_more_than_what_was_expected() -> None:
    # Half done after half a second, though six seconds were expected.
    assert _stops(_noticed(LONG, percent=50.0), 0.5) == []


def test_a_vm_that_stays_for_long_keeps_its_runs() -> None:
    assert _stops(_noticed(LONG, notice=9.0), 0.5) == []


def test_an_older_word_of_more_time_changes_nothing() -> None:
    rig = _noticed(SAVES)
    row = next(row for row in rig.scheduler.state.vms.values() if row.info.draining)
    rig.scheduler.told(msgspec.structs.replace(row.info, leaves_in=9.0))
    assert _stops(rig, NOTICE)


def test_heartbeats_with_less_time_are_no_change_of_the_vm() -> None:
    rig = _noticed(SAVES)
    row = next(row for row in rig.scheduler.state.vms.values() if row.info.draining)
    changes = rig.scheduler.state.vms_changed
    rig.scheduler.told(msgspec.structs.replace(row.info, leaves_in=0.5))
    assert rig.scheduler.state.vms_changed == changes


def test_it_starts_elsewhere_with_what_it_saved() -> None:
    rig = _noticed(SAVES)
    (start,) = rig.started()
    _stops(rig, NOTICE)
    rig.running[start.vm] = [row for row in rig.running[start.vm] if row.task != start.task]
    rig.end(start, "stopped", saved="half")
    rig.wait(0.1)
    again = rig.started()[-1]
    assert again.vm != start.vm
    assert again.saved == "half"
