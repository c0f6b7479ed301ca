"""Runs that belong to no open task: they count as work until their worker shows their end."""

from sablemount.core.config import CoreSettings
from sablemount.core.documents import OrganisationDocument, Quota, Shape
from sablemount.core.events import PollEnded, RunReport, RunState
from tests.documents import LONG
from tests.fakes.cell import Member, VirtualCell
from tests.test_policy import running

ORPHAN = "first@1.ffff"


def _cell(cores: int) -> VirtualCell:
    """Return a cell with one shard and one run of four cores under a quota."""
    cell = VirtualCell(1, 3, 3, CoreSettings(shards=1))
    cell.run_until(cell.settled, 30.0)
    cell.publish_all([OrganisationDocument("rueda", quota=Quota(cores=cores)), LONG])
    cell.submit("rueda/long", "first")
    cell.run_until(lambda: len(running(cell, "first")) == 1, 5.0)
    return cell


def _report(member: Member, vm: str, *runs: RunReport) -> None:
    """Have a VM's answer list these runs and no others."""
    boot = member.core.state.vms[vm].boot
    member.handle(PollEnded(vm, member.clock(), boot, runs=runs))


def _idle_vm(member: Member) -> str:
    return next(name for name, row in member.core.state.vms.items() if not row.runs)


def _may_start(member: Member) -> bool:
    task = member.core.state.ledger.tasks["first"]
    return member.core.placement.within_quota(task)


def test_a_run_that_is_being_stopped_counts_for_the_quota() -> None:
    cell = _cell(cores=8)
    (member,) = cell.live()
    vm = _idle_vm(member)
    assert _may_start(member)
    _report(member, vm, RunReport(ORPHAN, RunState.RUNNING, Shape(cores=4)))
    assert not _may_start(member)
    _report(member, vm, RunReport(ORPHAN, RunState.STOPPED, Shape()))
    assert _may_start(member)


def test_a_run_that_is_no_longer_listed_leaves_the_quota() -> None:
    cell = _cell(cores=8)
    (member,) = cell.live()
    vm = _idle_vm(member)
    _report(member, vm, RunReport(ORPHAN, RunState.RUNNING, Shape(cores=4)))
    assert not _may_start(member)
    _report(member, vm)
    assert _may_start(member)
