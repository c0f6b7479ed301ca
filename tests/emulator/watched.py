"""Members and VM ports that check invariants on each call, without changing the behaviour."""

import random
from collections.abc import Awaitable, Callable, Iterator

from sablemount.control.leader import Leader, LeaderPorts
from sablemount.control.member import Member
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.control.network import Network
from sablemount.control.ports import HoldCall, HoldResult, StartResult
from sablemount.control.vm_call_context import EPOCH_SHIFT
from sablemount.jobs.actions import StartRun
from sablemount.jobs.journal import Batch
from sablemount.jobs.lease import Lease
from sablemount.jobs.model import INCARNATION_SEPARATOR
from sablemount.jobs.records import Record
from sablemount.jobs.vm_row import VmRow
from sablemount.platform.lives import worker_id_of
from tests.emulator.leader_view import LeaderView
from tests.emulator.vm import Vm
from tests.emulator.vm_ports import EmulatedVms
from tests.emulator.vms import Cell
from tests.emulator.watch import InvariantChecker

__all__ = ["CheckedMember", "CheckedVms", "check_leader"]


def check_leader(leader: Leader, checker: InvariantChecker, find_vm: Callable[[str], Vm]) -> None:
    """Wrap a leader's load, appends, handling of durable batches and of leases with checks.

    ``find_vm`` returns the newest incarnation of a VM by its id.
    """
    committer, scheduler, journal = leader.committer, leader.scheduler, leader.scheduler.journal
    original_append, original_load, original_durable = (
        committer.append,
        scheduler.load_in_parts,
        journal.batch_stored,
    )
    original_not_extended = leader.scheduler.leases.not_extended
    epoch = leader.epoch
    next_sequence = 0

    async def checked_append(records: list[Record]) -> None:
        nonlocal next_sequence
        sequence = next_sequence
        next_sequence += bool(records)
        await original_append(records)
        if records:
            checker.check_append(epoch, sequence, records)

    def checked_load(records: list[Record]) -> Iterator[None]:
        checker.check_load(epoch, records)
        return original_load(records)

    def checked_durable(batch: Batch) -> None:
        checker.check_durable(epoch, batch.records)
        original_durable(batch)

    def checked_not_extended(row: VmRow, previous: Lease, requested: Lease, why: str) -> None:
        original_not_extended(row, previous, requested, why)
        vm = find_vm(worker_id_of(row.name))
        if vm.fence >> EPOCH_SHIFT <= epoch:
            checker.check_lease(leader, vm)

    committer.append = checked_append
    leader.scheduler.leases.not_extended = checked_not_extended
    scheduler.load_in_parts = checked_load
    journal.batch_stored = checked_durable


class CheckedMember(Member):
    """A member whose terms as leader and whose replies to callers are checked."""

    def __init__(
        self,
        settings: MemberSettings,
        ports: LeaderPorts,
        network: Network,
        rng: random.Random,
        checker: InvariantChecker,
        find_vm: Callable[[str], Vm],
    ) -> None:
        self._checker = checker
        self._find_vm = find_vm
        self.wall_ms: Callable[[], float] | None = None
        """Returns the time of day in ms since 1970; ``None`` for that of the machine."""
        self.view: LeaderView | None = None
        """What its newest leader knows."""
        super().__init__(settings, ports, network, rng)

    @property
    def leader(self) -> Leader | None:
        return self._checked_leader

    @leader.setter
    def leader(self, leader: Leader | None) -> None:
        self._checked_leader = leader
        if leader is not None:
            check_leader(leader, self._checker, self._find_vm)
            self.view = LeaderView(leader)
        if leader is not None and self.wall_ms is not None:
            leader.scheduler._clock.wall_ms = self.wall_ms  # type: ignore[method-assign]

    async def serve(
        self, call: CallerCall, timeout: float, digest: bytes | None = None
    ) -> CallerReply:
        reply = await super().serve(call, timeout, digest)
        name = call.path.rpartition("/")[2]
        if reply.outcome is Outcome.DONE and call.operation is Operation.SUBMIT:
            self._checker.check_acceptance(self._link.epoch, name)
        elif reply.outcome is Outcome.DONE and name:
            self._checker.check_reported_state(self._link.epoch, name, reply.state)
        return reply


def _no_view() -> LeaderView | None:
    """Check no start against what the leader knows."""
    return None


async def _go_on() -> None:
    """Send a call without a delay."""


class CheckedVms(EmulatedVms):
    """The VMs as one member sees them; start requests and acknowledgements are checked."""

    def __init__(
        self,
        cell: Cell,
        checker: InvariantChecker,
        is_partitioned: Callable[[str], bool] = lambda vm: False,
        before_call: Callable[[], Awaitable[None]] = _go_on,
        find_view: Callable[[], LeaderView | None] = _no_view,
    ) -> None:
        super().__init__(cell, is_partitioned)
        self._find_view = find_view
        self._cell = cell
        self._checker = checker
        self._before_call = before_call

    async def hold(self, call: HoldCall, timeout: float) -> HoldResult:
        await self._before_call()
        for end in self._cell.newest_incarnation(worker_id_of(call.vm)).completions:
            if end.number <= call.acked_completion:
                self._checker.check_acknowledgement(call.fence, call.vm, end)
        return await super().hold(call, timeout)

    async def start(
        self, action: StartRun, address: str, fence: int, until_ms: int, timeout: float
    ) -> StartResult:
        await self._before_call()
        epoch = fence >> EPOCH_SHIFT
        up = self._cell.newest_incarnation(worker_id_of(action.vm)).up
        self._checker.check_start_request(epoch, action.vm, action.task, up)
        born = action.vm.partition(INCARNATION_SEPARATOR)[2]
        self._cell.record_request(action, int(born or 0))
        view = self._find_view()
        if view is not None and view.epoch == epoch:
            url = self._cell.urls.get(action.task.partition(".")[0])
            self._checker.violations += view.faults_of(action, url)
        return await super().start(action, address, fence, until_ms, timeout)
