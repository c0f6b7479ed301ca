"""Runs a program whose monotonic clock stands still while its process is stopped.

python -m benchmarks.suspendable PROGRAM

A suspended machine runs nothing, and its monotonic clock does not count that time. Stopping only a
process leaves its clocks running; so ``time.monotonic`` is replaced by a clock that leaves out each
gap between two reads that is longer than any in an idle process.
"""

import runpy
import sys
import time
from collections.abc import Callable

__all__ = ["SteadyClock", "main"]

PAUSE_THRESHOLD_S = 0.4
"""Gap in seconds between two reads of the clock that means that the process was stopped; an idle
process reads its clock several times as often."""


class SteadyClock:
    """A clock that does not count the time for which its process was stopped."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_read = clock()
        self._skipped = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        now = self._clock()
        if now - self._last_read > PAUSE_THRESHOLD_S:
            self._skipped += now - self._last_read
        self._last_read = now
        return now - self._skipped


def main() -> None:
    """Run the program given as the first argument."""
    time.monotonic = SteadyClock(time.monotonic)
    sys.argv = sys.argv[1:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
