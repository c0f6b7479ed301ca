"""The soak's checks of replies: each violation that a reply to a caller may show."""

import random

import pytest

from benchmarks.job_verdicts import CANCEL_EFFECT_S, VISIBLE_AFTER_S, Verdicts
from sablemount.jobs.model import JobSpec, Shape, StepSpec
from tests.emulator.vms import Cell

SOON_S = VISIBLE_AFTER_S / 2
LATER_S = VISIBLE_AFTER_S * 2


def _verdicts() -> Verdicts:
    cell = Cell(random.Random(1))
    cell.jobs["job"] = JobSpec("payload", (StepSpec(2, Shape(1_000, 100)),))
    return Verdicts(cell)


def test_an_accepted_job_that_is_gone_is_told_once() -> None:
    verdicts = _verdicts()
    verdicts.record_acceptance("job", 0.0)
    verdicts.check_reply("job", 410, "410", LATER_S, "n0")
    verdicts.check_reply("job", 410, "410", LATER_S, "n1")
    assert verdicts.violations == [f"n0 does not know job, asked {LATER_S:.1f} s after acceptance"]


def test_a_second_acceptance_gives_no_more_time() -> None:
    verdicts = _verdicts()
    verdicts.record_acceptance("job", 0.0)
    verdicts.record_acceptance("job", LATER_S)
    verdicts.check_reply("job", 410, "410", LATER_S, "n0")
    assert len(verdicts.violations) == 1


def test_a_job_may_be_gone_that_is_new_or_cancelled_or_was_never_accepted() -> None:
    verdicts = _verdicts()
    verdicts.check_reply("job", 410, "410", LATER_S, "n0")
    verdicts.record_acceptance("job", 0.0)
    verdicts.check_reply("job", 410, "410", SOON_S, "n0")
    verdicts.cancelled.add("job")
    verdicts.check_reply("job", 410, "410", LATER_S, "n0")
    assert verdicts.violations == []


def test_a_job_is_shown_as_succeeded_while_a_task_is_not_done() -> None:
    verdicts = _verdicts()
    verdicts._cell.done.add("job.0.0.0")
    verdicts.check_reply("job", 200, "succeeded", LATER_S, "n0")
    assert verdicts.violations == ["n0 reports job as succeeded without ['job.0.0.1']"]


def test_a_job_that_was_shown_as_succeeded_is_known_to_the_vms() -> None:
    verdicts = _verdicts()
    verdicts._cell.done |= {"job.0.0.0", "job.0.0.1"}
    verdicts.check_reply("job", 200, "succeeded", LATER_S, "n0")
    assert verdicts.violations == []
    assert verdicts._cell.succeeded == {"job"}


@pytest.mark.parametrize("state", ["failed", "cancelled"])
def test_a_job_is_shown_as_ended_without_a_cause(state: str) -> None:
    verdicts = _verdicts()
    verdicts.check_reply("job", 200, state, LATER_S, "n0")
    assert verdicts.violations == [f"n0 reports job as {state} without a cause"]


def test_what_a_caller_cancelled_may_be_shown_so() -> None:
    verdicts = _verdicts()
    verdicts.cancelled.add("job")
    verdicts.check_reply("job", 200, "cancelled", LATER_S, "n0")
    assert verdicts.violations == []


@pytest.mark.parametrize("state", ["410", "503", "0", "pending", "running", "failed"])
def test_an_accepted_job_that_never_ended_is_wrong(state: str) -> None:
    assert not _verdicts().is_allowed_final_state("job", state)


def test_an_accepted_job_ends_as_it_should() -> None:
    verdicts = _verdicts()
    assert verdicts.is_allowed_final_state("job", "succeeded")
    assert not verdicts.is_allowed_final_state("job", "cancelled")
    verdicts.cancelled.add("job")
    assert verdicts.is_allowed_final_state("job", "cancelled")


SUCCEEDED_AFTER_CANCELLATION = [
    "n0 reports job as succeeded after its cancellation was acknowledged"
]


@pytest.mark.parametrize(
    ("left", "wrong"), [("cancelled", SUCCEEDED_AFTER_CANCELLATION), ("succeeded", [])]
)
def test_a_job_may_succeed_unless_its_cancelling_was_acknowledged(
    left: str, wrong: list[str]
) -> None:
    verdicts = _verdicts()
    verdicts._cell.done |= {"job.0.0.0", "job.0.0.1"}
    verdicts.cancelled.add("job")
    verdicts.record_cancellation("job", left, 1.0)
    verdicts.check_reply("job", 200, "succeeded", LATER_S, "n0")
    assert verdicts.violations == wrong


@pytest.mark.parametrize(
    ("started", "late"), [(0.5, 0), (CANCEL_EFFECT_S, 0), (CANCEL_EFFECT_S + 1.5, 1)]
)
def test_no_task_starts_long_after_its_jobs_cancelling_was_acknowledged(
    started: float, late: int
) -> None:
    verdicts = _verdicts()
    verdicts.record_cancellation("job", "cancelled", 1.0)
    verdicts._cell.starts["job.0.0.0"] = [0.2, started]
    assert len(verdicts.late_starts()) == late


def test_what_comes_while_the_store_is_down_is_owed_no_acceptance() -> None:
    """Guards against failing a soak for jobs that no process could accept.

    The store was down for 6.8 s of a soak of 30 s; callers gave up after retrying for 2.8 s.
    """
    verdicts = _verdicts()
    for number in range(10):
        verdicts.record_attempt(f"down{number}", store_down=True)
        verdicts.record_attempt(f"down{number}", store_down=True)
    for number in range(10):
        verdicts.record_attempt(f"up{number}", store_down=False)
    for number in range(8):
        verdicts.record_acceptance(f"up{number}", 0.0)
    assert verdicts.check_accepted_share(0.8) == []
    verdicts.record_attempt("late", store_down=True)
    verdicts.record_attempt("late", store_down=False)
    assert verdicts.check_accepted_share(0.8) == ["only 8 of 11 jobs were accepted"]


@pytest.mark.parametrize(
    ("state", "wrong"), [("pending", False), ("running", True), ("succeeded", True)]
)
def test_a_job_that_no_vm_can_run_is_shown_as_more_than_pending(state: str, wrong: bool) -> None:
    verdicts = _verdicts()
    verdicts.unserved.add("job")
    verdicts.check_reply("job", 200, state, LATER_S, "n0")
    found = [f"n0 reports job as {state}, which no VM can run"] if wrong else []
    assert verdicts.violations == found


@pytest.mark.parametrize("state", ["410", "running", "succeeded", "failed", "cancelled"])
def test_a_job_that_no_vm_can_run_stays_pending(state: str) -> None:
    verdicts = _verdicts()
    verdicts.unserved.add("job")
    assert verdicts.is_allowed_final_state("job", "pending")
    assert not verdicts.is_allowed_final_state("job", state)


def test_a_job_that_vms_can_run_is_refused_as_one_that_no_vm_can_run() -> None:
    verdicts = _verdicts()
    verdicts.record_told_unserved("job")
    verdicts.record_told_unserved("job")
    assert verdicts.violations == ["job was refused as no VM can run it, and VMs can"]


def test_a_job_that_was_refused_as_no_vm_can_run_it_is_shown() -> None:
    verdicts = _verdicts()
    verdicts.unserved.add("job")
    verdicts.record_told_unserved("job")
    assert verdicts.violations == []
    verdicts.check_reply("job", 410, "410", LATER_S, "n0")
    assert verdicts.violations == []
    verdicts.check_reply("job", 200, "pending", LATER_S, "n0")
    assert verdicts.violations == ["n0 reports job, which was refused"]


def test_a_job_that_a_later_leader_accepted_may_be_shown_as_pending_only() -> None:
    verdicts = _verdicts()
    verdicts.unserved.add("job")
    verdicts.record_told_unserved("job")
    verdicts.record_acceptance("job", 0.0)
    verdicts.check_reply("job", 200, "pending", LATER_S, "n0")
    assert verdicts.violations == []
    verdicts.check_reply("job", 200, "running", LATER_S, "n0")
    assert verdicts.violations == ["n0 reports job as running, which no VM can run"]


def test_a_repeat_of_an_accepted_job_is_refused_as_no_vm_can_run_it() -> None:
    verdicts = _verdicts()
    verdicts.unserved.add("job")
    verdicts.record_acceptance("job", 0.0)
    verdicts.record_told_unserved("job")
    assert verdicts.violations == ["job was refused as no VM can run it, once accepted"]


def test_only_jobs_that_no_vm_can_run_need_no_acceptance_once_refused_so() -> None:
    verdicts = _verdicts()
    for job in ("served", "unserved"):
        verdicts.record_attempt(job, store_down=False)
        verdicts.record_told_unserved(job)
    verdicts.unserved.add("unserved")
    assert verdicts.check_accepted_share(1.0) == ["only 0 of 1 jobs were accepted"]
