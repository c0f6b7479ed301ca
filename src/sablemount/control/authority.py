"""Whether a leader may give orders now."""

from collections.abc import Callable

from sablemount.control.clock import monotonic

__all__ = ["AUTHORITY_LIMIT", "AUTHORITY_TIME", "Authority"]

AUTHORITY_TIME = 1.5
"""Seconds for which orders may be given after the store has last confirmed the leadership."""
AUTHORITY_LIMIT = 30.0
"""Seconds for which the pings of most members may stand in for a store that answers nobody."""
WOKEN_AFTER = 1.0
"""A gap between ticks beyond this many seconds means that the process was paused."""


class Authority:
    """Judges by the age of the store's last word, by the members' pings and by pauses.

    ``confirmed_at`` gives the local time of the store's last word, ``members_stand_in`` tells
    whether most members were heard late, and ``ask_store`` has the store asked. With fewer this
    leader may be cut off, and another one lead on the other side.
    """

    def __init__(
        self,
        confirmed_at: Callable[[], float],
        members_stand_in: Callable[[], bool],
        ask_store: Callable[[], None],
    ) -> None:
        self._confirmed_at = confirmed_at
        self._members_stand_in = members_stand_in
        self._ask_store = ask_store
        self._ticked_at = monotonic()
        self._paused_at: float | None = None
        """When a pause was found after which the store has not confirmed the leadership."""

    def tick(self) -> None:
        """Take that the process runs; after a pause somebody else may lead."""
        self._note_pause()
        self._ticked_at = monotonic()

    def confirmed(self, asked_at: float) -> None:
        """Take that the store has confirmed the leadership; it was asked at ``asked_at``.

        What was asked before a pause may have been answered before it too, and tells nothing.
        """
        if self._paused_at is not None and asked_at >= self._paused_at:
            self._paused_at = None

    def store_age(self) -> float:
        """Return for how many seconds the store has not confirmed the leadership."""
        return monotonic() - self._confirmed_at()

    def holds(self) -> bool:
        """Tell whether orders may be given now."""
        self._note_pause()
        if self._paused_at is not None:
            return False
        age = self.store_age()
        if age < AUTHORITY_TIME:
            return True
        return age < AUTHORITY_LIMIT and self._members_stand_in()

    def _note_pause(self) -> None:
        now = monotonic()
        if now - self._ticked_at > WOKEN_AFTER:
            self._paused_at = now
            self._ticked_at = now
        if self._paused_at is not None:
            self._ask_store()
