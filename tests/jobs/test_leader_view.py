"""The checks of starts against what the leader that requests them knows."""

import asyncio
from types import SimpleNamespace

from msgspec.structs import replace

from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import Queue, Shape, VmInfo
from tests.emulator.leader_view import APPLY_TIME_S, DRAIN_TIME_S, LeaderView
from tests.emulator.loop import run
from tests.jobs.rig import Rig, queue

URL = "host/q/job"
BEFORE_S = 0.1
"""Seconds by which a start precedes, or follows, the end of the time in which it is allowed."""


class _Watched:
    """A scheduler with a VM in each of two pools, and the view of its leader."""

    def __init__(self) -> None:
        self.rig = Rig(vms=1)
        leader = SimpleNamespace(epoch=1, scheduler=self.rig.scheduler)
        self.view = LeaderView(leader)  # type: ignore[arg-type]
        self._version = self.rig.configuration.version
        self.info = VmInfo("x", "x", "next", Shape(16_000, 64_000))
        self.rig.scheduler.update_vm_list([self.rig.scheduler.state.vms["w0"].info, self.info])

    def send_queue_to(self, pool: str) -> None:
        moved = queue()
        self._version += 1
        moved = Queue(moved.host, moved.prefix, replace(moved.terms, pool=pool))
        configuration = replace(self.rig.configuration, version=self._version, queues=(moved,))
        self.rig.scheduler.apply_configuration(configuration)

    def faults(self, vm: str) -> list[str]:
        return list(self.view.faults_of(StartRun(vm, "job.0.0.0", 1, "payload", 0.0), URL))


def test_a_start_in_a_pool_that_only_older_versions_allow_is_noted_after_the_bound() -> None:
    async def scenario() -> None:
        watched = _Watched()
        watched.send_queue_to("pool")
        await asyncio.sleep(10.0)
        assert watched.faults("w0") == []
        assert watched.faults("x") == ["requested in pool next, not in ['pool']: job.0.0.0"]
        watched.send_queue_to("next")
        await asyncio.sleep(APPLY_TIME_S - BEFORE_S)
        assert watched.faults("w0") == watched.faults("x") == []
        await asyncio.sleep(2 * BEFORE_S)
        assert watched.faults("w0") == ["requested in pool pool, not in ['next']: job.0.0.0"]
        assert watched.faults("x") == []

    run(scenario())


def test_a_start_on_a_vm_that_is_known_to_drain_is_noted_after_the_bound() -> None:
    async def scenario() -> None:
        watched = _Watched()
        watched.send_queue_to("next")
        draining = replace(watched.info, draining=True)
        watched.rig.scheduler.update_vm(draining)
        await asyncio.sleep(DRAIN_TIME_S - BEFORE_S)
        watched.rig.scheduler.update_vm(draining)
        assert watched.faults("x") == []
        await asyncio.sleep(2 * BEFORE_S)
        assert watched.faults("x") == ["requested on x, draining for 2.1 s: job.0.0.0"]

    run(scenario())
