"""A leader that is cut off with part of the system must not outlast its successor's wait.

A leader and another member are cut off from the store and from the other members, but not from one
VM. They hear each other, so that the leader goes on and extends that VM's lease. The successor
cannot reach the VM and starts its tasks elsewhere once every lease must have ended.

Nor may the isolated leader answer that a job is unknown: its successor may have accepted it.
"""

import asyncio
from functools import partial

import pytest

from sablemount.control.messages import CallerCall, Operation, Outcome
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.emulator.loop import run
from tests.emulator.system import CALL_TIMEOUT_S, HOST, PREFIX, System
from tests.emulator.vm_ports import EmulatedVms

MEMBERS = 5
VMS = 4


class _PartitionedSystem(System):
    def __init__(self, seed: int) -> None:
        super().__init__(seed, members=MEMBERS, vms=VMS)
        self.unreachable_vms: dict[str, set[str]] = {}

    def start(self, name: str) -> None:
        super().start(name)
        self.members[name].ports.vms = EmulatedVms(self.cell, partial(self._is_unreachable, name))

    def _is_unreachable(self, member: str, vm: str) -> bool:
        return vm in self.unreachable_vms.get(member, set())

    def partition(self, isolated: set[str], vm: str) -> None:
        """Cut some members off from the store and the others; only they reach one VM."""
        self.store.unreachable_members |= isolated
        for name in self.names:
            if name in isolated:
                self.unreachable_vms[name] = set(self.cell.vms) - {vm}
                others = set(self.names) - isolated
                self.network.partitions |= {frozenset((name, other)) for other in others}
            else:
                self.unreachable_vms[name] = {vm}


async def _start_partitioned(with_member: bool) -> tuple[_PartitionedSystem, str, str]:
    """Cut the leader off while a job of four long tasks runs.

    Return the system, a member that is cut off and one that is not.
    """
    system = _PartitionedSystem(5)
    system.cell.mean_task_seconds = 60.0
    system.cell.failure_share = 0.0
    system.start_all()
    await asyncio.sleep(2.0)
    spec = JobSpec("payload", (StepSpec(4, Shape(4_000, 500), expected_ms=60_000.0),))
    await system.submit("job", spec)
    await asyncio.sleep(3.0)
    leader = system.leader()
    assert leader is not None
    busy = next(vm for vm in system.cell.vms.values() if vm.runs)
    other, *remaining = [name for name in system.names if name != leader]
    system.partition({leader, other} if with_member else {leader}, busy.info.name)
    return system, other if with_member else leader, remaining[0]


@pytest.mark.parametrize("with_member", [False, True])
def test_nothing_runs_twice_on_both_sides_of_a_cut(with_member: bool) -> None:
    async def scenario() -> None:
        system, _, _ = await _start_partitioned(with_member)
        await asyncio.sleep(20.0)
        assert system.store.claimed_epochs[-1] > 1
        assert system.cell.violations == []

    run(scenario())


@pytest.mark.parametrize("with_member", [False, True])
def test_a_leader_left_behind_denies_no_job_of_its_successor(with_member: bool) -> None:
    async def scenario() -> None:
        system, behind, ahead = await _start_partitioned(with_member)
        await asyncio.sleep(4.0)
        submitted = await system.submit_once(ahead, "later")
        assert submitted.outcome is Outcome.DONE
        call = CallerCall(Operation.STATE, HOST, PREFIX + "later")
        reply = await system.members[behind].serve(call, CALL_TIMEOUT_S)
        assert reply.outcome is not Outcome.NO_JOB

    run(scenario())
