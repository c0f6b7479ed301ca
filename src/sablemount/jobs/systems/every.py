"""Timer for systems that need not run at each tick."""

__all__ = ["IntervalTimer"]


class IntervalTimer:
    """Timer that is due at most once per interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_due_at = -interval_s

    def due(self, now: float) -> bool:
        """Return whether the interval has passed, and restart it if so."""
        if now - self._last_due_at < self._interval_s:
            return False
        self._last_due_at = now
        return True
