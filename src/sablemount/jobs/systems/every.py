"""For systems that need not run at each tick."""

__all__ = ["Every"]


class Every:
    """Tells, at most once in some seconds, that a system is due."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._ran_at = -seconds

    def due(self, now: float) -> bool:
        """Tell whether the seconds are over, and count them anew if they are."""
        if now - self._ran_at < self._seconds:
            return False
        self._ran_at = now
        return True
