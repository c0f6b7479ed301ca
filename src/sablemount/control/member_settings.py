"""What a member knows of itself."""

import msgspec

from sablemount.control.standing import MachineLimits, standing
from sablemount.jobs.settings import JobSettings

__all__ = ["MemberSettings"]


class MemberSettings(msgspec.Struct, frozen=True):
    """What a member knows of itself; ``rpc_address`` is where others reach it."""

    name: str
    rpc_address: str
    jobs: JobSettings
    limits: MachineLimits = MachineLimits()
    """What its machine gives it: weak members leave the lead to others."""
    fail_closed: bool = False
    """Whether callers are refused once the configuration has not been confirmed for a while."""
    revoke_after: float = 5.0
    """Seconds after which it counts as not confirmed."""

    @property
    def standing(self) -> float:
        """Return how well its machine carries the lead."""
        return standing(self.limits)
