"""Whether a leader may send requests to VMs now."""

from collections.abc import Callable

from sablemount.control.clock import monotonic

__all__ = ["MAJORITY_AUTHORITY_LIMIT_S", "AUTHORITY_VALIDITY_S", "Authority"]

AUTHORITY_VALIDITY_S = 1.5
"""Seconds for which requests may be sent after the store has last confirmed the leadership."""
MAJORITY_AUTHORITY_LIMIT_S = 30.0
"""Seconds for which the pings of a majority of the members may substitute for a store that answers
nobody."""
PAUSE_THRESHOLD_S = 1.0
"""A gap between ticks of more than this many seconds means that the process was paused."""


class Authority:
    """Decides from the age of the store's last confirmation, the members' pings and process pauses.

    ``confirmed_at`` returns the local time of the store's last confirmation, ``majority_heard``
    returns whether a majority of the members was heard recently, and ``request_confirmation`` asks
    the store to confirm the leadership. A leader that hears only a minority may be cut off while
    another one leads on the other side of the partition.
    """

    def __init__(
        self,
        confirmed_at: Callable[[], float],
        majority_heard: Callable[[], bool],
        request_confirmation: Callable[[], None],
    ) -> None:
        self._confirmed_at = confirmed_at
        self._majority_heard = majority_heard
        self._request_confirmation = request_confirmation
        self._ticked_at = monotonic()
        self._paused_at: float | None = None
        """When a pause was detected after which the store has not yet confirmed the leadership."""

    def tick(self) -> None:
        """Record that the process is running; after a pause another member may lead."""
        self._check_for_pause()
        self._ticked_at = monotonic()

    def on_confirmed(self, asked_at: float) -> None:
        """Record that the store has confirmed the leadership.

        The confirmation was requested at ``asked_at``. A request from before a pause may also have
        been answered before it, so its answer proves nothing.
        """
        if self._paused_at is not None and asked_at >= self._paused_at:
            self._paused_at = None

    def store_age(self) -> float:
        """Return the seconds since the store last confirmed the leadership."""
        return monotonic() - self._confirmed_at()

    def holds(self) -> bool:
        """Return whether requests may be sent now."""
        self._check_for_pause()
        if self._paused_at is not None:
            return False
        age = self.store_age()
        if age < AUTHORITY_VALIDITY_S:
            return True
        return age < MAJORITY_AUTHORITY_LIMIT_S and self._majority_heard()

    def _check_for_pause(self) -> None:
        now = monotonic()
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._paused_at = now
            self._ticked_at = now
        if self._paused_at is not None:
            self._request_confirmation()
