"""Tests that placement rounds in a cell of many VMs are short, and that no step is left out."""

import pytest

from sablemount.jobs.model import AdviceTerms, StepSpec
from sablemount.jobs.systems import choice
from sablemount.jobs.systems.placement import MAX_VM_EVALUATIONS
from tests.jobs.rig import CORE, Rig, queue, spec

VMS = 1_000
JOBS = 80
TASKS_PER_JOB = 20
URGENT = queue("urgent", priority=0)
USUAL = queue("usual", priority=5)


@pytest.fixture
def evaluations(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list whose only number counts how often a VM is evaluated for a task."""
    count = [0]
    leftover = choice._leftover

    def count_call(*shapes):  # type: ignore[no-untyped-def]
        count[0] += 1
        return leftover(*shapes)

    monkeypatch.setattr(choice, "_leftover", count_call)
    return count


def _waiting_rig(jobs: int) -> Rig:
    rig = Rig(vms=VMS, queues=(URGENT, USUAL))
    for number in range(jobs):
        target_queue = URGENT if number % 2 else USUAL
        job = spec(StepSpec(TASKS_PER_JOB, CORE))
        rig.scheduler.submit(f"{target_queue.terms.name}{number}", target_queue, job)
    rig.commit()
    return rig


def test_uniform_tasks_evaluate_each_vm_once(evaluations: list[int]) -> None:
    rig = _waiting_rig(1)
    rig.tick()
    assert len(rig.started()) == TASKS_PER_JOB
    assert evaluations[0] <= VMS + TASKS_PER_JOB


def test_a_round_ends_after_some_work_and_the_next_one_goes_on(
    evaluations: list[int],
) -> None:
    rig = _waiting_rig(JOBS)
    rounds = 0
    while len(rig.started()) < JOBS * TASKS_PER_JOB:
        evaluations[0] = 0
        rig.tick()
        rounds += 1
        assert evaluations[0] < 2 * MAX_VM_EVALUATIONS
        assert rounds < JOBS
    assert rounds > 2
    queues = [start.task.rstrip("0123456789.") for start in rig.started()]
    assert queues == sorted(queues)


def test_a_round_that_goes_on_reaches_all_steps_though_room_comes_all_the_time() -> None:
    rig = _waiting_rig(0)
    wide_gang = StepSpec(2 * VMS, rig.scheduler.state.vms["w0"].info.capacity, gang=True)
    for number in range(JOBS):
        rig.scheduler.submit(f"wide{number}", URGENT, spec(wide_gang))
    rig.scheduler.submit("last", USUAL, spec(StepSpec(1, CORE)))
    rig.commit()
    for _ in range(JOBS):
        rig.scheduler.state.capacity_version += 1
        rig.tick()
    assert [start.task for start in rig.started()] == ["last.0.0.0"]


def test_a_previous_leaders_steps_that_need_advice_evaluate_the_vms_over_several_rounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    advised = queue("advised", advice=AdviceTerms(400.0, 7.0, 2000.0))
    rig = Rig(vms=VMS, queues=(advised,))
    for number in range(JOBS):
        rig.scheduler.submit(f"job{number}", advised, spec(StepSpec(TASKS_PER_JOB, CORE)))
    rig.commit()
    # A new leader has not had reports of all VMs yet, so no task of a previous one may start.
    monkeypatch.setattr(rig.scheduler.leases, "are_previous_runs_settled", lambda: False)
    rig.scheduler.state.previous_runs_settled = False
    for job in rig.scheduler.state.jobs.values():
        job.from_previous_leader = True
    evaluations = 0
    lacks_advice = rig.scheduler.advice.lacks_advice

    def count_call(step, row):  # type: ignore[no-untyped-def]
        nonlocal evaluations
        evaluations += 1
        return lacks_advice(step, row)

    monkeypatch.setattr(rig.scheduler.advice, "lacks_advice", count_call)
    rig.tick()
    assert evaluations < 2 * MAX_VM_EVALUATIONS
    while rig.scheduler.placement.has_untried_steps:
        rig.tick()
    assert evaluations >= JOBS * VMS


def test_room_that_comes_while_a_round_goes_on_is_for_the_most_urgent_first() -> None:
    """Each bit of capacity used to go to the steps behind a gang that had been tried already."""
    rig = _waiting_rig(0)
    whole_vm = rig.scheduler.state.vms["w0"].info.capacity
    rig.accept("full", spec(StepSpec(VMS, whole_vm)), URGENT)
    rig.start_and_hold_all()
    rig.scheduler.submit("gang", URGENT, spec(StepSpec(2, whole_vm, gang=True)))
    for number in range(JOBS):
        rig.scheduler.submit(f"late{number}", USUAL, spec(StepSpec(2, whole_vm, gang=True)))
    rig.commit()
    rig.scheduler.state.capacity_version += 1
    rig.tick()
    assert rig.scheduler.placement.has_untried_steps
    before = len(rig.started())
    for start in rig.started()[:2]:
        rig.complete(start, "done")
        rig.report(start.vm)
    rig.tick()
    assert {start.task for start in rig.started()[before:]} == {"gang.0.0.0", "gang.0.0.1"}


def test_room_is_made_for_the_most_urgent_while_a_round_goes_on() -> None:
    rig = _waiting_rig(0)
    whole_vm = rig.scheduler.state.vms["w0"].info.capacity
    rig.accept("full", spec(StepSpec(VMS, whole_vm, expected_ms=60_000.0)), USUAL)
    rig.start_and_hold_all()
    rig.accept("gang", spec(StepSpec(2, whole_vm, expected_ms=60_000.0, gang=True)), URGENT)
    for number in range(JOBS):
        rig.scheduler.submit(f"late{number}", USUAL, spec(StepSpec(2, whole_vm, gang=True)))
    rig.commit()
    unfinished = 0
    for _ in range(100):
        # Capacity that is freed all the time prevents a pass from ending.
        rig.scheduler.state.capacity_version += 1
        rig.tick(0.05)
        unfinished += rig.scheduler.placement.has_untried_steps
        if rig.stopped():
            break
    assert unfinished
    assert len(rig.stopped()) == 2
