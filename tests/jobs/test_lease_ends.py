"""What runs on a VM that cannot be reached starts elsewhere after its lease, and then at once."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from sablemount.control.ports import CallError, HoldCall, HoldResult
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.model import Organisation, Shape, StepSpec
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec

LEASE_S = 6.0 / 0.98
"""Longest real time for which a requested lease lasts: the VM's clock may be 2 % slow."""
GRANTED_S = 10.0 / 0.98
"""The same of the longest lease that a VM grants, whatever is requested."""
TAKEOVER_S = 2.5
"""Seconds for which a previous leader may go on extending leases."""
FREED_WITHIN_S = 0.8
"""Seconds after the end of a lease within which its task has to start elsewhere."""
WATCHED_S = 16.0
STEP_S = 0.1

ERRORS = pytest.mark.parametrize("error", [CallError.REFUSED, CallError.NO_ANSWER])


class Unreachable:
    """VMs of which none can be reached."""

    def __init__(self, rig: Rig, error: CallError) -> None:
        self._rig = rig
        self._error = error
        self.lease_requested_at: float | None = None

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        if call.until_ms and self._error is not CallError.REFUSED:
            self.lease_requested_at = self._rig.clock.time
        return self._error


def pass_lease_of_earlier_calls(rig: Rig) -> None:
    """Let VMs report until no lease of a call before their first report can last."""
    for _ in range(int(GRANTED_S) + 1):
        rig.wait(1.0)


def rig_with_a_task() -> Rig:
    """Return a rig of two VMs, one of which runs a task under a new lease and reports no more."""
    rig = Rig()
    rig.accept("job", spec(StepSpec(1, CORE, expected_ms=30_000.0)))
    rig.start_and_hold_all()
    pass_lease_of_earlier_calls(rig)
    rig.scheduler.leases.extend(rig.scheduler.state.vms[_vm(rig)])
    rig.vm_names.remove(_vm(rig))
    return rig


def _vm(rig: Rig) -> str:
    """Return the VM of the first start."""
    return rig.started()[0].vm


def calls_to(rig: Rig, port: Unreachable) -> VmCalls:
    """Return the calls of a leader to VMs that cannot be reached."""
    return VmCalls(
        rig.scheduler,
        port,  # type: ignore[arg-type]
        1,
        lambda: True,
        lambda vm: None,
        lambda: None,
        lambda: asyncio.get_running_loop().create_future(),
    )


async def _seconds_until_start(rig: Rig, vm: str, error: CallError) -> float:
    """Poll a VM that cannot be reached until its task is started elsewhere.

    Return the seconds since the last poll that may have extended its lease, or since the first.
    """
    port = Unreachable(rig, error)
    calls = calls_to(rig, port)
    began_at = rig.clock.time
    before = len(rig.started())
    while rig.clock.time < began_at + WATCHED_S:
        rig.report_all()
        rig.tick(STEP_S)
        if len(rig.started()) > before:
            assert rig.started()[-1].vm != vm
            return rig.clock.time - (port.lease_requested_at or began_at)
        row = rig.scheduler.state.vms.get(vm)
        if row is not None:
            await calls._poll(row)
    raise AssertionError("the task was not started again")


def _check_lease(rig: Rig, error: CallError) -> None:
    """Check that a leader starts a task again only once the lease that it gave is over."""
    seconds = run(_seconds_until_start(rig, _vm(rig), error))
    assert LEASE_S < seconds <= LEASE_S + FREED_WITHIN_S


def _check_lease_of_a_previous_leader(rig: Rig, vm: str, error: CallError) -> None:
    """Check the same of a lease that a previous leader may have given."""
    seconds = run(_seconds_until_start(rig, vm, error))
    lease_s = TAKEOVER_S + GRANTED_S
    assert lease_s < seconds <= lease_s + FREED_WITHIN_S


def _remove_entry(rig: Rig, vm: str) -> None:
    rig.scheduler.vms.entry_removed(vm)


def _omit_from_list(rig: Rig, vm: str) -> None:
    rows = rig.scheduler.state.vms.values()
    rig.scheduler.update_vm_list([row.info for row in rows if row.name != vm])


def _keep_entry(rig: Rig, vm: str) -> None:
    """Change nothing."""


Change = Callable[[Rig, str], None]
"""Changes what is known of a VM's entry."""
ENTRIES = pytest.mark.parametrize("entry", [_keep_entry, _remove_entry, _omit_from_list])


# -- VMs that refuse connections -------------------------------------------------------------


@ENTRIES
def test_refused_connections_do_not_end_a_lease(entry: Change) -> None:
    # Guards against a second run of a task whose VM a cut with resets hides.
    rig = rig_with_a_task()
    entry(rig, _vm(rig))
    _check_lease(rig, CallError.REFUSED)


@ENTRIES
def test_refused_connections_do_not_end_the_lease_of_a_previous_leader(entry: Change) -> None:
    # Guards against the same under a leader that never reached the VM.
    rig = rig_with_a_task()
    successor = rig.successor()
    entry(successor, _vm(rig))
    _check_lease_of_a_previous_leader(successor, _vm(rig), CallError.REFUSED)


def test_a_vm_that_refuses_connections_gets_no_new_work() -> None:
    rig = Rig()
    rig.scheduler.vms.connection_refused(rig.scheduler.state.vms["w0"])
    rig.accept("job", spec(StepSpec(4, CORE)))
    rig.tick()
    assert [start.vm for start in rig.started()] == ["w1"] * 4


def test_a_vm_that_refuses_connections_stays_recorded_as_in_use_under_its_lease() -> None:
    # Guards against a later leader that does not wait for the lease of its predecessor.
    rig = rig_with_a_task()
    vm = _vm(rig)
    rig.scheduler.vms.entry_removed(vm)
    for _ in range(int(LEASE_S / STEP_S)):
        rig.report_all()
        rig.tick(STEP_S)
        rig.scheduler.vms.connection_refused(rig.scheduler.state.vms[vm])
        rig.commit()
    assert f"w/{vm}" in rig.store
    rig.tick(FREED_WITHIN_S)
    rig.commit()
    assert f"w/{vm}" not in rig.store


def test_a_cap_covers_what_may_run_on_a_vm_that_refuses_connections() -> None:
    # Guards against an organisation over its cap after a change of leader.
    organisation = Organisation("org", (), 1.0, Shape(8_000, 64_000, 0))
    rig = Rig(organisations=(organisation,))
    rig.accept("job", spec(StepSpec(8, CORE)), organisation="org")
    rig.start_and_hold_all()
    vm = _vm(rig)
    successor = rig.successor()
    successor.vm_names.remove(vm)
    successor.scheduler.vms.entry_removed(vm)
    successor.accept("new", spec(StepSpec(8, CORE)), organisation="org")
    for _ in range(int((TAKEOVER_S + GRANTED_S) / STEP_S)):
        successor.report_all()
        successor.tick(STEP_S)
        successor.scheduler.vms.connection_refused(successor.scheduler.state.vms[vm])
    assert successor.started() == []


class _RefusingPort(Unreachable):
    """A VM that refuses a poll while another one extends its lease."""

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self._rig.scheduler.leases.extend(self._rig.scheduler.state.vms[call.vm])
        return CallError.REFUSED


def test_a_refused_poll_leaves_the_lease_as_it_was() -> None:
    # Guards against a wait for leases that no VM was asked for.
    rig = rig_with_a_task()
    row = rig.scheduler.state.vms[_vm(rig)]
    before = row.lease
    rig.clock.time += 0.5
    run(calls_to(rig, Unreachable(rig, CallError.REFUSED))._poll(row))
    assert row.lease is before
    run(calls_to(rig, Unreachable(rig, CallError.NO_ANSWER))._poll(row))
    assert row.lease.end > before.end


def test_a_refused_poll_does_not_undo_what_another_call_has_extended() -> None:
    rig = rig_with_a_task()
    row = rig.scheduler.state.vms[_vm(rig)]
    before = row.lease
    rig.clock.time += 0.5
    run(calls_to(rig, _RefusingPort(rig, CallError.REFUSED))._poll(row))
    assert row.lease.end > before.end


# -- VMs that drain --------------------------------------------------------------------------


def _drain(rig: Rig, vm: str, stays_s: float) -> None:
    info = rig.scheduler.state.vms[vm].info
    rig.scheduler.update_vm(msgspec.structs.replace(info, draining=True, leaves_in=stays_s))


@ERRORS
def test_a_draining_vm_that_is_cut_off_keeps_its_lease_though_its_entry_lapses(
    error: CallError,
) -> None:
    # Guards against a second run of a task whose draining VM a cut hides.
    rig = rig_with_a_task()
    _drain(rig, _vm(rig), stays_s=20.0)
    rig.scheduler.vms.entry_removed(_vm(rig))
    _check_lease(rig, error)


@ERRORS
def test_a_draining_vm_that_is_cut_off_keeps_its_lease_under_a_later_leader(
    error: CallError,
) -> None:
    rig = rig_with_a_task()
    successor = rig.successor()
    _drain(successor, _vm(rig), stays_s=20.0)
    successor.scheduler.vms.entry_removed(_vm(rig))
    _check_lease_of_a_previous_leader(successor, _vm(rig), error)


@ERRORS
def test_a_draining_vm_past_its_announced_time_keeps_its_lease(error: CallError) -> None:
    # Guards against a second run of a task on a VM that serves on for longer than it announced.
    rig = rig_with_a_task()
    _drain(rig, _vm(rig), stays_s=0.2)
    _check_lease(rig, error)


@ERRORS
def test_a_draining_vm_past_its_announced_time_keeps_its_lease_under_a_later_leader(
    error: CallError,
) -> None:
    rig = rig_with_a_task()
    successor = rig.successor()
    _drain(successor, _vm(rig), stays_s=0.2)
    _check_lease_of_a_previous_leader(successor, _vm(rig), error)


# -- VMs that are probed ---------------------------------------------------------------------


def _time_of_next_start(rig: Rig, step_s: float) -> float:
    before = len(rig.started())
    while len(rig.started()) == before:
        rig.report_all()
        rig.tick(step_s)
    return rig.clock.time


def test_a_probe_keeps_its_lease_though_its_vm_falls_silent() -> None:
    # Guards against a second run of a task that a VM without other leases was probed with.
    rig = Rig(vms=1)
    row = rig.scheduler.state.vms["w0"]
    rig.scheduler.vms.mark_unverified(row, 1)
    for _ in range(10):
        rig.wait(1.0)
    rig.vm_names.clear()
    rig.tick(2.1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    probed_at = _time_of_next_start(rig, 0.38)
    rig.vm_names.append("w0")
    rig.add_entries(1)
    rig.vm_names.remove("w0")
    rig.commit()
    # A next incarnation that is not known may have been sent the probe.
    lease_s = rig.started()[0].not_after - probed_at + GRANTED_S
    assert lease_s < _time_of_next_start(rig, 0.05) - probed_at <= lease_s + FREED_WITHIN_S
