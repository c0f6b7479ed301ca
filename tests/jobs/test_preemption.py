"""Tests that runs of a lower priority are stopped for a step that has waited, and only then."""

from sablemount.jobs.model import Shape, StepSpec
from tests.jobs.rig import Rig, queue, spec

HALF = Shape(8_000, 1_000)
URGENT = queue("fast", 0)
CHEAP = queue("slow", 2)


def _full_rig(step: StepSpec, vms: int = 2) -> Rig:
    rig = Rig(vms=vms, queues=(URGENT, CHEAP))
    rig.accept("batch", spec(step), CHEAP)
    rig.start_and_hold_all()
    return rig


def test_cheaper_work_yields_to_urgent_work_that_has_waited() -> None:
    rig = _full_rig(StepSpec(4, HALF, expected_ms=5000.0, saves=True))
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.tick()
    assert rig.stopped() == []
    rig.wait(0.7)
    (stop,) = rig.stopped()
    stopped = next(start for start in rig.started() if start.task == stop.task)
    rig.complete(stopped, "stopped", "saved-1")
    rig.wait(0.1)
    assert rig.started()[-1].task == "quote.0.0.0"
    assert rig.started()[-1].vm == stop.vm


def test_what_yielded_goes_on_from_what_it_saved() -> None:
    rig = _full_rig(StepSpec(4, HALF, expected_ms=5000.0, saves=True))
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.wait(0.7)
    stop = rig.stopped()[0]
    rig.complete(
        next(start for start in rig.started() if start.task == stop.task), "stopped", "saved-1"
    )
    rig.report_all()
    rig.tick()
    quote = rig.started()[-1]
    rig.complete(quote, "done")
    rig.wait(1.5)
    restarted = rig.started()[-1]
    assert (restarted.task, restarted.saved) == (stop.task, "saved-1")


def test_work_of_the_same_priority_does_not_yield() -> None:
    rig = _full_rig(StepSpec(4, HALF, expected_ms=5000.0, saves=True))
    rig.accept("other", spec(StepSpec(1, HALF, expected_ms=3000.0)), CHEAP)
    for _ in range(10):
        rig.wait(0.5)
    assert rig.stopped() == []


def test_gangs_and_work_that_would_lose_too_much_do_not_yield() -> None:
    rig = _full_rig(StepSpec(4, HALF, expected_ms=60_000.0, gang=True))
    rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=1000.0)), URGENT)
    rig.wait(1.0)
    assert rig.stopped() == []
    long_rig = _full_rig(StepSpec(4, HALF, expected_ms=60_000.0))
    long_rig.clock.time += 20.0
    long_rig.report_all()
    long_rig.accept("quote", spec(StepSpec(1, HALF, expected_ms=1000.0)), URGENT)
    long_rig.wait(1.0)
    assert long_rig.stopped() == []


def test_room_is_made_for_a_whole_gang_and_kept_for_it() -> None:
    rig = _full_rig(StepSpec(4, HALF, expected_ms=5000.0, saves=True))
    rig.accept("gang", spec(StepSpec(4, HALF, expected_ms=6000.0, gang=True)), URGENT)
    rig.wait(1.5)
    assert len(rig.stopped()) == 4
    batch_starts = [start for start in rig.started() if start.task.startswith("batch")]
    rig.complete(batch_starts[0], "stopped")
    rig.wait(0.1)
    assert len(rig.started()) == 4
    for start in batch_starts[1:]:
        rig.complete(start, "stopped")
    rig.wait(0.1)
    assert [start.task.split(".")[0] for start in rig.started()[4:]] == ["gang"] * 4


def test_room_is_made_for_the_next_step_once_others_have_taken_theirs() -> None:
    rig = _full_rig(StepSpec(6, HALF, expected_ms=5000.0, saves=True), vms=3)
    for number in range(3):
        rig.accept(f"quote{number}", spec(StepSpec(1, HALF, expected_ms=3000.0)), URGENT)
    rig.wait(0.7)
    first = rig.stopped()
    assert len(first) == 2
    for stop in first:
        stopped = next(start for start in rig.started() if start.task == stop.task)
        rig.complete(stopped, "stopped", "saved-1")
    rig.wait(0.1)
    rig.tick(0.1)
    assert len(rig.stopped()) == 3
