"""What a member knows of itself."""

import msgspec

from sablemount.jobs.settings import JobSettings

__all__ = ["ENOUGH_CORES", "MemberSettings"]

ENOUGH_CORES = 0.9
"""Share of a processor core below which a member leaves the lead to others if it can."""


class MemberSettings(msgspec.Struct, frozen=True):
    """What a member knows of itself; ``rpc_address`` is where others reach it."""

    name: str
    rpc_address: str
    jobs: JobSettings
    cores: float = 1.0
    """Share of a processor core that it may use: weak members leave the lead to others."""
    fail_closed: bool = False
    """Whether callers are refused once the configuration has not been confirmed for a while."""
    revoke_after: float = 5.0
    """Seconds after which it counts as not confirmed."""
