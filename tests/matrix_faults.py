"""The faults of the matrix by name; each affects a scheduler or a VM of a run."""

from collections.abc import Callable

import msgspec

from sablemount.core import actions
from tests.fakes.cell import LOG, MESSAGE_DELAY_S, VM_LIST, Member
from tests.fakes.log import LogMode
from tests.matrix_run import DISPATCH, Run

FAULT_S = 20.0


def _cut_links(run: Run, pairs: list[tuple[str, str]]) -> None:
    for one, other in pairs:
        run.cell.cut_link(one, other)

    def undo() -> None:
        for one, other in pairs:
            run.cell.cut_links.discard(frozenset((one, other)))

    run.undo_after(FAULT_S, undo)


def _log_mode(run: Run, mode: LogMode, seconds: float) -> None:
    run.cell.log.mode = mode

    def undo() -> None:
        if run.cell.log.mode is mode:
            run.cell.log.mode = LogMode.UP
        run.cell.log.apply_delayed_writes(run.cell.now)

    run.undo_after(seconds, undo)


def _slow_log(run: Run) -> None:
    run.cell.log_delay = 0.4
    run.undo_after(FAULT_S, lambda: setattr(run.cell, "log_delay", MESSAGE_DELAY_S))


def _drop_messages(run: Run, dropped_part: str) -> None:
    until = run.cell.now + 1.5
    previous_drop = run.cell.drop

    def drop(member: Member, action: actions.Action, part: str) -> bool:
        return previous_drop(member, action, part) or (
            part == dropped_part and run.cell.now < until
        )

    run.cell.drop = drop


def _vm_restarts(run: Run, vm: str) -> None:
    worker = run.cell.workers[vm]
    worker.fail()
    run.undo_after(2.0, lambda: worker.restart(f"boot-{run.cell.now}"))


def _stale_list(run: Run, vm: str) -> None:
    run.cell.frozen_vm_list = run.cell.vm_list()
    run.cell.workers[vm].fail()
    run.undo_after(FAULT_S, lambda: setattr(run.cell, "frozen_vm_list", None))


def _racing_operator(run: Run, name: str) -> None:
    document = msgspec.structs.replace(DISPATCH, replicas=5)
    for revision in (1, 2):
        if not run.cell.members[name].dead:
            run.cell.publish(document, revision, name)


def _peer_links(run: Run, name: str) -> list[tuple[str, str]]:
    return [(name, other) for other in run.cell.names if other != name]


def _vm_links(run: Run, name: str) -> list[tuple[str, str]]:
    return [(name, vm) for vm in run.cell.workers]


FAULTS: dict[str, Callable[[Run, str, str], None]] = {
    "crash": lambda run, name, vm: run.crash(name),
    "short pause": lambda run, name, vm: run.cell.pause(name, 1.2),
    "lapsed lease": lambda run, name, vm: run.cell.pause(name, 9.0),
    "lost command": lambda run, name, vm: _drop_messages(run, "command"),
    "lost answer": lambda run, name, vm: _drop_messages(run, "answer"),
    "log outage": lambda run, name, vm: _log_mode(run, LogMode.DOWN, FAULT_S),
    "lost append answers": lambda run, name, vm: _log_mode(run, LogMode.LOSES_ANSWERS, 8.0),
    "late writes": lambda run, name, vm: _log_mode(run, LogMode.WRITES_LATE, 6.0),
    "slow log": lambda run, name, vm: _slow_log(run),
    "VM failure": lambda run, name, vm: run.cell.workers[vm].fail(),
    "VM restart": lambda run, name, vm: _vm_restarts(run, vm),
    "stale VM list": lambda run, name, vm: _stale_list(run, vm),
    "racing operator": lambda run, name, vm: _racing_operator(run, name),
    "cut from the log": lambda run, name, vm: _cut_links(run, [(name, LOG), (name, VM_LIST)]),
    "cut from the peers": lambda run, name, vm: _cut_links(run, _peer_links(run, name)),
    "cut from the VMs": lambda run, name, vm: _cut_links(run, _vm_links(run, name)),
    "cut from log and peers": lambda run, name, vm: _cut_links(
        run, [(name, LOG), *_peer_links(run, name)]
    ),
}
