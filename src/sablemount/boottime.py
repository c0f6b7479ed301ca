"""A monotonic clock that includes suspended time, and an event loop that runs on it.

All ages and deadlines of a process use this clock. The usual monotonic clock stops while the
machine is suspended, so that after resumption a lease, a claim of leadership or an answer of the
store would look more recent than it is.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["BoottimeLoop", "monotonic", "run"]

_T = TypeVar("_T")


def monotonic() -> float:
    """Return the seconds since boot, including time suspended; the value never decreases."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and timeouts include suspended time.

    A timer that expires during a suspension runs after it, with the next event or timer.
    """

    def time(self) -> float:
        """Return the time of the loop's clock in seconds."""
        return monotonic()


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine to completion on a ``BoottimeLoop`` and return its result."""
    with asyncio.Runner(loop_factory=BoottimeLoop) as runner:
        return runner.run(main)
