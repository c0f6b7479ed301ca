"""VMs whose entries are gone from the list."""

import msgspec
import pytest

from sablemount.jobs.model import StepSpec
from sablemount.jobs.systems.vms import RELISTED_WITHIN
from tests.jobs.rig import CORE, Rig, spec


def _lapsed(seconds: float) -> Rig:
    """Return a rig whose only VM has had no entry for some seconds, though it is heard."""
    rig = Rig(vms=1)
    rig.scheduler.vms.left_list("w0")
    rig.clock.time += seconds
    rig.hear_all()
    return rig


def test_a_vm_whose_entry_has_just_lapsed_still_gets_work() -> None:
    rig = _lapsed(RELISTED_WITHIN - 0.2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert len(rig.started()) == 1


def test_a_vm_whose_entry_does_not_come_back_is_taken_as_gone() -> None:
    rig = _lapsed(RELISTED_WITHIN + 0.2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.started() == []


def test_a_vm_missing_from_a_whole_list_is_taken_as_gone() -> None:
    rig = Rig(vms=1)
    rig.scheduler.listed([])
    rig.scheduler.listed([])
    rig.clock.time += RELISTED_WITHIN + 0.2
    rig.hear_all()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.started() == []


def test_a_vm_whose_entry_comes_back_gets_work_again() -> None:
    rig = _lapsed(RELISTED_WITHIN + 0.2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.scheduler.told(rig.scheduler.state.vms["w0"].info)
    rig.tick(0.5)
    assert len(rig.started()) == 1


def test_a_vm_known_from_a_record_only_may_be_used_until_a_list_was_read() -> None:
    first = Rig(vms=1)
    later = Rig(0, 2)
    later.scheduler.load([])
    later.scheduler.told(first.scheduler.state.vms["w0"].info)
    later.scheduler.state.vms["w0"].listed = False
    later.listed = ["w0"]
    later.commit()
    later.clock.time += RELISTED_WITHIN + 0.2
    later.hear_all()
    later.accept("job", spec(StepSpec(1, CORE)))
    later.tick()
    assert len(later.started()) == 1


def test_a_vm_that_drains_gets_no_work_though_an_old_list_shows_it_well() -> None:
    rig = Rig(vms=1)
    well = rig.scheduler.state.vms["w0"].info
    rig.scheduler.told(msgspec.structs.replace(well, draining=True))
    rig.scheduler.listed([well])
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.started() == []


def test_a_later_leader_does_not_wait_for_a_vm_that_was_drained_and_empty() -> None:
    rig = Rig(vms=2)
    info = msgspec.structs.replace(rig.scheduler.state.vms["w1"].info, draining=True)
    rig.scheduler.told(info)
    rig.tick(0.6)
    rig.commit()
    rig.accept("job", spec(StepSpec(1, CORE)))
    later = rig.successor()
    later.scheduler.vms.left_list("w1")
    later.hear("w0")
    later.tick()
    assert [start.vm for start in later.started()] == ["w0"]


def test_a_later_leader_waits_for_a_drained_vm_on_which_something_ran() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.run(rig.started()[0])
    rig.hear_all()
    rig.scheduler.told(msgspec.structs.replace(rig.scheduler.state.vms["w0"].info, draining=True))
    rig.tick(0.6)
    rig.commit()
    assert "w/w0" in rig.store


def _drained(notice: float, draining: bool = True) -> Rig:
    """Return a rig one of whose two VMs drains, with a run, and will leave after some seconds."""
    rig = Rig(vms=2)
    rig.accept("job", spec(StepSpec(1, CORE, expected_ms=9000.0)))
    rig.tick()
    (start,) = rig.started()
    rig.run(start)
    rig.hear_all()
    info = rig.scheduler.state.vms[start.vm].info
    if draining:
        rig.scheduler.told(msgspec.structs.replace(info, draining=True, leaves_in=notice))
    rig.listed.remove(start.vm)
    return rig


def _refuses(rig: Rig, seconds: float) -> int:
    """Let a VM refuse connections for some seconds; return how many starts there have been."""
    vm = rig.started()[0].vm
    for _ in range(int(seconds / 0.1)):
        rig.hear_all()
        rig.tick(0.1)
        row = rig.scheduler.state.vms.get(vm)
        if row is not None:
            rig.scheduler.vms.refused(row)
    rig.tick(0.6)
    return len(rig.started())


def test_what_ran_on_a_vm_that_has_left_as_it_said_starts_elsewhere_at_once() -> None:
    rig = _drained(notice=0.2)
    assert _refuses(rig, 0.8) == 2
    first, second = rig.started()
    assert (first.task, first.vm) == (second.task, "w0" if second.vm == "w1" else "w1")


def test_a_vm_that_refuses_before_its_time_or_without_having_drained_may_still_run_things() -> None:
    assert _refuses(_drained(notice=5.0), 0.8) == 1
    assert _refuses(_drained(notice=0.0, draining=False), 0.8) == 1


def test_a_vm_past_its_time_that_is_only_silent_may_still_run_things() -> None:
    rig = _drained(notice=0.2)
    vm = rig.started()[0].vm
    for _ in range(8):
        rig.hear_all()
        rig.tick(0.1)
        rig.scheduler.vms.unanswered(rig.scheduler.state.vms[vm])
    rig.tick(0.6)
    assert len(rig.started()) == 1


def test_what_is_lost_with_a_vm_is_told_the_latest_start_first(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rig = Rig(vms=1)
    rig.accept("first", spec(StepSpec(1, CORE)))
    rig.run_all()
    rig.wait(0.5)
    rig.accept("second", spec(StepSpec(1, CORE)))
    rig.tick()
    with caplog.at_level("INFO", "sablemount.jobs"):
        rig.scheduler.vms.died("w0")
    lines = {line.getMessage(): line for line in caplog.records}
    assert lines["VM terminated"].why == "another life answers at its address"
    assert [(row[0], row[3]) for row in lines["runs lost with VM"].lost] == [
        ("second.0.0.0", "sent"),
        ("first.0.0.0", "running"),
    ]
