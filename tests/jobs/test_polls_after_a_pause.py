"""No lease counts from a time at which the leader may have lost its authority meanwhile.

A process may stand still between any two steps, for up to a second without noticing it. A later
leader waits 2.5 s for the authority of its predecessor, and then for the longest lease.
"""

import asyncio

from sablemount.control.ports import HoldCall, HoldResult
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import PollVm, VmReport
from sablemount.jobs.model import StepSpec
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec

PAUSE_S = 0.9
LEASE_S = 6.0


class _Port:
    """A VM that reports at once, and keeps the ends of the leases that it was asked for."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self.until_ms: list[int] = []

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        if call.until_ms:
            self.until_ms.append(call.until_ms)
        await asyncio.sleep(0.1)
        self._rig.clock.time += 0.1
        clock = self._rig.clock.time
        running = tuple(self._rig.running.get(call.vm, ()))
        return VmReport(call.vm, clock, clock * 1000.0, running, ())


class _Leader:
    """A leader whose authority ends at a time, and whose process stands still as it is checked."""

    def __init__(self) -> None:
        self.rig = Rig(vms=1)
        self.rig.accept("job", spec(StepSpec(1, CORE, expected_ms=30_000.0)))
        self.rig.start_and_hold_all()
        self.ends_at = self.rig.clock.time + 1.0
        self.stands_still = False
        self.port = _Port(self.rig)
        self.calls = VmCalls(
            self.rig.scheduler,
            self.port,  # type: ignore[arg-type]
            1,
            self._has_authority,
            lambda vm: None,
            lambda: None,
            lambda: asyncio.get_running_loop().create_future(),
        )

    def _has_authority(self) -> bool:
        held = self.rig.clock.time < self.ends_at
        if held and self.stands_still:
            self.stands_still = False
            self.rig.clock.time = max(self.rig.clock.time, self.ends_at - 0.01) + PAUSE_S
        return held

    def latest_allowed_ms(self) -> float:
        """Return the latest end of a lease, in ms of the VM's clock, that its authority covers."""
        return (self.ends_at + LEASE_S) * 1000.0


async def _polled_with_a_pause() -> None:
    leader = _Leader()
    leader.calls.poll_new_vms()
    await asyncio.sleep(0.35)
    before = len(leader.port.until_ms)
    assert before > 0
    leader.stands_still = True
    await asyncio.sleep(2.0)
    leader.calls.close()
    assert not leader.stands_still
    assert max(leader.port.until_ms) <= leader.latest_allowed_ms()


async def _polled_now_with_a_pause() -> None:
    leader = _Leader()
    leader.calls.poll_now(PollVm("w0"))
    # The process stands still before the poll that was just scheduled.
    leader.rig.clock.time = leader.ends_at + PAUSE_S
    await asyncio.sleep(1.0)
    leader.calls.close()
    assert leader.port.until_ms == []


def test_a_pause_after_the_check_of_authority_extends_no_lease() -> None:
    # Guards against a second run under a later leader, which does not wait for such a lease.
    run(_polled_with_a_pause())


def test_a_poll_that_waited_for_its_turn_checks_the_authority_again() -> None:
    run(_polled_now_with_a_pause())
