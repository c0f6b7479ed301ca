"""Settings of the job scheduler, in seconds."""

import msgspec

__all__ = ["JobSettings"]


class JobSettings(msgspec.Struct, frozen=True):
    """Bounds and intervals of the job scheduler."""

    lease: float = 6.0
    """Longest lease that a worker grants."""
    stop_time: float = 0.4
    """Longest time that a stop takes."""
    gang_timeout: float = 3.0
    """How long a member of a gang waits for the others."""
    state_kept: float = 120.0
    """How long the state of an ended job can be asked for."""
    restore: float = 0.25
    far_factor: float = 1.5
    save_interval: float = 2.0
    fresh: float = 2.5
    """A worker that was not heard for this long gets no new work."""
    start_valid: float = 1.5
    """How long after it was sent a start may be carried out."""
    takeover_margin: float = 2.5
    """How long a former leader may go on after another one has taken over."""
    harm_time: float = 4.0
    pace_interval: float = 0.1
