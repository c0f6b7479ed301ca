"""The members that a leader hears: their links, ages and strength."""

from dataclasses import dataclass

from sablemount.control.clock import monotonic
from sablemount.control.member_settings import ENOUGH_CORES
from sablemount.control.messages import Ping
from sablemount.control.network import Link

__all__ = ["Members"]

HEARD_WITHIN = 1.0
"""Seconds within which a member was heard that counts as there."""
SUCCESSOR_AGE = 0.5
"""Seconds since its start after which a member may be asked to take over."""


@dataclass(slots=True)
class _Member:
    """A member with a link to the leader."""

    link: Link
    heard_at: float
    uptime: float
    cores: float
    stopping: bool


class Members:
    """A table of the members, by name."""

    def __init__(self) -> None:
        self._rows: dict[str, _Member] = {}

    def pinged(self, link: Link, ping: Ping) -> None:
        """Take a member's sign of life."""
        link.peer = ping.name
        self._rows[ping.name] = _Member(link, monotonic(), ping.uptime, ping.cores, ping.stopping)

    def link_closed(self, link: Link) -> None:
        """Forget the member at the other end, unless it has a newer link."""
        row = self._rows.get(link.peer)
        if row is not None and row.link is link:
            del self._rows[link.peer]

    def link(self, name: str) -> Link | None:
        """Return the link to a member, or ``None``."""
        row = self._rows.get(name)
        return None if row is None else row.link

    def heard(self) -> set[str]:
        """Return the members that were heard late."""
        now = monotonic()
        return {name for name, row in self._rows.items() if now - row.heard_at < HEARD_WITHIN}

    def successors(self) -> list[tuple[str, Link]]:
        """Return the members and links in the order in which they are asked to take over.

        Of those that are strong enough, the one that started last goes first: when all are stopped
        in turn, it has had its turn. One that is being stopped itself is left out.
        """
        grown = [
            (name, row)
            for name, row in self._rows.items()
            if row.uptime > SUCCESSOR_AGE and not row.stopping
        ]
        grown.sort(key=lambda pair: (pair[1].cores < ENOUGH_CORES, pair[1].uptime))
        return [(name, row.link) for name, row in grown]

    def close_links(self) -> None:
        """Close all links."""
        for row in list(self._rows.values()):
            row.link.close()
