"""VMs whose entries are missing from the list, and VMs that leave."""

import msgspec
import pytest

from sablemount.jobs.model import StepSpec
from sablemount.jobs.systems.vms import RELIST_TIMEOUT_S
from tests.jobs.rig import CORE, Rig, spec
from tests.jobs.test_lease_ends import pass_lease_of_earlier_calls


def _lapsed_entry(seconds: float) -> Rig:
    """Return a rig whose only VM reports but has had no entry for some seconds."""
    rig = Rig(vms=1)
    rig.scheduler.vms.entry_removed("w0")
    rig.clock.time += seconds
    rig.report_all()
    return rig


def test_a_vm_whose_entry_has_just_lapsed_still_gets_work() -> None:
    rig = _lapsed_entry(RELIST_TIMEOUT_S - 0.2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert len(rig.started()) == 1


def test_a_vm_whose_entry_does_not_return_gets_no_work() -> None:
    rig = _lapsed_entry(RELIST_TIMEOUT_S + 0.2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.started() == []


def test_a_vm_missing_from_a_complete_list_gets_no_work() -> None:
    rig = Rig(vms=1)
    rig.scheduler.update_vm_list([])
    rig.scheduler.update_vm_list([])
    rig.clock.time += RELIST_TIMEOUT_S + 0.2
    rig.report_all()
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.started() == []


def test_a_vm_whose_entry_returns_gets_work_again() -> None:
    rig = _lapsed_entry(RELIST_TIMEOUT_S + 0.2)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.scheduler.update_vm(rig.scheduler.state.vms["w0"].info)
    rig.tick(0.5)
    assert len(rig.started()) == 1


def test_a_vm_known_from_a_record_only_may_be_used_until_a_list_was_read() -> None:
    previous = Rig(vms=1)
    later = Rig(0, 2)
    later.scheduler.load([])
    later.scheduler.update_vm(previous.scheduler.state.vms["w0"].info)
    later.scheduler.state.vms["w0"].listed = False
    later.vm_names = ["w0"]
    later.commit()
    later.clock.time += RELIST_TIMEOUT_S + 0.2
    later.report_all()
    later.accept("job", spec(StepSpec(1, CORE)))
    later.tick()
    assert len(later.started()) == 1


def test_a_draining_vm_gets_no_work_though_an_outdated_list_shows_it_healthy() -> None:
    rig = Rig(vms=1)
    healthy = rig.scheduler.state.vms["w0"].info
    rig.scheduler.update_vm(msgspec.structs.replace(healthy, draining=True))
    rig.scheduler.update_vm_list([healthy])
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    assert rig.started() == []


def test_a_later_leader_does_not_wait_for_a_vm_that_was_drained_and_empty() -> None:
    rig = Rig(vms=2)
    info = msgspec.structs.replace(rig.scheduler.state.vms["w1"].info, draining=True)
    rig.scheduler.update_vm(info)
    rig.tick(0.6)
    rig.commit()
    rig.accept("job", spec(StepSpec(1, CORE)))
    later = rig.successor()
    later.scheduler.vms.entry_removed("w1")
    later.report("w0")
    later.tick()
    assert [start.vm for start in later.started()] == ["w0"]


def test_a_later_leader_waits_for_a_drained_vm_on_which_something_ran() -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.tick()
    rig.hold(rig.started()[0])
    rig.report_all()
    rig.scheduler.update_vm(
        msgspec.structs.replace(rig.scheduler.state.vms["w0"].info, draining=True)
    )
    rig.tick(0.6)
    rig.commit()
    assert "w/w0" in rig.store


def _draining_vm(notice_s: float, draining: bool = True) -> Rig:
    """Return a rig where one of two VMs drains with a run on it, and leaves after some seconds."""
    rig = Rig(vms=2)
    pass_lease_of_earlier_calls(rig)
    rig.accept("job", spec(StepSpec(1, CORE, expected_ms=9000.0)))
    rig.tick()
    (start,) = rig.started()
    rig.hold(start)
    rig.report_all()
    info = rig.scheduler.state.vms[start.vm].info
    if draining:
        rig.scheduler.update_vm(msgspec.structs.replace(info, draining=True, leaves_in=notice_s))
    rig.vm_names.remove(start.vm)
    return rig


def _refuse_connections(rig: Rig, seconds: float) -> int:
    """Let a VM refuse connections for some seconds; return the number of starts so far."""
    vm = rig.started()[0].vm
    for _ in range(int(seconds / 0.1)):
        rig.report_all()
        rig.tick(0.1)
        row = rig.scheduler.state.vms.get(vm)
        if row is not None:
            rig.scheduler.vms.connection_refused(row)
    rig.tick(0.6)
    return len(rig.started())


def test_runs_of_a_vm_that_has_left_as_announced_start_elsewhere_after_its_lease() -> None:
    rig = _draining_vm(notice_s=0.2)
    first = rig.started()[0]
    rig.scheduler.leases.extend(rig.scheduler.state.vms[first.vm])
    assert _refuse_connections(rig, 5.5) == 1
    assert _refuse_connections(rig, 0.2) == 2
    second = rig.started()[1]
    assert (first.task, first.vm) == (second.task, "w0" if second.vm == "w1" else "w1")


def test_a_vm_that_refuses_connections_early_or_without_draining_may_still_run_tasks() -> None:
    assert _refuse_connections(_draining_vm(notice_s=5.0), 0.8) == 1
    assert _refuse_connections(_draining_vm(notice_s=0.0, draining=False), 0.8) == 1


def test_a_silent_vm_past_its_announced_time_may_still_run_tasks() -> None:
    rig = _draining_vm(notice_s=0.2)
    for _ in range(8):
        rig.report_all()
        rig.tick(0.1)
    rig.tick(0.6)
    assert len(rig.started()) == 1


def test_runs_lost_with_a_vm_are_logged_latest_start_first(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rig = Rig(vms=1)
    rig.accept("first", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    rig.wait(0.5)
    rig.accept("second", spec(StepSpec(1, CORE)))
    rig.tick()
    with caplog.at_level("INFO", "sablemount.jobs"):
        rig.scheduler.vms.incarnation_ended("w0")
    lines = {line.getMessage(): line for line in caplog.records}
    assert lines["VM terminated"].why == "another life answers at its address"
    assert [(row[0], row[3]) for row in lines["runs lost with VM"].lost] == [
        ("second.0.0.0", "sent"),
        ("first.0.0.0", "running"),
    ]
