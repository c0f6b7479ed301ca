"""The next incarnation of a VM shows by a probe, whose loss costs nothing, if it lists completions.

A late message for the previous incarnation may make it forget completions, and only the VM knows.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from sablemount.control.ports import CallError, HoldCall, HoldResult, StartResult
from sablemount.control.vm_calls import VmCalls
from sablemount.control.vm_starts import PROBE_LEASE_S, SHORT_PROBES
from sablemount.jobs.actions import LaterIncarnation, StartRun, VmReport
from sablemount.jobs.model import AdviceTerms, StepSpec, VmInfo
from sablemount.jobs.records import Record
from sablemount.jobs.run_row import RunState
from sablemount.jobs.vm_row import VmRow
from tests.emulator.loop import run
from tests.jobs.rig import CAPACITY, CORE, Rig, queue, spec

NEXT_INCARNATION = VmInfo("w0/7", "a0", "pool", CAPACITY, ("b", "r0"), instance="w0", born=7)


def _restarted_vm(steps: tuple[StepSpec, ...] = (StepSpec(3, CORE),)) -> tuple[Rig, VmRow]:
    """Return the rig of a later leader, with waiting jobs, whose only VM has just restarted."""
    previous = Rig(vms=1)
    previous.commit()
    rig = Rig(0, 2)
    rig.scheduler.load([Record(key, value) for key, value in previous.store.items()])
    for number, step in enumerate(steps):
        rig.accept(f"job{number}", spec(step))
    rig.scheduler.update_time()
    rig.scheduler.incarnation_replaced(
        rig.scheduler.state.vms["w0"],
        LaterIncarnation(NEXT_INCARNATION.name, NEXT_INCARNATION.born),
        0,
    )
    rig.scheduler.update_vm(NEXT_INCARNATION)
    rig.commit()
    rig.vm_names.append(NEXT_INCARNATION.name)
    return rig, rig.scheduler.state.vms[NEXT_INCARNATION.name]


def _first_start(rig: Rig) -> StartRun:
    rig.wait(0.1)
    rig.wait(0.1)
    (start,) = rig.started()
    return start


def test_a_probe_shows_that_the_next_incarnation_lists_completions() -> None:
    rig, row = _restarted_vm()
    start = _first_start(rig)
    assert row.runs[(start.task, start.run)].is_probe
    assert row.completions_unreliable
    rig.hold(start)
    rig.wait(0.01)
    rig.complete(start, "lapsed")
    rig.wait(0.1)
    assert not row.completions_unreliable
    rig.wait(0.3)
    assert len({start.task for start in rig.started()[1:]}) == 3


def test_a_lost_probe_is_no_completion_and_its_task_runs_on_a_reliable_vm() -> None:
    rig, row = _restarted_vm()
    start = _first_start(rig)
    rig.hold(start)
    rig.report_all()
    rig.running[row.name] = []
    for _ in range(10):
        rig.wait(1.0)
    assert row.completions_unreliable
    assert not row.unverified
    assert rig.started() == [start]
    rig.add_vms(1)
    rig.commit()
    rig.wait(0.3)
    assert start.task in {restarted.task for restarted in rig.started()[1:]}


def test_a_refused_probe_is_repeated_later() -> None:
    rig, row = _restarted_vm()
    start = _first_start(rig)
    rig.scheduler.reconcile.run_not_started(row.name, start.task, start.run)
    rig.tick()
    assert rig.started() == [start]
    for _ in range(4):
        rig.wait(0.1)
    assert len(rig.started()) == 2
    assert row.probes == 2


def test_an_incarnation_found_unverified_by_a_previous_leader_is_probed() -> None:
    rig, _ = _restarted_vm()
    rig.commit()
    later = Rig(0, 3)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    row = later.scheduler.state.vms[NEXT_INCARNATION.name]
    assert row.completions_unreliable
    later.scheduler.update_vm(NEXT_INCARNATION)
    later.vm_names.append(NEXT_INCARNATION.name)
    for _ in range(2):
        later.commit()
        later.wait(0.1)
    assert [start.vm for start in later.started()] == [NEXT_INCARNATION.name]


@pytest.mark.parametrize("crashes", [["w0/1"], ["w8/1", "w9/1"]])
def test_a_suspect_does_not_probe_a_vm_while_another_vm_needs_no_probe(crashes: list[str]) -> None:
    """A task crashed five incarnations of one VM by its probes, which count as one crash."""
    rig, row = _restarted_vm((StepSpec(1, CORE),))
    rig.add_vms(1)
    rig.commit()
    rig.scheduler.state.vms["w1"].isolated_job = "other"
    job = rig.scheduler.state.jobs["job0"]
    job.has_crashes = True
    job.steps[(0, 0)].tasks[0].crashes = crashes
    for _ in range(5):
        rig.wait(0.1)
    assert row.unverified
    assert row.name not in {start.vm for start in rig.started()}


def test_a_suspect_probes_a_vm_where_all_vms_need_probes() -> None:
    rig, row = _restarted_vm((StepSpec(1, CORE),))
    job = rig.scheduler.state.jobs["job0"]
    job.has_crashes = True
    job.steps[(0, 0)].tasks[0].crashes = ["w0/1"]
    assert _first_start(rig).vm == row.name


def test_a_later_leader_does_not_probe_under_a_lease_that_a_poll_has_extended() -> None:
    """The poll was an earlier leader's, so that only the VM's record can tell of it."""
    rig, row = _restarted_vm()
    rig.scheduler.vms.lease_extended(row.name)
    rig.commit()
    later = Rig(0, 3)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    later.scheduler.update_vm(NEXT_INCARNATION)
    later.vm_names.append(NEXT_INCARNATION.name)
    loaded = later.scheduler.state.vms[NEXT_INCARNATION.name]
    assert loaded.lease_extended_until > later.clock.time + 1.0
    for _ in range(5):
        later.commit()
        later.wait(0.1)
    assert later.started() == []
    later.clock.time = loaded.lease_extended_until
    for _ in range(3):
        later.commit()
        later.wait(0.1)
    assert [start.vm for start in later.started()] == [NEXT_INCARNATION.name]


def test_a_vm_that_reports_without_an_entry_stays_known_as_unverified() -> None:
    """Its row was removed, and once its entry was back it was used without a probe."""
    rig, row = _restarted_vm(())
    rig.wait(0.1)
    rig.scheduler.entry_removed("w0")
    for _ in range(20):
        rig.wait(1.0)
    rig.scheduler.update_vm(NEXT_INCARNATION)
    assert rig.scheduler.state.vms[NEXT_INCARNATION.name].completions_unreliable


def test_members_of_one_gang_do_not_probe_two_vms_at_once() -> None:
    rig, row = _restarted_vm((StepSpec(3, CORE, gang=True),))
    other = msgspec.structs.replace(NEXT_INCARNATION, name="w1/7", instance="w1", address="a1")
    rig.scheduler.update_vm(other)
    rig.commit()
    second = rig.scheduler.state.vms[other.name]
    rig.scheduler.vms.mark_unverified(second, 0)
    rig.vm_names.append(other.name)
    rig.wait(0.1)
    rig.wait(0.1)
    assert len(rig.started()) == 1


def test_advice_is_requested_for_a_probe_that_needs_a_ticket() -> None:
    rig, row = _restarted_vm(())
    advised = queue("advised", advice=AdviceTerms(10.0, 1.0, 2000.0))
    rig.scheduler.apply_configuration(
        msgspec.structs.replace(rig.configuration, version=9, queues=(queue(), advised))
    )
    rig.scheduler.advice.set_call_slots({"one"})
    rig.accept("job", spec(StepSpec(1, CORE)), advised)
    rig.wait(0.1)
    rig.wait(0.1)
    assert [ask.vms for ask in rig.advice_calls()] == [(row.name,)]


class _Port:
    """A VM that records how it is called."""

    def __init__(self) -> None:
        self.holds: list[HoldCall] = []
        self.untils: list[int] = []

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.holds.append(call)
        now = asyncio.get_running_loop().time()
        return VmReport(call.vm, now, now * 1000.0, (), ())

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        self.untils.append(until_ms)
        return CallError.NO_ANSWER


def _vm_calls(rig: Rig, port: Any) -> VmCalls:
    recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    recorded.set_result(None)
    rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
    rig.scheduler.update_time()
    return VmCalls(
        rig.scheduler, port, 3, lambda: True, lambda vm: None, lambda: None, lambda: recorded
    )


@pytest.mark.parametrize("probes", [1, SHORT_PROBES])
def test_the_lease_of_a_probe_is_too_short_for_any_work(probes: int) -> None:
    """A second probe, leased for 0.08 s, completed work of 0.05 s that was then done again."""

    async def scenario() -> None:
        rig, row = _restarted_vm()
        start = _first_start(rig)
        row.probes = probes
        port = _Port()
        vm_calls = _vm_calls(rig, port)
        row.runs[(start.task, start.run)].state = RunState.SENT
        now = asyncio.get_running_loop().time()
        row.clock_read_at = row.last_report_at = now
        row.clock_ms = now * 1000.0
        start = msgspec.structs.replace(start, not_after=now + 1.0)
        row.runs[(start.task, start.run)].settle_clock_ms = row.clock_ms + 1_500.0
        await vm_calls._poll(row)
        await vm_calls._start(start)
        assert port.holds[0].until_ms == 0
        assert 0 < port.untils[0] - row.clock_ms <= PROBE_LEASE_S * 1000.0

    run(scenario())


def test_a_vm_that_does_not_list_its_completions_gets_no_lease_that_a_probe_could_use() -> None:
    """A leader extended it, and a later leader's probe completed unlisted and was started again."""

    async def scenario() -> None:
        rig, row = _restarted_vm()
        port = _Port()
        vm_calls = _vm_calls(rig, port)
        rig.scheduler.vms.mark_unreliable(row.name, 7)
        row.first_report_at = row.last_report_at = asyncio.get_running_loop().time()
        await vm_calls._poll(row)
        assert port.holds[0].until_ms == 0

    run(scenario())


class _NextIncarnationPort(_Port):
    """A VM whose next incarnation carries out every poll."""

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.holds.append(call)
        return LaterIncarnation(NEXT_INCARNATION.name, NEXT_INCARNATION.born)


def test_a_vm_is_not_probed_under_a_lease_that_a_poll_for_its_predecessor_extended() -> None:
    """The probe could complete its work, which the VM may not list, and it would run twice."""

    async def scenario() -> None:
        rig = Rig(vms=1)
        port = _NextIncarnationPort()
        vm_calls = _vm_calls(rig, port)
        previous = rig.scheduler.state.vms["w0"]
        previous.last_report_at = asyncio.get_running_loop().time()
        previous.ack_in_flight = True
        await vm_calls._poll(previous)
        assert port.holds[0].until_ms > 0
        row = rig.scheduler.state.vms[NEXT_INCARNATION.name]
        rig.scheduler.update_vm(NEXT_INCARNATION)
        row.in_use = True
        assert row.unverified
        now = asyncio.get_running_loop().time()
        row.first_report_at = row.last_report_at = now
        assert not rig.scheduler.vms.can_probe(row)
        rig.scheduler.state.now = row.last_report_at = row.lease_extended_until
        assert row.lease_extended_until > now + 1.0
        assert rig.scheduler.vms.can_probe(row)

    run(scenario())


@pytest.mark.parametrize("acked", [0, 1])
def test_an_acknowledgement_does_not_extend_the_lease(acked: int) -> None:
    async def scenario() -> None:
        rig = Rig(vms=1)
        port = _Port()
        vm_calls = _vm_calls(rig, port)
        row = rig.scheduler.state.vms["w0"]
        row.last_report_at = asyncio.get_running_loop().time()
        row.last_recorded_completion = acked
        await vm_calls._poll(row)
        (call,) = port.holds
        assert (call.acked_completion, call.until_ms > 0) == (acked, not acked)

    run(scenario())


class _HeldPort(_Port):
    """A VM whose answers a test gives, in the order of the polls."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: list[asyncio.Future[HoldResult]] = []

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.holds.append(call)
        self.answers.append(asyncio.get_running_loop().create_future())
        return await self.answers[-1]


class _RestartDuringPolls:
    """A VM that restarts, as its entry shows, while polls for the previous incarnation are due."""

    def __init__(self, polls: int = 1, acked: int = 0) -> None:
        self.rig = Rig(vms=1)
        self.port = _HeldPort()
        self.vm_calls = _vm_calls(self.rig, self.port)
        self.previous = self.rig.scheduler.state.vms["w0"]
        self.previous.last_report_at = asyncio.get_running_loop().time()
        self.previous.last_recorded_completion = acked
        self.polls = [asyncio.create_task(self.vm_calls._poll(self.previous)) for _ in range(polls)]

    async def restart(self, info: VmInfo = NEXT_INCARNATION) -> VmRow:
        """Read the entry of the next incarnation, and let it report."""
        await asyncio.sleep(0.01)
        # An acknowledgement that got no answer.
        self.rig.scheduler.state.vms[self.previous.name].ack_in_flight = True
        self.rig.scheduler.update_vm(info)
        self.rig.commit()
        row = self.rig.scheduler.state.vms[info.name]
        assert row.unverified
        row.first_report_at = row.last_report_at = asyncio.get_running_loop().time()
        return row

    async def answer(self, number: int, result: HoldResult) -> None:
        """Answer a poll."""
        self.port.answers[number].set_result(result)
        await self.polls[number]

    def can_probe(self, row: VmRow) -> bool:
        row.last_report_at = self.rig.scheduler.state.now
        return self.rig.scheduler.vms.can_probe(row)

    def previous_report(self) -> VmReport:
        """Return the answer of the previous incarnation."""
        now = asyncio.get_running_loop().time()
        return VmReport(self.previous.name, now, now * 1000.0, (), ())


CARRIED_OUT = {
    "answer of the next": LaterIncarnation(NEXT_INCARNATION.name, NEXT_INCARNATION.born),
    "no answer": CallError.NO_ANSWER,
    "reset": CallError.RESET_ON_OPEN,
}
"""Results of a poll that the next incarnation has carried out, or may have."""
NOT_CARRIED_OUT = {
    "answer of the previous": None,
    "not sent": CallError.NOT_SENT,
    "reset unsent": CallError.RESET_UNSENT,
    "refused": CallError.REFUSED,
    "fenced": CallError.FENCED,
    "another VM": CallError.OTHER_INCARNATION,
}
"""Results of a poll that it has not carried out; ``None`` is a report of the previous one."""


@pytest.mark.parametrize("result", CARRIED_OUT.values(), ids=CARRIED_OUT)
def test_a_vm_is_not_probed_while_a_poll_for_its_predecessor_is_in_flight(
    result: HoldResult,
) -> None:
    """The poll had extended the lease, and its answer was on its way when the probe started."""

    async def scenario() -> None:
        vm = _RestartDuringPolls()
        row = await vm.restart()
        assert vm.port.holds[0].until_ms > 0
        assert not vm.can_probe(row)
        vm.rig.scheduler.state.now += 0.3
        assert not vm.can_probe(row)
        await vm.answer(0, result)
        assert not vm.can_probe(row)
        assert row.lease_extended_until > vm.rig.scheduler.state.now + 1.0
        vm.rig.scheduler.state.now = row.lease_extended_until
        assert vm.can_probe(row)

    run(scenario())


@pytest.mark.parametrize("result", NOT_CARRIED_OUT.values(), ids=NOT_CARRIED_OUT)
def test_a_vm_is_probed_once_no_poll_for_its_predecessor_can_have_extended_its_lease(
    result: HoldResult | None,
) -> None:
    async def scenario() -> None:
        vm = _RestartDuringPolls(polls=2)
        row = await vm.restart()
        await vm.answer(1, result or vm.previous_report())
        assert not vm.can_probe(row)
        await vm.answer(0, result or vm.previous_report())
        assert vm.can_probe(row)

    run(scenario())


def test_a_vm_is_probed_while_a_poll_that_extends_no_lease_is_in_flight() -> None:
    async def scenario() -> None:
        vm = _RestartDuringPolls(acked=1)
        row = await vm.restart()
        assert vm.port.holds[0].until_ms == 0
        assert vm.can_probe(row)

    run(scenario())


def test_a_vm_that_restarts_twice_is_not_probed_while_the_first_poll_is_in_flight() -> None:
    async def scenario() -> None:
        vm = _RestartDuringPolls()
        middle = await vm.restart()
        middle.ack_in_flight = True
        later = msgspec.structs.replace(NEXT_INCARNATION, name="w0/9", born=9)
        row = await vm.restart(later)
        assert not vm.can_probe(row)
        await vm.answer(0, LaterIncarnation(later.name, later.born))
        assert not vm.can_probe(row)
        vm.rig.scheduler.state.now = row.lease_extended_until
        assert vm.can_probe(row)

    run(scenario())


def test_a_later_leader_knows_of_a_poll_for_the_predecessor_that_was_in_flight() -> None:
    async def scenario() -> None:
        vm = _RestartDuringPolls()
        row = await vm.restart()
        later = Rig(0, 3)
        later.scheduler.load([Record(key, value) for key, value in vm.rig.store.items()])
        loaded = later.scheduler.state.vms[row.name]
        assert loaded.lease_extended_until > later.clock.time + 1.0

    run(scenario())


def test_a_poll_that_fails_with_an_error_may_have_extended_the_lease() -> None:
    async def scenario() -> None:
        vm = _RestartDuringPolls()
        row = await vm.restart()
        vm.port.answers[0].set_exception(ValueError("wrong"))
        await asyncio.wait(vm.polls)
        assert isinstance(vm.polls[0].exception(), ValueError)
        assert not vm.can_probe(row)
        vm.rig.scheduler.state.now = row.lease_extended_until
        assert vm.can_probe(row)

    run(scenario())
