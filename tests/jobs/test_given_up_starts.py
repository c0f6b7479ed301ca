"""A start request is not sent, or sent again, once its run is given up."""

import asyncio
from collections.abc import Callable

from sablemount.control.ports import CallError
from sablemount.control.vm_calls import VmCalls
from sablemount.control.vm_starts import MAX_START_ATTEMPTS
from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import StepSpec
from tests.emulator.loop import run
from tests.jobs.rig import CORE, Rig, spec


class _Port:
    """A VM that answers no start request; ``on_start`` is called with each."""

    def __init__(self, on_start: Callable[[], None] = lambda: None) -> None:
        self.requests = 0
        self._on_start = on_start

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> CallError:
        self.requests += 1
        await asyncio.sleep(timeout / 2)
        self._on_start()
        await asyncio.sleep(timeout / 2)
        return CallError.NO_ANSWER


def _placed(rig: Rig, count: int = 1) -> StartRun:
    """Return the first start of a job with some tasks."""
    rig.clock.time = asyncio.get_running_loop().time()
    rig.report_all()
    rig.accept("job", spec(StepSpec(count, CORE)))
    return next(action for action in rig.tick() if isinstance(action, StartRun))


def _calls(rig: Rig, port: _Port) -> VmCalls:
    recorded = asyncio.get_running_loop().create_future
    return VmCalls(rig.scheduler, port, 1, lambda: True, lambda vm: None, lambda: None, recorded)


def test_an_unanswered_start_is_sent_again_while_its_job_is_open() -> None:
    async def scenario() -> None:
        rig, port = Rig(vms=1), _Port()
        calls = _calls(rig, port)
        calls.start(_placed(rig))
        await asyncio.sleep(2.0)
        assert port.requests == MAX_START_ATTEMPTS
        calls.close()

    run(scenario())


def test_an_unanswered_start_is_not_sent_again_once_its_job_has_ended() -> None:
    """The repeated request started a task long after its cancelling was acknowledged."""

    async def scenario() -> None:
        rig = Rig(vms=1)
        port = _Port(lambda: rig.scheduler.cancel("job"))
        calls = _calls(rig, port)
        calls.start(_placed(rig))
        await asyncio.sleep(2.0)
        assert port.requests == 1
        # The VM may have carried out the first request: its report settles that.
        assert rig.scheduler.state.vms["w0"].runs
        calls.close()

    run(scenario())


def test_a_start_that_was_not_sent_yet_is_dropped_when_its_job_ends() -> None:
    """A request that waited for its turn was sent although the job had ended meanwhile."""

    async def scenario() -> None:
        rig, port = Rig(vms=1), _Port()
        calls = _calls(rig, port)
        calls.start(_placed(rig))
        rig.scheduler.cancel("job")
        await asyncio.sleep(2.0)
        assert port.requests == 0
        assert not rig.scheduler.state.vms["w0"].runs
        calls.close()

    run(scenario())


def test_an_unanswered_start_is_not_sent_again_once_its_run_is_over() -> None:
    """The run had ended before any report listed it as running."""

    async def scenario() -> None:
        rig = Rig(vms=1)
        start = _placed(rig, 2)

        def end() -> None:
            if not rig.completions:
                rig.complete(start, "done")
                rig.report("w0")

        port = _Port(end)
        calls = _calls(rig, port)
        calls.start(start)
        await asyncio.sleep(2.0)
        assert (start.task, start.run) not in rig.scheduler.state.vms["w0"].runs
        assert port.requests == 1
        calls.close()

    run(scenario())
