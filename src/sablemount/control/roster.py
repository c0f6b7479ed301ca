"""The addresses of all members, as a leader hands them out: only to those that miss a change.

A list with each answer to a ping grows with the square of the members: 97 of them that ping each
0.15 s had 2 MB a second sent to them, 297 had 20 MB. One for each member of a new leader grows so
too, and its answers would wait behind them in a narrow link, so that they are handed out by turns.
"""

from sablemount.control.clock import monotonic

__all__ = ["Roster"]

CHANGE_INTERVAL = 0.5
"""Seconds between two versions at least: members that start together are handed out together."""
ADDRESSES_A_SECOND = 6_000
"""Addresses handed out at most, each some 35 bytes: a third of a link of 5 Mbit/s. Members that
wait for theirs go by those that they know of before."""


class Roster:
    """Addresses by name, with a version that rises after changes; 0 is that of an empty list."""

    def __init__(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses
        self.version = 1 if addresses else 0
        self._changed = False
        self._changed_at = -1e9
        self._left = float(ADDRESSES_A_SECOND)
        """Addresses that may be handed out now."""
        self._left_at = -1e9

    def note(self, name: str, address: str) -> None:
        """Take where a member is."""
        if self.addresses.get(name) != address:
            self.addresses[name] = address
            self._changed = True
        if self._changed and monotonic() - self._changed_at > CHANGE_INTERVAL:
            self._changed = False
            self._changed_at = monotonic()
            self.version += 1

    def since(self, version: int) -> tuple[dict[str, str] | None, int]:
        """Return the addresses for a member that has some version, and the version it has then.

        The addresses are ``None`` if it has the last version, or if others are handed theirs first.
        """
        if version == self.version or not self._may_hand_out():
            return None, version
        self._left -= len(self.addresses)
        return self.addresses, self.version

    def _may_hand_out(self) -> bool:
        now = monotonic()
        come = (now - self._left_at) * ADDRESSES_A_SECOND
        self._left = min(ADDRESSES_A_SECOND, self._left + come)
        self._left_at = now
        return self._left > 0
