"""Each invariant check of the emulated system reports its violation, and nothing else."""

import asyncio
import random

import pytest

from sablemount.control.store import Producer, Topic
from sablemount.jobs.actions import CompletionReport
from sablemount.jobs.records import Progress, Record, StepProgress, VmRecord, encode
from sablemount.jobs.tables import JobState
from tests.emulator.loop import run
from tests.emulator.mixes import run_mix
from tests.emulator.store import StoreState
from tests.emulator.system import System
from tests.emulator.watch import CheckedStoreState, InvariantChecker

ACCEPTED = Record("j/a", b"job")
OTHER = Record("j/b", b"job")
VM_RECORD = Record("w/vm", encode(VmRecord("address", "pool")))


def _progress(progress: Progress) -> Record:
    return Record("p/a", encode(progress))


FINISHED = _progress(Progress(int(JobState.SUCCEEDED)))


class _Rig:
    """A watched store that the leader of epoch 1 writes to."""

    def __init__(self, *batches: list[Record]) -> None:
        self.checker = InvariantChecker()
        self.store = CheckedStoreState(random.Random(1), self.checker)
        self.append([], 1, 0)
        for sequence, batch in enumerate(batches):
            self.append(batch, 1, sequence)

    def append(self, records: list[Record], epoch: int, sequence: int) -> None:
        self.store.append(Topic.JOBS, records, Producer("leader", epoch, sequence), None)

    def append_claim(self, epoch: int) -> None:
        value = b"\x81\xa5epoch" + bytes([epoch])
        self.store.append(Topic.LEADER, [Record("leader", value)], None, None)

    def assert_one_violation(self, *parts: str) -> None:
        """Assert that there is exactly one violation, and that it contains the given texts."""
        assert len(self.checker.violations) == 1
        assert all(part in self.checker.violations[0] for part in parts)

    def assert_no_violations(self) -> None:
        assert self.checker.violations == []


def test_a_batch_that_is_in_the_store_is_fine() -> None:
    rig = _Rig([ACCEPTED], [OTHER])
    rig.checker.check_append(1, 0, [ACCEPTED])
    rig.checker.check_append(1, 1, [OTHER])
    rig.checker.check_durable(1, [OTHER])
    rig.checker.check_durable(1, [])
    rig.assert_no_violations()


def test_a_batch_that_is_not_in_the_store() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_append(1, 1, [OTHER])
    rig.assert_one_violation("epoch 1, sequence 1", "not in the store", "j/b")


def test_a_batch_of_which_the_store_has_some_records() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_append(1, 0, [ACCEPTED, OTHER])
    rig.assert_one_violation("epoch 1, sequence 0", "not in the store")


def test_a_batch_whose_records_have_another_order() -> None:
    rig = _Rig([OTHER, ACCEPTED])
    rig.checker.check_append(1, 0, [ACCEPTED, OTHER])
    rig.assert_one_violation("epoch 1, sequence 0", "not in the store")


def test_a_batch_that_another_epoch_has_appended() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_append(2, 0, [ACCEPTED])
    rig.assert_one_violation("epoch 2, sequence 0", "not in the store")


def test_a_batch_that_is_taken_for_durable_and_is_not_in_the_store() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_durable(1, [OTHER])
    rig.assert_one_violation("epoch 1", "counted as durable", "j/b")


def test_an_epoch_that_begins_with_a_later_batch() -> None:
    rig = _Rig()
    rig.append([OTHER], 1, 1)
    rig.assert_one_violation("epoch 1, sequence 1", "wanted batch 0")


def test_a_batch_before_which_one_is_missing() -> None:
    rig = _Rig()
    rig.append([OTHER], 1, 1)
    rig.checker.violations.clear()
    rig.checker.check_append(1, 1, [OTHER])
    rig.assert_one_violation("epoch 1, sequence 1", "before batches [0]")


def test_a_load_that_equals_the_store() -> None:
    rig = _Rig([ACCEPTED], [OTHER], [Record("j/b")])
    rig.append([], 2, 0)
    rig.checker.check_load(2, [ACCEPTED])
    rig.assert_no_violations()


@pytest.mark.parametrize(
    "loaded",
    [[], [ACCEPTED, OTHER], [Record("j/a", b"old")], [ACCEPTED, ACCEPTED]],
    ids=["missed", "dropped", "old", "twice"],
)
def test_a_load_that_differs_from_the_store(loaded: list[Record]) -> None:
    rig = _Rig([ACCEPTED], [OTHER], [Record("j/b")])
    rig.append([], 2, 0)
    rig.checker.check_load(2, loaded)
    rig.assert_one_violation("epoch 2", "loaded")


def test_a_load_before_the_epoch_is_set() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_load(2, [ACCEPTED])
    rig.assert_one_violation("epoch 2", "before the epoch was set")


def test_a_load_of_a_leader_that_is_fenced_is_not_judged() -> None:
    rig = _Rig([ACCEPTED])
    rig.append([OTHER], 2, 0)
    rig.checker.check_load(1, [ACCEPTED, OTHER])
    rig.assert_no_violations()


@pytest.mark.parametrize("outcome", ["done", "failed"])
def test_an_acknowledged_end_that_is_not_in_the_store(outcome: str) -> None:
    rig = _Rig([ACCEPTED], [_progress(Progress(1, {"0.0": StepProgress("2", {2: (1,)})}))])
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(7, "a.0.0.0", 1, outcome))
    rig.assert_one_violation("epoch 1", "completion 7 of vm", "a.0.0.0")


def test_an_acknowledged_failure_of_another_run() -> None:
    rig = _Rig([ACCEPTED], [_progress(Progress(1, {"0.0": StepProgress("", {0: (1,)})}))])
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(7, "a.0.0.0", 2, "failed"))
    rig.assert_one_violation("epoch 1", "completion 7 of vm", "run 2")


def test_an_acknowledged_end_of_a_job_without_progress() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(1, "a.0.0.0", 1, "done"))
    rig.assert_one_violation("epoch 1", "completion 1 of vm")


def test_acknowledged_ends_that_the_store_covers() -> None:
    rig = _Rig([ACCEPTED], [_progress(Progress(1, {"0.0": StepProgress("2", {0: (1, 3)})}))])
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(1, "a.0.0.0", 3, "failed"))
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(2, "a.0.0.1", 1, "done"))
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(3, "a.0.0.1", 1, "failed"))
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(4, "a.0.0.2", 1, "lapsed"))
    rig.append([FINISHED, Record("j/a")], 1, 2)
    rig.append([Record("p/a")], 1, 3)
    rig.checker.check_acknowledgement(1, "vm", CompletionReport(5, "a.0.0.3", 1, "done"))
    rig.assert_no_violations()


def test_a_job_that_is_reported_as_accepted() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_acceptance(1, "a")
    rig.append([FINISHED, Record("j/a")], 1, 1)
    rig.checker.check_acceptance(1, "a")
    rig.assert_no_violations()
    rig.checker.check_acceptance(1, "b")
    rig.assert_one_violation("epoch 1", "reported as accepted", "b")


def test_a_final_state_that_is_reported() -> None:
    rig = _Rig([ACCEPTED])
    rig.checker.check_reported_state(1, "a", "running")
    rig.assert_no_violations()
    rig.checker.check_reported_state(1, "a", "succeeded")
    rig.assert_one_violation("epoch 1", "reported in state succeeded")
    rig.append([FINISHED], 1, 1)
    rig.checker.check_reported_state(1, "a", "succeeded")
    rig.assert_one_violation("epoch 1", "reported in state succeeded")


def test_a_start_request_for_a_job_that_is_not_in_the_store() -> None:
    rig = _Rig([ACCEPTED, VM_RECORD])
    rig.checker.check_start_request(1, "vm", "a.0.0.0")
    rig.assert_no_violations()
    rig.checker.check_start_request(1, "vm", "b.0.0.0")
    rig.assert_one_violation("epoch 1", "its job is not in the store", "b.0.0.0")


def test_a_start_request_on_a_vm_whose_use_is_not_in_the_store() -> None:
    rig = _Rig([ACCEPTED, VM_RECORD])
    rig.checker.check_start_request(1, "other", "a.0.0.0", up=False)
    rig.assert_no_violations()
    rig.checker.check_start_request(1, "other", "a.0.0.0")
    rig.assert_one_violation("epoch 1", "start requested on other")


def test_a_start_request_on_a_vm_that_is_sealed_for_other_tasks() -> None:
    record = VmRecord("address", "pool", sealed_epoch=1, sealed_tasks=("a.0.0.0",))
    rig = _Rig([ACCEPTED, Record("w/vm", encode(record))])
    rig.checker.check_start_request(1, "vm", "a.0.0.0")
    rig.assert_no_violations()
    rig.checker.check_start_request(1, "vm", "a.0.0.1")
    rig.assert_one_violation("epoch 1", "start requested on vm, which is sealed", "a.0.0.1")


@pytest.mark.parametrize(("epoch", "violations"), [(1, 1), (2, 1), (3, 1), (4, 0)])
def test_a_seal_counts_for_its_leader_and_the_next_one(epoch: int, violations: int) -> None:
    """A later leader counts no seal of an earlier one, so that starts beside it do no harm."""
    record = VmRecord("address", "pool", sealed_epoch=2, sealed_tasks=("a.0.0.0",))
    rig = _Rig([ACCEPTED, Record("w/vm", encode(record))])
    rig.checker.check_start_request(epoch, "vm", "a.0.0.1")
    assert len(rig.checker.violations) == violations


@pytest.mark.parametrize(("epoch", "violations"), [(1, 0), (2, 1), (3, 1)])
def test_a_start_request_after_its_job_was_reported_as_ended(epoch: int, violations: int) -> None:
    """An earlier leader may not know of the end yet."""
    rig = _Rig([ACCEPTED, VM_RECORD], [FINISHED])
    rig.checker.check_reported_state(2, "a", "running")
    rig.checker.check_start_request(2, "vm", "a.0.0.0")
    rig.assert_no_violations()
    rig.checker.check_reported_state(3, "a", "succeeded")
    rig.checker.check_reported_state(2, "a", "succeeded")
    rig.checker.check_start_request(epoch, "vm", "a.0.0.0")
    assert len(rig.checker.violations) == violations
    assert all("reported as ended" in violation for violation in rig.checker.violations)


def test_claims_whose_epochs_do_not_rise() -> None:
    rig = _Rig()
    rig.append_claim(1)
    rig.append_claim(2)
    rig.assert_no_violations()
    rig.append_claim(2)
    rig.assert_one_violation("epoch 2", "claimed after epoch 2")


def test_a_store_that_forgets_what_it_has_taken_is_seen_by_every_check_in_a_system(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against checks that aren't wired into a system.

    The store appends batches that the checker never sees, so that every check has to fail.
    """
    violations: list[str] = []
    find_violations = System.find_violations
    original_append = StoreState.append

    async def collect_violations(system: System) -> list[str]:
        violations.extend(await find_violations(system))
        return []

    def append_unchecked(state: CheckedStoreState, topic, records, producer, at):  # type: ignore[no-untyped-def]
        result = original_append(state, topic, records, producer, at)
        if topic is Topic.JOBS and producer is not None and producer.epoch not in known_epochs:
            known_epochs.add(producer.epoch)
            state._checker.on_new_epoch(producer.epoch)
        return result

    known_epochs: set[int] = set()
    monkeypatch.setattr(System, "find_violations", collect_violations)
    monkeypatch.setattr(CheckedStoreState, "append", append_unchecked)
    run(run_mix(1, []))
    for check in (
        "appended",
        "counted as durable",
        "acknowledged",
        "start requested",
        "reported as accepted",
    ):
        assert any(check in violation for violation in violations), check
    assert any("reported in state" in violation for violation in violations)


def test_loads_are_checked_in_a_system() -> None:
    async def scenario() -> list[str]:
        system = System(1)
        system.checker.newest["j/ghost"] = b"job"
        system.start_all()
        await asyncio.sleep(2.0)
        return system.checker.violations

    violations = run(scenario())
    assert violations == ["epoch 1: loaded other records than the store's: ['j/ghost']"]
