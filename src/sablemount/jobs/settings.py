"""Settings of the job scheduler, in seconds unless stated otherwise."""

import msgspec

__all__ = ["RETENTION_FACTOR", "JobSettings"]

MS_PER_S = 1000.0
RETENTION_FACTOR = 1.5
"""Factor by which an ended job is kept longer than required, to allow for clocks that differ."""


class JobSettings(msgspec.Struct, frozen=True):
    """Limits and intervals of the job scheduler."""

    lease_s: float = 6.0
    """Longest lease that is requested of a VM."""
    max_lease_s: float = 10.0
    """Longest lease that a VM grants, whatever a call requests."""
    stop_time_s: float = 0.4
    """Longest time that stopping a run takes."""
    state_retention_s: float = 120.0
    """How long the state of an ended job can be queried."""
    restore_s: float = 0.25
    """Time that a task loses when it restarts from a saved state."""
    cap_overage: float = 0.0
    """Share of an organisation's cap by which runs that are possible but unseen may exceed it."""
    max_report_age_s: float = 2.5
    """A VM whose last report is older than this gets no new work."""
    start_validity_s: float = 1.5
    """How long after it was sent a start may be carried out."""
    record_bytes: int = 262_144
    """Largest record, including its key, that the store accepts, in bytes."""
    call_bytes: int = 2_097_152
    """Largest total size of the records of one call to the store, in bytes."""
    job_memory_bytes: int = 512 * 1024 * 1024
    """Memory that all jobs may hold together, from their acceptance until their state need not be
    available any more."""
    takeover_margin_s: float = 2.5
    """How long a previous leader may continue after another one has taken over."""

    @property
    def retention_ms(self) -> float:
        """Return for how long an ended job, or the cancellation of an unknown one, is kept."""
        return self.state_retention_s * MS_PER_S * RETENTION_FACTOR
