"""Runs the program of a process whose steady clock stands still while the process is stopped.

python -m benchmarks.suspendable PROGRAM

A machine that is suspended runs nothing, and its steady clock does not count that time. Stopping a
process alone leaves its clocks going; so the steady clock that the interpreter reads leaves out
each gap between two looks at it that is longer than an idle process ever makes.
"""

import runpy
import sys
import time
from collections.abc import Callable

__all__ = ["SteadyClock", "main"]

STOPPED = 0.4
"""Seconds between two looks at the clock from which the process was stopped: an idle one looks
several times as often."""


class SteadyClock:
    """A clock that does not count the time for which its process was stopped."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._seen = clock()
        self._left_out = 0.0

    def __call__(self) -> float:
        """Return seconds."""
        now = self._clock()
        if now - self._seen > STOPPED:
            self._left_out += now - self._seen
        self._seen = now
        return now - self._left_out


def main() -> None:
    """Run the program that is named."""
    time.monotonic = SteadyClock(time.monotonic)
    sys.argv = sys.argv[1:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
