"""Each invariant's check detects a violation when the mechanism behind it is switched off.

Each scenario runs twice: unchanged, without any violation, and with one mechanism disabled, with
the expected violation.
"""

from collections.abc import Callable

import msgspec
import pytest

from sablemount.core import actions
from sablemount.core.config import CoreSettings
from sablemount.core.ledger_image import image_of, ledger_of
from sablemount.core.state import State
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.ownership import Ownership
from sablemount.core.systems.recovery import Recovery
from sablemount.core.systems.renewal import Renewal
from sablemount.core.systems.requests import Requests
from sablemount.core.systems.stopping import Stopping
from sablemount.core.verdict import Verdict
from tests.documents import ALL_DOCUMENTS, PLAN
from tests.fakes.cell import LOG, VirtualCell
from tests.fakes.worker import FakeWorker

SETTINGS = CoreSettings(shards=3, hold_limit=120.0)
Patch = Callable[[pytest.MonkeyPatch], None]


def make_cell(members: int = 3, vms: int = 3, settings: CoreSettings = SETTINGS) -> VirtualCell:
    cell = VirtualCell(members, vms, seed=7, settings=settings)
    cell.run_until(cell.settled, 30.0)
    cell.publish_all(ALL_DOCUMENTS)
    return cell


def owner_of(cell: VirtualCell, task: str) -> str:
    shard = cell.live()[0].core.state.ledger.tasks[task].shard
    return cell.owners()[shard]


def violated(cell: VirtualCell) -> set[str]:
    return {violation.partition(":")[0] for violation in cell.truth.violations}


# -- Ownership -------------------------------------------------------------------------------


def deposed_owner_with_waiting_tasks() -> VirtualCell:
    """Cut off an owner with waiting tasks from the log and its peers, but not from its VMs."""
    cell = make_cell()
    owner = cell.owners()[cell.live()[0].core.state.vms["vm-0"].shard]
    cell.submit("yard/wide", "wide", 12, member=owner)
    cell.run(1.0)
    cell.cut_link(owner, LOG)
    for other in cell.names:
        cell.cut_link(owner, other)
    cell.run(60.0)
    return cell


def test_a_deposed_owner_stops() -> None:
    cell = deposed_owner_with_waiting_tasks()
    assert violated(cell) == set()
    assert cell.truth.starts.total() >= 12


def test_without_the_lease_two_owners_act(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Ownership, "renew", lambda self: setattr(self._state, "lease_until", 1e12))
    assert violated(deposed_owner_with_waiting_tasks()) & {"capacity", "one place"}


# -- At most one run per task ----------------------------------------------------------------


def vm_cut_off_from_schedulers() -> VirtualCell:
    """Cut off a VM that runs a task from all schedulers."""
    cell = make_cell()
    cell.submit("rueda/long", "long", 1)
    cell.run(2.0)
    vm = next(iter(cell.truth.running_on["long"]))
    for name in cell.names:
        cell.cut_link(name, vm)
    cell.run(25.0)
    return cell


def test_a_task_waits_for_its_lease_to_lapse() -> None:
    cell = vm_cut_off_from_schedulers()
    assert violated(cell) == set()
    assert cell.truth.starts["long"] == 2


def test_without_the_lapse_a_task_runs_in_two_places(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Renewal, "extend_lease_bound", lambda self, run: None)
    assert violated(vm_cut_off_from_schedulers()) == {"one place"}


# -- At most once ----------------------------------------------------------------------------


def owner_and_vm_of_a_transfer_fail() -> VirtualCell:
    """Let the owner of a non-repeatable task and the task's VM fail at the same time."""
    cell = make_cell()
    cell.truth.at_most_once.add("transfer")
    cell.submit("yard/transfer", "transfer", 1)
    cell.run(2.0)
    vm = next(iter(cell.truth.running_on["transfer"]))
    cell.crash(owner_of(cell, "transfer"))
    cell.workers[vm].fail()
    cell.run(60.0)
    return cell


def test_a_transfer_is_not_started_again() -> None:
    cell = owner_and_vm_of_a_transfer_fail()
    assert violated(cell) == set()
    assert cell.verdict("transfer") == Verdict.MAY_HAVE_RUN.value


def test_without_intents_a_transfer_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    def enqueue_all(self: Recovery, held: object) -> None:
        for name in self._state.ledger.open_tasks[held.shard]:  # type: ignore[attr-defined]
            if name not in self._state.run_of:
                self._placement.enqueue(self._state.ledger.tasks[name])

    monkeypatch.setattr(Recovery, "_enqueue_all", enqueue_all)
    assert violated(owner_and_vm_of_a_transfer_fail()) == {"at most once"}


def same_key_at_two_schedulers() -> VirtualCell:
    cell = make_cell()
    for name, suffix in (("s0", "a"), ("s1", "b")):
        cell.request("yard/stock", name, f"{int(cell.now)}.key", name=f"key!{suffix}")
    cell.run(3.0)
    return cell


def test_a_key_is_spent_once() -> None:
    cell = same_key_at_two_schedulers()
    assert violated(cell) == set()
    verdicts = sorted(str(result.is_ok()) for result in cell.answers.values())  # type: ignore[attr-defined]
    assert verdicts == ["False", "True"]


def test_without_keys_a_request_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Requests, "_spend_key", Requests._route)
    assert violated(same_key_at_two_schedulers()) == {"at most once"}


# -- Verdicts --------------------------------------------------------------------------------


def answers_lost() -> VirtualCell:
    cell = make_cell()
    cell.drop = lambda member, action, part: part == "answer" and isinstance(action, actions.Serve)
    cell.request("rueda/quote", "s0", wait=0.5)
    cell.run(2.0)
    return cell


def test_a_request_without_an_answer_may_have_run() -> None:
    cell = answers_lost()
    assert violated(cell) == set()
    (result,) = cell.answers.values()
    assert result.err_value.verdict is Verdict.MAY_HAVE_RUN  # type: ignore[attr-defined]


def test_without_true_verdicts_not_run_has_run(monkeypatch: pytest.MonkeyPatch) -> None:
    fail = Requests._fail

    def always_not_run(self: Requests, request, verdict, *rest: object) -> None:  # type: ignore[no-untyped-def]
        fail(self, request, Verdict.NOT_RUN, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(Requests, "_fail", always_not_run)
    assert violated(answers_lost()) == {"not run"}


# -- Leaving VMs -----------------------------------------------------------------------------


def work_after_leaving() -> VirtualCell:
    cell = make_cell()
    cell.workers["vm-0"].leave(cell.now)
    cell.run(3.5)
    for index in range(30):
        cell.request("rueda/quote", f"s{index % 3}")
    cell.submit("rueda/plan", "plans", 12)
    cell.run(5.0)
    return cell


def test_a_leaving_vm_gets_no_new_work() -> None:
    assert violated(work_after_leaving()) == set()


def test_without_the_drain_a_leaving_vm_gets_work(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(State, "is_leaving", lambda self, row: False)
    assert violated(work_after_leaving()) == {"leaving"}


# -- Configuration ---------------------------------------------------------------------------


def older_ledger_from_a_peer() -> VirtualCell:
    """Install a peer's ledger that precedes a revision."""
    cell = make_cell()
    old = image_of(cell.members["s1"].core.state.ledger)
    cell.publish(msgspec.structs.replace(PLAN, expected_seconds=9.0), 1)
    cell.run(1.0)
    member = cell.members["s0"]
    member.core.journal.adopt(old)
    member._check_revisions()
    return cell


def test_configuration_never_reverts() -> None:
    assert violated(older_ledger_from_a_peer()) == set()


def test_without_the_offset_check_configuration_reverts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Journal, "adopt", lambda self, image: self._install(ledger_of(image)))
    assert violated(older_ledger_from_a_peer()) == {"configuration"}


# -- Answers and planned stops ---------------------------------------------------------------


def planned_stop_under_load() -> VirtualCell:
    cell = make_cell()
    for _ in range(40):
        cell.request("rueda/quote", "s0")
    cell.members["s0"].core.stopping.requested()
    cell.run(20.0)
    if len(cell.answers) < 40:
        cell.truth.violations.append("planned stop: a request was cut off")
    return cell


def test_a_planned_stop_cuts_nothing_off() -> None:
    cell = planned_stop_under_load()
    assert violated(cell) == set()
    assert cell.members["s0"].stopped


def test_without_waiting_a_stop_cuts_requests_off(monkeypatch: pytest.MonkeyPatch) -> None:
    def run(self: Stopping) -> None:
        if self._state.stopping:
            self._state.emit(actions.Stopped())

    monkeypatch.setattr(Stopping, "run", run)
    assert violated(planned_stop_under_load()) == {"planned stop"}


def test_without_the_request_table_a_caller_is_answered_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Requests, "_finish", lambda self, request: None)
    cell = make_cell()
    cell.request("rueda/quote", "s0", wait=0.01, name="late")
    cell.run(2.0)
    cell.request("rueda/quote", "s0", wait=0.01, name="late")
    cell.run(2.0)
    assert violated(cell) == {"answer"}


# -- The workers' capacity -------------------------------------------------------------------


def urgent_task_in_a_full_cell() -> VirtualCell:
    cell = make_cell()
    for index in range(3):
        cell.submit("yard/wide", f"wide-{index}", 1)
    cell.run(3.0)
    cell.submit("rueda/rush", "rush", 1)
    cell.run(4.0)
    return cell


def test_freed_capacity_is_confirmed() -> None:
    cell = urgent_task_in_a_full_cell()
    assert violated(cell) == set()
    assert cell.truth.starts["rush"] == 1


def test_without_confirmation_a_vm_is_over_committed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sablemount.core.tables.VmRow.can_fit", lambda self, shape: True)
    monkeypatch.setattr(FakeWorker, "_command", lambda self, run, kind: None)
    assert "capacity" in violated(urgent_task_in_a_full_cell())
