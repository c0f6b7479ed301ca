"""Clocks of a process.

Durations are measured on the event loop's clock, so that tests can run in virtual time.
"""

import asyncio
import contextlib
import time

__all__ = ["LoopClock", "monotonic", "wait_for_event"]

MS_PER_SECOND = 1000.0


def monotonic() -> float:
    """Return the running event loop's time in seconds; it never decreases."""
    return asyncio.get_running_loop().time()


async def wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, for at most ``seconds`` seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


class LoopClock:
    """Reads the event loop's clock and the system's wall clock."""

    def monotonic(self) -> float:
        """Return the local monotonic time in seconds."""
        return monotonic()

    def wall_ms(self) -> float:
        """Return the wall-clock time in milliseconds since 1970."""
        return time.time() * MS_PER_SECOND
