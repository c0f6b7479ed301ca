"""The clocks of the machine."""

import time

__all__ = ["SystemClock"]

MS = 1000.0


class SystemClock:
    """Reads the machine's clocks."""

    def monotonic(self) -> float:
        """Return local monotonic seconds."""
        return time.monotonic()

    def wall_ms(self) -> float:
        """Return the time of day in ms since 1970."""
        return time.time() * MS
