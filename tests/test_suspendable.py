"""The clock of a process that can be suspended leaves out the time for which it was stopped."""

from benchmarks.suspendable import STOPPED, SteadyClock


def test_a_steady_clock_leaves_out_long_gaps_alone() -> None:
    now = [100.0]
    clock = SteadyClock(lambda: now[0])
    assert clock() == 100.0
    now[0] += STOPPED / 2
    assert clock() == 100.0 + STOPPED / 2
    now[0] += 7.0
    assert clock() == 100.0 + STOPPED / 2
    now[0] += 0.1
    assert clock() == 100.0 + STOPPED / 2 + 0.1
