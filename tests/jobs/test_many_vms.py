"""A leader that polls thousands of VMs, which takes processor time, does all other work in time."""

import asyncio

import msgspec

from sablemount.control.ports import CallError, HoldCall, HoldResult, Started
from sablemount.control.vm_calls import VmCalls
from sablemount.control.vm_polls import HOLD_WAIT_S, MAX_HOLD_WAIT_S
from sablemount.jobs.actions import RunReport, StartRun, VmReport
from sablemount.jobs.model import StepSpec
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import block_loop, run
from tests.jobs.rig import CORE, Rig, spec

VMS = 3_000
CONNECT_TIME_S = 0.0005
"""Processor time to send a poll over a new connection."""
SEND_TIME_S = 0.0001
"""Processor time to send a poll over an existing connection, or to process an answer."""
LATENCY_S = 0.002
JOBS = 40
TASKS_PER_JOB = 30
"""Tasks of a job."""
OTHER_WORK_INTERVAL_S = 0.02
"""Interval of the other work of the process."""
MAX_GAP_S = 0.15
"""Longest permitted gap between runs of the other work: half of the time-out of a member's ping."""
REPORT_MAX_AGE_S = JobSettings().max_report_age_s


class _BusyPort:
    """VMs that answer as soon as the requested wait is over; calls take processor time."""

    def __init__(self) -> None:
        self.connected: set[str] = set()
        self.polls = 0
        self.waits: list[tuple[str, float]] = []
        self.failed = 0
        self.started = 0
        self.running: dict[str, list[RunReport]] = {}
        """The started runs, by VM."""
        self.processor_time = 0.0

    def _spend(self, seconds: float) -> None:
        self.processor_time += seconds
        block_loop(seconds)

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.polls += 1
        self.waits.append((call.vm, call.wait))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        if call.address not in self.connected:
            self._spend(CONNECT_TIME_S)
        self._spend(SEND_TIME_S)
        sent_at = loop.time()
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(LATENCY_S + call.wait)
        except TimeoutError:
            self.connected.discard(call.address)
            self.failed += 1
            return CallError.NO_ANSWER
        self.connected.add(call.address)
        self._spend(SEND_TIME_S)
        running = tuple(self.running.get(call.vm, ()))
        return VmReport(call.vm, sent_at, loop.time() * 1000.0, running, ())

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> Started | CallError:
        self._spend(CONNECT_TIME_S + SEND_TIME_S)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(LATENCY_S)
        except TimeoutError:
            return CallError.NO_ANSWER
        self._spend(SEND_TIME_S)
        self.started += 1
        self.running.setdefault(action.vm, []).append(RunReport(action.task, action.run, "", 0.0))
        return Started(asyncio.get_running_loop().time() * 1000.0)


class _Leader:
    """A scheduler with many VMs and the calls to them; VMs take ``accepted`` connections each."""

    def __init__(self, vms: int, accepted: int = 0) -> None:
        self.rig = rig = Rig(vms=0)
        rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
        rig.scheduler.update_time()
        configuration = msgspec.structs.replace(
            rig.configuration, version=2, accepted_connections={"pool": accepted}
        )
        rig.scheduler.apply_configuration(configuration)
        self.port = _BusyPort()
        self.authority = True
        recorded = asyncio.get_running_loop().create_future
        self.calls = VmCalls(
            rig.scheduler,
            self.port,
            1,
            lambda: self.authority,
            lambda vm: None,
            lambda: None,
            recorded,
        )
        rig.add_entries(vms)
        self.rows = list(rig.scheduler.state.vms.values())
        self.longest_gap = 0.0

    async def run_other_work(self, seconds: float) -> None:
        """Let some seconds pass, and record the longest gap between runs of the other work."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while (before := loop.time()) < deadline:
            await asyncio.sleep(OTHER_WORK_INTERVAL_S)
            self.longest_gap = max(self.longest_gap, loop.time() - before)


def test_a_new_leader_hears_thousands_of_vms_at_the_first_look_and_goes_on_with_all_else() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.poll_new_vms()
        await leader.run_other_work(4.0)
        assert all(row.first_report_at > 0 for row in leader.rows)
        assert leader.port.failed == 0
        assert leader.longest_gap < MAX_GAP_S
        leader.calls.close()

    run(scenario())


def test_a_look_that_has_waited_for_its_turn_is_not_sent_without_authority() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.poll_new_vms()
        await asyncio.sleep(0.1)
        leader.authority = False
        before = leader.port.polls
        await leader.run_other_work(2.0)
        assert leader.port.polls == before
        leader.calls.close()

    run(scenario())


def test_looks_at_thousands_of_vms_leave_most_of_a_processor_to_all_else() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.poll_new_vms()
        await leader.run_other_work(6.0)
        before = leader.port.processor_time
        await leader.run_other_work(6.0)
        assert leader.port.processor_time - before < 0.5 * 6.0
        now = asyncio.get_running_loop().time()
        assert max(now - row.last_report_at for row in leader.rows) < REPORT_MAX_AGE_S
        leader.calls.close()

    run(scenario())


def test_a_vm_at_work_is_looked_at_as_often_in_a_large_cell() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.poll_new_vms()
        await leader.run_other_work(6.0)
        leader.rig.accept("job", spec(StepSpec(1, CORE)))
        leader.rig.tick(0.0)
        (start,) = leader.rig.started()
        leader.port.waits.clear()
        row = leader.rig.scheduler.state.vms[start.vm]
        while row.runs:
            await asyncio.sleep(OTHER_WORK_INTERVAL_S)
        # The start was requested during a longer poll, which is the last one in the list.
        waits = [wait for vm, wait in leader.port.waits if vm == start.vm]
        assert waits
        assert max(waits[:-1]) <= HOLD_WAIT_S
        leader.calls.close()

    run(scenario())


def test_hundreds_of_starts_at_once_let_all_else_go_on() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.poll_new_vms()
        await leader.run_other_work(6.0)
        leader.longest_gap = 0.0
        for number in range(JOBS):
            leader.rig.accept(f"job{number}", spec(StepSpec(TASKS_PER_JOB, CORE)))
        leader.rig.tick(0.0)
        while leader.rig.scheduler.placement.has_untried_steps:
            leader.rig.tick(0.0)
        for start in leader.rig.started():
            leader.calls.start(start)
        await leader.run_other_work(1.6)
        assert leader.port.started == JOBS * TASKS_PER_JOB
        assert leader.longest_gap < MAX_GAP_S
        leader.calls.close()

    run(scenario())


def test_thousands_of_vms_with_a_single_connection_are_heard_in_time() -> None:
    """A poll that waited for longer than a VM allows would be refused."""

    async def scenario() -> None:
        leader = _Leader(VMS, accepted=8)
        leader.calls.poll_new_vms()
        await leader.run_other_work(8.0)
        assert max(wait for _, wait in leader.port.waits) <= MAX_HOLD_WAIT_S
        now = asyncio.get_running_loop().time()
        assert max(now - row.last_report_at for row in leader.rows) < REPORT_MAX_AGE_S
        leader.calls.close()

    run(scenario())
