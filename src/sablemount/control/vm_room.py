"""Estimates whether a VM has connections left for later leaders.

Connections of a machine that is lost silently, and those that go silent, may stay open at a VM for
good. A VM that may have few left is called over connections that are closed after each call: a
leader that is lost in turn then leaves none, as long as it is not lost during a call.
"""

__all__ = ["RESERVED_CONNECTIONS", "Room"]

RESERVED_CONNECTIONS = 4
"""Number of connections that a VM has to have left."""
FIRST_CHECK_S = 10.0
"""Seconds from the start of a leadership to the first check of a VM: the connections of a check
would stay open as well if the leader were lost meanwhile, and leaders may be lost in series."""
CHECK_INTERVAL_S = 20.0
"""Shortest interval between two checks of a VM."""


class Room:
    """The estimate for one VM; ``free`` is how many connections it has left for certain.

    ``now`` is the local time in seconds.
    """

    def __init__(self, free: int, now: float) -> None:
        self._free = free
        self._next_check_at = now + FIRST_CHECK_S
        self.is_scarce = free < RESERVED_CONNECTIONS
        """Whether the VM may have few connections left, or had few at the last check."""

    def connection_abandoned(self) -> None:
        """Record that the VM may not learn of the end of a connection."""
        self._free -= 1

    def is_check_due(self, now: float) -> bool:
        """Return whether to check if the VM takes further connections."""
        needed = self.is_scarce or self._free < RESERVED_CONNECTIONS
        return needed and now >= self._next_check_at

    def check_begins(self, now: float) -> None:
        """Record when a check begins."""
        self._next_check_at = now + CHECK_INTERVAL_S

    def checked(self, takes_more: bool) -> bool:
        """Record whether the VM took ``RESERVED_CONNECTIONS``; return whether this is a change."""
        self._free = RESERVED_CONNECTIONS if takes_more else 0
        is_change = takes_more is self.is_scarce
        self.is_scarce = not takes_more
        return is_change
