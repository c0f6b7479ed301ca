"""Who waits where there is too little room: late work lets what can be in time go first.

One organisation sends six times its usual beside a burst, which asks for more than the VMs have for
ten seconds. By priority and objective alone each job that was placed too late took the room of the
next: of the others' batches a third were in time, and two thirds were late for nobody's gain.
"""

import pytest

from sablemount.jobs.systems.headroom import MOST_HELD, Headroom
from sablemount.jobs.systems.order import Order, OrderKey
from sablemount.jobs.systems.placement import Placement
from sablemount.jobs.tables import StepRow
from tests.jobs.loads import BATCH, CHECK, QUEUES, VMS, load, organisations, play
from tests.jobs.replay import job
from tests.jobs.rig import Rig


def _by_objective(order: Order, step: StepRow) -> OrderKey:
    """Order steps as it was done before."""
    return (order.priority(step), 0, step.job.objective_at)


def test_others_batches_are_in_time_beside_a_hot_organisation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    arrived = load(1, hot="a")
    others = [each for each in arrived if each.queue is BATCH and each.organisation != "a"]
    now = play(arrived).in_time(others)
    monkeypatch.setattr(Order, "key", _by_objective)
    before = play(arrived).in_time(others)
    assert now > 0.5 > before


def test_checks_find_room_in_a_full_cell(monkeypatch: pytest.MonkeyPatch) -> None:
    arrived = load(4, hot="d")
    checks = [each for each in arrived if each.queue is CHECK]
    now = play(arrived).in_time(checks)
    monkeypatch.setattr(Headroom, "begin", lambda self, usable: None)
    before = play(arrived).in_time(checks)
    assert now > 0.95 > before


def test_nothing_that_was_accepted_is_dropped() -> None:
    arrived = load(3, hot="a")
    assert set(play(arrived).took) == {each.name for each in arrived}


@pytest.mark.parametrize("hot", ["", "a"])
def test_what_is_not_looked_at_for_want_of_room_would_find_none(
    monkeypatch: pytest.MonkeyPatch, hot: str
) -> None:
    """A round of 4,000 full VMs took 0.7 s as each of 1,000 steps was held against all of them."""
    arrived = load(5, hot=hot)
    skipped = play(arrived).took
    monkeypatch.setattr(Placement, "_finds_none", lambda self, step: False)
    assert play(arrived).took == skipped


# -- The order -----------------------------------------------------------------------------------


def _rig(shared: bool = True) -> Rig:
    owners = organisations() if shared else ()
    return Rig(1, queues=QUEUES, organisations=owners)


def _ordered(rig: Rig) -> list[str]:
    order = Order(rig.scheduler.state)
    return [step.job.name for step in order.sorted()]


def _waiting(rig: Rig) -> None:
    """Let jobs wait: one that is late by now, one that is in time, and an urgent late one."""
    rig.accept("late", job(1, 16_000, 4.0), BATCH, "a")
    rig.accept("check", job(1, 16_000, 1.0), CHECK, "a")
    rig.clock.time += 16.0
    rig.scheduler.now()
    rig.accept("early", job(1, 16_000, 4.0), BATCH, "b")
    rig.scheduler.now()


def test_late_work_goes_behind_work_in_time_of_its_priority() -> None:
    rig = _rig()
    _waiting(rig)
    assert _ordered(rig) == ["check", "early", "late"]


def test_where_nobody_competes_work_is_ordered_as_before() -> None:
    rig = _rig(shared=False)
    _waiting(rig)
    assert _ordered(rig) == ["check", "late", "early"]


def test_work_that_earns_nothing_any_more_goes_last() -> None:
    rig = _rig()
    rig.accept("gone", job(1, 16_000, 1.0), BATCH, "a")
    rig.clock.time += 30.0
    rig.scheduler.now()
    rig.accept("late", job(1, 16_000, 4.0), BATCH, "a")
    rig.clock.time += 16.0
    rig.scheduler.now()
    rig.accept("early", job(1, 16_000, 4.0), BATCH, "b")
    rig.scheduler.now()
    assert _ordered(rig) == ["early", "late", "gone"]


# -- Room left to urgent work --------------------------------------------------------------------


def test_room_that_urgent_work_has_used_is_left_to_it_within_bounds() -> None:
    rig = Rig(VMS, queues=QUEUES, organisations=organisations())
    state = rig.scheduler.state
    rig.accept("checks", job(VMS, 16_000, 0.8), CHECK, "a")
    headroom = Headroom(state, rig.scheduler.speeds)
    rows = list(state.vms.values())
    headroom.begin(rows)
    rig.scheduler.cancel("checks")
    rig.clock.time += 0.2
    rig.scheduler.now()
    headroom.begin(rows)
    rig.accept("batch", job(1, 1_000, 4.0), BATCH, "a")
    rig.accept("check", job(1, 1_000, 0.8), CHECK, "a")
    batch, check = (state.jobs[name].steps[(0, 0)] for name in ("batch", "check"))
    left = headroom.left_to(batch, rows)
    assert len(rows) - len(left) in (1, int(MOST_HELD * VMS) + 1)
    assert headroom.left_to(check, rows) == rows


def test_room_is_given_back_as_urgent_work_stays_away() -> None:
    rig = Rig(VMS, queues=QUEUES, organisations=organisations())
    state = rig.scheduler.state
    rig.accept("checks", job(3, 2_500, 0.8), CHECK, "a")
    headroom = Headroom(state, rig.scheduler.speeds)
    rows = list(state.vms.values())
    headroom.begin(rows)
    rig.scheduler.cancel("checks")
    rig.accept("batch", job(1, 1_000, 4.0), BATCH, "a")
    batch = state.jobs["batch"].steps[(0, 0)]
    rig.clock.time += 300.0
    rig.scheduler.now()
    headroom.begin(rows)
    assert headroom.left_to(batch, rows) == rows
