"""The clock by which a process measures ages and deadlines: it counts suspended time too.

The usual steady clock stands still while a machine is suspended, so that a lease, a claim of
leadership or a word of the store looks younger on waking than it is.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["BoottimeLoop", "monotonic", "run"]

_T = TypeVar("_T")


def monotonic() -> float:
    """Return seconds since the machine started, suspended ones included; it never goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and time-outs count suspended time.

    On waking, a timer that came due meanwhile runs with the next event or the next timer.
    """

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return monotonic()


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine to its end on such a loop, and return what it returns."""
    with asyncio.Runner(loop_factory=BoottimeLoop) as runner:
        return runner.run(main)
