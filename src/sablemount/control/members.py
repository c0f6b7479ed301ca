"""The members that a leader hears: their links, ages and strength, and whether they are most.

A member follows one leader at a time. So of two leaders only one can hear most members, whoever of
them reaches the store.
"""

from dataclasses import dataclass

from sablemount.control.authority import AUTHORITY_LIMIT
from sablemount.control.clock import monotonic
from sablemount.control.messages import Ping
from sablemount.control.network import Link
from sablemount.control.standing import FULL, clearly_better

__all__ = ["Members"]

HEARD_WITHIN = 1.0
"""Seconds within which a member was heard that counts as there."""
COUNTED_WITHIN = 5.0
"""Seconds within which a member was heard that belongs to the cell: a restart takes up to 3 s, and
a leader that is cut off still counts those it has just lost when the store's word has aged."""
JOIN_TIME = 5.0
"""Seconds after a leadership's begin within which members tell how many its predecessor counted."""
SUCCESSOR_AGE = 0.5
"""Seconds since its start after which a member may be asked to take over."""
BEST_INTERVAL = 0.1
"""Seconds for which the best standing is kept: each member's ping asks for it."""
SETTLED_AGE = 3.0
"""Seconds since its start after which the lead is handed to a member without need: one that is
started again and again would have it each time."""


@dataclass(slots=True)
class _Member:
    """A member with a link to the leader."""

    link: Link
    heard_at: float
    uptime: float
    standing: float
    stopping: bool


class Members:
    """A table of the members, by name; ``size`` is how many the leader before counted."""

    def __init__(self, size: int = 0) -> None:
        self._rows: dict[str, _Member] = {}
        self._since = monotonic()
        self._heard_at: dict[str, float] = {}
        """When members were last heard (local time), also those whose links have closed."""
        self._counted: set[str] = set()
        self.size = max(1, size)
        """How many members there are, this one included."""
        self._best = FULL
        self._best_at = -BEST_INTERVAL

    def pinged(self, link: Link, ping: Ping) -> None:
        """Take a member's sign of life."""
        link.peer = ping.name
        now = monotonic()
        self._heard_at[ping.name] = now
        if now - self._since < JOIN_TIME:
            self.size = max(self.size, ping.cell)
        self._rows[ping.name] = _Member(link, now, ping.uptime, ping.standing, ping.stopping)

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

    # -- Most of all -------------------------------------------------------------------------

    def count(self) -> None:
        """Take who belongs to the cell, while the store's word is fresh.

        Until most of those have come that the leader before counted, their number is kept.
        """
        now = monotonic()
        recent = {name: at for name, at in self._heard_at.items() if now - at < COUNTED_WITHIN}
        self._heard_at = recent
        self._counted = set(recent)
        found = 1 + len(recent)
        kept = not self.majority() and now - self._since < AUTHORITY_LIMIT
        self.size = max(self.size, found) if kept else found

    def majority(self) -> bool:
        """Tell whether most members are heard late, so that no other leader hears most of them."""
        return self._most(self.heard())

    def stand_in(self) -> bool:
        """Tell whether most of those counted are heard late, and one besides this member."""
        heard = self.heard() & self._counted
        return bool(heard) and self._most(heard)

    def _most(self, heard: set[str]) -> bool:
        return 2 * (len(heard) + 1) > self.size

    # -- Succession --------------------------------------------------------------------------

    def successors(self) -> list[tuple[str, Link]]:
        """Return the members and links in the order in which they are asked to take over.

        Of those that carry the lead best, the one that started last goes first: when all are
        stopped in turn, it has had its turn. One that is being stopped itself is left out.
        """
        grown = [
            (name, row)
            for name, row in self._rows.items()
            if row.uptime > SUCCESSOR_AGE and not row.stopping
        ]
        grown.sort(key=lambda pair: (-pair[1].standing, pair[1].uptime))
        return [(name, row.link) for name, row in grown]

    def best_standing(self) -> float:
        """Return the highest standing of the members that could take over; ``FULL`` without one."""
        now = monotonic()
        if now - self._best_at >= BEST_INTERVAL:
            self._best_at = now
            there = (self._rows[name] for name in self.heard())
            self._best = max((row.standing for row in there if not row.stopping), default=FULL)
        return self._best

    def better(self, own: float) -> list[tuple[str, Link]]:
        """Return the members that stand clearly higher than the leader, and have for a while."""
        rows = self._rows
        return [
            (name, link)
            for name, link in self.successors()
            if clearly_better(rows[name].standing, own) and rows[name].uptime > SETTLED_AGE
        ]

    def close_links(self) -> None:
        """Close all links."""
        for row in list(self._rows.values()):
            row.link.close()
