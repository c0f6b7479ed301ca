"""How much of an answer has arrived, so that one that is merely long is not taken for lost."""

from sablemount.control.clock import monotonic

__all__ = ["Progress"]

NEVER = -1e9


class Progress:
    """Takes the parts of the answers to one question, however often that was asked."""

    __slots__ = ("_first_at", "at", "received")

    def __init__(self) -> None:
        self.received = 0
        """Bytes that have come."""
        self.at = NEVER
        """When the last of them came (local time)."""
        self._first_at = NEVER

    def arrived(self, size: int) -> None:
        """Take some bytes."""
        self.received += size
        self.at = monotonic()
        if self._first_at == NEVER:
            self._first_at = self.at

    @property
    def seconds(self) -> float:
        """Return the seconds from the first part to the last."""
        return self.at - self._first_at

    def within(self, seconds: float) -> bool:
        """Tell whether something has come within some seconds."""
        return monotonic() - self.at < seconds
