"""The clocks of a process. Durations are measured by the event loop's clock, so that a test may
run the whole in virtual time."""

import asyncio
import contextlib
import time

__all__ = ["LoopClock", "monotonic", "set_within"]

MS = 1000.0


def monotonic() -> float:
    """Return the running event loop's time in seconds; it never goes back."""
    return asyncio.get_running_loop().time()


async def set_within(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, for some seconds at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


class LoopClock:
    """Reads the event loop's clock, and the machine's time of day."""

    def monotonic(self) -> float:
        """Return local monotonic seconds."""
        return monotonic()

    def wall_ms(self) -> float:
        """Return the time of day in ms since 1970."""
        return time.time() * MS
