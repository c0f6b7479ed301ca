"""A limit on the memory that unfinished requests of all connections hold together.

Memory is granted before it is used. When the budget is used up, grants that are larger than the
requested one are revoked, largest first, and those whose owner has made no progress for a while;
if that does not free enough, the request for memory is denied. So small requests go on while large
ones exhaust the budget, and unfinished requests do not keep others out.
"""

import math
from collections.abc import Callable

from sablemount.control.clock import monotonic

__all__ = ["Grant", "MemoryBudget"]

BYTES_PER_MB = 1024 * 1024
DEFAULT_CAPACITY_MB = 64.0
"""Budget in MB of a process whose machine has no memory limit."""
MEMORY_SHARE = 0.125
"""Budget as a share of the machine's memory."""
STALLED_S = 1.0
"""Seconds without progress after which a grant may be revoked for a larger one."""


class Grant:
    """Memory granted to one request; it ends with ``close`` or when it is revoked."""

    def __init__(self, budget: "MemoryBudget", revoke: Callable[[], None]) -> None:
        self.held = 0
        """Bytes."""
        self.progress_at = monotonic()
        self.is_revocable = True
        self.revoke = revoke
        self._budget = budget

    def extend_to(self, size: int) -> bool:
        """Hold at least ``size`` bytes; return whether they are granted."""
        self.progress_at = monotonic()
        return size <= self.held or self._budget.extend(self, size)

    def is_stalled(self, seconds: float) -> bool:
        """Return whether the request is not complete and has made no progress for a while."""
        return self.is_revocable and self.progress_at <= monotonic() - seconds

    def close(self) -> None:
        """Return the memory."""
        self._budget.remove(self)
        self.revoke = _do_nothing


def _do_nothing() -> None:
    """Replace the callback of a closed grant, which may refer to the grant."""


class MemoryBudget:
    """Grants up to ``capacity`` bytes."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.revoked_count = 0
        self._grants: set[Grant] = set()

    @classmethod
    def of_machine(cls, memory_mb: float, at_least: int = 0) -> "MemoryBudget":
        """Return the budget of a machine; a memory of 0 MB is no limit."""
        share_mb = memory_mb * MEMORY_SHARE if memory_mb > 0 else DEFAULT_CAPACITY_MB
        return cls(max(at_least, math.floor(share_mb * BYTES_PER_MB)))

    def open(self, revoke: Callable[[], None]) -> Grant:
        """Return an empty grant; ``revoke`` is called once if its memory is needed elsewhere."""
        return Grant(self, revoke)

    def extend(self, grant: Grant, size: int) -> bool:
        """Raise a grant to ``size`` bytes, if necessary by revoking others."""
        if size > self.capacity:
            return False
        missing = self.used + size - grant.held - self.capacity
        if missing > 0 and not self._revoke_for(grant, size, missing):
            return False
        self.used += size - grant.held
        grant.held = size
        self._grants.add(grant)
        return True

    def remove(self, grant: Grant) -> None:
        """Take back the memory of a grant, which ends."""
        self.used -= grant.held
        grant.held = 0
        self._grants.discard(grant)

    def _revoke_for(self, asking: Grant, size: int, missing: int) -> bool:
        """Revoke grants of at least ``missing`` bytes in all, or none; return whether it did."""
        candidates = [
            grant
            for grant in self._grants
            if grant is not asking
            and grant.is_revocable
            and (grant.held > size or grant.is_stalled(STALLED_S))
        ]
        if sum(grant.held for grant in candidates) < missing:
            return False
        candidates.sort(key=lambda grant: (-grant.held, grant.progress_at))
        for grant in candidates:
            missing -= grant.held
            self.revoke(grant)
            if missing <= 0:
                break
        return True

    def revoke(self, grant: Grant) -> None:
        """End a grant for the sake of others."""
        self.revoked_count += 1
        revoke = grant.revoke
        grant.close()
        revoke()
