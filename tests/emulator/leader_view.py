"""What a leader knows of the configuration and of draining VMs, and since when."""

from collections.abc import Iterator, Sequence

from sablemount.control.leader import Leader
from sablemount.jobs.actions import StartRun
from sablemount.jobs.model import Configuration, VmInfo
from sablemount.jobs.vm_row import VmRow
from tests.emulator.routes import AppliedRoutes
from tests.emulator.vms import loop_time

__all__ = ["LeaderView"]

APPLY_TIME_S = 2.0
"""Seconds after which a configuration that is in force binds each start."""
DRAIN_TIME_S = 2.0
"""Seconds after which nothing may be started on a VM that is known to drain."""


class LeaderView:
    """Watches what a leader learns, without changing its behaviour."""

    def __init__(self, leader: Leader) -> None:
        self.epoch = leader.epoch
        self._vms = leader.scheduler.state.vms
        self._routes = AppliedRoutes()
        self._draining_since: dict[str, float] = {}
        scheduler = leader.scheduler
        original_apply = scheduler.apply_configuration
        original_update, original_list = scheduler.update_vm, scheduler.update_vm_list

        def watched_apply(configuration: Configuration) -> bool:
            is_newer = original_apply(configuration)
            if is_newer:
                self._record_routes(configuration)
            return is_newer

        def watched_update(info: VmInfo) -> VmRow | None:
            self._record_drains([info])
            return original_update(info)

        def watched_list(infos: Sequence[VmInfo]) -> list[VmRow]:
            self._record_drains(infos)
            return original_list(infos)

        scheduler.apply_configuration = watched_apply  # type: ignore[method-assign]
        scheduler.update_vm = watched_update  # type: ignore[method-assign]
        scheduler.update_vm_list = watched_list  # type: ignore[method-assign]

    def _record_routes(self, configuration: Configuration) -> None:
        pools = {queue.host + queue.prefix: queue.terms.pool for queue in configuration.queues}
        self._routes.record(pools, loop_time())

    def _record_drains(self, infos: Sequence[VmInfo]) -> None:
        for info in infos:
            if info.draining:
                self._draining_since.setdefault(info.name, loop_time())

    def faults_of(self, action: StartRun, url: str | None) -> Iterator[str]:
        """Return what the leader knows that forbids a start that it requests.

        ``url`` is the host and path that the job was submitted to, if that is known.
        """
        now = loop_time()
        row = self._vms.get(action.vm)
        if url is not None and row is not None:
            pools = self._routes.pools_of(url, now - APPLY_TIME_S)
            if row.info.pool not in pools:
                yield f"requested in pool {row.info.pool}, not in {sorted(pools)}: {action.task}"
        draining_s = now - self._draining_since.get(action.vm, now)
        if draining_s > DRAIN_TIME_S:
            yield f"requested on {action.vm}, draining for {draining_s:.1f} s: {action.task}"
