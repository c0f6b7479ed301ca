"""Rounds of placement in a cell of many VMs take little time each, and leave nothing out."""

import pytest

from sablemount.jobs.model import AdviceTerms, StepSpec
from sablemount.jobs.systems import choice
from sablemount.jobs.systems.placement import MAX_VM_EVALUATIONS
from tests.jobs.rig import CORE, Rig, queue, spec

VMS = 1_000
JOBS = 80
WIDE = 20
"""Tasks of a job."""
URGENT = queue("urgent", priority=0)
USUAL = queue("usual", priority=5)


@pytest.fixture
def weighed(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return how often a VM was weighed for a task, as the only number of a list."""
    count = [0]
    leftover = choice._leftover

    def counting(*shapes):  # type: ignore[no-untyped-def]
        count[0] += 1
        return leftover(*shapes)

    monkeypatch.setattr(choice, "_leftover", counting)
    return count


def _waiting(jobs: int) -> Rig:
    rig = Rig(vms=VMS, queues=(URGENT, USUAL))
    for number in range(jobs):
        to = URGENT if number % 2 else USUAL
        job = spec(StepSpec(WIDE, CORE))
        rig.scheduler.submit(f"{to.terms.name}{number}", to, job)
    rig.commit()
    return rig


def test_tasks_that_are_alike_weigh_the_vms_once(weighed: list[int]) -> None:
    rig = _waiting(1)
    rig.tick()
    assert len(rig.started()) == WIDE
    assert weighed[0] <= VMS + WIDE


def test_a_round_ends_after_some_work_and_the_next_one_goes_on(weighed: list[int]) -> None:
    rig = _waiting(JOBS)
    rounds = 0
    while len(rig.started()) < JOBS * WIDE:
        weighed[0] = 0
        rig.tick()
        rounds += 1
        assert weighed[0] < 2 * MAX_VM_EVALUATIONS
        assert rounds < JOBS
    assert rounds > 2
    queues = [start.task.rstrip("0123456789.") for start in rig.started()]
    assert queues == sorted(queues)


def test_a_round_that_goes_on_reaches_all_steps_though_room_comes_all_the_time() -> None:
    rig = _waiting(0)
    whole = StepSpec(2 * VMS, rig.scheduler.state.vms["w0"].info.capacity, gang=True)
    for number in range(JOBS):
        rig.scheduler.submit(f"wide{number}", URGENT, spec(whole))
    rig.scheduler.submit("last", USUAL, spec(StepSpec(1, CORE)))
    rig.commit()
    for _ in range(JOBS):
        rig.scheduler.state.freed += 1
        rig.tick()
    assert [start.task for start in rig.started()] == ["last.0.0.0"]


def test_former_steps_that_need_advice_weigh_the_vms_in_as_many_rounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    advised = queue("advised", advice=AdviceTerms(400.0, 7.0, 2000.0))
    rig = Rig(vms=VMS, queues=(advised,))
    for number in range(JOBS):
        rig.scheduler.submit(f"job{number}", advised, spec(StepSpec(WIDE, CORE)))
    rig.commit()
    # A new leader has not heard all VMs yet, so that nothing of a former one may start.
    monkeypatch.setattr(rig.scheduler.vms, "all_heard", lambda: False)
    rig.scheduler.state.former_settled = False
    for job in rig.scheduler.state.jobs.values():
        job.former = True
    weighed = 0
    unknown = rig.scheduler.advice.unknown

    def counting(step, row):  # type: ignore[no-untyped-def]
        nonlocal weighed
        weighed += 1
        return unknown(step, row)

    monkeypatch.setattr(rig.scheduler.advice, "unknown", counting)
    rig.tick()
    assert weighed < 2 * MAX_VM_EVALUATIONS
    while rig.scheduler.placement.unfinished:
        rig.tick()
    assert weighed >= JOBS * VMS


def test_room_that_comes_while_a_round_goes_on_is_for_the_most_urgent_first() -> None:
    """Gangs that had had their turn saw each bit of room go to what waited behind them."""
    rig = _waiting(0)
    whole = rig.scheduler.state.vms["w0"].info.capacity
    rig.accept("full", spec(StepSpec(VMS, whole)), URGENT)
    rig.run_all()
    rig.scheduler.submit("gang", URGENT, spec(StepSpec(2, whole, gang=True)))
    for number in range(JOBS):
        rig.scheduler.submit(f"late{number}", USUAL, spec(StepSpec(2, whole, gang=True)))
    rig.commit()
    rig.scheduler.state.freed += 1
    rig.tick()
    assert rig.scheduler.placement.unfinished
    before = len(rig.started())
    for start in rig.started()[:2]:
        rig.end(start, "done")
        rig.hear(start.vm)
    rig.tick()
    assert {start.task for start in rig.started()[before:]} == {"gang.0.0.0", "gang.0.0.1"}


def test_room_is_made_for_the_most_urgent_while_a_round_goes_on() -> None:
    rig = _waiting(0)
    whole = rig.scheduler.state.vms["w0"].info.capacity
    rig.accept("full", spec(StepSpec(VMS, whole, expected_ms=60_000.0)), USUAL)
    rig.run_all()
    rig.accept("gang", spec(StepSpec(2, whole, expected_ms=60_000.0, gang=True)), URGENT)
    for number in range(JOBS):
        rig.scheduler.submit(f"late{number}", USUAL, spec(StepSpec(2, whole, gang=True)))
    rig.commit()
    unfinished = 0
    for _ in range(100):
        # Room that comes all the time keeps a round from its end.
        rig.scheduler.state.freed += 1
        rig.tick(0.05)
        unfinished += rig.scheduler.placement.unfinished
        if rig.stopped():
            break
    assert unfinished
    assert len(rig.stopped()) == 2
