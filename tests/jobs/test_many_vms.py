"""A leader of thousands of VMs, whose looks take processor time, still runs all else in time."""

import asyncio

from sablemount.control.ports import CallError, HoldCall, HoldResult, Started
from sablemount.control.vm_calls import HOLD_WAIT, VmCalls
from sablemount.jobs.actions import Heard, StartRun
from sablemount.jobs.model import StepSpec
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run, spend
from tests.jobs.rig import CORE, Rig, spec

VMS = 3_000
LINK_TIME = 0.0005
"""Seconds of a processor that a look over a new connection takes before it is sent."""
SEND_TIME = 0.0001
"""The same over one that is kept, and for an answer."""
WAY = 0.002
JOBS = 40
WIDE = 30
"""Tasks of a job."""
TURN = 0.02
"""Seconds between turns of all else that the process does."""
LONGEST_TURN = 0.15
"""Seconds within which all else has its turn: half of what a member waits for its ping's answer."""
FRESH = JobSettings().fresh


class _BusyPort:
    """VMs that answer at once, or when the wait is over, to a process whose work takes time."""

    def __init__(self) -> None:
        self.kept: set[str] = set()
        self.looks = 0
        self.waits: list[tuple[str, float]] = []
        self.failed = 0
        self.started = 0
        self.spent = 0.0

    def _spend(self, seconds: float) -> None:
        self.spent += seconds
        spend(seconds)

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.looks += 1
        self.waits.append((call.vm, call.wait))
        loop = asyncio.get_running_loop()
        last = loop.time() + timeout
        if call.address not in self.kept:
            self._spend(LINK_TIME)
        self._spend(SEND_TIME)
        sent_at = loop.time()
        try:
            async with asyncio.timeout_at(last):
                await asyncio.sleep(WAY + call.wait)
        except TimeoutError:
            self.kept.discard(call.address)
            self.failed += 1
            return CallError.NO_ANSWER
        self.kept.add(call.address)
        self._spend(SEND_TIME)
        return Heard(call.vm, sent_at, loop.time() * 1000.0, (), ())

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> Started | CallError:
        self._spend(LINK_TIME + SEND_TIME)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(WAY)
        except TimeoutError:
            return CallError.NO_ANSWER
        self._spend(SEND_TIME)
        self.started += 1
        return Started(asyncio.get_running_loop().time() * 1000.0)


class _Leader:
    """A scheduler with many VMs, and the calls to them."""

    def __init__(self, vms: int) -> None:
        self.rig = rig = Rig(vms=0)
        rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
        rig.scheduler.now()
        self.port = _BusyPort()
        self.authority = True
        noted = asyncio.get_running_loop().create_future
        self.calls = VmCalls(
            rig.scheduler,
            self.port,
            1,
            lambda: self.authority,
            lambda vm: None,
            lambda: None,
            noted,
        )
        rig.list_vms(vms)
        self.rows = list(rig.scheduler.state.vms.values())
        self.longest_turn = 0.0

    async def turns(self, seconds: float) -> None:
        """Let some seconds go by, and note how long all else had to wait for its turn at most."""
        loop = asyncio.get_running_loop()
        last = loop.time() + seconds
        while (before := loop.time()) < last:
            await asyncio.sleep(TURN)
            self.longest_turn = max(self.longest_turn, loop.time() - before)


def test_a_new_leader_hears_thousands_of_vms_at_the_first_look_and_goes_on_with_all_else() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.follow_new()
        await leader.turns(4.0)
        assert all(row.first_heard_at > 0 for row in leader.rows)
        assert leader.port.failed == 0
        assert leader.longest_turn < LONGEST_TURN
        leader.calls.close()

    run(scenario())


def test_a_look_that_has_waited_for_its_turn_is_not_sent_without_authority() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.follow_new()
        await asyncio.sleep(0.1)
        leader.authority = False
        before = leader.port.looks
        await leader.turns(2.0)
        assert leader.port.looks == before
        leader.calls.close()

    run(scenario())


def test_looks_at_thousands_of_vms_leave_most_of_a_processor_to_all_else() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.follow_new()
        await leader.turns(6.0)
        before = leader.port.spent
        await leader.turns(6.0)
        assert leader.port.spent - before < 0.5 * 6.0
        now = asyncio.get_running_loop().time()
        assert max(now - row.heard_at for row in leader.rows) < FRESH
        leader.calls.close()

    run(scenario())


def test_a_vm_at_work_is_looked_at_as_often_in_a_large_cell() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.follow_new()
        await leader.turns(6.0)
        leader.rig.accept("job", spec(StepSpec(1, CORE)))
        leader.rig.tick(0.0)
        (start,) = leader.rig.started()
        leader.port.waits.clear()
        row = leader.rig.scheduler.state.vms[start.vm]
        while row.runs:
            await asyncio.sleep(TURN)
        # The order was given while a longer look was under way; then it is given up.
        waits = [wait for vm, wait in leader.port.waits if vm == start.vm]
        assert waits
        assert max(waits[:-1]) <= HOLD_WAIT
        leader.calls.close()

    run(scenario())


def test_hundreds_of_starts_at_once_let_all_else_go_on() -> None:
    async def scenario() -> None:
        leader = _Leader(VMS)
        leader.calls.follow_new()
        await leader.turns(6.0)
        leader.longest_turn = 0.0
        for number in range(JOBS):
            leader.rig.accept(f"job{number}", spec(StepSpec(WIDE, CORE)))
        leader.rig.tick(0.0)
        while leader.rig.scheduler.placement.unfinished:
            leader.rig.tick(0.0)
        for start in leader.rig.started():
            leader.calls.start(start)
        await leader.turns(1.6)
        assert leader.port.started == JOBS * WIDE
        assert leader.longest_turn < LONGEST_TURN
        leader.calls.close()

    run(scenario())
