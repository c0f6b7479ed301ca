"""Settings of the job scheduler, in seconds where nothing else is said."""

import msgspec

__all__ = ["JobSettings"]


class JobSettings(msgspec.Struct, frozen=True):
    """Bounds and intervals of the job scheduler."""

    lease: float = 6.0
    """Longest lease that a VM grants."""
    stop_time: float = 0.4
    """Longest time that a stop takes."""
    state_kept: float = 120.0
    """How long the state of an ended job can be asked for."""
    restore: float = 0.25
    cap_overage: float = 0.0
    """Share of an organisation's cap by which what can't be known may exceed it."""
    fresh: float = 2.5
    """A VM that was not heard for this long gets no new work."""
    start_valid: float = 1.5
    """How long after it was sent a start may be carried out."""
    record_bytes: int = 262_144
    """Bytes of a record, its key included, that the store takes at most."""
    call_bytes: int = 2_097_152
    """Bytes of the records of one call that the store takes at most."""
    takeover_margin: float = 2.5
    """How long a former leader may go on after another one has taken over."""
