"""When a member tries to lead."""

from sablemount.control.messages import Pong
from sablemount.control.suspicion import ClaimReason, Suspicion

PATIENCE = 0.1


def test_a_leader_that_answers_is_left_alone() -> None:
    seen = Suspicion(0.0)
    for tick in range(100):
        seen.heard(Pong(1, True, 0.1), tick * 0.15)
        assert seen.reason(tick * 0.15 + 0.1, PATIENCE) is None


def test_silence_and_refusal_are_told_apart() -> None:
    seen = Suspicion(0.0)
    seen.heard(Pong(1, True, 0.1), 1.0)
    assert seen.reason(1.5, PATIENCE) is None
    assert seen.reason(1.8, PATIENCE) == ClaimReason.SILENT
    seen.refused(1.1)
    assert seen.reason(1.35, PATIENCE) == ClaimReason.REFUSED


def test_a_loading_leader_is_not_idle() -> None:
    seen = Suspicion(0.0)
    for tick in range(10):
        seen.heard(Pong(1, False, 0.0, loading=True), tick * 0.2)
    assert seen.reason(2.0, PATIENCE) is None
    for tick in range(10, 20):
        seen.heard(Pong(1, False, 0.0), tick * 0.2)
    assert seen.reason(3.85, PATIENCE) == ClaimReason.IDLE


def test_a_leader_without_the_store_is_suspected_until_it_has_it_again() -> None:
    seen = Suspicion(0.0)
    seen.heard(Pong(1, True, 0.9), 1.0)
    seen.heard(Pong(1, True, 1.1), 1.2)
    assert seen.reason(1.2, PATIENCE) == ClaimReason.STORE_LOST
    seen.heard(Pong(1, True, 0.0), 1.3)
    assert seen.reason(1.3, PATIENCE) is None


def test_a_leader_whose_answers_come_later_and_later_is_not_taken_to_have_gone() -> None:
    """Its link or core is full; it was replaced for 0.65 to 0.79 s of silence, and had not gone."""
    seen = Suspicion(0.0)
    now = 0.0
    for took in (0.01, 0.15, 0.25, 0.4, 0.6, 0.79):
        assert seen.reason(now + took, PATIENCE) is None
        now += took
        seen.heard(Pong(1, True, 0.0), now, took)


def test_a_leader_that_falls_silent_at_once_is_suspected_as_soon_as_ever() -> None:
    seen = Suspicion(0.0)
    for tick in range(40):
        seen.heard(Pong(1, True, 0.0), tick * 0.15, 0.02)
    assert seen.reason(39 * 0.15 + 0.71, PATIENCE) == ClaimReason.SILENT


def test_lateness_is_forgotten_once_answers_are_in_time_again() -> None:
    seen = Suspicion(0.0)
    seen.heard(Pong(1, True, 0.0), 0.0, 0.8)
    for tick in range(1, 27):
        seen.heard(Pong(1, True, 0.0), tick * 0.15, 0.005)
    assert seen.reason(26 * 0.15 + 0.71, PATIENCE) == ClaimReason.SILENT


def _hears_load(seen: Suspicion, loaded: list[int], since: float = 0.0) -> float:
    """Hear how far the leader's load is each 0.2 s; return when it was last heard."""
    for tick, far in enumerate(loaded):
        seen.heard(Pong(1, False, 0.0, loading=True, loaded=far), since + tick * 0.2)
    return since + (len(loaded) - 1) * 0.2


def test_a_load_that_gets_on_is_left_alone_however_long_it_takes() -> None:
    seen = Suspicion(0.0)
    # Each step takes 1.8 s.
    now = _hears_load(seen, [tick // 9 for tick in range(1000)])
    assert seen.reason(now, PATIENCE) is None


def test_a_load_that_does_not_get_on_is_suspected() -> None:
    seen = Suspicion(0.0)
    now = _hears_load(seen, [0, 7, *[7] * 11])
    assert seen.reason(now, PATIENCE) is None
    now = _hears_load(seen, [7] * 5, now)
    assert seen.reason(now, PATIENCE) == ClaimReason.LOAD_STUCK
    seen.heard(Pong(1, False, 0.0, loading=True, loaded=8), now)
    assert seen.reason(now, PATIENCE) is None


def test_a_leader_that_has_loaded_is_suspected_no_more() -> None:
    seen = Suspicion(0.0)
    now = _hears_load(seen, [7] * 20)
    assert seen.reason(now, PATIENCE) == ClaimReason.LOAD_STUCK
    seen.heard(Pong(1, True, 0.0), now)
    assert seen.reason(now, PATIENCE) is None


def test_a_leader_of_an_earlier_release_tells_nothing_of_its_load() -> None:
    seen = Suspicion(0.0)
    for tick in range(100):
        seen.heard(Pong(1, False, 0.0, loading=True), tick * 0.2)
    assert seen.reason(99 * 0.2, PATIENCE) is None


def test_each_leader_in_a_row_that_has_not_come_to_lead_gives_the_next_one_more_time() -> None:
    times = []
    for unled in range(6):
        seen = Suspicion(0.0, unled)
        tick = 0
        while seen.reason(tick * 0.2, 0.0) is None:
            tick += 1
            seen.heard(Pong(1, False, 0.0, loading=True, loaded=7), tick * 0.2)
        times.append(round(tick * 0.2))
    assert times == [2, 4, 8, 16, 16, 16]
