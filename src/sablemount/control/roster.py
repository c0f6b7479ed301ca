"""The membership list: the addresses of all members, sent only to members with an old version.

A list in each answer to a ping grows with the square of the number of members: 97 members that ping
every 0.15 s were sent 2 MB/s, 297 were sent 20 MB/s.
"""

from sablemount.control.clock import monotonic

__all__ = ["MembershipList"]

MIN_VERSION_INTERVAL_S = 0.5
"""Minimum seconds between two versions, so that members that start together are in one version."""
MAX_LINK_SHARE = 0.2
"""Share of the leader's own link that lists may use: each new leader sends one to every member, and
a leader that is not heard meanwhile is replaced."""
ENTRY_OVERHEAD_BYTES = 3
"""Bytes of a list entry in addition to its name and address."""


class MembershipList:
    """Addresses by name, with a version that increases after changes; version 0 is an empty list.

    ``uplink`` is the capacity of the leader's own link in bytes per second, 0 without a limit.
    """

    def __init__(self, addresses: dict[str, str], uplink: float = 0.0) -> None:
        self.addresses = addresses
        self._uplink = uplink
        self._link_free_at = -1e9
        """When the link will have had time for the last list."""
        self.version = 1 if addresses else 0
        self._changed = False
        self._version_at = -1e9

    def record_address(self, name: str, address: str) -> None:
        """Record the address of a member."""
        if self.addresses.get(name) != address:
            self.addresses[name] = address
            self._changed = True
        if self._changed and monotonic() - self._version_at > MIN_VERSION_INTERVAL_S:
            self._changed = False
            self._version_at = monotonic()
            self.version += 1

    def addresses_since(self, version: int) -> dict[str, str] | None:
        """Return the addresses for a member that has ``version``.

        Return ``None`` if that version is current, or if the link is in use for other members: the
        member asks again with its next ping, and until then knows the addresses from the previous
        leader.
        """
        now = monotonic()
        if version == self.version or now < self._link_free_at:
            return None
        if self._uplink:
            self._link_free_at = now + self._size_bytes() / (MAX_LINK_SHARE * self._uplink)
        return self.addresses

    def _size_bytes(self) -> int:
        return sum(
            ENTRY_OVERHEAD_BYTES + len(name) + len(address)
            for name, address in self.addresses.items()
        )
