"""Runs that belong to no open task: they count as work until their worker shows their end."""

import pytest

from sablemount.core.actions import CommandKind, RunCommand
from sablemount.core.config import CoreSettings
from sablemount.core.documents import OrganisationDocument, Quota, Shape
from sablemount.core.events import PollEnded, RunReport, RunState
from tests.documents import LONG, TRANSFER
from tests.fakes.cell import Member, VirtualCell
from tests.fakes.worker import FakeWorker
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


def _ignore_stops(monkeypatch: pytest.MonkeyPatch, worker: FakeWorker) -> None:
    """Have a worker's runs go on after a stop, as those that take long to stop."""
    poll = worker.poll

    def poll_without_stops(
        renew: tuple[str, ...],
        acknowledge: tuple[str, ...],
        commands: tuple[RunCommand, ...],
        lease: float,
        now: float,
    ) -> tuple[RunReport, ...]:
        others = tuple(command for command in commands if command.kind is not CommandKind.STOP)
        return poll(renew, acknowledge, others, lease, now)

    monkeypatch.setattr(worker, "poll", poll_without_stops)


def test_no_start_is_sent_to_a_vm_that_has_lost_its_room_since_the_choice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = VirtualCell(1, 1, 3, CoreSettings(shards=1))
    cell.run_until(cell.settled, 30.0)
    cell.publish_all([TRANSFER])
    (member,) = cell.live()
    (worker,) = cell.workers.values()
    _ignore_stops(monkeypatch, worker)
    cell.log_delay = 0.1
    cell.submit("yard/transfer", "transfer")
    while not member.core.state.runs:
        cell.run(0.005)
    shape = Shape(cores=15)
    worker.start("ghost@1.1", shape, 60.0, 60.0, cell.now)
    _report(member, worker.facts.vm, RunReport("ghost@1.1", RunState.RUNNING, shape))
    cell.run(5.0)
    assert running(cell, "transfer") == []
    del worker.runs["ghost@1.1"]
    cell.run_until(lambda: len(running(cell, "transfer")) == 1, 5.0)
    assert cell.truth.violations == []
