"""The members that a leader hears, and whether they are a majority.

A member follows one leader at a time. So only one of two leaders can hear a majority of the
members, whichever of them reaches the store.
"""

from dataclasses import dataclass

from sablemount.control.authority import MAJORITY_AUTHORITY_LIMIT_S
from sablemount.control.clock import monotonic
from sablemount.control.messages import Ping
from sablemount.control.network import Link
from sablemount.control.standing import FULL_STANDING, is_clearly_better

__all__ = ["Members"]

HEARD_RECENTLY_S = 1.0
"""Seconds since its last ping for which a member counts as recently heard."""
COUNTED_PERIOD_S = 5.0
"""Seconds since its last ping for which a member belongs to the cell: a restart takes up to 3 s,
and a leader that is cut off still counts the members that it has just lost when the store's last
confirmation has expired."""
JOIN_PERIOD_S = 5.0
"""Seconds after the start of a leadership within which members report how many its predecessor
counted."""
MIN_SUCCESSOR_UPTIME_S = 0.5
"""Seconds since its start after which a member may be asked to take over."""
BEST_STANDING_TTL_S = 0.1
"""Seconds for which the best suitability is cached: each member's ping requires it."""
MIN_STABLE_UPTIME_S = 3.0
"""Seconds since its start after which a member may be handed the leadership without need: one that
restarts repeatedly would otherwise receive it each time."""


@dataclass(slots=True)
class _Member:
    """A member with a link to the leader."""

    link: Link
    heard_at: float
    uptime: float
    standing: float
    stopping: bool


class Members:
    """Table of the members by name; ``size`` is the number that the previous leader counted."""

    def __init__(self, size: int = 0) -> None:
        self._rows: dict[str, _Member] = {}
        self._began_at = monotonic()
        self._heard_at: dict[str, float] = {}
        """When members were last heard (local time), including those whose links have closed."""
        self._counted: set[str] = set()
        self.size = max(1, size)
        """Number of members, including this one."""
        self._best = FULL_STANDING
        self._best_at = -BEST_STANDING_TTL_S

    def on_ping(self, link: Link, ping: Ping) -> None:
        """Record a member's ping."""
        link.peer = ping.name
        now = monotonic()
        self._heard_at[ping.name] = now
        if now - self._began_at < JOIN_PERIOD_S:
            self.size = max(self.size, ping.cell)
        self._rows[ping.name] = _Member(link, now, ping.uptime, ping.standing, ping.stopping)

    def on_link_closed(self, link: Link) -> None:
        """Remove the member at the other end, unless it has a newer link."""
        row = self._rows.get(link.peer)
        if row is not None and row.link is link:
            del self._rows[link.peer]

    def link(self, name: str) -> Link | None:
        """Return the link to a member, or ``None``."""
        row = self._rows.get(name)
        return None if row is None else row.link

    def recently_heard(self) -> set[str]:
        """Return the names of the members that were heard recently."""
        now = monotonic()
        return {name for name, row in self._rows.items() if now - row.heard_at < HEARD_RECENTLY_S}

    # -- Majority ----------------------------------------------------------------------------

    def update_count(self) -> None:
        """Update which members belong to the cell, while the store's last confirmation is recent.

        Until a majority of the members that the previous leader counted have connected, their
        number is kept.
        """
        now = monotonic()
        recent = {name: at for name, at in self._heard_at.items() if now - at < COUNTED_PERIOD_S}
        self._heard_at = recent
        self._counted = set(recent)
        observed = 1 + len(recent)
        keep_size = not self.has_majority() and now - self._began_at < MAJORITY_AUTHORITY_LIMIT_S
        self.size = max(self.size, observed) if keep_size else observed

    def has_majority(self) -> bool:
        """Return whether a majority was heard recently, so that no other leader can hear one."""
        return self._is_majority(self.recently_heard())

    def has_counted_majority(self) -> bool:
        """Return whether a majority of the counted members was heard recently.

        At least one member besides this one has to be among them.
        """
        heard = self.recently_heard() & self._counted
        return bool(heard) and self._is_majority(heard)

    def _is_majority(self, heard: set[str]) -> bool:
        return 2 * (len(heard) + 1) > self.size

    # -- Succession --------------------------------------------------------------------------

    def successor_candidates(self) -> list[tuple[str, Link]]:
        """Return the members and links in the order in which they are asked to take over.

        The most suitable come first, and among equals the one that started last: when all members
        are restarted in turn, that one has been restarted already. A member that is itself being
        stopped is left out.
        """
        candidates = [
            (name, row)
            for name, row in self._rows.items()
            if row.uptime > MIN_SUCCESSOR_UPTIME_S and not row.stopping
        ]
        candidates.sort(key=lambda pair: (-pair[1].standing, pair[1].uptime))
        return [(name, row.link) for name, row in candidates]

    def best_standing(self) -> float:
        """Return the best suitability of the members that could take over.

        The result is ``FULL_STANDING`` without such members.
        """
        now = monotonic()
        if now - self._best_at >= BEST_STANDING_TTL_S:
            self._best_at = now
            present = (self._rows[name] for name in self.recently_heard())
            self._best = max(
                (row.standing for row in present if not row.stopping), default=FULL_STANDING
            )
        return self._best

    def better_candidates(self, own_standing: float) -> list[tuple[str, Link]]:
        """Return the members clearly more suitable than the leader that have been up long enough.

        ``own_standing`` is the leader's suitability.
        """
        rows = self._rows
        return [
            (name, link)
            for name, link in self.successor_candidates()
            if is_clearly_better(rows[name].standing, own_standing)
            and rows[name].uptime > MIN_STABLE_UPTIME_S
        ]

    def close_links(self) -> None:
        """Close all links."""
        for row in list(self._rows.values()):
            row.link.close()
