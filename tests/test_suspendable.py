"""The clock of a suspendable process leaves out the time for which the process was stopped."""

from benchmarks.suspendable import PAUSE_THRESHOLD_S, SteadyClock


def test_a_steady_clock_leaves_out_long_gaps_alone() -> None:
    now = [100.0]
    clock = SteadyClock(lambda: now[0])
    assert clock() == 100.0
    now[0] += PAUSE_THRESHOLD_S / 2
    assert clock() == 100.0 + PAUSE_THRESHOLD_S / 2
    now[0] += 7.0
    assert clock() == 100.0 + PAUSE_THRESHOLD_S / 2
    now[0] += 0.1
    assert clock() == 100.0 + PAUSE_THRESHOLD_S / 2 + 0.1
