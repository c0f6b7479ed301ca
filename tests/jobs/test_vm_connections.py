"""A leader's calls to a VM that takes a limited number of connections."""

import asyncio
import logging
from collections import Counter

import msgspec
import pytest

from sablemount.control.figures import Metrics
from sablemount.control.ports import CallError, HoldCall, HoldResult, Started
from sablemount.control.vm_calls import VmCalls
from sablemount.control.vm_polls import SHORT_WAIT_S
from sablemount.jobs.actions import StartRun, StopRun, VmReport
from sablemount.jobs.model import StepSpec
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec

LATENCY_S = 0.01
SLOTS = 8


class _Port:
    """One VM that takes ``accepted`` connections; the calls are kept in the order of arrival."""

    def __init__(self, rig: Rig, accepted: int) -> None:
        self.accepted = accepted
        self.open = 0
        self.idle = 0
        self.highest = 0
        self.resets = 0
        self.reset = CallError.RESET_ON_OPEN
        self.checks = 0
        self.calls: list[str] = []
        self.waits: list[float] = []
        self.starts_unanswered = False
        self._rig = rig

    async def _serve(self, call: str, seconds: float) -> bool:
        if self.idle:
            self.idle -= 1
        elif self.open >= self.accepted:
            self.resets += 1
            await asyncio.sleep(LATENCY_S)
            return False
        else:
            self.open += 1
            self.highest = max(self.highest, self.open)
        self.calls.append(call)
        await asyncio.sleep(seconds)
        self.idle += 1
        return True

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        self.waits.append(call.wait)
        if not await self._serve("poll", LATENCY_S + call.wait):
            return self.reset
        now = asyncio.get_running_loop().time()
        running = tuple(self._rig.running.get(call.vm, ()))
        ended = tuple(self._rig.completions.get(call.vm, ()))
        return VmReport(call.vm, now, now * 1000.0, running, ended)

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> Started | CallError:
        if not await self._serve("start", timeout if self.starts_unanswered else LATENCY_S):
            return self.reset
        if self.starts_unanswered:
            return CallError.NO_ANSWER
        self._rig.hold(action)
        return Started(asyncio.get_running_loop().time() * 1000.0)

    async def takes_connections(self, address: str, count: int) -> bool | None:
        self.checks += 1
        return self.open + count <= self.accepted

    def close_connections(self, address: str | None = None) -> None:
        self.open -= self.idle
        self.idle = 0

    async def stop(
        self, action: StopRun, address: str, fence: int, timeout: float
    ) -> CallError | None:
        return None if await self._serve("stop", LATENCY_S) else self.reset


class _Leader:
    """A leader with one VM, whose service takes ``published`` connections a VM."""

    def __init__(self, accepted: int, published: int, epoch: int = 1) -> None:
        self.rig = rig = Rig(vms=0, epoch=epoch)
        rig.clock.monotonic = asyncio.get_running_loop().time  # type: ignore[method-assign]
        # The runs make no progress here, which the health checks would take for a fault.
        rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
        rig.scheduler.update_time()
        configuration = msgspec.structs.replace(
            rig.configuration, version=2, accepted_connections={"pool": published}
        )
        rig.scheduler.apply_configuration(configuration)
        self.port = _Port(rig, accepted)
        self.metrics = Metrics()
        recorded = asyncio.get_running_loop().create_future
        self.calls = VmCalls(
            rig.scheduler,
            self.port,  # type: ignore[arg-type]
            epoch,
            lambda: True,
            lambda vm: None,
            lambda: None,
            recorded,
            self.metrics,
        )
        rig.add_entries(1)
        self.calls.poll_new_vms()

    def request_starts(self, count: int, job: str = "job") -> list[StartRun]:
        """Request the tasks of a job."""
        self.rig.clock.time = asyncio.get_running_loop().time()
        self.rig.commit()
        self.rig.accept(job, spec(StepSpec(count, CORE)))
        starts = [action for action in self.rig.tick() if isinstance(action, StartRun)]
        for action in starts:
            self.calls.start(action)
        return starts

    def started(self) -> int:
        return len(self.rig.running.get("w0", ()))


@pytest.mark.parametrize(("published", "limit"), [(64, 3), (16, 2), (8, 1)])
def test_a_burst_opens_few_connections_and_starts_on_all_slots(published: int, limit: int) -> None:
    """Each start of a burst opened a connection of its own."""

    async def scenario() -> None:
        leader = _Leader(accepted=64, published=published)
        await asyncio.sleep(2.0)
        assert len(leader.request_starts(SLOTS)) == SLOTS
        await asyncio.sleep(0.5)
        assert leader.started() == SLOTS
        assert leader.port.highest <= limit
        assert leader.metrics.counters["vm_call_waited", "start"] > 0
        leader.calls.close()

    run(scenario())


def test_polls_and_stops_go_before_the_starts_of_a_burst() -> None:
    """A VM whose starts get no answer has to be heard, and its runs stopped, all the same."""

    async def scenario() -> None:
        leader = _Leader(accepted=64, published=64)
        await asyncio.sleep(2.0)
        leader.port.starts_unanswered = True
        starts = leader.request_starts(SLOTS)
        await asyncio.sleep(0.1)
        leader.port.calls.clear()
        reported_at = leader.rig.scheduler.state.vms["w0"].last_report_at
        leader.calls.stop(StopRun("w0", starts[0].task, starts[0].run))
        await asyncio.sleep(0.35)
        assert leader.port.calls.index("stop") < 2
        assert Counter(leader.port.calls)["poll"] >= 2
        assert leader.rig.scheduler.state.vms["w0"].last_report_at > reported_at
        leader.calls.close()

    run(scenario())


@pytest.mark.parametrize("reset", [CallError.RESET_ON_OPEN, CallError.RESET_UNSENT])
def test_a_vm_that_resets_new_connections_is_used_over_the_only_one(
    reset: CallError, caplog: pytest.LogCaptureFixture
) -> None:
    """Nothing was started on a VM whose other connections belonged to lost leaders."""
    caplog.set_level(logging.INFO)

    async def scenario() -> None:
        leader = _Leader(accepted=1, published=64)
        leader.port.reset = reset
        await asyncio.sleep(2.0)
        assert len(leader.request_starts(SLOTS)) == SLOTS
        await asyncio.sleep(1.4)
        assert leader.started() == SLOTS
        assert max(leader.port.waits[-3:]) <= SHORT_WAIT_S
        assert leader.port.resets <= 4
        assert leader.metrics.counters["vm_connection", "reset_on_open"] == leader.port.resets
        assert [record.message for record in caplog.records].count("VM resets new connections") <= 3
        leader.port.accepted = 64
        await asyncio.sleep(20.0)
        leader.request_starts(SLOTS, "later")
        await asyncio.sleep(1.4)
        assert leader.started() == 2 * SLOTS
        assert leader.port.highest > 1
        assert "VM takes new connections again" in [record.message for record in caplog.records]
        leader.calls.close()

    run(scenario())


def test_a_vm_without_a_connection_is_tried_at_a_bounded_rate_and_used_once_it_takes_one() -> None:
    async def scenario() -> None:
        leader = _Leader(accepted=0, published=64)
        await asyncio.sleep(10.0)
        assert 10 <= leader.port.resets <= 30
        leader.port.accepted = 1
        await asyncio.sleep(2.0)
        assert leader.rig.scheduler.state.vms["w0"].first_report_at > 0
        leader.request_starts(2)
        await asyncio.sleep(1.4)
        assert leader.started() == 2
        leader.calls.close()

    run(scenario())


def test_a_vm_with_few_connections_left_keeps_them_for_later_leaders() -> None:
    """The last leaders that a VM had a connection for took it with them as they were lost."""

    async def scenario() -> None:
        leader = _Leader(accepted=4, published=64, epoch=40)
        await asyncio.sleep(2.0)
        leader.port.waits.clear()
        open_counts = []
        for _ in range(200):
            await asyncio.sleep(0.01)
            open_counts.append(leader.port.open)
        assert max(open_counts) == 1
        assert open_counts.count(1) < 20
        assert max(leader.port.waits) == 0.0
        leader.request_starts(SLOTS)
        await asyncio.sleep(1.0)
        assert leader.started() == SLOTS
        assert leader.port.resets == 0
        leader.port.accepted = 64
        await asyncio.sleep(30.0)
        assert leader.port.open == 1
        assert 1 <= leader.port.checks <= 2
        leader.calls.close()

    run(scenario())


def test_ends_are_acknowledged_at_once_to_a_vm_with_few_connections_left() -> None:
    async def scenario() -> None:
        leader = _Leader(accepted=4, published=64, epoch=40)
        await asyncio.sleep(2.0)
        row = leader.rig.scheduler.state.vms["w0"]
        (start,) = leader.request_starts(1)
        await asyncio.sleep(0.5)
        leader.rig.complete(start, "done")
        for _ in range(100):
            await asyncio.sleep(0.01)
            leader.rig.commit()
        assert row.last_acknowledged_completion == 1
        leader.calls.close()

    run(scenario())


@pytest.mark.parametrize(("epoch", "checks"), [(1, 0), (20, 0), (21, 1)])
def test_room_is_checked_once_former_leaders_may_have_used_it_up(epoch: int, checks: int) -> None:
    async def scenario() -> None:
        leader = _Leader(accepted=64, published=64, epoch=epoch)
        await asyncio.sleep(30.0)
        assert leader.port.checks == checks
        assert leader.port.open == 1
        leader.calls.close()

    run(scenario())


def test_a_poll_that_has_waited_is_not_sent_for_an_incarnation_that_has_ended() -> None:
    """It would reach the next one and extend the lease there, under which no probe may start."""

    async def scenario() -> None:
        leader = _Leader(accepted=64, published=8)
        await asyncio.sleep(2.0)
        row = leader.rig.scheduler.state.vms["w0"]
        leader.port.starts_unanswered = True
        leader.request_starts(1)
        await asyncio.sleep(0.15)
        assert leader.port.calls[-1] == "start"
        before = leader.port.calls.count("poll")
        leader.rig.scheduler.vms.incarnation_ended(row.name)
        await asyncio.sleep(2.0)
        assert leader.port.calls.count("poll") == before
        leader.calls.close()

    run(scenario())
