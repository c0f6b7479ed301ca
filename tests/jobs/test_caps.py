"""Tests that every start stays within its organisation's cap."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sablemount.control.organisation_figures import MAX_NAMED_ORGANISATIONS, organisation_gauges
from sablemount.jobs.actions import RunReport
from sablemount.jobs.caps import NO_LIMIT, cap_error, remaining_places
from sablemount.jobs.model import Organisation, Queue, Shape, StepSpec
from sablemount.jobs.records import Record
from sablemount.jobs.scheduler import StartRefusal
from tests.jobs.rig import CORE, Rig, queue, spec

MINE = "rueda"
OTHER = "yard"
FOUR = Shape(4_000, 1_000)


def _capped_rig(cores: int, vms: int = 4, queues: tuple[Queue, ...] = ()) -> Rig:
    mine = Organisation(MINE, cap=Shape(cores=cores))
    return Rig(vms, queues=queues, organisations=(mine, Organisation(OTHER)))


def _publish_cap(rig: Rig, cores: int) -> None:
    """Publish a configuration with another cap."""
    mine = Organisation(MINE, cap=Shape(cores=cores))
    rig.configuration = msgspec.structs.replace(
        rig.configuration,
        version=rig.configuration.version + 1,
        organisations=(mine, Organisation(OTHER)),
    )
    rig.scheduler.apply_configuration(rig.configuration)


def test_no_more_starts_than_the_cap_has_room_for() -> None:
    rig = _capped_rig(10_000)
    rig.accept("job", spec(StepSpec(9, FOUR)), organisation=MINE)
    rig.tick()
    assert len(rig.started()) == 2


def test_another_organisation_goes_on() -> None:
    rig = _capped_rig(4_000)
    rig.accept("mine", spec(StepSpec(3, FOUR)), organisation=MINE)
    rig.accept("other", spec(StepSpec(3, FOUR)), organisation=OTHER)
    rig.tick()
    assert (
        sorted(start.task.partition(".")[0] for start in rig.started()) == ["mine"] + ["other"] * 3
    )


def test_a_completion_lets_the_next_task_start() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(2, FOUR)), organisation=MINE)
    rig.tick()
    rig.complete(rig.started()[0], "done")
    rig.tick()
    assert len(rig.started()) == 1
    rig.report_all()
    rig.tick()
    assert len(rig.started()) == 2


def test_a_run_counts_until_its_stop_is_certain() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(1, FOUR)), organisation=MINE)
    rig.tick()
    first = rig.started()[0]
    rig.hold(first)
    rig.report_all()
    rig.scheduler.cancel("job")
    rig.accept("next", spec(StepSpec(1, FOUR)), organisation=MINE)
    rig.tick()
    assert len(rig.started()) == 1
    rig.complete(first, "stopped")
    rig.report_all()
    rig.tick()
    assert len(rig.started()) == 2


def test_a_start_without_an_answer_counts_until_its_vm_shows_that_it_is_not_there() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(2, FOUR)), organisation=MINE)
    rig.tick()
    rig.wait(1.0)
    assert len(rig.started()) == 1
    rig.wait(1.5)
    assert len(rig.started()) == 2


def test_a_refused_start_counts_no_more() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(2, FOUR)), organisation=MINE)
    rig.tick()
    first = rig.started()[0]
    rig.scheduler.start_refused(
        first.vm, first.task, first.run, StartRefusal.CAPACITY, certain=True
    )
    rig.tick()
    assert len(rig.started()) == 2


def test_the_cores_of_best_effort_runs_count_for_the_cap_and_not_for_the_vm() -> None:
    rig = _capped_rig(8_000, vms=1)
    rig.accept("job", spec(StepSpec(9, FOUR, fills=True, lasting=True)), organisation=MINE)
    rig.tick()
    assert len(rig.started()) == 2


# -- Change of leader ------------------------------------------------------------------------


def test_a_later_leader_counts_what_already_runs() -> None:
    rig = _capped_rig(8_000)
    rig.accept("job", spec(StepSpec(2, FOUR)), organisation=MINE)
    rig.tick()
    for start in rig.started():
        rig.hold(start)
    later = rig.successor()
    later.report_all()
    later.accept("next", spec(StepSpec(1, FOUR)), organisation=MINE)
    later.tick()
    assert later.started() == []


def test_a_later_leader_allows_for_runs_on_vms_that_have_not_reported() -> None:
    rig = _capped_rig(20_000)
    later = rig.successor()
    later.report("w0")
    later.report("w1")
    later.report("w2")
    # The fourth VM may run 16 cores, which with another 4 fill the cap of 20.
    later.accept("next", spec(StepSpec(3, FOUR)), organisation=MINE)
    later.tick()
    assert len(later.started()) == 1
    later.report("w3")
    later.tick()
    assert len(later.started()) == 3


def test_a_vm_of_unknown_size_that_may_run_something_counts_as_the_largest() -> None:
    rig = _capped_rig(20_000)
    later = Rig(0, 2, organisations=rig.configuration.organisations)
    later.scheduler.load([Record(key, value) for key, value in rig.store.items()])
    for name in ("w0", "w1", "w2"):
        later.scheduler.update_vm(rig.scheduler.state.vms[name].info)
        later.report(name)
    later.accept("next", spec(StepSpec(3, FOUR)), organisation=MINE)
    later.tick()
    assert len(later.started()) == 1


def test_a_run_of_a_forgotten_job_counts_with_all_of_its_vm() -> None:
    rig = _capped_rig(17_000, vms=2)
    rig.accept("gone", spec(StepSpec(1, CORE)), organisation=MINE)
    rig.tick()
    rig.hold(rig.started()[0])
    rig.scheduler.cancel("gone")
    rig.commit()
    later = rig.successor()
    later.report_all()
    later.accept("next", spec(StepSpec(2, CORE)), organisation=MINE)
    later.tick()
    assert len(later.started()) == 1


def test_a_lost_vms_runs_count_no_more_once_they_are_over() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(1, FOUR)), organisation=MINE)
    rig.tick()
    rig.scheduler.vms.incarnation_ended(rig.started()[0].vm)
    rig.tick()
    assert len(rig.started()) == 2


# -- Changes of the cap ----------------------------------------------------------------------


def test_a_cap_that_falls_below_what_runs_lets_it_end() -> None:
    rig = _capped_rig(8_000)
    rig.accept("job", spec(StepSpec(3, FOUR)), organisation=MINE)
    rig.tick()
    _publish_cap(rig, 4_000)
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.tick()
    assert len(rig.started()) == 2
    assert rig.stopped() == []
    rig.complete(rig.started()[1], "done")
    rig.report_all()
    rig.tick()
    assert len(rig.started()) == 3


def test_a_cap_that_rises_applies_to_what_waits() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(3, FOUR)), organisation=MINE)
    rig.tick()
    _publish_cap(rig, 12_000)
    rig.tick()
    assert len(rig.started()) == 3


def test_an_organisation_that_is_named_no_more_keeps_its_cap() -> None:
    rig = _capped_rig(4_000)
    rig.accept("job", spec(StepSpec(2, FOUR)), organisation=MINE)
    rig.configuration = msgspec.structs.replace(rig.configuration, version=7, organisations=())
    rig.scheduler.apply_configuration(rig.configuration)
    rig.tick()
    assert len(rig.started()) == 1


# -- Gangs and more urgent jobs --------------------------------------------------------------

URGENT = queue("urgent", 0)
CHEAP = queue("cheap", 2)


def test_a_gang_starts_whole_or_not_at_all_under_its_cap() -> None:
    rig = _capped_rig(12_000)
    rig.accept("small", spec(StepSpec(1, CORE)), organisation=MINE)
    rig.tick()
    rig.accept("gang", spec(StepSpec(3, FOUR, gang=True)), organisation=MINE)
    rig.tick()
    assert len(rig.started()) == 1
    rig.complete(rig.started()[0], "done")
    rig.report_all()
    rig.tick()
    assert len(rig.started()) == 4


def test_less_urgent_jobs_leave_freed_capacity_to_a_gang_of_their_organisation() -> None:
    rig = _capped_rig(12_000, queues=(URGENT, CHEAP))
    rig.accept("first", spec(StepSpec(3, FOUR)), CHEAP, MINE)
    rig.tick()
    rig.accept("gang", spec(StepSpec(3, FOUR, gang=True)), URGENT, MINE)
    rig.accept("second", spec(StepSpec(3, FOUR)), CHEAP, MINE)
    for start in list(rig.started()):
        rig.complete(start, "done")
        rig.report_all()
        rig.tick()
    started = [start.task.partition(".")[0] for start in rig.started()]
    assert started == ["first"] * 3 + ["gang"] * 3


def _fill_cap_beside_a_gang(rig: Rig) -> None:
    """Let a job fill a cap of three places; a gang of three and another job then wait for it."""
    for name, gang in (("first", False), ("gang", True), ("second", False)):
        rig.accept(name, spec(StepSpec(3, FOUR, gang=gang)), organisation=MINE)
        rig.tick()


def _started_jobs_as_the_first_completes(rig: Rig) -> list[str]:
    for start in list(rig.started()):
        rig.complete(start, "done")
        rig.report_all()
        rig.tick()
    return [start.task.partition(".")[0] for start in rig.started()]


def test_a_gang_beyond_its_objective_is_not_overtaken_by_later_jobs_under_its_cap() -> None:
    """A gang waited 72 s for its cap: later jobs took each bit of it that became free."""
    rig = _capped_rig(12_000)
    _fill_cap_beside_a_gang(rig)
    rig.hold_all()
    objective_at = rig.scheduler.state.jobs["gang"].objective_at
    while rig.clock.time <= objective_at:
        rig.wait(0.5)
    assert _started_jobs_as_the_first_completes(rig) == ["first"] * 3 + ["gang"] * 3


def test_a_gang_within_its_objective_leaves_freed_capacity_to_later_jobs_under_its_cap() -> None:
    rig = _capped_rig(12_000)
    _fill_cap_beside_a_gang(rig)
    assert _started_jobs_as_the_first_completes(rig) == ["first"] * 3 + ["second"] * 3


def test_a_gang_wider_than_half_of_its_cap_does_not_idle_it() -> None:
    rig = _capped_rig(16_000, queues=(URGENT, CHEAP))
    rig.accept("first", spec(StepSpec(1, FOUR)), CHEAP, MINE)
    rig.tick()
    rig.hold(rig.started()[0])
    rig.accept("gang", spec(StepSpec(4, FOUR, gang=True)), URGENT, MINE)
    rig.accept("second", spec(StepSpec(1, FOUR)), CHEAP, MINE)
    rig.tick()
    assert [start.task for start in rig.started()] == ["first.0.0.0"]
    rig.wait(2.0)
    assert [start.task for start in rig.started()] == ["first.0.0.0", "second.0.0.0"]


def test_a_gang_that_no_longer_fits_its_cap_reserves_nothing() -> None:
    rig = _capped_rig(20_000, queues=(URGENT, CHEAP))
    rig.accept("first", spec(StepSpec(2, FOUR)), CHEAP, MINE)
    rig.tick()
    rig.accept("gang", spec(StepSpec(4, FOUR, gang=True)), URGENT, MINE)
    _publish_cap(rig, 12_000)
    rig.accept("second", spec(StepSpec(1, FOUR)), CHEAP, MINE)
    rig.tick()
    assert [start.task for start in rig.started()][2:] == ["second.0.0.0"]


def test_an_urgent_job_at_its_cap_preempts_nothing_and_reserves_no_vms() -> None:
    rig = _capped_rig(4_000, vms=2, queues=(URGENT, CHEAP))
    rig.accept("mine", spec(StepSpec(1, FOUR)), URGENT, MINE)
    rig.tick()
    rig.accept("others", spec(StepSpec(8, FOUR, expected_ms=60_000.0)), CHEAP, OTHER)
    rig.tick()
    rig.accept("more", spec(StepSpec(2, FOUR, expected_ms=60_000.0)), URGENT, MINE)
    for percent in range(40):
        rig.hold_all(percent)
        rig.tick(0.1)
    assert rig.stopped() == []
    rows = rig.scheduler.state.vms.values()
    assert all(row.reserved_for_preemptor_until < rig.clock.time for row in rows)


# -- Jobs beyond the cap ---------------------------------------------------------------------


@pytest.mark.parametrize(
    ("step", "path"),
    [
        (StepSpec(1, Shape(5_000, 1)), "$.steps[1].shape.cores"),
        (StepSpec(1, Shape(1, 3_000)), "$.steps[1].shape.memory"),
        (StepSpec(1, Shape(1, 1, 2)), "$.steps[1].shape.accelerators"),
        (StepSpec(3, Shape(2_000), gang=True), "$.steps[1].count"),
    ],
)
def test_a_job_that_never_fits_the_cap_is_refused_with_the_path_of_its_field(
    step: StepSpec, path: str
) -> None:
    fault = cap_error(spec(StepSpec(9, CORE), step), Shape(4_000, 2_000, 1))
    assert fault is not None
    assert fault.path == path


def test_a_step_wider_than_its_cap_runs_in_waves() -> None:
    assert cap_error(spec(StepSpec(100, CORE)), Shape(4_000, 2_000, 1)) is None


def test_a_cap_of_nothing_is_no_limit() -> None:
    assert cap_error(spec(StepSpec(100, Shape(10**9), gang=True)), Shape()) is None
    assert remaining_places(Shape(10**9), Shape(), Shape(10**9), Shape(), 0.0) == NO_LIMIT


SIZES = st.integers(0, 50)
SHAPES = st.builds(Shape, SIZES, SIZES, SIZES)


@given(SHAPES, SHAPES, SHAPES, SHAPES, st.sampled_from((0.0, 0.1)))
def test_places_keep_to_the_cap_and_leave_none_unused(
    shape: Shape, cap: Shape, taken: Shape, unseen: Shape, overage: float
) -> None:
    places = remaining_places(shape, cap, taken, unseen, overage)
    if places == NO_LIMIT:
        return

    def fits(count: int) -> bool:
        known_use = taken.plus(shape, count)
        allowed = Shape(*(int(size * (1 + overage)) for size in msgspec.structs.astuple(cap)))
        return all(
            not limit
            or not need
            or (used <= limit and (not unreported_use or used + unreported_use <= allowed_use))
            for need, limit, used, unreported_use, allowed_use in zip(
                msgspec.structs.astuple(shape),
                msgspec.structs.astuple(cap),
                msgspec.structs.astuple(known_use),
                msgspec.structs.astuple(unseen),
                msgspec.structs.astuple(allowed),
                strict=True,
            )
        )

    assert places == 0 or fits(places)
    assert not fits(places + 1)


def test_a_run_that_is_found_counts_for_the_organisation_of_its_job() -> None:
    rig = _capped_rig(8_000)
    rig.accept("job", spec(StepSpec(3, FOUR)), organisation=MINE)
    rig.running["w3"] = [RunReport("job.0.0.2", 7)]
    rig.report("w3")
    rig.tick()
    assert len(rig.started()) == 1


def test_figures_by_organisation_are_bounded() -> None:
    many = tuple(Organisation(f"o{number:03d}", cap=Shape(cores=2_000)) for number in range(200))
    rig = Rig(40, organisations=many)
    for organisation in many:
        rig.accept(f"j{organisation.name}", spec(StepSpec(3, CORE)), organisation=organisation.name)
    rig.tick()
    gauges = organisation_gauges(rig.scheduler.state)
    assert len(gauges) <= 3 * MAX_NAMED_ORGANISATIONS + 2
    assert gauges["organisation_cores/o000"] == 2.0
    assert gauges["organisation_cap/o000"] == 2.0
    assert gauges["organisation_waiting/o000"] == 1.0
    assert gauges["organisation_cores/others"] == 2.0 * (200 - MAX_NAMED_ORGANISATIONS)
