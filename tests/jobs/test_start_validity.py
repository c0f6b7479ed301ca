"""A start that can still be carried out keeps its capacity and its task.

How long a start is valid on its VM's clock is computed when it is sent, from what is known of that
clock then. The time from which the absence of the run from a report shows that it will never be
there is computed when the run is placed. A report in between may show that the clock is further on;
the start must then not be valid beyond that time.
"""

import asyncio

import pytest

from sablemount.control.ports import CallError
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import VmReport
from sablemount.jobs.model import StepSpec
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec


class _Port:
    def __init__(self) -> None:
        self.until: list[int] = []

    async def start(self, action, address, fence, until_ms, timeout):  # type: ignore[no-untyped-def]
        self.until.append(until_ms)
        return CallError.NO_ANSWER


@pytest.mark.parametrize("ahead_ms", [0.0, 200.0, 600.0])
def test_a_start_is_not_valid_after_its_run_is_given_up(ahead_ms: float) -> None:
    async def scenario() -> None:
        rig = Rig(vms=1)
        rig.clock.time = asyncio.get_running_loop().time()
        rig.report("w0")
        rig.accept("job", spec(StepSpec(1, CORE)))
        (start,) = [action for action in rig.tick() if hasattr(action, "not_after")]
        port = _Port()
        recorded = asyncio.get_running_loop().create_future
        vm_calls = VmCalls(
            rig.scheduler, port, 1, lambda: True, lambda vm: None, lambda: None, recorded
        )
        row = rig.scheduler.state.vms["w0"]
        (placed,) = row.runs.values()
        vm_calls.start(start)
        # A poll's answer that was long on its way arrives just before the start request is sent.
        clock_ms = rig.clock.time * 1000.0 + ahead_ms
        rig.scheduler.vm_reported(VmReport("w0", rig.clock.time, clock_ms, (), ()))
        await asyncio.sleep(0.01)
        assert port.until
        assert max(port.until) <= placed.settle_clock_ms
        vm_calls.close()

    run(scenario())
