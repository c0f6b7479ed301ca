"""When a member claims the leadership."""

from sablemount.control.messages import Pong
from sablemount.control.suspicion import ClaimReason, Suspicion

CLAIM_DELAY_S = 0.1


def test_a_leader_that_answers_is_left_alone() -> None:
    suspicion = Suspicion(0.0)
    for tick in range(100):
        suspicion.on_pong(Pong(1, True, 0.1), tick * 0.15)
        assert suspicion.claim_reason(tick * 0.15 + 0.1, CLAIM_DELAY_S) is None


def test_silence_and_refusal_are_told_apart() -> None:
    suspicion = Suspicion(0.0)
    suspicion.on_pong(Pong(1, True, 0.1), 1.0)
    assert suspicion.claim_reason(1.5, CLAIM_DELAY_S) is None
    assert suspicion.claim_reason(1.8, CLAIM_DELAY_S) == ClaimReason.SILENT
    suspicion.on_refused(1.1)
    assert suspicion.claim_reason(1.35, CLAIM_DELAY_S) == ClaimReason.REFUSED


def test_a_loading_leader_is_not_idle() -> None:
    suspicion = Suspicion(0.0)
    for tick in range(10):
        suspicion.on_pong(Pong(1, False, 0.0, loading=True), tick * 0.2)
    assert suspicion.claim_reason(2.0, CLAIM_DELAY_S) is None
    for tick in range(10, 20):
        suspicion.on_pong(Pong(1, False, 0.0), tick * 0.2)
    assert suspicion.claim_reason(3.85, CLAIM_DELAY_S) == ClaimReason.IDLE


def test_a_leader_without_the_store_is_suspected_until_it_has_it_again() -> None:
    suspicion = Suspicion(0.0)
    suspicion.on_pong(Pong(1, True, 0.9), 1.0)
    suspicion.on_pong(Pong(1, True, 1.1), 1.2)
    assert suspicion.claim_reason(1.2, CLAIM_DELAY_S) == ClaimReason.STORE_LOST
    suspicion.on_pong(Pong(1, True, 0.0), 1.3)
    assert suspicion.claim_reason(1.3, CLAIM_DELAY_S) is None


def test_a_leader_whose_answers_come_later_and_later_is_not_taken_to_have_gone() -> None:
    """An overloaded link or core delays answers more and more; such a leader used to be replaced
    after silences of 0.65 to 0.79 s although it had not failed."""
    suspicion = Suspicion(0.0)
    now = 0.0
    for latency in (0.01, 0.15, 0.25, 0.4, 0.6, 0.79):
        assert suspicion.claim_reason(now + latency, CLAIM_DELAY_S) is None
        now += latency
        suspicion.on_pong(Pong(1, True, 0.0), now, latency)


def test_a_leader_that_falls_silent_at_once_is_suspected_as_soon_as_ever() -> None:
    suspicion = Suspicion(0.0)
    for tick in range(40):
        suspicion.on_pong(Pong(1, True, 0.0), tick * 0.15, 0.02)
    assert suspicion.claim_reason(39 * 0.15 + 0.71, CLAIM_DELAY_S) == ClaimReason.SILENT


def test_lateness_is_forgotten_once_answers_are_in_time_again() -> None:
    suspicion = Suspicion(0.0)
    suspicion.on_pong(Pong(1, True, 0.0), 0.0, 0.8)
    for tick in range(1, 27):
        suspicion.on_pong(Pong(1, True, 0.0), tick * 0.15, 0.005)
    assert suspicion.claim_reason(26 * 0.15 + 0.71, CLAIM_DELAY_S) == ClaimReason.SILENT


def _report_load(suspicion: Suspicion, loaded: list[int], since: float = 0.0) -> float:
    """Report the load's positions every 0.2 s; return the time of the last report."""
    for tick, position in enumerate(loaded):
        suspicion.on_pong(Pong(1, False, 0.0, loading=True, loaded=position), since + tick * 0.2)
    return since + (len(loaded) - 1) * 0.2


def test_a_load_that_gets_on_is_left_alone_however_long_it_takes() -> None:
    suspicion = Suspicion(0.0)
    # Each step takes 1.8 s.
    now = _report_load(suspicion, [tick // 9 for tick in range(1000)])
    assert suspicion.claim_reason(now, CLAIM_DELAY_S) is None


def test_a_load_that_does_not_get_on_is_suspected() -> None:
    suspicion = Suspicion(0.0)
    now = _report_load(suspicion, [0, 7, *[7] * 11])
    assert suspicion.claim_reason(now, CLAIM_DELAY_S) is None
    now = _report_load(suspicion, [7] * 5, now)
    assert suspicion.claim_reason(now, CLAIM_DELAY_S) == ClaimReason.LOAD_STALLED
    suspicion.on_pong(Pong(1, False, 0.0, loading=True, loaded=8), now)
    assert suspicion.claim_reason(now, CLAIM_DELAY_S) is None


def test_a_leader_that_has_loaded_is_suspected_no_more() -> None:
    suspicion = Suspicion(0.0)
    now = _report_load(suspicion, [7] * 20)
    assert suspicion.claim_reason(now, CLAIM_DELAY_S) == ClaimReason.LOAD_STALLED
    suspicion.on_pong(Pong(1, True, 0.0), now)
    assert suspicion.claim_reason(now, CLAIM_DELAY_S) is None


def test_a_leader_of_an_earlier_release_tells_nothing_of_its_load() -> None:
    suspicion = Suspicion(0.0)
    for tick in range(100):
        suspicion.on_pong(Pong(1, False, 0.0, loading=True), tick * 0.2)
    assert suspicion.claim_reason(99 * 0.2, CLAIM_DELAY_S) is None


def test_each_leader_in_a_row_that_has_not_come_to_lead_gives_the_next_one_more_time() -> None:
    timeouts = []
    for leaderless_epochs in range(6):
        suspicion = Suspicion(0.0, leaderless_epochs)
        tick = 0
        while suspicion.claim_reason(tick * 0.2, 0.0) is None:
            tick += 1
            suspicion.on_pong(Pong(1, False, 0.0, loading=True, loaded=7), tick * 0.2)
        timeouts.append(round(tick * 0.2))
    assert timeouts == [2, 4, 8, 16, 16, 16]
