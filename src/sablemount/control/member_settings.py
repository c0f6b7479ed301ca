"""A member's settings for itself."""

import msgspec

from sablemount.control.standing import MachineLimits, standing
from sablemount.jobs.settings import JobSettings

__all__ = ["MemberSettings"]


class MemberSettings(msgspec.Struct, frozen=True):
    """A member's settings for itself; ``rpc_address`` is the address at which others reach it."""

    name: str
    rpc_address: str
    jobs: JobSettings
    limits: MachineLimits = MachineLimits()
    """Resource limits of its machine: members on weak machines leave the leadership to others."""
    fail_closed: bool = False
    """Whether callers are refused once the configuration has not been confirmed for a while."""
    revoke_after: float = 5.0
    """Seconds after which the configuration counts as not confirmed."""

    @property
    def standing(self) -> float:
        """Return the leader suitability of its machine."""
        return standing(self.limits)
