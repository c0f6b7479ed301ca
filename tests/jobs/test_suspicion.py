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
