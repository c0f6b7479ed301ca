"""A member's link to the leader: pings over it, and what they tell."""

import asyncio
import contextlib
import logging
from collections.abc import Callable

from sablemount.control.clock import monotonic, set_within
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import (
    LeaderRecord,
    LeaderView,
    Message,
    Ping,
    Pong,
    Reply,
    ViewCall,
)
from sablemount.control.network import CallFailed, Handler, Link, Network
from sablemount.control.standing import FULL
from sablemount.control.suspicion import Suspicion

__all__ = ["LeaderLink"]

PING_INTERVAL = 0.15
"""Seconds between pings: four fit into the silence after which a leader is suspected."""
NEW_PING_INTERVAL = 0.02
"""Seconds between pings while a new leader loads, which takes some 30 ms: callers wait for it."""
NEW_LEADER_TIME = 1.0
"""Seconds for which a leader counts as new; loading is over by then unless the store is slow."""
PINGS_A_SECOND = 2_000
"""Pings of all members that a leader gets at most: a fifth of a processor core."""
MOST_PING_INTERVAL = 0.3
"""Seconds between pings in the largest cells: two fit into the silence after which a leader is
suspected."""
PING_TIMEOUT = 0.3
"""Seconds that a ping waits for its answer: after that there is time for one over a new connection
before the leader is suspected, for the old one may have fallen silent without a reset."""
CONNECT_TIMEOUT = 0.3
"""Seconds that a connection to the leader may take: 100 times the way between two zones."""
VIEW_TIMEOUT = 0.2
"""Seconds that another member has to tell its view: 100 times the way between two zones."""
RECONNECT_PAUSE = 0.05
"""Seconds between tries to connect; a new leader is connected to at once."""


def _ignore(record: LeaderRecord) -> None:
    """Take who leads, and do nothing."""


def _ignore_pong(pong: Pong, asked_at: float) -> None:
    """Take an answer of the leader, and do nothing."""


_logger = logging.getLogger("sablemount.control.leader_link")


class LeaderLink:
    """Connects to whom the newest leader record names; ``handler`` takes the leader's calls."""

    def __init__(self, settings: MemberSettings, network: Network, handler: Handler) -> None:
        self._settings = settings
        self._network = network
        self._handler = handler
        self._started_at = monotonic()
        self._link: Link | None = None
        self._leader_changed = asyncio.Event()
        self.record: LeaderRecord | None = None
        self.suspicion = Suspicion(monotonic())
        self.stopping = False
        """Whether this member is being stopped."""
        self.leads = False
        """Whether the leader has said over this link that it leads."""
        self.heard_leading_at = -1e9
        self.on_leader: Callable[[LeaderRecord], None] = _ignore
        """Takes a later leader that the named one tells of."""
        self.addresses: dict[str, str] = {}
        """Addresses of the members that the leader has heard, by name."""
        self._roster = 0
        """Version of them that the leader has given."""
        self.cell = 0
        """How many members the last leader counted, itself included; 0 if none has told."""
        self.best = FULL
        """Standing of the best member that could take over, as the last leader told; before that
        one that has enough of everything may be there."""
        self.configuration = -1
        """Version of the configuration here, which pings tell."""
        self.on_pong: Callable[[Pong, float], None] = _ignore_pong
        """Takes each answer of the leader, once it leads, and when it was asked."""

    @property
    def epoch(self) -> int:
        """Return the highest epoch known here; 0 without a leader."""
        return 0 if self.record is None else self.record.epoch

    @property
    def linked(self) -> bool:
        """Tell whether a connection to the leader stands."""
        return self._link is not None

    def follow(self, seen: LeaderRecord) -> bool:
        """Take who leads; return whether it is news."""
        if seen.epoch <= self.epoch:
            return False
        unled = self._unled()
        if self.record is not None:
            # It pings nobody, and no later leader would hear of it.
            self.addresses[self.record.name] = self.record.address
        self.record = seen
        self._roster = 0
        self.suspicion = Suspicion(monotonic(), unled)
        self.leads = False
        _logger.info("leader known", extra={"leader": seen.name, "epoch": seen.epoch})
        self.close()
        self._leader_changed.set()
        return True

    def _unled(self) -> int:
        """Return how many leaders in a row, the present one included, were not heard to lead."""
        if self.record is None or self.heard_leading_at >= self.suspicion.since:
            return 0
        return self.suspicion.unled + 1

    def other_members(self) -> list[str]:
        """Return the addresses of the members that are neither this one nor the leader."""
        apart = {self._settings.name, "" if self.record is None else self.record.name}
        return [address for name, address in self.addresses.items() if name not in apart]

    async def call(self, message: Message, timeout: float) -> Reply:
        """Call the leader; raises ``CallFailed``."""
        if self._link is None or not self.leads:
            raise CallFailed("no leader is known here", sent=False)
        return await self._link.call(message, timeout)

    async def call_once(self, address: str, message: Message, timeout: float) -> Reply:
        """Call some member over a connection of its own; raises ``CallFailed``."""
        link = await self._network.connect(address, self._handler, timeout)
        serving = asyncio.get_running_loop().create_task(link.serve())
        try:
            return await link.call(message, timeout)
        finally:
            link.close()
            serving.cancel()

    async def view(self, address: str) -> LeaderView | None:
        """Ask another member for its view of the leader; ``None`` without an answer."""
        try:
            view = await self.call_once(address, ViewCall(), VIEW_TIMEOUT)
        except CallFailed:
            return None
        return view if isinstance(view, LeaderView) else None

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()

    # -- The connection ----------------------------------------------------------------------

    async def run(self) -> None:
        """Keep a connection to the leader without end."""
        while True:
            record = self.record
            self._leader_changed.clear()
            if record is not None and record.name != self._settings.name:
                served = await self._connect(record)
                if served:
                    # A process that has gone shows at the next try, and the sooner the better.
                    continue
            await self._pause(RECONNECT_PAUSE)

    async def _pause(self, seconds: float) -> None:
        """Wait, but not beyond the moment when another leader becomes known."""
        await set_within(self._leader_changed, seconds)

    async def _connect(self, record: LeaderRecord) -> bool:
        """Keep a connection while it lasts, and tell whether the leader has answered over it."""
        try:
            link = await self._network.connect(record.address, self._handler, CONNECT_TIMEOUT)
        except CallFailed as failed:
            if failed.refused:
                self.suspicion.refused(monotonic())
            return False
        return await self._keep(link, record)

    async def _keep(self, link: Link, record: LeaderRecord) -> bool:
        """Keep a link until it is over, or leads to a former leader; tell whether it answered."""
        answered = False
        self._link = link
        serving = asyncio.get_running_loop().create_task(link.serve())
        try:
            while not link.closed and self.record is record:
                await self._ping(link)
                answered = True
                await self._pause(self._ping_interval())
        except CallFailed:
            pass
        finally:
            self._link = None
            self.leads = False
            link.close()
            serving.cancel()
        return answered

    def _ping_interval(self) -> float:
        new = not self.leads and monotonic() - self.suspicion.since < NEW_LEADER_TIME
        usual = NEW_PING_INTERVAL if new else PING_INTERVAL
        return max(usual, min(MOST_PING_INTERVAL, self.cell / PINGS_A_SECOND))

    async def look(self, timeout: float) -> None:
        """Ask the leader at once how it is, for some seconds at most."""
        link = self._link
        if link is None:
            return
        with contextlib.suppress(CallFailed, TimeoutError):
            async with asyncio.timeout(timeout):
                await self._ping(link)

    async def _ping(self, link: Link) -> None:
        epoch = self.epoch
        settings = self._settings
        uptime = monotonic() - self._started_at
        ping = Ping(
            settings.name,
            settings.rpc_address,
            epoch,
            uptime,
            settings.standing,
            self.stopping,
            self._roster,
            self.configuration,
            self.cell,
        )
        asked_at = monotonic()
        pong = await link.call(ping, PING_TIMEOUT + self.suspicion.lateness())
        # If another leader has become known meanwhile, this answer tells nothing of it.
        if isinstance(pong, Pong) and self.epoch == epoch:
            self._heard(pong, asked_at)

    def _heard(self, pong: Pong, asked_at: float) -> None:
        now = monotonic()
        if pong.leader is not None and pong.leader.epoch > self.epoch:
            self.on_leader(pong.leader)
            return
        self.suspicion.heard(pong, now, now - asked_at)
        self.leads = pong.leading and pong.epoch == self.epoch
        if pong.members is not None:
            self.addresses = pong.members
        self._roster = pong.roster
        if self.leads:
            self.heard_leading_at = now
            self.cell = pong.cell or self.cell
            self.best = pong.best
            self.on_pong(pong, asked_at)
