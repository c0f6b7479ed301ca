"""A VM holds what runs there for the longest lease that any call may have given, not the requested.

A call for an earlier incarnation names a time on that one's clock, which may lie far ahead on the
clock of the next incarnation.
"""

import pytest

from sablemount.jobs.actions import LaterIncarnation
from sablemount.jobs.model import StepSpec, VmInfo
from tests.jobs.rig import CAPACITY, CORE, Rig, spec
from tests.jobs.test_lease_ends import FREED_WITHIN_S, GRANTED_S, LEASE_S

BORN = 1_780_000_000_000
JOB = spec(StepSpec(1, CORE, expected_ms=30_000.0))
STEP_S = 0.1
START_VALID_S = 1.5
"""Seconds for which a start request may be carried out."""


def _info(incarnation: int, vm: str = "w0") -> VmInfo:
    born = BORN + incarnation
    name = f"{vm}/{born}"
    return VmInfo(
        name, f"a-{vm}", "pool", CAPACITY, ("a", "r0"), machine=vm, instance=vm, born=born
    )


def _add_vm(rig: Rig, info: VmInfo) -> None:
    rig.scheduler.update_vm(info)
    rig.vm_names.append(info.name)
    rig.report(info.name)
    rig.commit()


def _restarted_vm(answers_earlier_poll: bool) -> Rig:
    """Return a rig whose only VM has just restarted under its id, and has reported since."""
    rig = Rig(vms=0)
    _add_vm(rig, _info(1))
    for _ in range(int(GRANTED_S) + 1):
        rig.wait(1.0)
    first, second = _info(1), _info(2)
    rig.vm_names.remove(first.name)
    if answers_earlier_poll:
        row = rig.scheduler.state.vms[first.name]
        found = LaterIncarnation(second.name, second.born)
        rig.scheduler.incarnation_replaced(row, found, 0, lease_extended=True)
    _add_vm(rig, second)
    return rig


def _start_and_cut_off(rig: Rig, after_s: float) -> None:
    """Start a task on the only VM, cut it off, and let another VM come up."""
    rig.accept("job", JOB)
    rig.start_and_hold_all()
    (vm,) = rig.vm_names
    for _ in range(round(after_s / STEP_S)):
        rig.wait(STEP_S)
        rig.scheduler.leases.extend(rig.scheduler.state.vms[vm])
    rig.vm_names.clear()
    _add_vm(rig, _info(1, "w1"))


def _time_of_start_elsewhere(rig: Rig) -> float:
    before = len(rig.started())
    ends_at = rig.clock.time + 60.0
    while len(rig.started()) == before:
        assert rig.clock.time < ends_at
        rig.wait(STEP_S)
        rig.commit()
    return rig.clock.time


@pytest.mark.parametrize("answers_earlier_poll", [False, True], ids=["unanswered", "answered"])
def test_a_restarted_vm_that_is_cut_off_is_held_for_the_lease_of_an_earlier_call(
    answers_earlier_poll: bool,
) -> None:
    rig = _restarted_vm(answers_earlier_poll)
    reported_at = rig.clock.time
    _start_and_cut_off(rig, after_s=1.0)
    seconds = _time_of_start_elsewhere(rig) - reported_at
    assert GRANTED_S <= seconds <= GRANTED_S + FREED_WITHIN_S


def test_a_vm_that_a_new_leader_meets_is_held_for_the_lease_of_an_earlier_call() -> None:
    previous = Rig(vms=0)
    _add_vm(previous, _info(1))
    rig = previous.successor()
    rig.wait(STEP_S)
    reported_at = rig.clock.time - STEP_S
    rig.commit()
    _start_and_cut_off(rig, after_s=1.0)
    seconds = _time_of_start_elsewhere(rig) - reported_at
    assert GRANTED_S <= seconds <= GRANTED_S + FREED_WITHIN_S


def test_a_next_incarnation_that_never_reports_is_held_for_the_lease_of_an_earlier_call() -> None:
    rig = Rig(vms=0)
    _add_vm(rig, _info(1))
    # Former leaders of this one may have extended leases up to 2.5 s after its election.
    for _ in range(int(GRANTED_S) + 4):
        rig.wait(1.0)
    rig.accept("job", JOB)
    rig.tick()
    _add_vm(rig, _info(1, "w1"))
    rig.vm_names.remove(_info(1).name)
    rig.scheduler.update_vm(_info(2))
    known_at = rig.clock.time
    seconds = _time_of_start_elsewhere(rig) - known_at
    assert GRANTED_S <= seconds <= GRANTED_S + START_VALID_S + FREED_WITHIN_S


def test_a_vm_that_has_reported_for_long_is_held_for_the_requested_lease_only() -> None:
    # Guards against longer waits where no earlier call can have an effect.
    rig = _restarted_vm(answers_earlier_poll=True)
    _start_and_cut_off(rig, after_s=GRANTED_S + 1.0)
    extended_at = rig.clock.time
    seconds = _time_of_start_elsewhere(rig) - extended_at
    assert LEASE_S - STEP_S < seconds <= LEASE_S + FREED_WITHIN_S


def test_only_the_run_that_was_never_listed_waits_for_the_longest_lease() -> None:
    # Guards against longer waits of what the VM has listed beside it.
    rig = _restarted_vm(answers_earlier_poll=False)
    _start_and_cut_off(rig, after_s=GRANTED_S + 1.0)
    (vm,) = {start.vm for start in rig.started()}
    extended_at = rig.clock.time
    rig.vm_names.remove(_info(1, "w1").name)
    rig.accept("unlisted", JOB)
    rig.tick()
    assert [start.vm for start in rig.started()] == [vm, vm]
    rig.vm_names.append(_info(1, "w1").name)
    seconds = _time_of_start_elsewhere(rig) - extended_at
    assert LEASE_S - STEP_S < seconds <= LEASE_S + FREED_WITHIN_S
    assert rig.started()[-1].task == "job.0.0.0"
    rig.hold(rig.started()[-1])
    seconds = _time_of_start_elsewhere(rig) - extended_at
    assert GRANTED_S <= seconds <= GRANTED_S + START_VALID_S + FREED_WITHIN_S
    assert rig.started()[-1].task == "unlisted.0.0.0"


def test_a_listed_run_with_an_unanswered_attempt_waits_for_the_longest_lease() -> None:
    # Guards against a next incarnation that is not known and carries out that attempt.
    rig = _restarted_vm(answers_earlier_poll=False)
    _start_and_cut_off(rig, after_s=GRANTED_S + 1.0)
    (row,) = (row for row in rig.scheduler.state.vms.values() if row.runs)
    (run,) = row.runs.values()
    run.attempt_unanswered_at = rig.clock.time
    rig.scheduler.leases.call_ended(row)
    cut_off_at = rig.clock.time
    seconds = _time_of_start_elsewhere(rig) - cut_off_at
    assert GRANTED_S <= seconds <= GRANTED_S + FREED_WITHIN_S


def test_a_run_never_listed_waits_for_the_lease_of_a_later_call() -> None:
    # Guards against a poll that an unknown next incarnation carries out after the start.
    rig = _restarted_vm(answers_earlier_poll=False)
    _start_and_cut_off(rig, after_s=GRANTED_S + 1.0)
    (row,) = (row for row in rig.scheduler.state.vms.values() if row.runs)
    (run,) = row.runs.values()
    run.listed = False
    rig.scheduler.leases.poll_sent(row)
    rig.clock.time += 1.9
    rig.scheduler.update_time()
    rig.scheduler.vms.poll_ended(row, True)
    polled_at = rig.clock.time
    seconds = _time_of_start_elsewhere(rig) - polled_at
    assert GRANTED_S <= seconds <= GRANTED_S + FREED_WITHIN_S
