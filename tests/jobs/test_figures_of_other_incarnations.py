"""What was learnt of one incarnation of a VM, or of calls to it, is not taken to hold for the next.

Calls for an incarnation may be carried out by the next one until that one has answered a call with
a higher fence.
"""

import asyncio

import msgspec
import pytest

from sablemount.control.ports import CallError, Started, StartResult
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import LaterIncarnation, StartRun, StopRun
from sablemount.jobs.model import StepSpec, VmInfo
from sablemount.jobs.vm_row import VmRow
from tests.emulator.loop import run
from tests.jobs.rig import CAPACITY, CORE, Rig, spec

BORN = 1_780_000_000_000
GRANTED_S = 10.0
"""Longest lease that a VM grants, in seconds on its own clock."""
MIN_CLOCK_RATE = 0.98
JOB = spec(StepSpec(1, CORE, expected_ms=30_000.0))
LOWER_CLOCK_MS = 10.0
"""Time on the clock of a next incarnation; the first one's is some 100,000 ms."""


def _info(incarnation: int, vm: str = "w0") -> VmInfo:
    """Return the entry of an incarnation of a VM; incarnations are numbered from 1."""
    born = BORN + incarnation
    name = f"{vm}/{born}"
    return VmInfo(
        name, f"a-{vm}", "pool", CAPACITY, ("a", "r0"), machine=vm, instance=vm, born=born
    )


def _grant(rig: Rig) -> None:
    """Let VMs grant longer leases than the leader requests."""
    state = rig.scheduler.state
    if "max_lease_s" in {field.name for field in msgspec.structs.fields(state.settings)}:
        state.settings = msgspec.structs.replace(state.settings, max_lease_s=GRANTED_S)


def _add_vm(rig: Rig, info: VmInfo) -> VmRow:
    rig.scheduler.update_vm(info)
    rig.vm_names.append(info.name)
    rig.report(info.name)
    rig.commit()
    return rig.scheduler.state.vms[info.name]


def _rig() -> tuple[Rig, VmRow]:
    """Return a rig with one VM, in its first incarnation."""
    rig = Rig(vms=0)
    _grant(rig)
    return rig, _add_vm(rig, _info(1))


def _start(rig: Rig) -> StartRun:
    """Let a task be started on the only VM, and add another VM."""
    rig.accept("job", JOB)
    rig.tick()
    (start,) = rig.started()
    _add_vm(rig, _info(1, "w1"))
    return start


def _go_silent(rig: Rig, row: VmRow) -> None:
    rig.vm_names.remove(row.name)


def _restart(rig: Rig, incarnation: int) -> VmRow:
    """Let the entry of a next incarnation be listed, which does not report yet."""
    rig.scheduler.update_time()
    rig.scheduler.update_vm(_info(incarnation))
    rig.commit()
    return rig.scheduler.state.vms[_info(incarnation).name]


def _remove_silent(rig: Rig, row: VmRow) -> None:
    """Let a VM fall silent and its entry lapse, until its row is removed."""
    _go_silent(rig, row)
    rig.scheduler.entry_removed("w0")
    for _ in range(100):
        rig.wait(0.5)
        rig.commit()
        if row.name not in rig.scheduler.state.vms:
            return
    raise AssertionError("the row was not removed")


# -- Runs ------------------------------------------------------------------------------------


@pytest.mark.parametrize("answered", [False, True], ids=["unanswered", "answered"])
def test_a_run_never_listed_is_held_for_the_granted_lease_of_an_unknown_incarnation(
    answered: bool,
) -> None:
    """The answer to a start request does not tell which incarnation has started the run."""
    rig, row = _rig()
    for _ in range(int(GRANTED_S) + 1):
        rig.wait(1.0)
    start = _start(rig)
    rig.scheduler.leases.extend(row)
    began_at = rig.clock.time
    if answered:
        rig.scheduler.reconcile.run_started(row.name, start.task, start.run, LOWER_CLOCK_MS)
    _go_silent(rig, row)
    while len(rig.started()) == 1:
        assert rig.clock.time < began_at + 60.0
        rig.wait(0.1)
    assert rig.clock.time - began_at >= GRANTED_S / MIN_CLOCK_RATE


class _Port:
    """A VM that answers the second attempt of a start request, and records fences of stops."""

    def __init__(self) -> None:
        self.starts = 0
        self.stop_fences: list[int] = []

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        self.starts += 1
        if self.starts > 1:
            return Started(0.0)
        await asyncio.sleep(timeout)
        return CallError.NO_ANSWER

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        self.stop_fences.append(fence)
        return None


def _calls(rig: Rig, port: _Port) -> VmCalls:
    recorded = asyncio.get_running_loop().create_future
    return VmCalls(
        rig.scheduler,
        port,  # type: ignore[arg-type]
        1,
        lambda: True,
        lambda vm: None,
        lambda: None,
        recorded,
    )


def test_a_listed_run_whose_request_was_repeated_is_expected_on_the_next_incarnation() -> None:
    """The unanswered attempt is carried out by the next incarnation, under the same run number."""

    async def scenario() -> None:
        rig, row = _rig()
        rig.clock.time = asyncio.get_running_loop().time()
        rig.report_all()
        start = _start(rig)
        port = _Port()
        calls = _calls(rig, port)
        calls.start(start)
        await asyncio.sleep(1.0)
        assert port.starts == 2
        rig.clock.time = asyncio.get_running_loop().time()
        rig.hold(start)
        rig.report_all()
        assert row.runs[(start.task, start.run)].listed
        _go_silent(rig, row)
        name = _restart(rig, 2).name
        for _ in range(5):
            rig.wait(0.1)
        assert len(rig.started()) == 1
        rig.hold(msgspec.structs.replace(start, vm=name))
        rig.report(name)
        rig.wait(0.1)
        assert len(rig.started()) == 1
        calls.close()

    run(scenario())


def test_an_overtaken_report_does_not_settle_a_start_that_the_next_incarnation_answered() -> None:
    """The time in the answer is of another clock than that of the report."""
    rig, row = _rig()
    start = _start(rig)
    rig.scheduler.reconcile.run_started(row.name, start.task, start.run, LOWER_CLOCK_MS)
    rig.report(row.name)
    rig.tick()
    assert (start.task, start.run) in row.runs
    assert len(rig.started()) == 1


# -- Acknowledgements ------------------------------------------------------------------------


def test_a_report_does_not_keep_an_earlier_acknowledgement_from_the_next_incarnation() -> None:
    """Only the incarnation that has reported refuses it, by its fence."""
    rig, row = _rig()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_unanswered(row, True)
    rig.wait(0.1)
    assert _restart(rig, 2).completions_unreliable


def test_an_acknowledgement_may_reach_an_incarnation_after_the_row_of_the_last_is_removed() -> None:
    rig, row = _rig()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_unanswered(row, True)
    _remove_silent(rig, row)
    assert _restart(rig, 2).completions_unreliable


def test_an_acknowledgement_may_reach_an_incarnation_though_the_last_is_known_to_have_ended() -> (
    None
):
    rig, row = _rig()
    rig.scheduler.acks.ack_sent(row)
    rig.scheduler.acks.ack_unanswered(row, True)
    rig.scheduler.vms.incarnation_ended(row.name)
    assert _restart(rig, 2).completions_unreliable


def test_a_vm_that_does_not_list_its_completions_stays_known_once_its_row_is_removed() -> None:
    rig, row = _rig()
    rig.scheduler.vms.mark_unreliable(row.name, 5)
    _remove_silent(rig, row)
    assert _restart(rig, 1).completions_unreliable


def test_a_later_leader_knows_of_a_vm_whose_completions_are_unreliable_and_that_was_cut_off() -> (
    None
):
    rig, row = _rig()
    rig.scheduler.vms.mark_unreliable(row.name, 5)
    rig.commit()
    _go_silent(rig, row)
    for _ in range(100):
        rig.wait(0.5)
        rig.commit()
    later = rig.successor()
    assert later.scheduler.state.vms[row.name].completions_unreliable


# -- Probes ----------------------------------------------------------------------------------


def _later_leader() -> tuple[Rig, VmRow]:
    """Return the rig of a later leader, with a VM whose next incarnation has to be probed."""
    previous, _ = _rig()
    rig = previous.successor()
    _grant(rig)
    rig.commit()
    rig.report_all()
    return rig, rig.scheduler.state.vms[_info(1).name]


def _assert_no_probe_yet(rig: Rig, row: VmRow, before: int) -> None:
    """Check that nothing is started on a next incarnation under a lease of the earlier calls."""
    rig.vm_names[:] = [row.name]
    assert row.unverified
    ends_at = rig.clock.time + GRANTED_S
    while rig.clock.time < ends_at:
        rig.wait(0.1)
        rig.commit()
    assert len(rig.started()) == before


def test_a_vm_is_not_probed_after_an_unanswered_poll_before_its_restart_was_known() -> None:
    rig, row = _later_leader()
    rig.scheduler.leases.extend(row)
    rig.scheduler.leases.poll_sent(row)
    rig.scheduler.vms.poll_ended(row, True)
    later = _restart(rig, 2)
    rig.accept("job", JOB)
    _assert_no_probe_yet(rig, later, 0)


def test_a_vm_is_not_probed_after_a_start_request_for_its_predecessor() -> None:
    """A start request that is refused extends the lease as well."""
    rig, _ = _later_leader()
    rig.accept("job", JOB)
    rig.tick()
    assert len(rig.started()) == 1
    _assert_no_probe_yet(rig, _restart(rig, 2), 1)


def test_a_vm_that_restarts_twice_is_not_probed_after_it_has_answered_the_first_poll() -> None:
    rig, row = _later_leader()
    rig.scheduler.leases.extend(row)
    rig.scheduler.leases.poll_sent(row)
    _restart(rig, 2)
    third = _info(3)
    rig.scheduler.vms.poll_ended(row, True)
    rig.scheduler.incarnation_replaced(row, LaterIncarnation(third.name, third.born), 0, True)
    rig.accept("job", JOB)
    _assert_no_probe_yet(rig, _restart(rig, 3), 0)


# -- Fences ----------------------------------------------------------------------------------


def test_no_stop_for_an_ended_incarnation_raises_the_fence_of_the_next_one() -> None:
    """Calls for the next incarnation were refused, and the leadership ended."""

    async def scenario() -> None:
        rig, row = _rig()
        port = _Port()
        calls = _calls(rig, port)
        rig.scheduler.acks.ack_sent(row)
        later = _restart(rig, 2)
        rig.scheduler.acks.ack_unanswered(row, True)
        calls.stop(StopRun(row.name, "job.0.0.0", 1))
        await asyncio.sleep(1.0)
        assert all(fence <= calls._context.fence(later) for fence in port.stop_fences)
        calls.close()

    run(scenario())
