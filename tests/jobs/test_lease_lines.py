"""The log tells what extended a lease, what gave it back, and why a task may start elsewhere."""

import logging

import pytest

from sablemount.control.ports import CallError
from sablemount.jobs.model import StepSpec
from sablemount.jobs.systems.leases import MAX_VMS_PER_LINE
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec
from tests.jobs.test_lease_ends import (
    ERRORS,
    GRANTED_S,
    LEASE_S,
    TAKEOVER_S,
    Unreachable,
    calls_to,
    rig_with_a_task,
)

SILENT = "VM is silent under its lease"
FREE = "runs may start elsewhere"
NOT_EXTENDED = "lease not extended"
SETTLED = "runs of previous leaders settled"


@pytest.fixture(autouse=True)
def _captured(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="sablemount.jobs")


def _lines(caplog: pytest.LogCaptureFixture, text: str) -> list[dict[str, object]]:
    return [vars(record) for record in caplog.records if record.getMessage() == text]


def _rig_with_a_task() -> tuple[Rig, str]:
    """Return a rig whose VM runs a task and reports no more, and the name of the VM."""
    rig = rig_with_a_task()
    return rig, rig.started()[0].vm


def _let_time_pass(rig: Rig, seconds: float) -> None:
    for _ in range(int(seconds / 0.1)):
        rig.report_all()
        rig.tick(0.1)


def test_a_lease_is_logged_once_for_each_silence_and_as_it_is_over(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rig, vm = _rig_with_a_task()
    until_ms = rig.scheduler.leases.extend(rig.scheduler.state.vms[vm])
    _let_time_pass(rig, LEASE_S + 1.0)
    (silent,) = _lines(caplog, SILENT)
    assert (silent["vm"], silent["lease_until_ms"], silent["lease_by"]) == (vm, until_ms, "poll")
    (free,) = _lines(caplog, FREE)
    assert (free["vm"], free["why"], free["runs"]) == (vm, "its lease is over", 1)
    assert -1.0 < free["lease_left"] < 0.0  # type: ignore[operator]


def test_a_lease_that_a_start_has_extended_is_logged_so(caplog: pytest.LogCaptureFixture) -> None:
    rig = Rig(vms=1)
    row = rig.scheduler.state.vms["w0"]
    _let_time_pass(rig, GRANTED_S + 1.0)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    rig.vm_names.clear()
    _let_time_pass(rig, 3.0)
    (silent,) = _lines(caplog, SILENT)
    assert silent["lease_by"] == "start"
    assert silent["lease_until_ms"] == row.lease.until_ms > 0


def test_the_early_end_of_a_lease_is_logged_with_its_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rig, vm = _rig_with_a_task()
    rig.scheduler.leases.extend(rig.scheduler.state.vms[vm])
    rig.scheduler.vms.incarnation_ended(vm)
    (free,) = _lines(caplog, FREE)
    assert free["why"] == "another life answers at its address"
    assert free["lease_left"] > 5.0  # type: ignore[operator]


@ERRORS
def test_a_poll_that_extends_no_lease_is_logged_once_for_each_silence(
    caplog: pytest.LogCaptureFixture, error: CallError
) -> None:
    rig, vm = _rig_with_a_task()
    row = rig.scheduler.state.vms[vm]

    async def poll_twice() -> None:
        calls = calls_to(rig, Unreachable(rig, error))
        for _ in range(2):
            rig.clock.time += 0.1
            await calls._poll(row)

    run(poll_twice())
    lines = _lines(caplog, NOT_EXTENDED)
    if error is CallError.NO_ANSWER:
        assert lines == []
    else:
        assert [(line["vm"], line["why"], line["returned"]) for line in lines] == [
            (vm, "refused", True)
        ]


def test_why_a_new_leader_waits_no_more_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    rig, vm = _rig_with_a_task()
    successor = rig.successor()
    _let_time_pass(successor, TAKEOVER_S + GRANTED_S + 0.5)
    settled = _lines(caplog, SETTLED)[-1]
    assert (settled["why"], settled["unreported"]) == ("their leases are over", [vm])
    other = rig.successor()
    other.vm_names.append(vm)
    _let_time_pass(other, 0.2)
    settled = _lines(caplog, SETTLED)[-1]
    assert (settled["why"], settled["unreported"]) == ("all VMs have reported", [])


def test_a_line_names_a_bounded_number_of_vms(caplog: pytest.LogCaptureFixture) -> None:
    rig = Rig(vms=MAX_VMS_PER_LINE + 5)
    rig.commit()
    successor = rig.successor()
    successor.vm_names.clear()
    successor.tick(TAKEOVER_S + GRANTED_S + 0.5)
    settled = _lines(caplog, SETTLED)[-1]
    assert len(settled["unreported"]) == MAX_VMS_PER_LINE  # type: ignore[arg-type]
