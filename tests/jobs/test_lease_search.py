"""Random courses of calls to a VM that keeps its own lease, which no leader may count as shorter.

Calls overlap, are refused, fail before or after they arrive, arrive late, and their answers
overtake one another.
"""

import asyncio
import random
from collections.abc import Callable

import pytest

from sablemount.control.clock import LoopClock, monotonic
from sablemount.control.ports import CallError, HoldCall, HoldResult, Started, StartResult
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import PollVm, RunReport, StartRun, StopRun, VmReport
from sablemount.jobs.lease import Lease
from sablemount.jobs.model import Configuration, StepSpec, VmInfo
from sablemount.jobs.scheduler import JobScheduler, StartRefusal
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.systems.leases import Leases
from sablemount.jobs.vm_row import VmRow
from tests.emulator.loop import run
from tests.jobs.rig import CAPACITY, CORE, queue, spec

SEEDS = range(24)
COURSE_S = 40.0
STEP_S = 0.05
MAX_LEASE_MS = 10_000.0
"""Longest lease that the VM grants; longer than those that the product requests."""
TOLERANCE_S = 0.003
MAX_LATE_S = 12.0
CLOCK_RATES = (0.98, 0.99, 1.0)


class _Vm:
    """A VM with a steady clock of its own, which may be slow, and one lease for all its runs."""

    def __init__(self, rng: random.Random) -> None:
        self._rate = rng.choice(CLOCK_RATES)
        self._start_ms = rng.uniform(1e5, 1e6)
        self._until_ms = 0.0
        self._runs: set[tuple[str, int]] = set()
        self.extended = 0

    def clock_ms(self) -> float:
        return float(int(self._start_ms + monotonic() * 1000.0 * self._rate))

    def lease_end(self) -> float:
        """Return when its lease is over, in the time of the loop."""
        return monotonic() + (self._until_ms - self.clock_ms()) / 1000.0 / self._rate

    def extend(self, until_ms: float) -> None:
        if until_ms:
            self.extended += 1
            self._until_ms = max(self._until_ms, min(until_ms, self.clock_ms() + MAX_LEASE_MS))

    def start(self, action: StartRun, until_ms: float) -> StartResult:
        if until_ms < self.clock_ms():
            return StartRefusal.LATE
        self.extend(until_ms)
        self._runs.add((action.task, action.run))
        return Started(self.clock_ms())

    def report(self, sent_at: float) -> VmReport:
        if self.clock_ms() > self._until_ms:
            self._runs.clear()
        running = tuple(RunReport(task, number, "", 0.0) for task, number in self._runs)
        return VmReport("w0", sent_at, self.clock_ms(), running, ())


class _Port:
    """Draws what happens to each call on its way to the VM and back."""

    def __init__(self, vm: _Vm, rng: random.Random) -> None:
        self._vm = vm
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()
        self.failing_share = 0.0

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        sent_at = monotonic()
        error = await self._fail(timeout, lambda: self._vm.extend(call.until_ms))
        if error is not None:
            return error
        self._vm.extend(call.until_ms)
        await asyncio.sleep(call.wait * self._rng.random())
        report = self._vm.report(sent_at)
        await self._travel()
        return report if monotonic() - sent_at < timeout else CallError.NO_ANSWER

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        error = await self._fail(timeout, lambda: self._vm.start(action, until_ms))
        if error is not None:
            return error
        result = self._vm.start(action, until_ms)
        await self._travel()
        return result

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        await self._travel()
        return None

    async def _travel(self) -> None:
        await asyncio.sleep(self._rng.choice((0.001, 0.002, 0.05, 0.3)) * self._rng.random())

    async def _fail(self, timeout: float, arrive: Callable[[], object]) -> CallError | None:
        """Return how a call fails, if it does; it may arrive all the same."""
        await self._travel()
        if self._rng.random() >= self.failing_share:
            return None
        kind = self._rng.choice((CallError.REFUSED, CallError.NOT_SENT, CallError.NO_ANSWER))
        if kind is CallError.NO_ANSWER and self._rng.random() < 0.7:
            self._spawn(arrive)
        await asyncio.sleep(timeout * self._rng.choice((0.0, 0.1, 1.0)))
        return kind

    def _spawn(self, arrive: Callable[[], object]) -> None:
        task = asyncio.get_running_loop().create_task(self._arrive_late(arrive))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _arrive_late(self, arrive: Callable[[], object]) -> None:
        delay = self._rng.choice((0.0, 0.5, MAX_LATE_S)) * self._rng.random()
        await asyncio.sleep(delay)
        arrive()


class _Course:
    """A leader that polls one VM and starts tasks there, and polls it at once now and then."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.vm = _Vm(self._rng)
        self.port = _Port(self.vm, self._rng)
        self.scheduler = JobScheduler(JobSettings(), 1, LoopClock())
        self.scheduler.health.run = lambda: None  # type: ignore[method-assign]
        self.scheduler.apply_configuration(Configuration(1, (queue(),)))
        self.scheduler.load([])
        self._calls = VmCalls(
            self.scheduler,
            self.port,  # type: ignore[arg-type]
            1,
            lambda: True,
            lambda vm: None,
            lambda: None,
            self._when_recorded,
        )
        self._accepted = 0
        self.shorter_by_s = 0.0
        """How much shorter than the VM the leader has counted the lease, at most."""

    def _when_recorded(self) -> "asyncio.Future[None]":
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    async def run(self) -> None:
        """Go through the course."""
        ends_at = monotonic() + COURSE_S
        while monotonic() < ends_at:
            self._step()
            self._check()
            await asyncio.sleep(STEP_S * self._rng.random())
            self._check()
        self._calls.close()

    def _step(self) -> None:
        self.scheduler.update_time()
        self.scheduler.update_vm(VmInfo("w0", "a0", "pool", CAPACITY, ("a", "r0")))
        if self._rng.random() < 0.01:
            self.port.failing_share = self._rng.choice((0.0, 0.3, 0.7, 1.0))
        if self._rng.random() < 0.02:
            self._accepted += 1
            self.scheduler.submit(f"job{self._accepted}", queue(), spec(StepSpec(1, CORE)))
        self.scheduler.batch_stored(self.scheduler.next_batch())
        for action in self.scheduler.tick():
            self._execute(action)
        if self._rng.random() < 0.05:
            self._calls.poll_now(PollVm("w0"))
        self._calls.poll_new_vms()

    def _execute(self, action: object) -> None:
        if isinstance(action, StartRun):
            self._calls.start(action)
        elif isinstance(action, StopRun):
            self._calls.stop(action)
        elif isinstance(action, PollVm):
            self._calls.poll_now(action)

    def _check(self) -> None:
        row = self.scheduler.state.vms.get("w0")
        if row is None or row.first_report_at < 0:
            return
        shorter_by_s = self.vm.lease_end() - self.scheduler.leases.end(row)
        self.shorter_by_s = max(self.shorter_by_s, shorter_by_s)


async def _shorter_by(seed: int) -> tuple[float, int]:
    """Return how much shorter a lease was counted, and how often it was extended."""
    course = _Course(seed)
    await course.run()
    return course.shorter_by_s, course.vm.extended


@pytest.mark.parametrize("seed", SEEDS)
def test_no_lease_is_counted_as_shorter_than_it_is(seed: int) -> None:
    shorter_by_s, extended = run(_shorter_by(seed))
    assert extended > 0
    assert shorter_by_s <= TOLERANCE_S


def _always_given_back(
    self: Leases, row: VmRow, previous: Lease, requested: Lease, why: str
) -> None:
    row.lease = previous


def _counted_short(self: Leases, row: VmRow) -> int:
    until_ms = int(row.min_clock_ms(self._state.now) + 970.0 * self._state.settings.lease_s)
    row.lease = Lease(max(row.lease.end, self._state.now + 5.0))
    return until_ms


@pytest.mark.parametrize(
    ("method", "fault"), [("not_extended", _always_given_back), ("extend", _counted_short)]
)
def test_the_search_finds_a_lease_that_is_counted_as_shorter(
    monkeypatch: pytest.MonkeyPatch, method: str, fault: object
) -> None:
    monkeypatch.setattr(Leases, method, fault)
    assert max(run(_shorter_by(seed))[0] for seed in SEEDS) > TOLERANCE_S
