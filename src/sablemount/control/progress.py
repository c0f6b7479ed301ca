"""Progress of an answer in transit, so that a long one is not mistaken for a lost one."""

from sablemount.control.clock import monotonic

__all__ = ["TransferProgress"]

NEVER = -1e9


class TransferProgress:
    """Counts the received parts of the answers to one request, including its retries."""

    __slots__ = ("_first_at", "at", "received")

    def __init__(self) -> None:
        self.received = 0
        """Number of bytes received."""
        self.at = NEVER
        """When the last bytes were received (local time)."""
        self._first_at = NEVER

    def add_received(self, size: int) -> None:
        """Record that ``size`` further bytes were received."""
        self.received += size
        self.at = monotonic()
        if self._first_at == NEVER:
            self._first_at = self.at

    @property
    def duration(self) -> float:
        """Return the seconds from the first part to the last."""
        return self.at - self._first_at

    def received_within(self, seconds: float) -> bool:
        """Return whether anything was received within the last ``seconds``."""
        return monotonic() - self.at < seconds
